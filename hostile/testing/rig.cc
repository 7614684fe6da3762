#include "hostile/testing/rig.h"

#include "platform/platform.h"
#include "platform/testing/encode.h"
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

namespace briarwharf {

namespace {

    constexpr Milliseconds stallTime { 1500 }; // without a byte sent by any caller, the crowd is stuck
    constexpr Milliseconds crowdTime { 8000 };
    constexpr std::string_view host = "hostile.example";
    constexpr std::size_t largeAnswerBytes = 400 * 1024;

    // The daemon that is built with this test.
    std::string daemonPath() { return BRIARWHARF_BIN "/briarwharfd"; }

    // A free port below the range from which the system assigns ports itself.
    Endpoint freeEndpoint(event_base* base)
    {
        static std::uint16_t next = static_cast<std::uint16_t>(10000 + getpid() % 20000);
        for (;;) {
            Endpoint endpoint { "127.0.0.1", ++next };
            if (TcpListener::listen(base, endpoint.address, endpoint.port, [](int) {}).has_value())
                return endpoint;
        }
    }

    RoutingConfig routing()
    {
        RoutingConfig config;
        config.version = 1;
        Route route;
        route.name = "any";
        route.host = host;
        route.pathPrefix = "/";
        route.kind = RouteKind::AtMostOnce;
        route.maxAttempts = 1;
        route.timeout = Milliseconds(10000);
        route.targetLatency = Milliseconds(500);
        route.anonymous = true;
        route.pools = { { "service", 1 } };
        config.routes = { route };
        config.pools = { { "service", 0, std::nullopt } };
        config.limits = { 16384, 4194304, Milliseconds(3000), Milliseconds(15000) };
        return config;
    }

    // Targets under /large/ get a large answer, those under /silent/ none.
    void answerAsUpstream(const IngressRequest& request, CallerExchange& caller)
    {
        ForwardingHeaders headers = platform::forwardingHeaders();
        std::string_view target = request.head.target;
        if (target.starts_with("/silent/"))
            return;
        std::string lines;
        appendField(lines, headers.requestId, request.head.fields.find(headers.requestId));
        appendField(lines, headers.signature, "signed");
        caller.answer(200, lines, std::string(target.starts_with("/large/") ? largeAnswerBytes : 2, 'x'));
    }

    IngressLimits upstreamLimits()
    {
        IngressLimits limits;
        limits.maxBodyBytes = limits.maxBufferedBytes = std::size_t(1) << 30;
        return limits;
    }

} // namespace

ScriptedCaller::ScriptedCaller(event_base* base, const Endpoint& daemon, CallerScript script)
    : m_script(std::move(script))
{
    auto stream = TcpStream::connect(base, daemon.address, daemon.port, {}, *this);
    REQUIRE(stream.has_value());
    m_stream = std::move(stream.value());
}

void ScriptedCaller::streamConnected()
{
    if (!m_script.reads)
        m_stream->pauseReading();
    m_sent += m_script.opening.size();
    m_stream->write(m_script.opening);
    sendMore();
}

void ScriptedCaller::sendMore()
{
    while (m_script.pieces > 0 && m_stream->pendingBytes() == 0) {
        --m_script.pieces;
        m_sent += m_script.piece.size();
        m_stream->write(m_script.piece);
    }
    if (m_script.pieces > 0 || m_closingSent)
        return;
    m_closingSent = true;
    m_sent += m_script.closing.size();
    m_stream->write(m_script.closing);
}

void ScriptedCaller::streamReceived(std::string_view bytes)
{
    constexpr std::size_t statusLineBytes = 64;
    if (m_received.size() < statusLineBytes)
        m_received += bytes.substr(0, statusLineBytes);
}

int ScriptedCaller::status() const
{
    constexpr std::string_view protocol = "HTTP/1.1 ";
    return m_received.starts_with(protocol) ? std::atoi(m_received.c_str() + protocol.size()) : 0;
}

HostileRig::HostileRig(const Options& options)
    : m_base(makeBase())
    , m_store(m_base.get())
    , m_upstream(m_base.get(), upstreamLimits(), &answerAsUpstream)
    , m_callers(freeEndpoint(m_base.get()))
    , m_admin(freeEndpoint(m_base.get()))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "briarwharf-hostile-XXXXXX").string();
    m_folder = mkdtemp(pattern.data());
    UpstreamEntry upstream;
    upstream.pool = "service";
    upstream.endpoint = { "127.0.0.1", m_upstream.listen({ "127.0.0.1", 0 }).value() };
    upstream.failureDomain = "a";
    upstream.slots = 64;
    m_store.put("servers", "i-1", platform::encodeUpstream(upstream));
    m_store.put("config", "main", platform::encodeRouting(routing()));
    writeSettings(options, m_store.listen().value());
    m_store.faults().delay = options.storeDelay;
    startDaemon(options);
    if (waitUntilReady())
        return;
    endDaemon(); // the destructor of a rig that was not constructed does not run
    FAIL("the daemon did not become ready");
}

HostileRig::~HostileRig() { endDaemon(); }

