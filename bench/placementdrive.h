#pragma once

#include "base/base.h"
#include "bench/enginemodel.h"
#include "request/request.h"
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarwharf {

// Simulates placement decisions: runs the placement, ledger and admission objects of many instances over
// simulated time against engine models, with fixed seeds. Messages and sockets are not simulated. Only the
// inputs of a decision are: load reports that arrive late, a local ledger for each instance, and instances
// that learn of a changed engine at different times.

enum class SimulationEventKind {
    Join,
    Crash, // the engine loses its requests in progress and its cache
    Unreachable, // the engine loses its requests in progress and keeps its cache
    Reachable,
    Drain, // the engine hands its chats over and accepts no new work; Undrain clears its cache
    Undrain,
};

struct SimulationEvent {
    double at = 0; // seconds
    SimulationEventKind kind = SimulationEventKind::Join;
    std::size_t engine = 0;
};

struct SimulationSettings {
    std::string name;
    std::uint64_t seed = 1;
    std::size_t engines = 12;
    // How many of the engines, counted from the last one, are absent until their Join event.
    std::size_t joining = 0;
    std::size_t instances = 8;
    double requestsPerSecond = 36;
    double warmup = 120; // seconds before the measurement starts
    double duration = 300; // seconds that are measured
    double newChatShare = 0.15; // share of requests that start a chat
    double longShare = 0.1; // share of requests of the class Long
    std::int64_t longOutput = 2000; // mean output tokens of a long request
    double meanReturnSeconds = 60; // mean time until a chat's next turn
    std::vector<double> organisations { 4, 2, 2, 1, 1, 0.5, 0.5, 0.5, 0.25,
        0.25 }; // weights of their request rates; only the first one surges
    double surgeStart = -1; // seconds; negative: no surge
    double surgeEnd = -1;
    double surgeFactor = 10;
    bool hints = true; // callers return the residence hint of the previous answer
    bool answerFeedback = true; // each answer reports the engine's load
    bool notices = false; // instances notify each other of requests that they send and that end
    // Smaller requests cause no notice, because their load is not worth the traffic.
    std::int64_t minNoticeTokens = 4000;
    double maxNoticeDelay = 0.3; // maximum seconds until a notice arrives
    double reportInterval = 1; // seconds between two load reports of an engine
    double minLag = 0.5; // seconds from the measurement of a load to the arrival of its report
    double maxLag = 1;
    double maxEventDelay = 3; // maximum seconds until an instance learns of an event
    double handoverPerSecond = 50; // chats that a draining engine hands over per second
    bool admission = false; // requests pass the admission queue of their instance
    bool trace = false; // prints every engine sample above the load bound
    std::uint32_t engineSlots = 64;
    // Share of all engines' slots that the instances use together. Below 1 because requests are not
    // distributed evenly.
    double slotShare = 0.85;
    PlacementKind kind = PlacementKind::BoundedRendezvous;
    PlacementSettings placement;
    EngineModelSettings engine;
    std::vector<SimulationEvent> events;
};

struct Percentiles {
    std::vector<double> values;

    double at(double share)
    {
        if (values.empty())
            return 0;
        auto index = static_cast<std::ptrdiff_t>(
            std::min(static_cast<double>(values.size() - 1), share * static_cast<double>(values.size())));
        std::nth_element(values.begin(), values.begin() + index, values.end());
        return values[static_cast<std::size_t>(index)];
    }
};

struct SimulationResult {
    std::uint64_t requests = 0;
    std::uint64_t rejected = 0; // answered as "not run"
    std::uint64_t lost = 0; // in progress at an engine that crashed or became unreachable
    std::uint64_t returning = 0; // turns of chats whose context is cached at an engine that accepts work
    std::uint64_t reused = 0; // of these, turns placed at an engine that caches the context
    std::uint64_t handedOver = 0; // returning chats whose context had been handed over
    std::uint64_t handoverFound = 0; // of these, turns placed at an engine that caches the context
    std::uint64_t handoverMissed = 0; // chats that returned before their draining engine had handed them over
    std::uint64_t sentToLeaving = 0; // attempts refused because the engine was draining or unavailable
    double lastSentToLeaving = 0; // maximum seconds from the engine's event to such an attempt
    Percentiles skew; // load of the busiest engine divided by the mean load, sampled every 100 ms
    std::uint64_t samples = 0; // engine samples
    std::uint64_t overBound = 0; // samples whose load exceeds the load bound and its slack
    std::uint64_t overBoundSettled = 0; // of these, samples more than 10 s after the last event of any engine
    double maxLoadRatio = 0; // maximum ratio of a load to the load that the bound and its slack allow
    double meanLoad = 0; // tokens per engine
    Percentiles shortWait; // seconds of short requests in the queues of instance and engine
    Percentiles longWait;
    Percentiles shortTime; // seconds from the arrival of a short request to the end of its answer
    std::uint64_t shortRejected = 0;
    std::uint64_t nonSurgingShortRejected = 0; // only organisations that do not surge
    Percentiles nonSurgingShortWait; // only organisations that do not surge
    double controlBytesPerSecond = 0; // per instance: load reports, notices and directory messages
    double decideNanoseconds = 0; // mean time of a decision, including LoadLedger::fill
};

class PlacementSimulation {
public:
    explicit PlacementSimulation(SimulationSettings settings);

    SimulationResult run();

private:
    static constexpr std::size_t noEngine = ~std::size_t { 0 };
    static constexpr double tickSeconds = 0.02;
    static constexpr std::size_t delaySteps = 10; // report lags are distributed over so many steps
    static constexpr double reportBytes = 28; // encoded LoadEntry
    // Upstream, tokens and age, in a frame that is sent in any case.
    static constexpr double noticeBytes = 24;
    static constexpr double directoryBytes = 96; // a query with its answer, or one update

    struct Chat {
        std::size_t organisation = 0;
        bool isLong = false;
        std::int64_t context = 0;
        std::size_t hint = noEngine; // engine named by the hint that the caller has
        double hintIssued = 0;
        std::size_t handoverEngine = noEngine; // engine that the chat was handed over to since its last turn
    };

    // The load of an engine at a point in time; reaches the instances later as a report.
    struct Measurement {
        double at = 0;
        std::int64_t tokens = 0;
    };

    struct Engine {
        explicit Engine(const EngineModelSettings& settings)
            : model(settings)
        {
        }

        EngineModel model;
        UpstreamId id = 0;
        bool serving = true;
        bool reachable = true;
        bool draining = false;
        double cacheClearedAt = 0; // hints issued earlier are invalid because the cache was cleared
        double changedAt = -1e9; // time of the engine's last event
        std::deque<Measurement> measurements; // not yet delivered to all instances, oldest first
        std::int64_t largest = 0; // tokens of the largest request sent to the engine
        std::vector<std::uint64_t> handover; // chats still to hand over, taken from the back
        double handoverCredit = 0; // handovers that the rate limit allows now
    };

    struct Instance {
        LoadLedger ledger;
        std::vector<UpstreamView> views;
        std::unique_ptr<Placement> placement;
        std::unique_ptr<ResidenceDirectory> directory; // the instance's shard of the directory
        std::unique_ptr<Admission> admission;
    };

    // A request from its arrival until its answer ends or it is rejected.
    struct Job {
        std::uint64_t chat = 0;
        std::size_t instance = 0;
        std::size_t engine = 0;
        std::int64_t prompt = 0;
        std::int64_t output = 0;
        std::int64_t load = 0; // tokens: prompt plus 1.3 times the output, as an estimate made in advance
        double arrived = 0;
        double placedAt = 0;
        bool measured = false;
        bool returning = false;
    };

    // A notice about a request that another instance sent or finished, not yet delivered.
    struct Notice {
        double at = 0; // time of delivery
        std::size_t instance = 0;
        UpstreamId upstream = 0;
        std::int64_t tokens = 0;
        MonotonicTime changedAt;
    };

    // A change of an engine that an instance has not yet learned of.
    struct PendingViewChange {
        double at = 0; // time at which the instance learns of it
        std::size_t instance = 0;
        std::size_t engine = 0;
        UpstreamUse use = UpstreamUse::Serving;
    };

    MonotonicTime clock() const
    {
        return MonotonicTime(std::chrono::hours(1) + std::chrono::microseconds(std::llround(m_now * 1e6)));
    }

    bool measuring() const { return m_now >= m_settings.warmup; }
    bool surging() const { return m_now >= m_settings.surgeStart && m_now < m_settings.surgeEnd; }

    bool accepts(const Engine& engine) const
    {
        return engine.serving && engine.reachable && !engine.draining;
    }

    bool cachesContext(const Engine& engine, std::uint64_t chat) const
    {
        auto found = m_chats.find(chat);
        return found != m_chats.end() && engine.model.cachedTokens(chat) >= found->second.context;
    }

    void makeInstances();
    void scheduleViewChanges(std::size_t engine, UpstreamUse use, double extraDelay = 0);
    void applyEvents();
    void apply(const SimulationEvent&);
    void loseRequests(std::size_t engine);
    void startHandover(std::size_t engine);
    void advanceHandover(std::size_t engine);
    void measure(Engine&, std::size_t index);
    void deliverReports();
    void deliver(const Measurement&, std::size_t engine);
    void arrive();
    std::size_t drawOrganisation();
    std::uint64_t drawChat(std::size_t organisation, bool isLong);
    void countReuse(const Job&, const Chat&, std::size_t engine);
    void dispatch(std::uint64_t ticket);
    void handleAdmission(const std::vector<AdmissionEvent>&);
    void reject(std::uint64_t ticket);
    PlacementRequest placementRequest(const Job&);
    PlacementDecision decide(Instance&, const PlacementRequest&, std::uint64_t excluded);
    void advanceEngines();
    void finish(std::uint64_t ticket);
    void sample();
    void notify(const Job&, std::int64_t tokens);
    void deliverNotices();
    ResidenceDirectory& shardOf(std::uint64_t chat)
    {
        return *m_instances[chat % m_instances.size()].directory;
    }

    SimulationSettings m_settings;
    Random m_random;
    double m_now = 0;
    double m_nextArrival = 0;
    std::vector<Engine> m_engines;
    std::vector<Instance> m_instances;
    std::unordered_map<UpstreamId, std::size_t> m_engineIndex;
    std::vector<std::vector<std::size_t>> m_reportGroups; // instances by engine and delay step
    std::unordered_map<std::uint64_t, Chat> m_chats;
    std::vector<std::vector<std::uint64_t>> m_idle; // chats between two turns, by organisation and class
    std::unordered_map<std::uint64_t, Job> m_jobs;
    std::vector<PendingViewChange> m_pendingViewChanges;
    std::vector<Notice> m_notices;
    std::size_t m_nextEvent = 0;
    std::uint64_t m_nextChat = 0;
    std::uint64_t m_nextTicket = 0;
    double m_controlBytes = 0;
    double m_decideTime = 0;
    std::uint64_t m_decisions = 0;
    SimulationResult m_result;
};

inline PlacementSimulation::PlacementSimulation(SimulationSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
{
    for (std::size_t index = 0; index < m_settings.engines; ++index) {
        m_engines.emplace_back(m_settings.engine);
        Engine& engine = m_engines.back();
        engine.id = upstreamId("engine-" + std::to_string(index));
        engine.serving = index < m_settings.engines - m_settings.joining;
        m_engineIndex[engine.id] = index;
    }
    m_idle.resize(m_settings.organisations.size() * 2);
    makeInstances();
}

inline void PlacementSimulation::makeInstances()
{
    constexpr std::size_t directoryMemory = 4 << 20;
    m_reportGroups.resize(m_engines.size() * delaySteps);
    for (std::size_t index = 0; index < m_settings.instances; ++index) {
        Instance& instance = m_instances.emplace_back();
        instance.placement = makePlacement(m_settings.kind, m_settings.placement);
        instance.directory = std::make_unique<ResidenceDirectory>(directoryMemory);
        AdmissionSettings admission;
        auto slots = static_cast<std::uint32_t>(m_settings.slotShare
            * static_cast<double>(m_settings.engineSlots * (m_engines.size() - m_settings.joining))
            / static_cast<double>(m_settings.instances));
        admission.slots = std::max(2U, slots);
        admission.shortSlots = admission.slots / 3;
        if (m_settings.admission)
            instance.admission = std::make_unique<Admission>(admission, nullptr);
        for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
            UpstreamView view;
            view.id = m_engines[engine].id;
            view.use = m_engines[engine].serving ? UpstreamUse::Serving : UpstreamUse::Unusable;
            instance.views.push_back(view);
            m_reportGroups[engine * delaySteps + m_random.below(delaySteps)].push_back(index);
        }
    }
}

inline void PlacementSimulation::scheduleViewChanges(std::size_t engine, UpstreamUse use, double extraDelay)
{
    for (std::size_t instance = 0; instance < m_instances.size(); ++instance)
        m_pendingViewChanges.push_back(
            { m_now + extraDelay + m_random.unit() * m_settings.maxEventDelay, instance, engine, use });
}

inline void PlacementSimulation::applyEvents()
{
    while (m_nextEvent < m_settings.events.size() && m_settings.events[m_nextEvent].at <= m_now)
        apply(m_settings.events[m_nextEvent++]);
    std::erase_if(m_pendingViewChanges, [this](const PendingViewChange& change) {
        if (change.at > m_now)
            return false;
        m_instances[change.instance].views[change.engine].use = change.use;
        return true;
    });
}

inline void PlacementSimulation::apply(const SimulationEvent& event)
{
    // An engine that becomes reachable gets no new chats for this time, because it may be flapping.
    constexpr double dampingSeconds = 10;
    Engine& engine = m_engines[event.engine];
    engine.changedAt = m_now;
    switch (event.kind) {
    case SimulationEventKind::Join:
        engine.serving = true;
        scheduleViewChanges(event.engine, UpstreamUse::Serving);
        break;
    case SimulationEventKind::Crash:
        engine.serving = false;
        loseRequests(event.engine);
        engine.model.clearCache();
        engine.cacheClearedAt = m_now;
        scheduleViewChanges(event.engine, UpstreamUse::Unusable);
        break;
    case SimulationEventKind::Unreachable:
        engine.reachable = false;
        loseRequests(event.engine);
        scheduleViewChanges(event.engine, UpstreamUse::Unusable);
        break;
    case SimulationEventKind::Reachable:
        engine.reachable = true;
        scheduleViewChanges(event.engine, UpstreamUse::Avoided);
        scheduleViewChanges(event.engine, UpstreamUse::Serving, dampingSeconds);
        break;
    case SimulationEventKind::Drain:
        startHandover(event.engine);
        break;
    case SimulationEventKind::Undrain:
        engine.draining = false;
        engine.model.clearCache();
        engine.cacheClearedAt = m_now;
        scheduleViewChanges(event.engine, UpstreamUse::Serving);
        break;
    }
}

inline void PlacementSimulation::loseRequests(std::size_t engine)
{
    std::vector<std::uint64_t> lost;
    for (const auto& [ticket, job] : m_jobs)
        if (job.engine == engine)
            lost.push_back(ticket);
    std::sort(lost.begin(), lost.end());
    m_engines[engine].model.dropRequests();
    for (std::uint64_t ticket : lost) {
        const Job& job = m_jobs[ticket];
        m_instances[job.instance].ledger.finished(m_engines[engine].id, job.load, clock());
        notify(job, -job.load);
        if (m_instances[job.instance].admission) {
            m_instances[job.instance].admission->finished(ticket, clock());
        }
        const Chat& chat = m_chats[job.chat];
        m_idle[chat.organisation * 2 + (chat.isLong ? 1 : 0)].push_back(job.chat);
        m_result.lost += job.measured ? 1 : 0;
        m_jobs.erase(ticket);
    }
}

// Queues the chats that the engine caches. Handover should begin with the chats that return soonest;
// every idle chat is equally likely to return here, so any order will do.
inline void PlacementSimulation::startHandover(std::size_t engine)
{
    for (const auto& idle : m_idle)
        for (std::uint64_t chat : idle)
            if (cachesContext(m_engines[engine], chat))
                m_engines[engine].handover.push_back(chat);
    m_engines[engine].draining = true;
    scheduleViewChanges(engine, UpstreamUse::Draining);
}

inline void PlacementSimulation::advanceHandover(std::size_t engine)
{
    Engine& from = m_engines[engine];
    from.handoverCredit += m_settings.handoverPerSecond * tickSeconds;
    while (from.handoverCredit >= 1 && !from.handover.empty()) {
        from.handoverCredit -= 1;
        std::uint64_t chat = from.handover.back();
        from.handover.pop_back();
        auto found = m_chats.find(chat);
        if (found == m_chats.end())
            continue;
        PlacementRequest request;
        request.chat = chat;
        request.tokens = 1;
        PlacementDecision decision = decide(m_instances[0], request, from.id);
        if (!decision.upstream)
            continue;
        Engine& to = m_engines[m_engineIndex[*decision.upstream]];
        to.model.store(chat, found->second.context);
        shardOf(chat).put(chat, to.id, clock());
        m_controlBytes += directoryBytes;
        found->second.handoverEngine = m_engineIndex[*decision.upstream];
    }
}

// Measures an engine once per report interval. The phases of the engines are distributed over the interval.
inline void PlacementSimulation::measure(Engine& engine, std::size_t index)
{
    double phase
        = m_settings.reportInterval * static_cast<double>(index) / static_cast<double>(m_engines.size());
    double cycle = std::fmod(m_now + m_settings.reportInterval - phase, m_settings.reportInterval);
    if (engine.measurements.empty() || cycle < tickSeconds)
        engine.measurements.push_back({ m_now, engine.model.load() });
    while (engine.measurements.front().at < m_now - m_settings.maxLag - m_settings.reportInterval)
        engine.measurements.pop_front();
}

inline void PlacementSimulation::deliverReports()
{
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        Engine& engine = m_engines[index];
        measure(engine, index);
        if (!engine.serving || !engine.reachable)
            continue;
        for (const Measurement& measurement : engine.measurements)
            deliver(measurement, index);
    }
}

