#include "soak/soak.h"

#include "platform/platform.h"
#include "platform/testing/encode.h"
#include "process/forwardedrequest.h"
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds tickInterval { 50 };
    constexpr Milliseconds copyInterval { 1500 }; // of the store, to be restored later
    constexpr Milliseconds startTime { 6000 }; // time for all instances to become ready
    constexpr Milliseconds faultPhase { 7000 };
    // From the end of the last fault until requests must succeed again.
    constexpr Milliseconds settleTime { 6000 };
    // From a configuration change until it must be in force at all instances.
    constexpr Milliseconds checkTime { 4000 };
    constexpr Milliseconds probeTime { 3000 };
    constexpr const char* enginePool = "models";
    constexpr const char* servicePool = "services"; // in hostile runs

    // In hostile runs, so many of a thousand requests have a prompt that crashes upstreams, leave early, or
    // read slowly; and so many rough connections come for each thousand requests.
    constexpr std::uint64_t crashingPerMille = 10;
    constexpr std::uint64_t leavingPerMille = 40;
    constexpr std::uint64_t slowPerMille = 20;
    constexpr std::uint64_t roughPerMille = 60;
    constexpr std::uint64_t commonSegments = 6;
    constexpr std::uint64_t crashingSegments = 2; // new ones in each cycle

    constexpr std::size_t maxReportLines = 40; // of the log of a process that ended by itself

    // Returns a port that is free on all addresses that the test uses, and was not returned before. It is
    // below the range from which the system assigns ports itself.
    std::uint16_t freePort(event_base* base, Random& random, int addresses, std::set<std::uint16_t>& taken)
    {
        for (;;) {
            auto port = static_cast<std::uint16_t>(10000 + random.below(20000));
            bool isFree = taken.insert(port).second;
            for (int address = 1; address <= addresses && isFree; ++address)
                isFree = TcpListener::listen(base, "127.0.0." + std::to_string(address), port, [](int) {
                }).has_value();
            if (isFree)
                return port;
        }
    }

    std::string versionPath(int version) { return "/only-" + std::to_string(version) + "/x"; }

    Route routeFor(const std::string& prefix, RouteKind kind, bool resumable, int attempts)
    {
        Route route;
        route.name = prefix;
        route.host = "soak.example";
        route.pathPrefix = prefix;
        route.kind = kind;
        route.resumable = resumable;
        route.maxAttempts = attempts;
        route.timeout = Milliseconds(6000);
        route.targetLatency = Milliseconds(300);
        route.pauseLimit = Milliseconds(300);
        route.pools = { { enginePool, 1 } };
        return route;
    }

    // The lines at the end of the log, from the sanitizer's report on if there is one.
    std::vector<std::string> lastLines(const std::string& file)
    {
        std::vector<std::string> lines;
        std::ifstream log(file);
        for (std::string line; std::getline(log, line);)
            lines.push_back(line);
        auto isReport = [](const std::string& line) {
            return line.find("Sanitizer") != std::string::npos
                || line.find("runtime error") != std::string::npos
                || line.find("\"crashed\"") != std::string::npos;
        };
        auto begin = std::find_if(lines.begin(), lines.end(), isReport);
        if (begin == lines.end())
            begin -= static_cast<std::ptrdiff_t>(std::min<std::size_t>(lines.size(), 3));
        auto length = std::min<std::ptrdiff_t>(lines.end() - begin, maxReportLines);
        return { begin, begin + length };
    }

    // Requests of a caller that pipelines, splits them anywhere, and does not care whether they are valid.
    std::string roughRequests(Random& random, const ForwardingHeaders& headers, const std::string& id)
    {
        static const std::vector<std::string> starts { "GET /read/x HTTP/1.1\r\n",
            "POST /book/x HTTP/1.1\r\n", "POST /chat/x HTTP/1.1\r\n", "GET /ask/x HTTP/1.1\r\n",
            "GET /nowhere/x HTTP/1.1\r\n", "POST /chat/x HTTP/1.0\r\n", "OPTIONS * HTTP/1.1\r\n",
            "GET /read/x HTTP/1.1\r\nConnection: close\r\n", "CONNECT read:1 HTTP/1.1\r\n" };
        static const std::vector<std::string> tokens { "1300,200", "0,0", "-5,7", "9223372036854775807,1",
            "9223372036854775807,9223372036854775807", ",", "1e9,x" };
        static const std::vector<std::string> segments { "5e60:500,1:200", "1:9223372036854775807,2:1",
            "ffffffffffffffff:0", "1:1,1:1,1:1,2:9", ":",
            "5e61:9223372036854775807,5e61:9223372036854775807,3:1" };
        static const std::vector<std::string> bodies { "Content-Length: 0\r\n\r\n",
            "Content-Length: 5\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            "Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc", "\r\n", "Content-Length: 900000\r\n\r\nx",
            "Content-Length: x\r\n\r\n" };
        auto any = [&random](const std::vector<std::string>& choices) -> const std::string& {
            return choices[random.below(choices.size())];
        };
        std::string bytes;
        std::uint64_t count = 1 + random.below(8);
        for (std::uint64_t number = 0; number < count; ++number) {
            bytes += any(starts);
            appendField(bytes, "Host", "soak.example");
            appendField(bytes, headers.requestId, id + "-" + std::to_string(number));
            appendField(bytes, headers.key, "key-1");
            appendField(bytes, headers.deadline, random.chance(0.9) ? "3000" : "1e300");
            appendField(bytes, headers.tokens, any(tokens));
            appendField(bytes, headers.outputHint, random.chance(0.8) ? "50" : "1e300");
            appendField(bytes, headers.promptSegments, any(segments));
            if (random.chance(0.1))
                appendField(bytes, headers.lastEvent, "18446744073709551615");
            bytes += random.chance(0.8) ? bodies[random.below(3)] : any(bodies);
        }
        return bytes;
    }

} // namespace

