#include "soak/soak.h"

#include "platform/platform.h"
#include "platform/testing/encode.h"
#include "process/forwardedrequest.h"
#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds tickInterval { 50 };
    constexpr Milliseconds startTime { 6000 }; // time for all instances to become ready
    constexpr Milliseconds faultPhase { 7000 };
    // From the end of the last fault until requests must succeed again.
    constexpr Milliseconds settleTime { 6000 };
    // From a configuration change until it must be in force at all instances.
    constexpr Milliseconds checkTime { 4000 };
    constexpr Milliseconds probeTime { 3000 };
    constexpr Milliseconds minFaultGap { 150 }; // between the starts of two faults
    constexpr int faultGapSpread = 700; // milliseconds; range of the random addition to the gap
    constexpr int minFaultDuration = 200; // milliseconds; minimum duration of a fault
    constexpr int faultDurationSpread = 2500; // milliseconds; range of the random addition to it
    constexpr const char* poolName = "models";

    // Returns a port that is free on all addresses that the test uses. It is below the range from which the
    // system assigns ports itself.
    std::uint16_t freePort(event_base* base, Random& random, int addresses)
    {
        for (;;) {
            auto port = static_cast<std::uint16_t>(10000 + random.below(20000));
            bool isFree = true;
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
        route.pools = { { poolName, 1 } };
        return route;
    }

} // namespace

const std::vector<Soak::Fault>& Soak::faults()
{
    static const std::vector<Fault> table { { "kill", &Soak::killInstance },
        { "pause", &Soak::pauseInstance }, { "terminate", &Soak::terminateInstance },
        { "hang-up", &Soak::hangUpInstance }, { "reset-upstream", &Soak::resetUpstream },
        { "delay-upstream", &Soak::delayUpstream }, { "cut-upstream", &Soak::cutUpstream },
        { "cut-store", &Soak::cutStore }, { "delay-store", &Soak::delayStore },
        { "stop-store", &Soak::stopStore }, { "silence-store", &Soak::silenceStore },
        { "lose-answers", &Soak::loseStoreAnswers }, { "refuse-instance", &Soak::refuseInstance },
        { "drop-history", &Soak::dropStoreHistory }, { "replace-upstream", &Soak::replaceUpstream },
        { "crash-upstream", &Soak::crashUpstream }, { "change-routing", &Soak::changeRouting } };
    return table;
}

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
    for (int number = 0; number < m_options.upstreams; ++number)
        addUpstream();
    Random ports(randomSeed());
    std::uint16_t peerPort = freePort(base, ports, m_options.instances);
    for (int number = 1; number <= m_options.instances; ++number) {
        auto instance = std::make_unique<Instance>();
        instance->number = number;
        instance->callers = { "127.0.0.1", freePort(base, ports, 1) };
        instance->admin = { "127.0.0.1", freePort(base, ports, 1) };
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
    registerUpstream(*upstream);
    m_upstreams.push_back(std::move(upstream));
}

void Soak::registerUpstream(const Upstream& upstream)
{
    UpstreamEntry entry;
    entry.pool = poolName;
    entry.endpoint = upstream.proxy->endpoint();
    entry.failureDomain = "a";
    entry.slots = 8;
    entry.draining = upstream.draining;
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
    config.pools = { { poolName, 200, std::nullopt } };
    config.organisations = { { "org", { "key-1" }, std::nullopt } };
    config.keysRequired = true;
    m_store.put("config", "main", platform::encodeRouting(config));
}