// Delivers a load report to the instances whose lag has elapsed in this step.
inline void PlacementSimulation::deliver(const Measurement& measurement, std::size_t engine)
{
    double age = m_now - measurement.at;
    double step = (m_settings.maxLag - m_settings.minLag) / delaySteps;
    MonotonicTime measuredAt = clock() - std::chrono::microseconds(std::llround(age * 1e6));
    for (std::size_t group = 0; group < delaySteps; ++group) {
        double due = m_settings.minLag + step * static_cast<double>(group);
        if (std::llround(age / tickSeconds) != std::llround(due / tickSeconds))
            continue;
        for (std::size_t instance : m_reportGroups[engine * delaySteps + group]) {
            m_instances[instance].ledger.report(m_engines[engine].id, measurement.tokens, measuredAt);
            m_controlBytes += measuring() ? reportBytes : 0;
        }
    }
}

inline std::size_t PlacementSimulation::drawOrganisation()
{
    double sum = 0;
    for (std::size_t index = 0; index < m_settings.organisations.size(); ++index)
        sum += m_settings.organisations[index] * (index == 0 && surging() ? m_settings.surgeFactor : 1);
    double drawn = m_random.unit() * sum;
    for (std::size_t index = 0; index < m_settings.organisations.size(); ++index) {
        drawn -= m_settings.organisations[index] * (index == 0 && surging() ? m_settings.surgeFactor : 1);
        if (drawn < 0)
            return index;
    }
    return 0;
}