Soak::Soak(event_base* base, SoakOptions options)
    : m_base(base)
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_faults(m_options.seed + 1)
    , m_headers(platform::forwardingHeaders())
    , m_store(base)
    , m_pool(base, {})
    , m_ticker(base, tickInterval, [this] { tick(); })
    , m_requests(base, Milliseconds(1000 / m_options.requestsPerSecond), [this] { sendRequest(); })
{
    m_runs.onRequest = [this](const std::string& upstream) {
        if (m_phase == Phase::Probing && upstream == m_drainingUpstream)
            report("a request reached " + upstream
                + " although its drain should have been in force at all instances");
    };
    m_runs.onCrash = [this](const std::string& upstream) { crashByPrompt(upstream); };
    for (int number = 0; number < m_options.upstreams; ++number)
        addUpstream();
    Random ports(randomSeed());
    std::set<std::uint16_t> taken;
    std::uint16_t peerPort = freePort(base, ports, m_options.instances, taken);
    for (int number = 1; number <= m_options.instances; ++number) {
        auto instance = std::make_unique<Instance>();
        instance->number = number;
        instance->callers = { "127.0.0.1", freePort(base, ports, 1, taken) };
        instance->admin = { "127.0.0.1", freePort(base, ports, 1, taken) };
        instance->peers = { "127.0.0." + std::to_string(number), peerPort };
        Endpoint store = m_store.listen().value();
        instance->storePort = store.port;
        instance->store = std::make_unique<FaultProxy>(base, store);
        instance->settings = m_options.workFolder + "/entry-" + std::to_string(number) + ".ini";
        instance->log = m_options.workFolder + "/entry-" + std::to_string(number) + ".log";
        m_instances.push_back(std::move(instance));
    }
    for (auto& instance : m_instances) {
        writeSettings(*instance);
        startProcess(*instance);
    }
    publishRouting();
    m_phaseEnds = clockNow() + startTime;
}

Soak::~Soak()
{
    for (auto& instance : m_instances) {
        if (instance->pid <= 0)
            continue;
        kill(instance->pid, SIGKILL);
        waitpid(instance->pid, nullptr, 0);
    }
}

std::vector<std::string> Soak::run()
{
    event_base_dispatch(m_base);
    checkRuns();
    return m_problems;
}

std::string Soak::summary() const
{
    std::ostringstream text;
    text << "seed " << m_options.seed << ":";
    for (const auto& [name, count] : m_counts)
        text << " " << name << "=" << count;
    return text.str();
}

