#include "process/drainservice.h"

#include "base/base.h"
#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds queryInterval { 1000 };
    constexpr Milliseconds maxAnswerAge { 3000 };
    constexpr Milliseconds commandTimeout { 4000 };
    constexpr Milliseconds orderTimeout { 4000 };
    constexpr Milliseconds transferTimeout { 4000 };

    // The lease is acquired this long before a planned window starts.
    constexpr std::chrono::seconds leaseLeadTime { 30 };

    constexpr std::size_t maxAnswerBytes = 16 * 1024 * 1024; // of an upstream, to an order

    // Limits on the resident chats that one instance reports, the most recently active ones first.
    constexpr std::size_t maxResidentsInAnswer = 2000;
    constexpr std::chrono::hours maxResidentAge { 6 };

    ActionResult resultOf(const ExchangeResult& result, int status)
    {
        if (result.end == ExchangeEnd::Complete)
            return status == 200 ? ActionResult::Done : ActionResult::Refused;
        return result.requestWritten ? ActionResult::Unknown : ActionResult::Refused;
    }

    // A complete answer, collected for one callback at its end.
    struct BufferedResponse {
        int status = 0;
        std::string body;
    };

    void post(UpstreamRuntime& upstream, const std::string& target, std::string body, Milliseconds timeout,
        std::function<void(const ExchangeResult&, const BufferedResponse&)> onEnd)
    {
        UpstreamRequest request;
        request.target = target;
        request.headers = { { "Content-Type", "application/json" } };
        request.body = std::move(body);
        request.deadline = timeout;
        request.silenceTimeout = timeout;
        request.maxAnswerBytes = maxAnswerBytes;
        request.freshConnection = true;
        auto response = std::make_shared<BufferedResponse>();
        upstream.client->start(request,
            { [response](const ResponseHead& head) { response->status = head.status; },
                [response](std::string_view data) { response->body.append(data); },
                [response, onEnd = std::move(onEnd)](
                    const ExchangeResult& result) { onEnd(result, *response); } });
    }

    LeaseOptions leaseOptions(const std::string& keyPrefix)
    {
        LeaseOptions options;
        options.name = keyPrefix + "-drain";
        options.holder = randomToken();
        return options;
    }

    // The name under which engines store the chat's KV cache.
    std::string contextName(const DrainChat& chat) { return chat.organisation + "/" + chat.chat; }

} // namespace

DrainService::DrainService(Store& store, const std::string& keyPrefix, const MonotonicClock& clock,
    ConfigService& config, PeerService& peers, Router& router)
    : m_clock(clock)
    , m_config(config)
    , m_peers(peers)
    , m_router(router)
    , m_lease(leaseOptions(keyPrefix), store, clock)
    , m_drainer(DrainerOptions {}, *this)
{
}

void DrainService::tick()
{
    auto index = m_config.index();
    bool isCandidate
        = index && m_peers.membership().owns(hash64("drain-lease")) && !m_peers.membership().leaving();
    m_lease.setWanted(isCandidate && hasWork(index->config()));
    m_lease.tick();
}

bool DrainService::engineDiffersFromConfig(const Upstream& upstream) const
{
    if (upstream.state != UpstreamState::Serving || !upstream.reportsState)
        return false;
    auto load = m_peers.loads().load(nameHash(upstream.name), m_clock());
    return load && load->reachable && !load->serving;
}

bool DrainService::hasWork(const Config& config) const
{
    WallTime now = std::chrono::system_clock::now();
    auto next = nextDrainStart(config, now);
    if (!dueWindows(config, now).empty() || (next && *next - now < leaseLeadTime))
        return true;
    return std::any_of(config.upstreams.begin(), config.upstreams.end(), [&](const auto& entry) {
        return entry.second.state == UpstreamState::Draining || engineDiffersFromConfig(entry.second);
    });
}

