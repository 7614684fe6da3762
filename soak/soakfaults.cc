// The member functions of Soak that inject faults.

#include "platform/testing/encode.h"
#include "soak/soak.h"
#include <algorithm>
#include <csignal>
#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds minFaultGap { 150 }; // between the starts of two faults
    constexpr int faultGapSpread = 700; // milliseconds; range of the random addition to the gap
    constexpr int minFaultDuration = 200; // milliseconds; minimum duration of a fault
    constexpr int faultDurationSpread = 2500; // milliseconds; range of the random addition to it

    constexpr int quickVersions = 12;
    constexpr int signalsInSeries = 3;
    // From the restore of the store until the operator and the upstreams write again what it lost.
    constexpr Milliseconds rewriteDelay { 400 };

    // Entries of another writer among the upstreams.
    const std::vector<Json>& oddEntries()
    {
        static const std::vector<Json> entries { Json(), Json::array(), 7, "text", Json::object(),
            { { "Service", 5 }, { "Address", Json::array() } },
            { { "Service", "models" }, { "Address", "127.0.0.1:0" }, { "Zone", "a" }, { "State", "ready" } },
            { { "Service", "models" }, { "Address", "[::1]:9" }, { "Zone", "a" }, { "State", "ready" },
                { "Slots", 1e18 }, { "born", -3 } },
            { { "Service", "" }, { "Address", "127.0.0.1:1" }, { "Zone", "" }, { "State", "draining" } },
            { { "Service", "models" }, { "Address", "127.0.0.1:1" }, { "Zone", "\xff" },
                { "State", "ready" } } };
        return entries;
    }

} // namespace

const std::vector<Soak::Fault>& Soak::faults() const
{
    static const std::vector<Fault> usual { { "kill", &Soak::killInstance },
        { "pause", &Soak::pauseInstance }, { "terminate", &Soak::terminateInstance },
        { "hang-up", &Soak::hangUpInstance }, { "reset-upstream", &Soak::resetUpstream },
        { "delay-upstream", &Soak::delayUpstream }, { "cut-upstream", &Soak::cutUpstream },
        { "cut-store", &Soak::cutStore }, { "delay-store", &Soak::delayStore },
        { "stop-store", &Soak::stopStore }, { "silence-store", &Soak::silenceStore },
        { "lose-answers", &Soak::loseStoreAnswers }, { "refuse-instance", &Soak::refuseInstance },
        { "drop-history", &Soak::dropStoreHistory }, { "replace-upstream", &Soak::replaceUpstream },
        { "crash-upstream", &Soak::crashUpstream }, { "change-routing", &Soak::changeRouting } };
    static const std::vector<Fault> hostile = [] {
        std::vector<Fault> table = usual;
        table.insert(table.end(),
            { { "pause-several", &Soak::pauseSeveral }, { "terminate-series", &Soak::terminateSeries },
                { "hang-up-all", &Soak::hangUpAll }, { "restore-store", &Soak::restoreStore },
                { "quick-versions", &Soak::changeRoutingQuickly }, { "fail-upstream", &Soak::failUpstream },
                { "fail-upstreams", &Soak::failAllUpstreams }, { "limit-upstream", &Soak::limitUpstream },
                { "leave-upstream", &Soak::leaveUpstream }, { "restart-upstream", &Soak::restartUpstream },
                { "rename-upstream", &Soak::renameUpstream }, { "odd-entry", &Soak::addOddEntry },
                { "quick-versions", &Soak::changeRoutingQuickly },
                { "fail-upstreams", &Soak::failAllUpstreams } });
        return table;
    }();
    return m_options.hostile ? hostile : usual;
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
    m_quickVersions = 0;
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

void Soak::pauseSeveral()
{
    for (std::size_t count = 0; count < m_instances.size() / 2; ++count)
        pauseInstance();
}

void Soak::terminateSeries()
{
    for (int count = 0; count < signalsInSeries; ++count) {
        terminateInstance();
        hangUpInstance();
    }
}

void Soak::hangUpAll()
{
    for (int count = 0; count < signalsInSeries; ++count) {
        for (auto& instance : m_instances)
            kill(instance->pid, SIGHUP);
    }
}

// The operator and the upstreams write again what the copy does not have.
void Soak::restoreStore()
{
    if (!m_olderCopy)
        return;
    m_store.restore(*m_olderCopy);
    m_olderCopy.reset();
    m_newerCopy.reset();
    m_activeFaults.push_back({ clockNow() + rewriteDelay, [this] {
                                  publishRouting();
                                  for (const std::string& name : m_removedEntries)
                                      m_store.remove("servers", name);
                                  for (const auto& upstream : m_upstreams)
                                      registerUpstream(*upstream);
                                  for (const auto& upstream : m_retired)
                                      registerUpstream(*upstream);
                              } });
}

void Soak::changeRoutingQuickly() { m_quickVersions = quickVersions; }

void Soak::setBadShare(Upstream& upstream, double share)
{
    SoakUpstream* server = upstream.server.get();
    server->faults().badShare = share;
    scheduleFaultEnd([server] { server->faults().badShare = 0; });
}

void Soak::failUpstream() { setBadShare(randomUpstream(), 0.8); }

void Soak::failAllUpstreams()
{
    for (const auto& upstream : m_upstreams)
        setBadShare(*upstream, 0.35);
}

void Soak::limitUpstream()
{
    SoakUpstream* server = randomUpstream().server.get();
    server->faults().limit = 0.5 + static_cast<double>(m_faults.below(20));
    scheduleFaultEnd([server] { server->faults().limit.reset(); });
}

// The upstream states in its answers that it leaves before its entry does.
void Soak::leaveUpstream()
{
    m_upstreams.front()->server->faults().leaving = true;
    std::string id = m_upstreams.front()->server->id();
    scheduleFaultEnd([this, id] {
        if (m_upstreams.front()->server->id() == id)
            replaceUpstream();
    });
}

// Ends the upstream's process: its address refuses connections until the next one starts there.
void Soak::stopUpstream(Upstream& upstream, bool underNewId)
{
    if (std::exchange(upstream.stopped, true))
        return;
    upstream.proxy->refuse();
    Upstream* stopped = &upstream;
    scheduleFaultEnd([this, stopped, underNewId] {
        stopped->stopped = false;
        stopped->started += startedStep;
        if (underNewId && !stopped->draining) {
            removeEntry(stopped->server->id());
            stopped->server->setId("i-" + std::to_string(++m_upstreamCount));
        }
        stopped->server->faults() = {};
        stopped->proxy->accept();
        registerUpstream(*stopped);
    });
}

void Soak::restartUpstream() { stopUpstream(randomUpstream(), false); }
void Soak::renameUpstream() { stopUpstream(randomUpstream(), true); }

void Soak::crashByPrompt(const std::string& id)
{
    for (auto* list : { &m_upstreams, &m_retired }) {
        for (const auto& upstream : *list) {
            if (upstream->server->id() == id)
                stopUpstream(*upstream, m_faults.chance(0.5));
        }
    }
    ++m_counts["prompt-crashes"];
}

void Soak::addOddEntry()
{
    std::string name = "odd-" + std::to_string(m_faults.below(4));
    m_store.put("servers", name, oddEntries()[m_faults.below(oddEntries().size())]);
    scheduleFaultEnd([this, name] { removeEntry(name); });
}

// Removes an entry that is not written again; a copy of the store may bring it back.
void Soak::removeEntry(const std::string& name)
{
    m_store.remove("servers", name);
    m_removedEntries.insert(name);
}

} // namespace briarwharf
