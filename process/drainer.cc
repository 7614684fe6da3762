#include "process/drainer.h"

#include "base/base.h"
#include "request/request.h"
#include <algorithm>

namespace briarwharf {

namespace {

    constexpr std::string_view part = "drain";

    std::string qualifiedChatName(const DrainChat& chat) { return chat.organisation + "/" + chat.chat; }

    bool takesOrders(const Upstream& upstream) { return upstream.reportsState; }

} // namespace

struct Drainer::Context {
    const DrainInput& input;
    const Upstream& upstream;
    const DrainPlan* plan; // nullptr: none
    const DrainFacts& facts;
    Progress& progress;
    std::vector<DrainAction>& actions;
    DrainPhase phase = DrainPhase::None;
};

std::string_view drainPhaseName(DrainPhase phase)
{
    switch (phase) {
    case DrainPhase::None:
        return "none";
    case DrainPhase::Handover:
        return "handover";
    case DrainPhase::EndingNewWork:
        return "ending_new_work";
    case DrainPhase::Ordering:
        return "ordering";
    case DrainPhase::Waiting:
        return "waiting";
    case DrainPhase::Empty:
        return "empty";
    case DrainPhase::Returning:
        return "returning";
    }
    return "none";
}

std::string handoverDestination(
    const Config& config, const Upstream& source, const DrainChat& chat, WallTime now)
{
    std::string destination;
    double best = 0;
    ChatKey key = chatKey(chat.organisation, chat.chat);
    for (const auto& [name, upstream] : config.upstreams) {
        bool eligible
            = name != source.name && upstream.pool == source.pool && upstream.state == UpstreamState::Serving;
        auto plan = config.drainPlans.find(name);
        if (!eligible || (plan != config.drainPlans.end() && windowAt(plan->second, now)))
            continue;
        double score = rendezvousScore(key, upstreamId(name), upstream.weight);
        if (destination.empty() || score > best) {
            destination = name;
            best = score;
        }
    }
    return destination;
}

Drainer::Drainer(DrainerOptions options, const DrainLease& lease)
    : m_options(options)
    , m_lease(lease)
{
}

std::vector<DrainAction> Drainer::step(const DrainInput& input)
{
    m_phases.clear();
    if (!m_lease.holdsLease())
        return {};
    if (m_fence != m_lease.fence())
        beginLeaseTerm(input.now);
    expireActions(input.now);
    refillMoveTokens(input.now);
    std::erase_if(
        m_progress, [&](const auto& entry) { return !input.config->upstreams.contains(entry.first); });
    static const DrainFacts unknown;
    std::vector<DrainAction> actions;
    for (const auto& [name, upstream] : input.config->upstreams) {
        auto plan = input.config->drainPlans.find(name);
        bool hasPlan = plan != input.config->drainPlans.end();
        bool everDrained = upstream.state == UpstreamState::Draining || upstream.drainRevision != 0;
        if (!hasPlan && !everDrained)
            continue;
        auto facts = input.facts.find(name);
        Context context { input, upstream, hasPlan ? &plan->second : nullptr,
            facts == input.facts.end() ? unknown : facts->second, m_progress[name], actions };
        stepUpstream(context);
        if (context.phase != DrainPhase::None)
            m_phases[name] = context.phase;
    }
    return actions;
}

// Drops the actions of an earlier lease term: their answers are ignored, and their effects are read from the
// configuration and the engines' reports.
void Drainer::beginLeaseTerm(MonotonicTime now)
{
    m_fence = m_lease.fence();
    m_leaseTermStart = now;
    m_progress.clear();
    m_pending.clear();
    m_moveTokens = 0;
    m_moveTokensRefilledAt = now;
    BW_LOG(INFO, part) << "acquired the drain lease and carries out the drains, fencing number " << *m_fence;
}

void Drainer::expireActions(MonotonicTime now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, pending] : m_pending) {
        if (now - pending.sentAt >= m_options.actionTimeout)
            expired.push_back(id);
    }
    for (std::uint64_t id : expired)
        finished(id, ActionResult::Unknown, now);
}