std::vector<std::string> DrainService::involvedUpstreams(const Config& config) const
{
    std::vector<std::string> names;
    for (const auto& [name, upstream] : config.upstreams) {
        if (upstream.state == UpstreamState::Draining || engineDiffersFromConfig(upstream))
            names.push_back(name);
    }
    for (const auto& window : dueWindows(config, std::chrono::system_clock::now())) {
        if (std::find(names.begin(), names.end(), window.upstream) == names.end())
            names.push_back(window.upstream);
    }
    return names;
}

void DrainService::step()
{
    auto index = m_config.index();
    if (!index || !m_lease.held())
        return;
    auto involved = involvedUpstreams(index->config());
    queryInstances(involved);
    DrainInput input;
    input.now = m_clock();
    input.wallNow = std::chrono::system_clock::now();
    input.config = &index->config();
    input.current = m_peers.relay().current(input.now);
    for (const auto& name : involved)
        input.facts[name] = factsOf(index->config().upstreams.at(name));
    for (const auto& action : m_drainer.step(input))
        perform(action);
}

void DrainService::queryInstances(const std::vector<std::string>& upstreams)
{
    MonotonicTime now = m_clock();
    if (now < m_nextQuery)
        return;
    m_nextQuery = now + queryInterval;
    std::erase_if(m_answers, [&](const auto& entry) {
        return std::find(upstreams.begin(), upstreams.end(), entry.first) == upstreams.end();
    });
    for (const auto& name : upstreams) {
        if (UpstreamRuntime* upstream = m_router.upstreams().find(name);
            upstream && upstream->settings.reportsState)
            m_router.upstreams().poll(*upstream);
        m_answers[name][m_peers.membership().self().id] = localAnswer(name, true);
        for (const auto& peer : m_peers.membership().expectedPeers()) {
            DrainQueryT query;
            query.nonce = ++m_lastNonce;
            query.upstream = name;
            query.withResidents = true;
            m_peers.send(peer, std::move(query));
        }
    }
}

DrainService::InstanceAnswer DrainService::localAnswer(const std::string& name, bool withResidents) const
{
    InstanceAnswer answer;
    answer.receivedAt = m_clock();
    answer.revision = m_config.revision();
    UpstreamRuntime* upstream = m_router.upstreams().find(name);
    if (!upstream)
        return answer;
    answer.requests = upstream->requestsInProgress;
    auto pool = m_router.pool(upstream->settings.pool);
    if (!pool || !withResidents)
        return answer;
    for (const auto& chat : pool->residents().handoverOrder(
             upstream->id, answer.receivedAt - maxResidentAge, maxResidentsInAnswer))
        answer.residents.push_back(
            { chat.organisation, chat.chat, toMilliseconds(answer.receivedAt - chat.lastTurn) });
    return answer;
}

void DrainService::answerQuery(const std::string& peer, const DrainQueryT& query)
{
    InstanceAnswer local = localAnswer(query.upstream, query.withResidents);
    DrainAnswerT message;
    message.nonce = query.nonce;
    message.upstream = query.upstream;
    message.revision = local.revision;
    message.requests = static_cast<std::uint32_t>(local.requests);
    for (const auto& chat : local.residents) {
        auto entry = std::make_unique<ResidentEntryT>();
        entry->organisation = chat.organisation;
        entry->chat = chat.chat;
        entry->idleMs = static_cast<std::uint32_t>(chat.idle.count());
        message.residents.push_back(std::move(entry));
    }
    m_peers.send(peer, std::move(message));
}

void DrainService::receive(const std::string& peer, const PeerFrameT& frame)
{
    if (const auto* query = frame.body.AsDrainQuery())
        return answerQuery(peer, *query);
    const auto* message = frame.body.AsDrainAnswer();
    if (!message)
        return;
    InstanceAnswer answer;
    answer.receivedAt = m_clock();
    answer.revision = message->revision;
    answer.requests = message->requests;
    for (const auto& chat : message->residents)
        answer.residents.push_back({ chat->organisation, chat->chat, Milliseconds(chat->idleMs) });
    m_answers[message->upstream][peer] = std::move(answer);
}