inline std::uint64_t PlacementSimulation::drawChat(std::size_t organisation, bool isLong)
{
    auto& idle = m_idle[organisation * 2 + (isLong ? 1 : 0)];
    if (idle.empty() || m_random.chance(m_settings.newChatShare)) {
        std::uint64_t chat = combineHashes(m_settings.seed, ++m_nextChat);
        Chat& fresh = m_chats[chat];
        fresh.organisation = organisation;
        fresh.isLong = isLong;
        return chat;
    }
    std::swap(idle[m_random.below(idle.size())], idle.back());
    std::uint64_t chat = idle.back();
    idle.pop_back();
    return chat;
}

inline void PlacementSimulation::arrive()
{
    double weights = 0;
    for (double weight : m_settings.organisations)
        weights += weight;
    double surgeIncrease
        = surging() ? (m_settings.surgeFactor - 1) * m_settings.organisations[0] / weights : 0;
    double rate = m_settings.requestsPerSecond * (1 + surgeIncrease);
    for (; m_nextArrival <= m_now; m_nextArrival += m_random.exponential(1 / rate)) {
        std::size_t organisation = drawOrganisation();
        bool isLong = m_random.chance(m_settings.longShare);
        Job job;
        job.chat = drawChat(organisation, isLong);
        Chat& chat = m_chats[job.chat];
        job.returning = chat.context > 0;
        job.instance = m_random.below(m_instances.size());
        std::int64_t added = isLong ? 500 + static_cast<std::int64_t>(m_random.below(3000))
                                    : 50 + static_cast<std::int64_t>(m_random.below(300));
        job.prompt = chat.context + added;
        std::int64_t mean = isLong ? m_settings.longOutput : 150;
        job.output
            = mean / 4 + static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(mean * 3 / 2)));
        job.load = job.prompt + job.output * 13 / 10;
        job.arrived = m_now;
        job.engine = noEngine;
        job.measured = measuring();
        m_result.requests += job.measured ? 1 : 0;
        std::uint64_t ticket = ++m_nextTicket;
        Instance& instance = m_instances[job.instance];
        AdmissionRequest entry;
        entry.ticket = ticket;
        entry.organisation = "organisation-" + std::to_string(organisation);
        entry.requestClass = isLong ? RequestClass::Long : RequestClass::Short;
        entry.tokens = job.load;
        m_jobs[ticket] = job;
        if (instance.admission)
            handleAdmission(instance.admission->submit(entry, clock()));
        else
            dispatch(ticket);
    }
}