void Drainer::finished(std::uint64_t id, ActionResult result, MonotonicTime now)
{
    auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    Pending pending = std::move(found->second);
    m_pending.erase(found);
    Progress& progress = m_progress[pending.upstream];
    if (const auto* move = std::get_if<MoveChat>(&pending.task)) {
        ++progress.moveAttempts[qualifiedChatName(move->chat)];
        if (result == ActionResult::Done)
            progress.moved.insert(qualifiedChatName(move->chat));
        return;
    }
    progress.lastActionEnd = now;
    progress.failures = result == ActionResult::Done ? 0 : progress.failures + 1;
    constexpr int maxDoublings = 10;
    Milliseconds delay = m_options.retryDelay * (1 << std::min(progress.failures, maxDoublings));
    progress.retryAt = now + std::min(delay, m_options.maxRetryDelay);
    if (std::holds_alternative<SendOrder>(pending.task) && result == ActionResult::Done)
        progress.fenceAccepted = true;
}

// Called at each step: if the upstream's state in the configuration has changed, drops the commands still
// waiting for an answer and the retry delay, because a lost answer must not delay the next step until its
// timeout.
void Drainer::handleStateChange(Context& context)
{
    Progress& progress = context.progress;
    const Upstream& upstream = context.upstream;
    if (progress.state == upstream.state && progress.empty == upstream.empty)
        return;
    progress.state = upstream.state;
    progress.empty = upstream.empty;
    progress.retryAt.reset();
    progress.failures = 0;
    std::erase_if(m_pending, [&](const auto& entry) {
        return entry.second.upstream == upstream.name
            && std::holds_alternative<AppendCommand>(entry.second.task);
    });
}

void Drainer::stepUpstream(Context& context)
{
    handleStateChange(context);
    if (context.upstream.state == UpstreamState::Draining)
        return carryOutDrain(context);
    context.progress.drainSeenAt.reset();
    auto window = context.plan ? windowAt(*context.plan, context.input.wallNow) : std::nullopt;
    bool due = window && window->start > context.upstream.drainWindow
        && window->end - context.input.wallNow >= m_options.minWindowTimeLeft;
    if (due)
        return startWindow(context, *window);
    // Undrains the engine once the configuration shows the upstream as serving again. An engine that has
    // never been drained through the configuration is not undrained: it began its drain by itself.
    if (context.upstream.drainRevision != 0)
        reconcileEngine(context, OrderKind::Undrain);
}

// Hands over resident chats, then appends the command that ends new work. The command carries its window, so
// that repeating it after a lost answer, or receiving it late from an earlier holder, has no effect.
void Drainer::startWindow(Context& context, const DrainWindow& window)
{
    if (context.progress.window != window.start) {
        context.progress = {};
        context.progress.window = window.start;
    }
    context.phase = DrainPhase::Handover;
    if (!handoverIsOver(context, &window))
        return;
    context.phase = DrainPhase::EndingNewWork;
    if (mayAct(context))
        emit(context,
            AppendCommand { { DrainCommand { context.upstream.name, window.start }, std::nullopt } });
}

void Drainer::carryOutDrain(Context& context)
{
    const Upstream& upstream = context.upstream;
    observeDrain(context);
    std::optional<DrainWindow> window;
    if (upstream.drainedByPlan && context.plan)
        window = DrainWindow { upstream.name, upstream.drainWindow,
            upstream.drainWindow + context.plan->length, context.plan->handover };
    if (window && context.input.wallNow >= window->end) {
        context.phase = DrainPhase::Returning;
        if (mayAct(context))
            emit(context,
                AppendCommand { { UndrainCommand { upstream.name, upstream.drainWindow }, std::nullopt } });
        return;
    }
    context.phase = upstream.empty ? DrainPhase::Empty : DrainPhase::Ordering;
    reconcileEngine(context, OrderKind::Drain);
    bool ordered = !takesOrders(upstream) || context.progress.engineDrainSeenAt;
    if (upstream.empty || !ordered)
        return;
    context.phase = DrainPhase::Waiting;
    bool over = handoverIsOver(context, window ? &*window : nullptr);
    if (over && isConfirmedEmpty(context) && mayAct(context))
        emit(context,
            AppendCommand { { MarkEmptyCommand { upstream.name, upstream.drainRevision }, std::nullopt } });
}

