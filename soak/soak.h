#pragma once

#include "platform/testing/standinstore.h"
#include "soak/faultproxy.h"
#include "soak/roughcaller.h"
#include "soak/soakcaller.h"
#include "soak/soakupstream.h"
#include "version/version.h"
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace briarwharf {

struct SoakOptions {
    std::string daemon; // path of the program under test
    std::string workFolder; // settings and logs
    std::uint64_t seed = 1;
    int cycles = 1; // each: a phase of faults, then phases without faults in which requests must succeed
    int instances = 3;
    int upstreams = 4;
    int requestsPerSecond = 60;
    // Adds upstreams that answer badly, crash on prompts and state limits, callers that pipeline, leave and
    // read slowly, quick changes of the configuration, a store that is restored from an older copy, and more.
    bool hostile = false;
};

// A randomized soak test. The daemons run as processes of their own; the stand-ins of the store and the
// upstreams run in this process, behind proxies, and faults are injected from outside the daemons. The test
// checks what callers and upstreams see. The seed fixes the schedule of faults and requests; their
// interleaving with the processes differs from run to run.
class Soak {
public:
    Soak(event_base*, SoakOptions);
    ~Soak(); // kills the processes that it started, by process id
    Soak(const Soak&) = delete;
    Soak& operator=(const Soak&) = delete;

    // Runs the event loop until the last cycle has ended. Returns the violations that were found, one line
    // each.
    std::vector<std::string> run();

    // The seed and the counts of faults and answers, for the log.
    std::string summary() const;

private:
    struct Instance {
        int number = 0;
        pid_t pid = 0;
        bool expectedToEnd = false;
        bool paused = false;
        Endpoint callers;
        Endpoint admin;
        Endpoint peers;
        std::uint16_t storePort = 0; // port of the store's stand-in, behind the proxy
        std::unique_ptr<FaultProxy> store;
        std::string settings;
        std::string log;
    };
    struct Upstream {
        std::unique_ptr<SoakUpstream> server;
        std::unique_ptr<FaultProxy> proxy;
        std::string pool;
        std::int64_t started = 0; // of its present process
        bool draining = false;
        bool stopped = false; // its process has ended, and the next has not started
    };
    struct Fault {
        const char* name;
        void (Soak::*apply)();
    };
    struct ActiveFault {
        MonotonicTime endsAt;
        std::function<void()> endFault;
    };

    static constexpr std::int64_t startedStep = 1000; // between the starts of an upstream's processes

    const std::vector<Fault>& faults() const;

    void startProcess(Instance&);
    void writeSettings(const Instance&) const;
    void addUpstream();
    void registerUpstream(const Upstream&);
    void publishRouting();
    void varyRouting(RoutingConfig&);
    void tick();
    void advancePhase(MonotonicTime now);
    void injectFault();
    void endAllFaults();
    void scheduleFaultEnd(std::function<void()>);
    void reapProcesses();
    void reportEnd(const Instance&, int status);
    CallerManner chooseManner(bool stream);
    void startRoughCaller(const Instance&);
    void sendRequest();
    void handleAnswer(const SoakAnswer&);
    void checkAnswer(const SoakAnswer&);
    void checkRuns();
    void startProbes();
    void probe(const Instance&, const std::string& target, int expectedStatus);
    void report(const std::string& problem);
    Instance& randomInstance();
    Upstream& randomUpstream();

    void killInstance();
    void pauseInstance();
    void terminateInstance();
    void hangUpInstance();
    void resetUpstream();
    void delayUpstream();
    void cutUpstream();
    void cutStore();
    void delayStore();
    void stopStore();
    void silenceStore();
    void loseStoreAnswers();
    void refuseInstance();
    void dropStoreHistory();
    void replaceUpstream();
    void crashUpstream();
    void changeRouting();
    void pauseSeveral();
    void terminateSeries();
    void hangUpAll();
    void restoreStore();
    void changeRoutingQuickly();
    void setBadShare(Upstream&, double share);
    void failUpstream();
    void failAllUpstreams();
    void limitUpstream();
    void leaveUpstream();
    void stopUpstream(Upstream&, bool underNewId);
    void restartUpstream();
    void renameUpstream();
    void crashByPrompt(const std::string& id);
    void addOddEntry();
    void removeEntry(const std::string& name);

    enum class Phase { Starting, Faults, Settling, Checking, Probing, Done };

    event_base* m_base;
    SoakOptions m_options;
    Random m_random; // for requests
    Random m_faults; // for the faults, so that their schedule does not depend on the number of requests
    ForwardingHeaders m_headers;
    platform::StandinStore m_store;
    RunLog m_runs;
    HttpPool m_pool;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
    std::vector<std::unique_ptr<Upstream>> m_retired; // draining; they still serve their requests in progress
    std::list<std::unique_ptr<SoakCaller>> m_callers;
    std::list<std::unique_ptr<RoughCaller>> m_roughCallers;
    std::shared_ptr<const platform::StandinStore::Copy> m_newerCopy; // of the store
    std::shared_ptr<const platform::StandinStore::Copy> m_olderCopy;
    MonotonicTime m_lastCopy;
    std::set<std::string> m_removedEntries; // of the list of upstreams, for good
    int m_quickVersions = 0; // still to be published, one a tick
    std::vector<ActiveFault> m_activeFaults;
    // Requests refused as not run. No upstream may run them, even later.
    std::map<std::string, SoakAnswer> m_reportedNotRun;
    std::set<std::string> m_atMostOnce;
    std::vector<std::string> m_problems;
    std::map<std::string, int> m_counts;
    Ticker m_ticker;
    Ticker m_requests;
    Phase m_phase = Phase::Starting;
    MonotonicTime m_phaseEnds;
    MonotonicTime m_nextFault;
    int m_cycle = 0;
    int m_version = 0;
    int m_requestCount = 0;
    int m_upstreamCount = 0;
    std::string m_drainingUpstream; // upstream that started draining at the beginning of the phase Checking
};

} // namespace briarwharf