inline void PlacementSimulation::handleAdmission(const std::vector<AdmissionEvent>& events)
{
    for (const AdmissionEvent& event : events) {
        if (event.outcome == AdmissionOutcome::Run)
            dispatch(event.ticket);
        else if (event.outcome != AdmissionOutcome::Queued)
            reject(event.ticket);
    }
}

inline void PlacementSimulation::reject(std::uint64_t ticket)
{
    const Job& job = m_jobs[ticket];
    const Chat& chat = m_chats[job.chat];
    if (job.measured) {
        ++m_result.rejected;
        m_result.shortRejected += chat.isLong ? 0 : 1;
        m_result.nonSurgingShortRejected += !chat.isLong && chat.organisation != 0 ? 1 : 0;
    }
    if (chat.context > 0)
        m_idle[chat.organisation * 2 + (chat.isLong ? 1 : 0)].push_back(job.chat);
    else
        m_chats.erase(job.chat);
    m_jobs.erase(ticket);
}

inline PlacementRequest PlacementSimulation::placementRequest(const Job& job)
{
    const Chat& chat = m_chats[job.chat];
    PlacementRequest request;
    request.chat = job.chat;
    request.tokens = job.load;
    request.returning = job.returning;
    request.nonce = m_random.next();
    const Instance& instance = m_instances[job.instance];
    request.outputTokens = job.load - job.prompt;
    request.typicalOutputTokens = instance.ledger.typicalOutputTokens();
    if (m_settings.hints && chat.hint != noEngine && chat.hintIssued >= m_engines[chat.hint].cacheClearedAt)
        request.hint = m_engines[chat.hint].id;
    bool hintServes = request.hint && instance.views[chat.hint].use != UpstreamUse::Draining
        && instance.views[chat.hint].use != UpstreamUse::Unusable;
    if (job.returning && !hintServes && m_settings.kind == PlacementKind::BoundedRendezvous) {
        request.directory = shardOf(job.chat).find(job.chat, clock());
        m_controlBytes += measuring() ? directoryBytes : 0;
    }
    return request;
}