// The counts of requests and resident chats are set only if every instance of the last known membership has
// answered within maxAnswerAge and had the drain in force.
DrainFacts DrainService::factsOf(const Upstream& upstream) const
{
    DrainFacts facts;
    if (UpstreamRuntime* runtime = m_router.upstreams().find(upstream.name); runtime && runtime->polledAt)
        facts.report = DrainReport { *runtime->polledAt, !runtime->reportedServing,
            runtime->reportedRequestsInProgress };
    auto answers = m_answers.find(upstream.name);
    if (answers == m_answers.end())
        return facts;
    std::vector<std::string> expected = m_peers.membership().expectedPeers();
    expected.push_back(m_peers.membership().self().id);
    std::uint64_t requests = 0;
    std::vector<DrainChat> residents;
    for (const auto& instance : expected) {
        auto answer = answers->second.find(instance);
        if (answer == answers->second.end() || m_clock() - answer->second.receivedAt > maxAnswerAge)
            return facts;
        if (answer->second.revision < upstream.drainRevision)
            return facts;
        requests += answer->second.requests;
        residents.insert(residents.end(), answer->second.residents.begin(), answer->second.residents.end());
    }
    facts.routedRequests = requests;
    facts.residents = std::move(residents);
    return facts;
}

void DrainService::perform(const DrainAction& action)
{
    std::visit([&](const auto& task) { perform(action.id, action.upstream, task); }, action.task);
}

void DrainService::finish(std::uint64_t id, ActionResult result)
{
    m_drainer.finished(id, result, m_clock());
}

void DrainService::perform(std::uint64_t id, const std::string&, const AppendCommand& task)
{
    BW_LOG(INFO, "drain") << printCommand(task.command);
    ChangeOrigin origin { std::chrono::system_clock::now(), m_peers.membership().self().id, randomToken() };
    m_config.submit({ task.command }, origin, m_clock() + commandTimeout,
        [this, id](const Result<std::uint64_t>& revision) {
            bool unknown = revision.has_error() && revision.error().kind == ErrorKind::Unknown;
            finish(id,
                revision.has_value() ? ActionResult::Done
                    : unknown        ? ActionResult::Unknown
                                     : ActionResult::Refused);
        });
}

void DrainService::perform(std::uint64_t id, const std::string& name, const SendOrder& task)
{
    UpstreamRuntime* upstream = m_router.upstreams().find(name);
    if (!upstream || !m_lease.held())
        return finish(id, ActionResult::Refused);
    BW_LOG(INFO, "drain") << "sending order " << orderKindName(task.order.kind) << " to " << name
                          << ", fencing number " << task.order.fence;
    post(*upstream, "/orders", orderJson(task.order), orderTimeout,
        [this, id](const ExchangeResult& result, const BufferedResponse& response) {
            finish(id, resultOf(result, response.status));
        });
}

void DrainService::perform(std::uint64_t id, const std::string& name, const MoveChat& task)
{
    UpstreamRuntime* source = m_router.upstreams().find(name);
    if (!source || !m_lease.held())
        return finish(id, ActionResult::Refused);
    Json body = { { "chat", contextName(task.chat) }, { "fence", task.fence } };
    post(*source, "/kv/export", dumpJson(body), transferTimeout,
        [this, id, task](const ExchangeResult& result, const BufferedResponse& response) {
            ActionResult exported = resultOf(result, response.status);
            if (exported != ActionResult::Done)
                return finish(id, exported);
            importChat(id, task, response.body);
        });
}

void DrainService::importChat(std::uint64_t id, const MoveChat& task, const std::string& exported)
{
    UpstreamRuntime* destination = m_router.upstreams().find(task.destination);
    auto body = parseJson(exported, "exported context");
    if (!destination || !body || !body.value().is_object() || !m_lease.held())
        return finish(id, ActionResult::Refused);
    body.value()["fence"] = task.fence;
    post(*destination, "/kv/import", dumpJson(body.value()), transferTimeout,
        [this, id, task](const ExchangeResult& result, const BufferedResponse& response) {
            ActionResult imported = resultOf(result, response.status);
            if (imported == ActionResult::Done)
                m_router.updateResidence(chatKey(task.chat.organisation, task.chat.chat), task.destination);
            finish(id, imported);
        });
}

} // namespace briarwharf
