#include "base/base.h"
#include "process/drainer.h"
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <string>

using namespace briarwharf;
using std::chrono::seconds;

namespace {

// A planned drain of one upstream among two, with faults at chosen steps. All time is simulated.

enum class Step { Move, DrainCommand, DrainOrder, MarkEmpty, UndrainCommand, UndrainOrder };
enum class Fault {
    AnswerLost, // the effect takes place
    HolderPaused, // between the check of the lease and the effect, longer than the lease
    HolderPausedLong, // the same until after the window
    HolderKilledBefore, // no effect
    HolderKilledAfter,
    StoreDown,
    EngineRefuses,
    EngineSilent,
};
enum class UpstreamKind {
    ChecksFence,
    IgnoresFence,
    Restarts,
    Service,
    Immediate
}; // Immediate: an operator's drain

constexpr Step steps[] = { Step::Move, Step::DrainCommand, Step::DrainOrder, Step::MarkEmpty,
    Step::UndrainCommand, Step::UndrainOrder };
constexpr Fault faults[]
    = { Fault::AnswerLost, Fault::HolderPaused, Fault::HolderPausedLong, Fault::HolderKilledBefore,
          Fault::HolderKilledAfter, Fault::StoreDown, Fault::EngineRefuses, Fault::EngineSilent };
constexpr const char* stepNames[]
    = { "move", "drain command", "drain order", "mark empty", "undrain command", "undrain order" };
constexpr const char* faultNames[] = { "answer lost", "holder paused", "holder paused long",
    "holder killed before", "holder killed after", "store down", "engine refuses", "engine silent" };
constexpr const char* kindNames[] = { "checks fence", "ignores fence", "restarts", "service", "immediate" };

struct Injection {
    Step step;
    Fault fault;
};

// Deliberate mistakes that the checks must catch.
enum class Mutation {
    None,
    NoWaits, // marks the upstream empty without waiting for the other instances and the report's lag
    NoWindowGuard, // a late command of a window that was carried out drains once more
    NoReread, // takes the engine's state as ordered once an order was carried out
    LateRelay, // one instance learns of the drain too late
    NoRequestCount, // takes the instances' requests in progress as zero and the engine's report as current
};

constexpr Milliseconds tickLength { 500 };
constexpr seconds shortPause { 20 };
constexpr seconds longPause { 400 };
constexpr seconds outage { 15 };
constexpr seconds leaseDuration { 6 };
constexpr seconds leaseMargin { 1 };
constexpr seconds reportDelay { 1 };
constexpr seconds inForceLimit { 3 };
constexpr seconds maintenanceDuration { 20 };
constexpr seconds operatorDrainsAfter { 60 };
constexpr seconds operatorUndrainsAfter { 360 };
constexpr seconds simulationLength { 640 };

struct DrainSimulation;

struct HolderLease : DrainLease {
    bool holdsLease() const override { return held; }
    std::uint64_t fence() const override { return number; }
    bool held = false;
    std::uint64_t number = 0;
};

struct Holder {
    explicit Holder(const DrainerOptions& options)
        : drainer(options, lease)
    {
    }
    HolderLease lease;
    Drainer drainer;
    MonotonicTime pausedUntil;
    MonotonicTime renewedAt;
};

struct EngineState {
    bool draining = false;
    bool stopped = false;
    std::uint64_t fence = 0;
    std::deque<MonotonicTime> requestEnds;
};

struct Observation {
    MonotonicTime at;
    bool draining;
    std::uint64_t requests;
};

struct Revision {
    MonotonicTime at;
    std::shared_ptr<const Config> config;
};

struct DrainSimulation {
    DrainSimulation(UpstreamKind kindOfUpstream, std::vector<Injection> planned, Mutation mutationApplied)
        : kind(kindOfUpstream)
        , injections(std::move(planned))
        , mutation(mutationApplied)
        , random(20261204)
    {
        options.maxRetryDelay = Milliseconds(4000);
        if (mutation == Mutation::NoWaits || mutation == Mutation::NoRequestCount) {
            options.settleTime = Milliseconds(0);
            options.reportLag = Milliseconds(0);
        }
        std::string text
            = kind == UpstreamKind::Service ? "CREATE POOL p KIND service;" : "CREATE POOL p MODEL m;";
        text += "ADD UPSTREAM e1 POOL p ADDRESS 10.0.0.1:80 DOMAIN a;"
                "ADD UPSTREAM e2 POOL p ADDRESS 10.0.0.2:80 DOMAIN b;";
        if (kind == UpstreamKind::Immediate) {
            at(now + operatorDrainsAfter, [this] { runOperatorCommand("DRAIN UPSTREAM e1"); });
            at(now + operatorUndrainsAfter, [this] { runOperatorCommand("UNDRAIN UPSTREAM e1"); });
        } else {
            text += "PLAN DRAIN UPSTREAM e1 EVERY MON AT 02:00 FOR 5m";
        }
        if (kind == UpstreamKind::IgnoresFence)
            text += "; ALTER UPSTREAM e1 CHECKS_FENCE false";
        revisions.push_back(
            { now, std::make_shared<Config>(applyCommands({}, parseCommands(text).value()).value()) });
        for (int i = 0; i < 12; ++i)
            residents.push_back({ "o", "chat-" + std::to_string(i), Milliseconds(1000 * i) });
        // One instance more than two faults can pause.
        for (int i = 0; i < 3; ++i)
            holders.push_back(std::make_unique<Holder>(options));
    }

