#include "process/testing/forwardfixture.h"

#include "connection/testing/loopback.h"
#include <algorithm>

namespace briarwharf {

namespace {

    constexpr Milliseconds longTimeout { 20000 };

    Route route(const std::string& name, RouteKind kind, bool resumable, int attempts)
    {
        Route result;
        result.name = name;
        result.host = ForwardFixture::host;
        result.pathPrefix = "/" + name + "/";
        result.kind = kind;
        result.resumable = resumable;
        result.maxAttempts = attempts;
        result.timeout = longTimeout;
        result.targetLatency = Milliseconds(5000);
        result.pauseLimit = Milliseconds(5000);
        result.pools = { { "desk", 1 } };
        return result;
    }

    std::string chunk(const std::string& bytes)
    {
        std::string out;
        appendChunk(out, bytes);
        return out;
    }

    // All instances use the same peer port, so each has its own loopback address.
    constexpr std::uint16_t peerPort = 7400;

} // namespace

void FakeDirectory::publishRouting()
{
    for (auto* follower : followers) {
        if (!unreachable)
            follower->routing(routing, std::to_string(routing.version));
    }
}

void FakeDirectory::publishUpstreams()
{
    ++revision;
    for (auto& entry : upstreams)
        entry.revision = std::max<std::uint64_t>(entry.revision, 1);
    for (auto* follower : followers) {
        if (!unreachable)
            follower->upstreams({ 0, revision, upstreams, {} });
    }
}

void FakeDirectory::publishEvacuations(std::vector<std::string> domains)
{
    evacuations = EvacuationChanges { 0, ++revision, std::move(domains), {}, true };
    for (auto* follower : followers) {
        if (!unreachable)
            follower->evacuations(*evacuations);
    }
}

void FakeDirectory::publishRestored()
{
    std::uint64_t generation = generationOf(revision) + 1;
    revision = registryRevision(generation, 1);
    for (auto& entry : upstreams)
        entry.revision = revision;
    publishUpstreams();
    for (auto* follower : followers)
        follower->quarantines(quarantines);
}

FakeSource::~FakeSource()
{
    auto& followers = m_directory.followers;
    followers.erase(std::remove(followers.begin(), followers.end(), &m_callbacks), followers.end());
}

void FakeSource::start(DirectoryCallbacks callbacks)
{
    m_callbacks = std::move(callbacks);
    m_directory.followers.push_back(&m_callbacks);
    if (m_directory.unreachable || m_directory.routing.version == 0)
        return;
    m_callbacks.routing(m_directory.routing, std::to_string(m_directory.routing.version));
    m_callbacks.upstreams({ 0, m_directory.revision, m_directory.upstreams, {} });
    m_callbacks.quarantines(m_directory.quarantines);
    if (m_directory.evacuations)
        m_callbacks.evacuations(*m_directory.evacuations);
}

void FakeSource::save(const SavedQuarantine& quarantine, std::function<void(Status)> done)
{
    remove(quarantine, [](const Status&) {});
    m_directory.quarantines.push_back(quarantine);
    done(ok());
}

void FakeSource::remove(const SavedQuarantine& quarantine, std::function<void(Status)> done)
{
    std::erase_if(m_directory.quarantines,
        [&](const SavedQuarantine& saved) { return saved.segments == quarantine.segments; });
    done(ok());
}

std::optional<MonotonicTime> FakeSource::confirmedAt() const
{
    if (m_directory.unreachable)
        return std::nullopt;
    return std::chrono::steady_clock::now();
}

// A document of the fake contains only the version; the routes are taken from the FakeDirectory.
Result<RoutingConfig> FakeSource::decodeRouting(std::string_view document) const
{
    RoutingConfig config = m_directory.routing;
    config.version = std::stoull(std::string(document));
    return config;
}

ForwardFixture::ForwardFixture()
    : m_base(makeBase())
    , m_pool(m_base.get(), {})
{
    directory.routing.version = 1;
    directory.routing.routes = { route("read", RouteKind::Repeatable, false, 2),
        route("book", RouteKind::AtMostOnce, false, 2), route("once", RouteKind::AtMostOnce, false, 1),
        route("chat", RouteKind::Stream, true, 2), route("ask", RouteKind::Stream, false, 1) };
    directory.routing.pools = { { "desk", 0, std::nullopt } };
    directory.routing.organisations = { { "saqib", { key }, 1 } };
    directory.routing.keysRequired = true;
}

ForwardFixture::~ForwardFixture()
{
    for (auto& answer : m_answers)
        answer->exchange.reset();
}

ScriptedServer& ForwardFixture::addUpstream(const std::string& id, ScriptedServer::Handler handler)
{
    m_servers.push_back(std::make_unique<ScriptedServer>(m_base.get(), std::move(handler)));
    addEntry(id, m_servers.back()->endpoint());
    return *m_servers.back();
}

void ForwardFixture::addEntry(const std::string& id, const Endpoint& endpoint)
{
    UpstreamEntry entry;
    entry.id = id;
    entry.pool = "desk";
    entry.endpoint = endpoint;
    entry.failureDomain = "a";
    entry.slots = 8;
    entry.revision = ++directory.revision;
    directory.upstreams.push_back(entry);
}

ForwardDaemon& ForwardFixture::startDaemon(bool seeds, FakeDirectory* other)
{
    Settings settings;
    settings.instance.id = "entry-" + std::to_string(m_daemons.size() + 1);
    settings.instance.failureDomain = "a";
    settings.directory.source = "platform";
    settings.directory.evacuations = followsEvacuations;
    settings.listen.callers = { "127.0.0.1", 0 };
    settings.listen.admin = { "127.0.0.1", 0 };
    m_peerAddresses.push_back({ ownLoopbackAddress(m_peerAddresses.size() + 1), peerPort });
    settings.listen.peers = m_peerAddresses.back();
    if (seeds)
        settings.fleet.seeds = m_peerAddresses;
    settings.limits.shutdownGrace = shutdownGrace;
    settings.fleet.hedgeRatio = hedgeRatio;
    m_daemons.push_back(std::make_unique<ForwardDaemon>(m_base.get(), settings,
        SettingsSource { settingsFile, {} }, std::make_unique<FakeSource>(other ? *other : directory)));
    Status started = m_daemons.back()->start();
    REQUIRE(started);
    return *m_daemons.back();
}

void ForwardFixture::waitReady(ForwardDaemon& daemon)
{
    runUntil([&] { return daemon.isReady(); });
}

std::shared_ptr<CallerAnswer> ForwardFixture::start(
    std::uint16_t port, const std::string& head, const std::string& body)
{
    auto answer = std::make_shared<CallerAnswer>();
    m_answers.push_back(answer);
    OutgoingRequest request;
    request.head = head;
    if (!body.empty())
        request.body = std::make_shared<const std::string>(body);
    request.maxIdle = Milliseconds(-1); // a connection of its own
    auto exchange = m_pool.start({ "127.0.0.1", port }, request, *answer);
    if (!exchange)
        FAIL(exchange.error().message);
    answer->exchange = std::move(exchange.value());
    return answer;
}

std::shared_ptr<CallerAnswer> ForwardFixture::send(
    ForwardDaemon& daemon, const std::string& target, const std::string& body, const std::string& extraLines)
{
    std::string head = (body.empty() ? "GET " : "POST ") + target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    appendField(head, "X-Briarwharf-Request-Id", "request-" + std::to_string(++m_requests));
    if (extraLines.find("X-Briarwharf-Key") == std::string::npos)
        appendField(head, "X-Briarwharf-Key", key);
    head += extraLines;
    if (!body.empty())
        appendField(head, "Content-Length", std::to_string(body.size()));
    return start(daemon.callerPort(), head + "\r\n", body);
}

std::shared_ptr<CallerAnswer> ForwardFixture::call(
    ForwardDaemon& daemon, const std::string& target, const std::string& body, const std::string& extraLines)
{
    auto answer = send(daemon, target, body, extraLines);
    runUntil([&] { return answer->done(); });
    return answer;
}

std::shared_ptr<CallerAnswer> ForwardFixture::admin(ForwardDaemon& daemon, const std::string& target)
{
    auto answer = start(daemon.adminPort(), "GET " + target + " HTTP/1.1\r\nHost: admin\r\n\r\n", {});
    runUntil([&] { return answer->done(); });
    return answer;
}

std::string upstreamAnswer(
    const ScriptedRequest& request, int status, const std::string& body, const std::string& extraLines)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    appendField(out, "X-Briarwharf-Request-Id", request.head.fields.find("X-Briarwharf-Request-Id"));
    appendField(out, "X-Briarwharf-Signature", "signed");
    appendField(out, "Content-Length", std::to_string(body.size()));
    return out + extraLines + "\r\n" + body;
}

std::string streamHead(const ScriptedRequest& request)
{
    std::string out = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    appendField(out, "X-Briarwharf-Request-Id", request.head.fields.find("X-Briarwharf-Request-Id"));
    appendField(out, "X-Briarwharf-Signature", "signed");
    appendField(out, "Transfer-Encoding", "chunked");
    return out + "\r\n";
}

std::string streamEvents(int first, int last)
{
    std::string out;
    for (int number = first; number <= last; ++number)
        out += chunk("id: " + std::to_string(number) + "\ndata: part " + std::to_string(number) + "\n\n");
    return out;
}

std::string streamEnd() { return std::string(lastChunk); }

} // namespace briarwharf
