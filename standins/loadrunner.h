#pragma once

#include "standins/answercheck.h"
#include "standins/httpclient.h"
#include "standins/loadplan.h"
#include "standins/loadreport.h"

struct event;

namespace briarwharf {

struct RunnerOptions {
    // "127.0.0.1:7400"; each request goes to a random one, as behind a load balancer.
    std::vector<std::string> targets;
    bool direct = false; // the targets are engines or services, not instances of the router
    double durationSeconds = 10;
    std::uint64_t maxRequests = 100000;
    std::size_t maxInFlight = 2000; // arrivals above this are skipped and counted
    // Of each request, sent in its header; the tool itself waits somewhat longer.
    Milliseconds deadline { 30000 };
    std::string servicePool; // pool of the at-most-once calls; empty: no service calls
    std::string servicePath = "book";
    double serviceRate = 2; // calls with a new key per second
    // Share of the service calls that are repeated with their key. Half of the repeats start together with
    // the first call, the others after its answer.
    double repeatShare = 0.5;
    // Addresses of the engines whose /stats are sampled for the skew figures.
    std::vector<std::string> engines;
    double loadBound = 1.25; // of the busiest engine, as a multiple of the mean load
    // Mean tokens in progress below which a sample is ignored, because the ratio then says little.
    double skewFloor = 2000;
    std::size_t openStreams = 0; // > 0: the run only holds this many streams open
    double openRate = 500; // streams opened per second
    std::uint32_t openStreamTokens = 100000; // maximum answer tokens requested for each open stream
};

// Runs a load plan against the targets on an event loop, and fills a report.
class LoadRunner {
public:
    LoadRunner(event_base*, RunnerOptions, LoadPlan&, LoadRunReport&);
    ~LoadRunner();
    LoadRunner(const LoadRunner&) = delete;
    LoadRunner& operator=(const LoadRunner&) = delete;

    // Starts the run; the callback is called once, when the run has ended.
    void start(std::function<void()> finished);

private:
    struct Turn;
    struct ServiceKey;

    void scheduleNext();
    void handleArrivalTimer();
    void startDueRequests();
    RunTime elapsed() const;
    const std::string& randomTarget();
    const OrganisationLoad& organisationOf(const Turn&) const;

    void startTurn(PlannedTurn);
    void handleStreamData(Turn&, std::string_view);
    void finishTurn(Turn&, const ClientResponse&);
    std::string classify(Turn&, const ClientResponse&);
    std::string classifyError(const ClientResponse&);
    void recordCompleted(Turn&, const std::string& hint);

    void startService();
    void callService(const std::shared_ptr<ServiceKey>&, bool repeat);
    void finishService(
        const std::shared_ptr<ServiceKey>&, bool repeat, RunTime started, const ClientResponse&);

    void sampleEngines();
    void addSample(std::uint64_t round, const ClientResponse&);
    void openMoreStreams();
    void openStream();
    void endIfDone();

    event_base* m_base;
    RunnerOptions m_options;
    LoadPlan& m_plan;
    LoadRunReport& m_report;
    Random m_random;
    HttpClient m_client;
    std::function<void()> m_finished;
    event* m_timer;
    std::unique_ptr<RepeatingCall> m_sampler;
    std::unique_ptr<RepeatingCall> m_opener;
    MonotonicTime m_start;
    RunTime m_nextService { 0 };
    RunTime m_lastAnswer { 0 };
    std::uint64_t m_serviceKeys = 0;
    std::size_t m_inFlight = 0;
    bool m_stopped = false;
    std::uint64_t m_sampleRound = 0;
    std::vector<double> m_roundTokensInProgress;
    std::size_t m_startedStreams = 0;
    std::size_t m_openStreams = 0;
};

} // namespace briarwharf