    const Config& store() const { return *revisions.back().config; }
    const Upstream& upstream() const { return store().upstreams.at("e1"); }
    bool storeIsDown() const { return now < storeDownUntil; }
    bool engineAnswers() const { return now >= engineSilentUntil && !engine.stopped; }

    void run()
    {
        while (now < start + simulationLength) {
            now += tickLength;
            wallNow += tickLength;
            runEvents();
            finishRequests();
            routeRequests();
            observations.push_back({ now, engine.draining, engine.requestEnds.size() });
            runMaintenance();
            for (std::size_t i = 0; i < holders.size(); ++i)
                stepHolder(i);
        }
        if (upstream().state != UpstreamState::Serving)
            violate("the upstream does not return");
        if (kind != UpstreamKind::Service && engine.draining)
            violate("the engine stays drained");
        if (!stoppedOnce)
            violate("the upstream was never reported as empty");
    }

    void violate(const std::string& what)
    {
        if (violation.empty())
            violation = what;
    }

    void at(MonotonicTime time, std::function<void()> event) { events.push_back({ time, std::move(event) }); }

    void runEvents()
    {
        std::vector<std::function<void()>> due;
        std::erase_if(events, [&](auto& entry) {
            if (entry.first <= now)
                due.push_back(std::move(entry.second));
            return entry.first <= now;
        });
        for (const auto& event : due)
            event();
    }

    const Config& configSeenBy(Milliseconds delay) const
    {
        std::size_t i = revisions.size() - 1;
        while (i > 0 && revisions[i].at + delay > now)
            --i;
        return *revisions[i].config;
    }

    // Three instances learn of a revision at different times, the last one just within the limit of G5.
    void routeRequests()
    {
        Milliseconds last(mutation == Mutation::LateRelay ? 8000 : 2500);
        for (Milliseconds delay : { Milliseconds(0), Milliseconds(1000), last }) {
            bool serving = configSeenBy(delay).upstreams.at("e1").state == UpstreamState::Serving;
            // Services are quiet now and then, so that a drain without waits has a moment to go wrong.
            if (!serving || !random.chance(kind == UpstreamKind::Service ? 0.1 : 0.3))
                continue;
            ++inFlight;
            at(now + tickLength, [this] { requestArrives(); });
        }
    }