inline PlacementDecision PlacementSimulation::decide(
    Instance& instance, const PlacementRequest& request, std::uint64_t excluded)
{
    auto begin = std::chrono::steady_clock::now();
    instance.ledger.fill(instance.views, clock());
    PlacementDecision decision;
    if (excluded != 0) {
        std::vector<UpstreamView> views = instance.views;
        for (UpstreamView& view : views)
            if (view.id == excluded)
                view.use = UpstreamUse::Unusable;
        decision = instance.placement->decide(request, views);
    } else {
        decision = instance.placement->decide(request, instance.views);
    }
    m_decideTime
        += std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begin).count();
    ++m_decisions;
    return decision;
}

inline void PlacementSimulation::countReuse(const Job& job, const Chat& chat, std::size_t engine)
{
    if (!job.measured || !job.returning)
        return;
    // Only the engine of the last turn and the one that the chat was handed over to cache the whole context.
    auto holds = [&](std::size_t each) {
        return each != noEngine && accepts(m_engines[each]) && cachesContext(m_engines[each], job.chat);
    };
    bool cached = holds(chat.hint) || holds(chat.handoverEngine);
    bool found = cachesContext(m_engines[engine], job.chat);
    m_result.returning += cached ? 1 : 0;
    m_result.reused += cached && found ? 1 : 0;
    if (chat.handoverEngine != noEngine) {
        ++m_result.handedOver;
        m_result.handoverFound += found ? 1 : 0;
    } else if (chat.hint != noEngine && m_engines[chat.hint].draining) {
        ++m_result.handoverMissed;
    }
}