// Records when the configuration and the engine's report first showed this drain; the waits start from these
// times.
void Drainer::observeDrain(Context& context)
{
    Progress& progress = context.progress;
    if (progress.drainRevision != context.upstream.drainRevision || !progress.drainSeenAt) {
        progress.drainRevision = context.upstream.drainRevision;
        progress.drainSeenAt = context.input.now;
        progress.engineDrainSeenAt.reset();
    }
    const auto& report = context.facts.report;
    if (!report || context.input.now - report->polledAt > m_options.maxReportAge)
        return;
    if (!report->draining)
        progress.engineDrainSeenAt.reset();
    else if (!progress.engineDrainSeenAt)
        progress.engineDrainSeenAt = report->polledAt;
}

// Sends the order while the engine's report differs from the configuration. In a drain, an engine that checks
// fencing numbers gets one order even if its report agrees: it then refuses late orders of earlier holders.
void Drainer::reconcileEngine(Context& context, OrderKind desired)
{
    const auto& report = context.facts.report;
    const Progress& progress = context.progress;
    MonotonicTime now = context.input.now;
    if (!takesOrders(context.upstream) || !report || now - report->polledAt > m_options.maxReportAge)
        return;
    bool differs = report->draining != (desired == OrderKind::Drain);
    bool assertsFence
        = desired == OrderKind::Drain && context.upstream.checksFence && !progress.fenceAccepted;
    bool stale = progress.lastActionEnd && report->polledAt < *progress.lastActionEnd;
    if ((!differs && !assertsFence) || stale || !mayAct(context))
        return;
    // An order of the last holder may still be in transit, and this engine would not refuse it.
    if (!context.upstream.checksFence && now - m_leaseTermStart < m_options.maxOrderDuration)
        return;
    emit(context, SendOrder { Order { desired, {}, *m_fence } });
}

// Whether no request can be at the upstream any more: every instance has had the drain in force for
// settleTime, all instances count no request, and the state in the engine's report is from after the last
// moment at which a request could arrive.
bool Drainer::isConfirmedEmpty(const Context& context) const
{
    const Progress& progress = context.progress;
    MonotonicTime settled = *progress.drainSeenAt + m_options.settleTime;
    bool routersIdle = context.facts.routedRequests == std::optional<std::uint64_t>(0);
    if (!context.input.current || context.input.now < settled || !routersIdle)
        return false;
    if (!takesOrders(context.upstream))
        return true;
    const auto& report = context.facts.report;
    if (!report || !report->draining || report->requestsInProgress != 0 || !progress.engineDrainSeenAt)
        return false;
    bool fenced = !context.upstream.checksFence || progress.fenceAccepted;
    return fenced && report->polledAt >= settled + m_options.reportLag
        && report->polledAt >= *progress.engineDrainSeenAt + m_options.reportLag;
}

// Starts moves of resident chats. True when all have been handed over or the time for handover has passed.
bool Drainer::handoverIsOver(Context& context, const DrainWindow* window)
{
    bool wanted = !window || window->handover;
    if (!wanted || !takesOrders(context.upstream))
        return true;
    bool timeIsUp = false;
    if (window) {
        auto share = std::chrono::duration<double>(window->end - window->start) * m_options.handoverShare;
        timeIsUp = std::chrono::duration<double>(context.input.wallNow - window->start) >= share;
    } else {
        timeIsUp = context.input.now - *context.progress.drainSeenAt >= m_options.maxImmediateHandover;
    }
    return timeIsUp || moveResidents(context);
}