    void requestArrives()
    {
        --inFlight;
        if (kind != UpstreamKind::Service && engine.draining)
            return; // refused as not run, and sent elsewhere
        bool draining = upstream().state == UpstreamState::Draining;
        if (draining && now > revisions.back().at + inForceLimit + tickLength
            && upstream().drainRevision == store().revision)
            violate("new work after the drain was in force");
        if (engine.stopped)
            return violate("new work at a stopped upstream");
        engine.requestEnds.push_back(now + seconds(1 + random.below(kind == UpstreamKind::Service ? 2 : 30)));
    }

    void finishRequests()
    {
        std::erase_if(engine.requestEnds, [&](MonotonicTime end) { return end <= now; });
    }

    // Stops the upstream as soon as the configuration calls it empty, and starts it again after the cleaning.
    void runMaintenance()
    {
        if (upstream().empty && !stoppedOnce) {
            if (!engine.requestEnds.empty() || inFlight > 0)
                violate("a request in progress was cut");
            engine.stopped = true;
            stoppedOnce = true;
            restartAt = now + maintenanceDuration;
        }
        if (engine.stopped && now >= restartAt) {
            engine.stopped = false;
            if (kind == UpstreamKind::Restarts)
                engine = {};
        }
    }

    DrainFacts facts() const
    {
        DrainFacts facts;
        bool counts = mutation != Mutation::NoRequestCount;
        facts.routedRequests = counts ? engine.requestEnds.size() + inFlight : 0;
        facts.residents = residents;
        if (kind == UpstreamKind::Service || !engineAnswers())
            return facts;
        for (auto seen = observations.rbegin(); seen != observations.rend(); ++seen) {
            if (seen->at + reportDelay > now)
                continue;
            facts.report = { now, counts ? seen->draining : engine.draining, counts ? seen->requests : 0 };
            break;
        }
        if (mutation == Mutation::NoReread && engine.fence > 0 && facts.report)
            facts.report->draining = upstream().state == UpstreamState::Draining;
        return facts;
    }

    void updateLease(Holder& holder)
    {
        bool mine = owner == &holder;
        bool free = owner == nullptr || now >= ownerRenewedAt + leaseDuration;
        if (!storeIsDown() && (mine || free)) {
            if (!mine || free)
                holder.lease.number = ++fences;
            owner = &holder;
            ownerRenewedAt = holder.renewedAt = now;
            mine = true;
        }
        holder.lease.held = mine && now < holder.renewedAt + leaseDuration - leaseMargin;
    }

    void stepHolder(std::size_t index)
    {
        Holder& holder = *holders[index];
        if (now < holder.pausedUntil)
            return;
        updateLease(holder);
        if (!holder.lease.held)
            return; // step() would return nothing
        bool current = now >= storeDownUntil || now < storeDownUntil - outage + seconds(2);
        DrainInput input { now, wallNow, &configSeenBy(Milliseconds(0)), current, { { "e1", facts() } } };
        for (const DrainAction& action : holder.drainer.step(input)) {
            if (action.upstream == "e1")
                perform(index, action);
            // A killed or paused holder sends nothing more.
            if (holders[index].get() != &holder || now < holder.pausedUntil)
                break;
        }
    }

    static Step stepOf(const DrainAction& action)
    {
        if (const auto* order = std::get_if<SendOrder>(&action.task))
            return order->order.kind == OrderKind::Drain ? Step::DrainOrder : Step::UndrainOrder;
        const auto* append = std::get_if<AppendCommand>(&action.task);
        if (!append)
            return Step::Move;
        if (std::holds_alternative<DrainCommand>(append->command.statement))
            return Step::DrainCommand;
        bool marks = std::holds_alternative<MarkEmptyCommand>(append->command.statement);
        return marks ? Step::MarkEmpty : Step::UndrainCommand;
    }