inline void PlacementSimulation::dispatch(std::uint64_t ticket)
{
    Job& job = m_jobs[ticket];
    Instance& instance = m_instances[job.instance];
    PlacementRequest request = placementRequest(job);
    PlacementDecision decision = decide(instance, request, 0);
    // An unavailable or draining engine refuses the request as not run. The instance records its state, so
    // that the next decision chooses another engine.
    while (decision.upstream && !accepts(m_engines[m_engineIndex[*decision.upstream]])) {
        std::size_t refused = m_engineIndex[*decision.upstream];
        m_result.lastSentToLeaving
            = std::max(m_result.lastSentToLeaving, m_now - m_engines[refused].changedAt);
        ++m_result.sentToLeaving;
        instance.views[refused].use
            = m_engines[refused].draining ? UpstreamUse::Draining : UpstreamUse::Unusable;
        decision = decide(instance, request, 0);
    }
    if (!decision.upstream) {
        if (instance.admission)
            instance.admission->finished(ticket, clock());
        reject(ticket);
        return;
    }
    job.engine = m_engineIndex[*decision.upstream];
    job.placedAt = m_now;
    Engine& engine = m_engines[job.engine];
    Chat& chat = m_chats[job.chat];
    countReuse(job, chat, job.engine);
    chat.handoverEngine = noEngine;
    instance.ledger.sent(engine.id, job.load, clock(), job.load - job.prompt);
    notify(job, job.load);
    engine.model.submit({ ticket, job.chat, job.prompt, job.output, job.load });
    engine.largest = std::max(engine.largest, job.load);
    if (m_settings.kind == PlacementKind::BoundedRendezvous) {
        if (decision.notFirstChoice)
            shardOf(job.chat).put(job.chat, engine.id, clock());
        else
            shardOf(job.chat).erase(job.chat);
        m_controlBytes
            += measuring() && decision.notFirstChoice && request.directory != engine.id ? directoryBytes : 0;
    }
}