void Soak::writeSettings(const Instance& instance) const
{
    std::ofstream file(instance.settings);
    file << "[instance]\nid = entry-" << instance.number
         << "\nfailure_domain = a\n[listen]\ncallers = " << printEndpoint(instance.callers)
         << "\nadmin = " << printEndpoint(instance.admin) << "\npeers = " << printEndpoint(instance.peers)
         << "\n[store]\nendpoint = " << printEndpoint(instance.store->endpoint())
         << "\n[directory]\nsource = platform\n[fleet]\nseeds = " << printEndpoint(m_instances[0]->peers)
         << "," << printEndpoint(m_instances.back()->peers) << "\n[limits]\nshutdown_grace_ms = 5s\n";
}

void Soak::startProcess(Instance& instance)
{
    instance.expectedToEnd = false;
    instance.paused = false;
    pid_t pid = fork();
    if (pid == 0) {
        // For daemons with sanitizers. libevhtp never frees its parser tables, so leaks are not looked for.
        setenv("ASAN_OPTIONS", "detect_leaks=0:abort_on_error=1", 0);
        setenv("UBSAN_OPTIONS", "halt_on_error=1:print_stacktrace=1", 0);
        int log = open(instance.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execl(m_options.daemon.c_str(), m_options.daemon.c_str(), instance.settings.c_str(), nullptr);
        _exit(127);
    }
    instance.pid = pid;
}

void Soak::addUpstream()
{
    auto upstream = std::make_unique<Upstream>();
    std::string id = "i-" + std::to_string(++m_upstreamCount);
    upstream->server = std::make_unique<SoakUpstream>(m_base, id, m_headers, m_runs, m_random.next());
    upstream->proxy = std::make_unique<FaultProxy>(m_base, upstream->server->endpoint());
    bool isService = m_options.hostile && m_upstreamCount % 3 == 0;
    upstream->pool = isService ? servicePool : enginePool;
    upstream->started = m_upstreamCount;
    registerUpstream(*upstream);
    m_upstreams.push_back(std::move(upstream));
}

void Soak::registerUpstream(const Upstream& upstream)
{
    UpstreamEntry entry;
    entry.pool = upstream.pool;
    entry.endpoint = upstream.proxy->endpoint();
    entry.failureDomain = "a";
    entry.slots = 8;
    entry.draining = upstream.draining;
    entry.started = m_options.hostile ? upstream.started : 0;
    m_store.put("servers", upstream.server->id(), platform::encodeUpstream(entry));
}

void Soak::publishRouting()
{
    ++m_version;
    RoutingConfig config;
    config.version = static_cast<std::uint64_t>(m_version);
    config.routes = { routeFor("/read/", RouteKind::Repeatable, false, 2),
        routeFor("/book/", RouteKind::AtMostOnce, false, 2), routeFor("/chat/", RouteKind::Stream, true, 2),
        routeFor("/ask/", RouteKind::Stream, false, 1),
        routeFor("/only-" + std::to_string(m_version) + "/", RouteKind::Repeatable, false, 2) };
    config.pools = { { enginePool, 200, std::nullopt } };
    config.organisations = { { "org", { "key-1" }, std::nullopt } };
    config.keysRequired = true;
    if (m_options.hostile)
        varyRouting(config);
    m_store.put("config", "main", platform::encodeRouting(config));
}

// Prompts go to engines and calls to services. While faults are injected, each version differs from the one
// before in what requests in progress depend on.
void Soak::varyRouting(RoutingConfig& config)
{
    config.pools[0].engine = EngineTraits { 64, 500000 };
    config.pools.push_back({ servicePool, 100, std::nullopt });
    config.routes[0].pools = config.routes[1].pools = { { servicePool, 1 } };
    if (m_phase != Phase::Faults)
        return;
    if (m_faults.chance(0.3))
        config.routes[0].pools = { { servicePool, 0.7 }, { enginePool, 0.3 } };
    if (m_faults.chance(0.2))
        config.pools[0].engine.reset();
    if (m_faults.chance(0.2))
        config.pools.pop_back();
    config.pools[0].maxConnections = m_faults.chance(0.3) ? 20 : 200;
    config.routes[2].maxAttempts = 1 + static_cast<int>(m_faults.below(4));
    config.routes[3].priority = static_cast<int>(m_faults.below(5));
    config.limits.idleTimeout = Milliseconds(200 + m_faults.below(5000));
    config.limits.maxBodyBytes = 1024 << m_faults.below(10);
    std::string filler(m_faults.below(200), 'x');
    config.organisations.push_back({ "org-" + filler, { "key-" + filler }, 1 });
}

void Soak::tick()
{
    MonotonicTime now = clockNow();
    reapProcesses();
    if (m_phase == Phase::Faults && now - m_lastCopy > copyInterval) {
        m_lastCopy = now;
        m_olderCopy = std::exchange(m_newerCopy, m_store.copy());
    }
    if (m_quickVersions > 0) {
        --m_quickVersions;
        publishRouting();
    }
    for (std::size_t index = 0; index < m_activeFaults.size();) {
        if (now < m_activeFaults[index].endsAt) {
            ++index;
            continue;
        }
        auto endFault = std::move(m_activeFaults[index].endFault);
        m_activeFaults.erase(m_activeFaults.begin() + static_cast<std::ptrdiff_t>(index));
        endFault();
    }
    if (m_phase == Phase::Faults && now >= m_nextFault)
        injectFault();
    if (now >= m_phaseEnds)
        advancePhase(now);
}

void Soak::advancePhase(MonotonicTime now)
{
    switch (m_phase) {
    case Phase::Starting:
    case Phase::Probing:
        m_phase = ++m_cycle > m_options.cycles ? Phase::Done : Phase::Faults;
        m_phaseEnds = now + faultPhase;
        m_drainingUpstream.clear();
        if (m_phase == Phase::Done)
            event_base_loopbreak(m_base);
        return;
    case Phase::Faults:
        endAllFaults();
        m_phase = Phase::Settling;
        m_phaseEnds = now + settleTime;
        return;
    case Phase::Settling:
        publishRouting();
        replaceUpstream();
        m_drainingUpstream = m_retired.back()->server->id();
        m_phase = Phase::Checking;
        m_phaseEnds = now + checkTime;
        return;
    case Phase::Checking:
        m_phase = Phase::Probing;
        m_phaseEnds = now + probeTime;
        return startProbes();
    case Phase::Done:
        return;
    }
}

void Soak::reapProcesses()
{
    for (auto& instance : m_instances) {
        int status = 0;
        if (instance->pid <= 0 || waitpid(instance->pid, &status, WNOHANG) != instance->pid)
            continue;
        if (!instance->expectedToEnd)
            reportEnd(*instance, status);
        startProcess(*instance);
    }
}

void Soak::reportEnd(const Instance& instance, int status)
{
    std::string problem = "entry-" + std::to_string(instance.number) + " ended unexpectedly with wait status "
        + std::to_string(status);
    for (const std::string& line : lastLines(instance.log))
        problem += "\n    " + line;
    report(problem);
}

CallerManner Soak::chooseManner(bool stream)
{
    CallerManner manner;
    if (!m_options.hostile)
        return manner;
    std::string own = printHex(hash64(std::to_string(m_requestCount)) >> 8);
    bool faults = m_phase == Phase::Faults;
    if (stream) {
        std::uint64_t shared = 0x5e60 + m_random.below(commonSegments);
        if (faults && m_random.below(1000) < crashingPerMille)
            shared = SoakUpstream::firstCrashingSegment
                + static_cast<std::uint64_t>(m_cycle) * crashingSegments + m_random.below(crashingSegments);
        manner.segments = printHex(shared) + ":500," + own + ":200";
        manner.tokens = "700,60";
    }
    if (faults && m_random.below(1000) < leavingPerMille)
        manner.leavesAfter = Milliseconds(1 + m_random.below(400));
    if (faults && m_random.below(1000) < slowPerMille)
        manner.readPause = Milliseconds(200 + m_random.below(1500));
    return manner;
}

// Opens a connection to an instance that pipelines, splits and breaks off requests at random moments.
void Soak::startRoughCaller(const Instance& instance)
{
    m_roughCallers.remove_if([](const auto& caller) { return caller->isDone(); });
    std::string id = "w" + std::to_string(m_options.seed) + "-" + std::to_string(++m_requestCount);
    m_roughCallers.push_back(std::make_unique<RoughCaller>(
        m_base, instance.callers, roughRequests(m_random, m_headers, id), m_random.next()));
    ++m_counts["rough-callers"];
}

void Soak::sendRequest()
{
    if (m_phase == Phase::Starting)
        return;
    m_callers.remove_if([](const auto& caller) { return caller->isDone(); });
    static const char* const targets[] { "/read/x", "/book/x", "/chat/x", "/ask/x" };
    std::size_t kind = m_random.below(std::size(targets));
    SoakAnswer answer;
    answer.requestId = "r" + std::to_string(m_options.seed) + "-" + std::to_string(++m_requestCount);
    answer.target = targets[kind];
    answer.atMostOnce = kind == 1 || kind == 3;
    answer.stream = kind >= 2;
    if (answer.atMostOnce)
        m_atMostOnce.insert(answer.requestId);
    Instance& instance = *m_instances[m_random.below(m_instances.size())];
    CallerManner manner = chooseManner(answer.stream);
    m_callers.push_back(std::make_unique<SoakCaller>(m_base, m_pool, instance.callers, m_headers, answer,
        manner, [this](const SoakAnswer& done) { handleAnswer(done); }));
    if (m_options.hostile && m_phase == Phase::Faults && m_random.below(1000) < roughPerMille)
        startRoughCaller(instance);
}

void Soak::handleAnswer(const SoakAnswer& answer)
{
    ++m_counts["answers-" + std::to_string(answer.complete ? answer.status : 0)];
    checkAnswer(answer);
    // In these phases no fault is active and every instance has had time to recover.
    bool mustSucceed = m_phase == Phase::Checking || m_phase == Phase::Probing;
    if (mustSucceed && !(answer.complete && answer.status == 200))
        ++m_counts["failed-in-quiet"];
    else if (mustSucceed)
        ++m_counts["served-in-quiet"];
}

void Soak::checkAnswer(const SoakAnswer& answer)
{
    std::string name = answer.requestId + " " + answer.target;
    if (answer.status == 401 || answer.status == 404)
        report(name + " was rejected with " + std::to_string(answer.status));
    if (answer.atMostOnce && answer.complete && statusMeansNotRun(answer.status))
        m_reportedNotRun[answer.requestId] = answer;
    if (answer.status != 200)
        return;
    std::string expected;
    for (int number = 1; answer.stream && number <= SoakUpstream::events; ++number)
        expected += SoakUpstream::event(number, answer.requestId);
    if (!answer.stream)
        expected = SoakUpstream::bodyFor(answer.requestId);
    bool isCorrect = answer.complete ? answer.body == expected
                                     : expected.compare(0, answer.body.size(), answer.body) == 0;
    if (!isCorrect)
        report(name + " received a wrong answer of " + std::to_string(answer.body.size()) + " bytes");
}

void Soak::checkRuns()
{
    for (const auto& id : m_atMostOnce) {
        auto runs = m_runs.runs.find(id);
        int count = runs == m_runs.runs.end() ? 0 : runs->second;
        if (count > 1)
            report(id + " ran " + std::to_string(count) + " times");
        if (count > 0 && m_reportedNotRun.count(id))
            report(id + " ran, although its caller received a status that means that it did not run");
    }
    int failed = m_counts["failed-in-quiet"];
    int served = m_counts["served-in-quiet"];
    if (failed * 50 > served)
        report(std::to_string(failed) + " of " + std::to_string(failed + served)
            + " requests failed while no fault was active");
}

// Checks that each instance has the newest configuration in force and no longer the previous one. Each
// version has a route of its own, named by versionPath().
void Soak::startProbes()
{
    for (const auto& instance : m_instances) {
        probe(*instance, versionPath(m_version), 200);
        probe(*instance, versionPath(m_version - 1), 404);
    }
}

void Soak::probe(const Instance& instance, const std::string& target, int expectedStatus)
{
    SoakAnswer answer;
    answer.requestId = "p" + std::to_string(m_options.seed) + "-" + std::to_string(++m_requestCount);
    answer.target = target;
    int number = instance.number;
    m_callers.push_back(std::make_unique<SoakCaller>(m_base, m_pool, instance.callers, m_headers, answer,
        CallerManner {}, [this, number, expectedStatus](const SoakAnswer& done) {
            if (done.status != expectedStatus)
                report("entry-" + std::to_string(number) + " answered " + done.target + " with "
                    + std::to_string(done.status) + " instead of " + std::to_string(expectedStatus));
        }));
}

void Soak::report(const std::string& problem)
{
    m_problems.push_back("cycle " + std::to_string(m_cycle) + ": " + problem);
}

} // namespace briarwharf