    void perform(std::size_t index, const DrainAction& action)
    {
        Milliseconds delay = tickLength;
        bool answered = true;
        auto injection = std::find_if(injections.begin(), injections.end(),
            [&](const Injection& entry) { return entry.step == stepOf(action); });
        if (injection != injections.end()) {
            Fault fault = injection->fault;
            injections.erase(injection);
            answered = inject(fault, index, delay);
            if (fault == Fault::HolderKilledBefore)
                return;
        }
        Holder* holder = holders[index].get();
        at(now + delay, [this, holder, action, answered] {
            auto result = takeEffect(action);
            if (answered && result)
                at(now + tickLength, [this, holder, id = action.id, result] { answer(holder, id, *result); });
        });
    }

    // Whether the holder gets an answer.
    bool inject(Fault fault, std::size_t index, Milliseconds& delay)
    {
        Milliseconds pause = fault == Fault::HolderPausedLong ? longPause : shortPause;
        switch (fault) {
        case Fault::AnswerLost:
            return false;
        case Fault::HolderPaused:
        case Fault::HolderPausedLong:
            holders[index]->pausedUntil = now + pause;
            delay = pause;
            return true;
        case Fault::HolderKilledBefore:
        case Fault::HolderKilledAfter:
            retired.push_back(std::move(holders[index]));
            holders[index] = std::make_unique<Holder>(options);
            return false;
        case Fault::StoreDown:
            storeDownUntil = now + outage;
            return true;
        case Fault::EngineRefuses:
            engineRefusesUntil = now + outage;
            return true;
        case Fault::EngineSilent:
            engineSilentUntil = now + outage;
            return true;
        }
        return true;
    }

    void answer(Holder* holder, std::uint64_t id, ActionResult result)
    {
        bool alive
            = std::any_of(holders.begin(), holders.end(), [&](const auto& h) { return h.get() == holder; });
        if (alive)
            holder->drainer.finished(id, result, now);
    }

    // nullopt: no answer.
    std::optional<ActionResult> takeEffect(const DrainAction& action)
    {
        if (const auto* append = std::get_if<AppendCommand>(&action.task))
            return appendToLog(append->command);
        if (!engineAnswers())
            return std::nullopt;
        if (now < engineRefusesUntil)
            return ActionResult::Refused;
        if (const auto* move = std::get_if<MoveChat>(&action.task)) {
            std::erase_if(residents, [&](const DrainChat& chat) { return chat.chat == move->chat.chat; });
            return ActionResult::Done;
        }
        const Order& order = std::get<SendOrder>(action.task).order;
        if (kind != UpstreamKind::IgnoresFence && order.fence < engine.fence)
            return ActionResult::Refused;
        engine.fence = std::max(engine.fence, order.fence);
        engine.draining = order.kind == OrderKind::Drain;
        return ActionResult::Done;
    }

    // An operator repeats a command until the store takes it.
    void runOperatorCommand(const char* text)
    {
        if (appendToLog(parseCommand(text).value()) != ActionResult::Done)
            at(now + seconds(1), [this, text] { runOperatorCommand(text); });
    }

    ActionResult appendToLog(Command command)
    {
        if (storeIsDown())
            return ActionResult::Refused;
        auto* drain = std::get_if<DrainCommand>(&command.statement);
        if (drain && mutation == Mutation::NoWindowGuard && upstream().drainWindow != WallTime {})
            drain->window.reset();
        auto next = applyCommand(store(), command);
        if (!next)
            return ActionResult::Refused;
        revisions.push_back({ now, std::make_shared<Config>(std::move(next).value()) });
        return ActionResult::Done;
    }