inline void PlacementSimulation::advanceEngines()
{
    std::vector<std::uint64_t> started;
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        Engine& engine = m_engines[index];
        started.clear();
        std::vector<std::uint64_t> finished = engine.model.advance(tickSeconds, started);
        for (std::uint64_t ticket : started) {
            const Job& job = m_jobs[ticket];
            const Chat& chat = m_chats[job.chat];
            if (!job.measured)
                continue;
            (chat.isLong ? m_result.longWait : m_result.shortWait).values.push_back(m_now - job.arrived);
            if (!chat.isLong && chat.organisation != 0)
                m_result.nonSurgingShortWait.values.push_back(m_now - job.arrived);
        }
        for (std::uint64_t ticket : finished)
            finish(ticket);
        if (engine.draining)
            advanceHandover(index);
    }
}

inline void PlacementSimulation::finish(std::uint64_t ticket)
{
    Job job = m_jobs[ticket];
    m_jobs.erase(ticket);
    Engine& engine = m_engines[job.engine];
    Instance& instance = m_instances[job.instance];
    Chat& chat = m_chats[job.chat];
    chat.context = job.prompt + job.output;
    chat.hint = job.engine;
    chat.hintIssued = m_now;
    if (engine.draining)
        engine.handover.push_back(job.chat);
    if (job.measured && !chat.isLong)
        m_result.shortTime.values.push_back(m_now - job.arrived);
    instance.ledger.finished(engine.id, job.load, clock());
    notify(job, -job.load);
    if (m_settings.answerFeedback)
        instance.ledger.report(engine.id, engine.model.load(), clock());
    constexpr std::int64_t maxContext = 8000;
    auto& idle = m_idle[chat.organisation * 2 + (chat.isLong ? 1 : 0)];
    double weights = 0;
    for (double weight : m_settings.organisations)
        weights += weight;
    double rate = m_settings.requestsPerSecond * m_settings.organisations[chat.organisation] / weights
        * (chat.isLong ? m_settings.longShare : 1 - m_settings.longShare);
    if (chat.organisation == 0 && surging())
        rate *= m_settings.surgeFactor;
    if (chat.context > maxContext) {
        m_chats.erase(job.chat);
    } else {
        idle.push_back(job.chat);
        auto maxIdle = static_cast<std::size_t>(rate * m_settings.meanReturnSeconds) + 1;
        if (idle.size() > maxIdle) {
            std::swap(idle[m_random.below(idle.size())], idle.back());
            m_chats.erase(idle.back());
            idle.pop_back();
        }
    }
    if (instance.admission) {
        instance.admission->finished(ticket, clock());
        handleAdmission(instance.admission->poll(clock()));
    }
}

