#include "process/upstreams.h"

#include "base/base.h"
#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds pollTimeout { 900 };
    constexpr std::size_t maxPollAnswerBytes = 1024 * 1024;

    // Approximate size on the wire of a poll's request, and of the status line and headers of its answer.
    constexpr std::uint64_t pollRequestBytes = 70;
    constexpr std::uint64_t pollAnswerHeaderBytes = 110;

} // namespace

UpstreamSet::UpstreamSet(event_base* base, PollCallback onPolled)
    : m_base(base)
    , m_pool(UpstreamClient::makePool(base))
    , m_onPolled(std::move(onPolled))
{
}

void UpstreamSet::apply(const ConfigIndex& index)
{
    std::map<std::string, std::shared_ptr<UpstreamRuntime>> next;
    for (const auto& [name, settings] : index.config().upstreams) {
        if (settings.state == UpstreamState::Removed)
            continue;
        auto existing = m_upstreams.find(name);
        std::shared_ptr<UpstreamRuntime> runtime;
        if (existing != m_upstreams.end() && existing->second->settings.address == settings.address
            && existing->second->settings.port == settings.port) {
            runtime = existing->second;
        } else {
            runtime = std::make_shared<UpstreamRuntime>();
            runtime->id = upstreamId(name);
            runtime->shortId = nameHash(name);
            runtime->client
                = std::make_unique<UpstreamClient>(m_base, settings.address, settings.port, m_pool);
        }
        if (runtime->settings.empty && settings.state == UpstreamState::Serving)
            runtime->cacheEmptySince = std::chrono::system_clock::now();
        runtime->settings = settings;
        next.emplace(name, std::move(runtime));
    }
    m_upstreams = std::move(next);
    m_byId.clear();
    for (const auto& [name, runtime] : m_upstreams)
        m_byId.emplace(runtime->id, runtime.get());
}

UpstreamRuntime* UpstreamSet::find(const std::string& name)
{
    auto found = m_upstreams.find(name);
    return found == m_upstreams.end() ? nullptr : found->second.get();
}

UpstreamRuntime* UpstreamSet::find(UpstreamId id)
{
    auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : found->second;
}

void UpstreamSet::poll(UpstreamRuntime& runtime)
{
    if (runtime.pollInProgress)
        return;
    runtime.pollInProgress = true;
    runtime.pollStarted = std::chrono::steady_clock::now();
    UpstreamRequest request;
    request.method = "GET";
    request.target = "/load";
    request.deadline = pollTimeout;
    request.silenceTimeout = pollTimeout;
    request.maxAnswerBytes = maxPollAnswerBytes;
    auto body = std::make_shared<std::string>();
    auto status = std::make_shared<int>(0);
    std::string name = runtime.settings.name;
    runtime.client->start(request,
        { [status](const ResponseHead& head) { *status = head.status; },
            [body](std::string_view data) { body->append(data); },
            [this, name, body, status](const ExchangeResult& result) {
                pollEnded(name, result.end == ExchangeEnd::Complete && *status == 200, *body);
            } });
}

void UpstreamSet::pollEnded(const std::string& name, bool reached, const std::string& body)
{
    m_pollBytesSent += pollRequestBytes;
    m_pollBytesReceived += body.size() + pollAnswerHeaderBytes;
    UpstreamRuntime* runtime = find(name);
    if (!runtime)
        return;
    runtime->pollInProgress = false;
    std::uint32_t tokens = 0;
    if (reached) {
        auto report = parseJson(body, "load report");
        auto inProgress = report ? integerField(report.value(), "tokens_in_progress") : std::nullopt;
        reached = inProgress.has_value();
        if (reached) {
            tokens = static_cast<std::uint32_t>(std::max<std::int64_t>(0, *inProgress));
            runtime->reportedServing = stringField(report.value(), "role").value_or("serving") == "serving";
            runtime->reportedRequestsInProgress = static_cast<std::uint64_t>(
                std::max<std::int64_t>(0, integerField(report.value(), "requests_in_progress").value_or(0)));
            runtime->polledAt = runtime->pollStarted;
        }
    }
    m_onPolled(*runtime, reached, tokens);
}

} // namespace briarwharf