void HostileRig::endDaemon()
{
    if (isAlive()) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void HostileRig::writeSettings(const Options& options, const Endpoint& store)
{
    std::ofstream file(m_folder + "/entry.ini");
    file << "[instance]\nid = entry-1\nfailure_domain = a\n[listen]\ncallers = " << printEndpoint(m_callers)
         << "\nadmin = " << printEndpoint(m_admin)
         << "\npeers = " << printEndpoint(freeEndpoint(m_base.get()))
         << "\n[store]\nendpoint = " << printEndpoint(store) << "\n[directory]\nsource = platform\n"
         << "[log]\nlevel = warning\n[limits]\nmax_connections = " << options.maxConnections
         << "\nmemory_mb = " << options.memoryMb << "\n";
}

void HostileRig::startDaemon(const Options& options)
{
    std::string settings = m_folder + "/entry.ini";
    std::string log = m_folder + "/entry.log";
    m_pid = fork();
    REQUIRE(m_pid >= 0);
    if (m_pid > 0)
        return;
    int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    if (options.prepare)
        options.prepare();
    execl(daemonPath().c_str(), daemonPath().c_str(), settings.c_str(), nullptr);
    _exit(127);
}

bool HostileRig::waitUntilReady()
{
    constexpr int tries = 100;
    for (int attempt = 0; attempt < tries; ++attempt) {
        run(Milliseconds(100));
        if (call("GET", "/ordinary/") == 200)
            return true;
    }
    return false;
}

void HostileRig::run(Milliseconds duration)
{
    timeval time = toTimeval(duration);
    event_base_loopexit(m_base.get(), &time);
    event_base_dispatch(m_base.get());
}

void HostileRig::runCrowd(std::size_t callers, const CallerScript& script)
{
    for (std::size_t i = 0; i < callers; ++i)
        m_crowd.emplace_back(m_base.get(), m_callers, script);
    MonotonicTime started = clockNow();
    MonotonicTime moved = started;
    std::size_t sentBefore = 0;
    for (MonotonicTime now = started; now - started < crowdTime && now - moved < stallTime;
         now = clockNow()) {
        run(Milliseconds(50));
        std::size_t sent = 0;
        for (const ScriptedCaller& caller : m_crowd)
            sent += caller.bytesSent();
        if (std::exchange(sentBefore, sent) != sent)
            moved = now;
        if (std::all_of(m_crowd.begin(), m_crowd.end(), [](const auto& c) { return c.isDone(); }))
            break;
    }
    run(stallTime); // what was sent reaches the daemon
}

std::string HostileRig::requestHead(const std::string& method, const std::string& target)
{
    ForwardingHeaders headers = platform::forwardingHeaders();
    std::string head = method + " " + target + " HTTP/1.1\r\n";
    appendField(head, "Host", host);
    appendField(head, headers.requestId, "hostile-" + std::to_string(++m_requests));
    appendField(head, headers.deadline, "8000");
    return head;
}

std::string HostileRig::fullRequest(
    const std::string& method, const std::string& target, const std::string& body)
{
    std::string request = requestHead(method, target);
    appendField(request, "Content-Length", std::to_string(body.size()));
    return request + "\r\n" + body;
}

int HostileRig::statusOf(ScriptedCaller& caller)
{
    constexpr int steps = 500;
    for (int step = 0; step < steps && caller.status() == 0 && !caller.hasEnded(); ++step)
        run(Milliseconds(20));
    return caller.status();
}

int HostileRig::call(const std::string& method, const std::string& target, const std::string& body)
{
    ScriptedCaller caller(m_base.get(), m_callers, { .opening = fullRequest(method, target, body) });
    return statusOf(caller);
}

int HostileRig::checkAdmin(const std::string& path)
{
    ScriptedCaller caller(m_base.get(), m_admin, { .opening = fullRequest("GET", path, {}) });
    return statusOf(caller);
}

void HostileRig::signal(int number) { kill(m_pid, number); }

bool HostileRig::waitForEnd()
{
    constexpr int steps = 100;
    for (int step = 0; step < steps && isAlive(); ++step)
        run(Milliseconds(100));
    return !isAlive();
}

std::size_t HostileRig::callTogether(std::size_t requests, const std::string& body)
{
    std::list<ScriptedCaller> callers;
    for (std::size_t i = 0; i < requests; ++i)
        callers.emplace_back(
            m_base.get(), m_callers, CallerScript { .opening = fullRequest("POST", "/ordinary/", body) });
    auto answered = [](const ScriptedCaller& c) { return c.status() != 0 || c.hasEnded(); };
    constexpr int steps = 500;
    for (int step = 0; step < steps && !std::all_of(callers.begin(), callers.end(), answered); ++step)
        run(Milliseconds(20));
    return static_cast<std::size_t>(
        std::count_if(callers.begin(), callers.end(), [](const auto& c) { return c.status() == 200; }));
}

bool HostileRig::isAlive()
{
    if (!m_ended)
        m_ended = waitpid(m_pid, &m_status, WNOHANG) == m_pid;
    return !m_ended;
}

std::size_t HostileRig::peakMemoryBytes() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    constexpr std::string_view key = "VmHWM:";
    constexpr std::size_t bytesPerKb = 1024;
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(key))
            return std::stoul(line.substr(key.size())) * bytesPerKb;
    }
    return 0;
}

std::size_t HostileRig::openDescriptors() const
{
    std::filesystem::directory_iterator files("/proc/" + std::to_string(m_pid) + "/fd"), end;
    return static_cast<std::size_t>(std::distance(files, end));
}

} // namespace briarwharf