void Soak::tick()
{
    MonotonicTime now = clockNow();
    reapProcesses();
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

void Soak::injectFault()
{
    const Fault& fault = faults()[m_faults.below(faults().size())];
    ++m_counts[fault.name];
    (this->*fault.apply)();
    m_nextFault = clockNow() + minFaultGap + Milliseconds(m_faults.below(faultGapSpread));
}

void Soak::scheduleFaultEnd(std::function<void()> endFault)
{
    Milliseconds duration(minFaultDuration + static_cast<int>(m_faults.below(faultDurationSpread)));
    m_activeFaults.push_back({ clockNow() + duration, std::move(endFault) });
}

void Soak::endAllFaults()
{
    for (auto& activeFault : std::exchange(m_activeFaults, {}))
        activeFault.endFault();
    m_store.faults() = {};
}

void Soak::reapProcesses()
{
    for (auto& instance : m_instances) {
        int status = 0;
        if (instance->pid <= 0 || waitpid(instance->pid, &status, WNOHANG) != instance->pid)
            continue;
        if (!instance->expectedToEnd)
            report("entry-" + std::to_string(instance->number) + " ended unexpectedly with wait status "
                + std::to_string(status));
        startProcess(*instance);
    }
}

Soak::Instance& Soak::randomInstance() { return *m_instances[m_faults.below(m_instances.size())]; }
Soak::Upstream& Soak::randomUpstream() { return *m_upstreams[m_faults.below(m_upstreams.size())]; }

void Soak::killInstance()
{
    Instance& instance = randomInstance();
    instance.expectedToEnd = true;
    kill(instance.pid, SIGKILL);
}

void Soak::pauseInstance()
{
    Instance& instance = randomInstance();
    if (std::exchange(instance.paused, true))
        return;
    pid_t pid = instance.pid;
    kill(pid, SIGSTOP);
    scheduleFaultEnd([&instance, pid] {
        instance.paused = false;
        if (instance.pid == pid)
            kill(pid, SIGCONT);
    });
}

void Soak::terminateInstance()
{
    Instance& instance = randomInstance();
    instance.expectedToEnd = true;
    kill(instance.pid, SIGTERM);
}

void Soak::hangUpInstance()
{
    Instance& instance = randomInstance();
    writeSettings(instance);
    kill(instance.pid, SIGHUP);
}

void Soak::resetUpstream() { randomUpstream().proxy->resetAll(); }

void Soak::delayUpstream()
{
    FaultProxy* proxy = randomUpstream().proxy.get();
    proxy->setDelay(Milliseconds(20 + m_faults.below(300)));
    scheduleFaultEnd([proxy] { proxy->setDelay(Milliseconds(0)); });
}

void Soak::cutUpstream()
{
    FaultProxy* proxy = randomUpstream().proxy.get();
    proxy->cut(static_cast<FaultProxy::Cut>(1 + m_faults.below(3)));
    scheduleFaultEnd([proxy] { proxy->cut(FaultProxy::Cut::None); });
}

void Soak::cutStore()
{
    FaultProxy* proxy = randomInstance().store.get();
    proxy->cut(static_cast<FaultProxy::Cut>(1 + m_faults.below(3)));
    scheduleFaultEnd([proxy] { proxy->cut(FaultProxy::Cut::None); });
}

void Soak::delayStore()
{
    m_store.faults().delay = Milliseconds(m_faults.below(400));
    scheduleFaultEnd([this] { m_store.faults().delay = Milliseconds(0); });
}

void Soak::stopStore()
{
    m_store.faults().down = true;
    scheduleFaultEnd([this] { m_store.faults().down = false; });
}

void Soak::silenceStore()
{
    m_store.faults().silent = true;
    scheduleFaultEnd([this] { m_store.faults().silent = false; });
}

void Soak::loseStoreAnswers() { m_store.faults().lostAnswers = 1 + static_cast<int>(m_faults.below(3)); }

void Soak::refuseInstance()
{
    Instance& instance = randomInstance();
    instance.store->resetAll();
    m_store.faults().refusedPorts.insert(instance.storePort);
    scheduleFaultEnd([this] { m_store.faults().refusedPorts.clear(); });
}

void Soak::dropStoreHistory() { m_store.dropHistory(); }

// Registers a new upstream, then sets the oldest one to draining. The old one still serves the requests that
// it gets.
void Soak::replaceUpstream()
{
    addUpstream();
    auto leaving = std::move(m_upstreams.front());
    m_upstreams.erase(m_upstreams.begin());
    leaving->draining = true;
    leaving->proxy->cut(FaultProxy::Cut::None);
    registerUpstream(*leaving);
    m_retired.push_back(std::move(leaving));
}

// Resets the upstream's connections, lets new ones hang and removes its entry from the store, as if the entry
// had lapsed. The upstream registers again when the fault ends.
void Soak::crashUpstream()
{
    Upstream* upstream = &randomUpstream();
    upstream->proxy->resetAll();
    upstream->proxy->cut(FaultProxy::Cut::Both);
    m_store.remove("servers", upstream->server->id());
    scheduleFaultEnd([this, upstream] {
        upstream->proxy->cut(FaultProxy::Cut::None);
        registerUpstream(*upstream);
    });
}

void Soak::changeRouting() { publishRouting(); }

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
    m_callers.push_back(std::make_unique<SoakCaller>(m_base, m_pool, instance.callers, m_headers, answer,
        [this](const SoakAnswer& done) { handleAnswer(done); }));
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
        [this, number, expectedStatus](const SoakAnswer& done) {
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