    UpstreamKind kind;
    std::vector<Injection> injections;
    Mutation mutation;
    Random random;
    DrainerOptions options;
    MonotonicTime start {};
    MonotonicTime now {};
    WallTime wallNow = parseMinute("2026-12-07T01:59Z").value();
    std::vector<Revision> revisions;
    EngineState engine;
    std::vector<Observation> observations;
    std::vector<DrainChat> residents;
    std::vector<std::pair<MonotonicTime, std::function<void()>>> events;
    std::vector<std::unique_ptr<Holder>> holders;
    std::vector<std::unique_ptr<Holder>> retired;
    Holder* owner = nullptr;
    MonotonicTime ownerRenewedAt;
    std::uint64_t fences = 0;
    MonotonicTime storeDownUntil;
    MonotonicTime engineRefusesUntil;
    MonotonicTime engineSilentUntil;
    MonotonicTime restartAt;
    std::uint64_t inFlight = 0;
    bool stoppedOnce = false;
    std::string violation;
};

std::string describe(UpstreamKind kind, const std::vector<Injection>& injections)
{
    std::string text = kindNames[static_cast<int>(kind)];
    for (const Injection& injection : injections)
        text += std::string("; ") + stepNames[static_cast<int>(injection.step)] + ": "
            + faultNames[static_cast<int>(injection.fault)];
    return text;
}

// Violations among all single faults on each kind of upstream, with the faults that took place.
struct TableResult {
    int runs = 0;
    int injected = 0;
    std::vector<std::string> violations;
};

void runOne(TableResult& result, UpstreamKind kind, const std::vector<Injection>& injections,
    Mutation mutation = Mutation::None)
{
    DrainSimulation world(kind, injections, mutation);
    world.run();
    ++result.runs;
    result.injected += world.injections.empty() ? 1 : 0;
    if (!world.violation.empty())
        result.violations.push_back(describe(kind, injections) + " -> " + world.violation);
}

std::vector<Injection> allInjections()
{
    std::vector<Injection> injections;
    for (Step step : steps) {
        for (Fault fault : faults)
            injections.push_back({ step, fault });
    }
    return injections;
}

TableResult runSingles(Mutation mutation)
{
    TableResult result;
    for (UpstreamKind kind : { UpstreamKind::ChecksFence, UpstreamKind::IgnoresFence, UpstreamKind::Restarts,
             UpstreamKind::Service, UpstreamKind::Immediate }) {
        runOne(result, kind, {}, mutation);
        for (const Injection& injection : allInjections())
            runOne(result, kind, { injection }, mutation);
    }
    return result;
}

void report(const TableResult& result)
{
    for (const std::string& violation : result.violations)
        FAIL_CHECK(violation);
    MESSAGE(result.runs, " runs, in ", result.injected, " of them every planned fault took place");
}

} // namespace

// Guards G5 and G6 against each fault at each step of a planned drain: cut requests, new work after the drain
// is in force, a stopped upstream that was not empty, late orders, and drains that never end.
TEST_CASE("a planned drain survives each fault at each step")
{
    configureLogging("warning");
    TableResult result = runSingles(Mutation::None);
    report(result);
    CHECK(result.injected > 150);
}

// Guards against repairs of one fault that a second one defeats.
TEST_CASE("a planned drain survives each pair of faults")
{
    TableResult result;
    for (const Injection& first : allInjections()) {
        for (const Injection& second : allInjections()) {
            UpstreamKind kind = result.runs % 2 == 0 ? UpstreamKind::ChecksFence : UpstreamKind::IgnoresFence;
            runOne(result, kind, { first, second });
        }
    }
    report(result);
}

// Guards against checks that pass whatever the drainer does.
TEST_CASE("the checks catch a drainer with a deliberate mistake")
{
    for (Mutation mutation : { Mutation::NoWaits, Mutation::NoWindowGuard, Mutation::NoReread,
             Mutation::LateRelay, Mutation::NoRequestCount }) {
        TableResult result = runSingles(mutation);
        CHECK_FALSE(result.violations.empty());
        MESSAGE(result.violations.size(), " of ", result.runs,
            " runs caught, for example: ", result.violations.empty() ? "" : result.violations.front());
    }
}

namespace {

struct DrainerFixture {
    explicit DrainerFixture(std::string_view commands)
    {
        std::string text = "CREATE POOL p MODEL m; ADD UPSTREAM e1 POOL p ADDRESS 10.0.0.1:80 DOMAIN a;"
                           "ADD UPSTREAM e2 POOL p ADDRESS 10.0.0.2:80 DOMAIN b; ADD UPSTREAM e3 POOL p "
                           "ADDRESS 10.0.0.3:80 DOMAIN b;";
        config = applyCommands({}, parseCommands(text + std::string(commands)).value()).value();
        lease.held = true;
        lease.number = 7;
    }