// Starts as many moves as the limits allow. True when no chat is left to move and no move is in progress, or
// when there is no destination.
bool Drainer::moveResidents(Context& context)
{
    if (!context.facts.residents)
        return false;
    std::size_t underWay = countMoves(nullptr);
    auto allowed = static_cast<std::size_t>(m_moveTokens);
    std::size_t room = m_options.maxMovesInProgress - std::min(underWay, m_options.maxMovesInProgress);
    std::vector<DrainChat> chats = nextChats(context, std::max<std::size_t>(std::min(room, allowed), 1));
    bool idle = countMoves(&context.upstream.name) == 0;
    for (const DrainChat& chat : chats) {
        std::string destination
            = handoverDestination(*context.input.config, context.upstream, chat, context.input.wallNow);
        if (destination.empty())
            return true;
        if (room == 0 || m_moveTokens < 1)
            break;
        --room;
        m_moveTokens -= 1;
        emit(context, MoveChat { chat, destination, *m_fence });
    }
    return chats.empty() && idle;
}

// The chats to be moved next, ordered by how soon they are expected to return.
std::vector<DrainChat> Drainer::nextChats(const Context& context, std::size_t limit) const
{
    std::set<std::string> underWay;
    for (const auto& [id, pending] : m_pending) {
        if (const auto* move = std::get_if<MoveChat>(&pending.task))
            underWay.insert(qualifiedChatName(move->chat));
    }
    std::vector<DrainChat> chats;
    for (const DrainChat& chat : *context.facts.residents) {
        std::string name = qualifiedChatName(chat);
        auto attempts = context.progress.moveAttempts.find(name);
        bool exhausted = attempts != context.progress.moveAttempts.end()
            && attempts->second >= m_options.maxMovesPerChat;
        if (!exhausted && !context.progress.moved.contains(name) && !underWay.contains(name))
            chats.push_back(chat);
    }
    auto end = chats.begin() + static_cast<std::ptrdiff_t>(std::min(limit, chats.size()));
    std::partial_sort(chats.begin(), end, chats.end(),
        [](const DrainChat& first, const DrainChat& second) { return first.idle < second.idle; });
    chats.erase(end, chats.end());
    return chats;
}

std::size_t Drainer::countMoves(const std::string* upstream) const
{
    return static_cast<std::size_t>(std::count_if(m_pending.begin(), m_pending.end(), [&](const auto& entry) {
        return std::holds_alternative<MoveChat>(entry.second.task)
            && (!upstream || entry.second.upstream == *upstream);
    }));
}

bool Drainer::hasPending(const std::string& upstream) const
{
    return std::any_of(m_pending.begin(), m_pending.end(), [&](const auto& entry) {
        return entry.second.upstream == upstream && !std::holds_alternative<MoveChat>(entry.second.task);
    });
}

bool Drainer::mayAct(const Context& context) const
{
    const auto& retryAt = context.progress.retryAt;
    return !hasPending(context.upstream.name) && (!retryAt || context.input.now >= *retryAt);
}

void Drainer::emit(Context& context, Task task)
{
    std::uint64_t id = m_nextId++;
    m_pending[id] = { context.upstream.name, task, context.input.now };
    context.actions.push_back({ id, context.upstream.name, std::move(task) });
}

void Drainer::refillMoveTokens(MonotonicTime now)
{
    double seconds = std::chrono::duration<double>(now - m_moveTokensRefilledAt).count();
    m_moveTokensRefilledAt = now;
    // The bucket holds as many tokens as moves may run at once, but at least one, because a move needs a
    // whole token.
    double maxMoveTokens = std::max(1.0, static_cast<double>(m_options.maxMovesInProgress));
    m_moveTokens = std::min(maxMoveTokens, m_moveTokens + seconds * m_options.maxMovesPerSecond);
}

} // namespace briarwharf