inline void PlacementSimulation::notify(const Job& job, std::int64_t tokens)
{
    if (!m_settings.notices || job.load < m_settings.minNoticeTokens)
        return;
    for (std::size_t instance = 0; instance < m_instances.size(); ++instance) {
        if (instance == job.instance)
            continue;
        double delay = m_settings.maxNoticeDelay * (0.2 + 0.8 * m_random.unit());
        m_notices.push_back({ m_now + delay, instance, m_engines[job.engine].id, tokens, clock() });
        m_controlBytes += measuring() ? noticeBytes : 0;
    }
}

inline void PlacementSimulation::deliverNotices()
{
    std::erase_if(m_notices, [this](const Notice& notice) {
        if (notice.at > m_now)
            return false;
        m_instances[notice.instance].ledger.peerChanged(notice.upstream, notice.tokens, notice.changedAt);
        return true;
    });
}

inline void PlacementSimulation::sample()
{
    double sum = 0;
    double count = 0;
    for (const Engine& engine : m_engines) {
        if (!accepts(engine))
            continue;
        sum += static_cast<double>(engine.model.load());
        ++count;
    }
    double mean = sum / std::max(1.0, count);
    if (mean <= 0)
        return;
    constexpr double settleSeconds = 10;
    bool settled = std::all_of(m_engines.begin(), m_engines.end(),
        [this](const Engine& engine) { return m_now - engine.changedAt > settleSeconds; });
    double busiest = 0;
    for (const Engine& engine : m_engines) {
        if (!accepts(engine))
            continue;
        auto load = static_cast<double>(engine.model.load());
        busiest = std::max(busiest, load);
        double slack = static_cast<double>(m_settings.placement.slackTokens);
        double allowed = std::max(m_settings.placement.loadBound * mean, mean + slack);
        ++m_result.samples;
        m_result.overBound += load > allowed ? 1 : 0;
        m_result.overBoundSettled += load > allowed && settled ? 1 : 0;
        if (m_settings.trace && load > allowed)
            std::printf("%.1f s engine %zu load %.0f mean %.0f ratio %.3f\n", m_now,
                static_cast<std::size_t>(&engine - m_engines.data()), load, mean, load / mean);
        m_result.maxLoadRatio = std::max(m_result.maxLoadRatio, load / allowed);
    }
    m_result.skew.values.push_back(busiest / mean);
    m_result.meanLoad += mean;
}

inline SimulationResult PlacementSimulation::run()
{
    int step = 0;
    constexpr int stepsPerSample = 5;
    while (m_now < m_settings.warmup + m_settings.duration) {
        applyEvents();
        deliverReports();
        deliverNotices();
        arrive();
        advanceEngines();
        if (measuring() && step % stepsPerSample == 0)
            sample();
        if (step % stepsPerSample == 0)
            for (Instance& instance : m_instances)
                if (instance.admission)
                    handleAdmission(instance.admission->poll(clock()));
        ++step;
        m_now = tickSeconds * step;
    }
    m_result.meanLoad /= std::max<double>(1, static_cast<double>(m_result.skew.values.size()));
    m_result.controlBytesPerSecond
        = m_controlBytes / m_settings.duration / static_cast<double>(m_settings.instances);
    m_result.decideNanoseconds = m_decideTime / static_cast<double>(std::max<std::uint64_t>(1, m_decisions));
    return m_result;
}

} // namespace briarwharf