    // Steps after a while, with a fresh report of e1.
    std::vector<DrainAction> step(seconds later, bool draining, std::uint64_t requests)
    {
        input.now += later;
        input.wallNow += later;
        input.config = &config;
        input.current = true;
        input.facts["e1"].report = DrainReport { input.now, draining, requests };
        input.facts["e1"].routedRequests = requests;
        return drainer.step(input);
    }

    void finish(const std::vector<DrainAction>& actions)
    {
        for (const DrainAction& action : actions)
            drainer.finished(action.id, ActionResult::Done, input.now);
    }

    Config config;
    HolderLease lease;
    Drainer drainer { {}, lease };
    DrainInput input { MonotonicTime {}, parseMinute("2026-12-07T02:00Z").value(), nullptr, true, {} };
};

} // namespace

// Guards against a handover that floods the pool or moves the chats that return last.
TEST_CASE("handover moves the chats that spoke last first, a few at a time, to serving upstreams")
{
    DrainerFixture fixture("PLAN DRAIN UPSTREAM e1 EVERY MON AT 02:00 FOR 1h;"
                           "PLAN DRAIN UPSTREAM e3 EVERY MON AT 02:00 FOR 1h");
    fixture.input.facts["e1"].residents.emplace();
    for (int i = 0; i < 20; ++i)
        fixture.input.facts["e1"].residents->push_back(
            { "o", std::to_string(i), Milliseconds(1000 * (20 - i)) });
    fixture.step(seconds(1), false, 0);
    auto actions = fixture.step(seconds(1), false, 0);
    REQUIRE(actions.size() == DrainerOptions {}.maxMovesInProgress);
    CHECK(std::get<MoveChat>(actions.front().task).chat.chat == "19");
    // e3 is about to be drained itself.
    for (const DrainAction& action : actions)
        CHECK(std::get<MoveChat>(action.task).destination == "e2");
    CHECK(fixture.drainer.phases().at("e1") == DrainPhase::Handover);
    CHECK(fixture.step(seconds(1), false, 0).empty());
}

// Guards against an immediate drain that is reported as empty while requests run or may still arrive.
TEST_CASE("an immediate drain orders the engine and marks the upstream when nothing is left")
{
    DrainerFixture fixture("DRAIN UPSTREAM e1");
    fixture.input.facts["e1"].residents.emplace();
    auto actions = fixture.step(seconds(1), false, 2);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<SendOrder>(actions[0].task).order.kind == OrderKind::Drain);
    CHECK(std::get<SendOrder>(actions[0].task).order.fence == 7);
    fixture.finish(actions);
    CHECK(fixture.step(seconds(1), true, 2).empty());
    CHECK(fixture.step(seconds(1), true, 0).empty());
    CHECK(fixture.drainer.phases().at("e1") == DrainPhase::Waiting);
    actions = fixture.step(seconds(10), true, 0);
    REQUIRE(actions.size() == 1);
    const auto& mark = std::get<MarkEmptyCommand>(std::get<AppendCommand>(actions[0].task).command.statement);
    CHECK(mark.drainRevision == fixture.config.upstreams.at("e1").drainRevision);
}

// Guards against orders without the lease, and against ending a drain that an engine began by itself.
TEST_CASE("without the lease nothing is done, and an engine's own drain is left alone")
{
    DrainerFixture own("PLAN DRAIN UPSTREAM e1 EVERY FRI AT 02:00 FOR 1h");
    CHECK(own.step(seconds(1), true, 0).empty());
    DrainerFixture fixture("DRAIN UPSTREAM e1");
    fixture.lease.held = false;
    CHECK(fixture.step(seconds(1), false, 0).empty());
}
