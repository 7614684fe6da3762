#pragma once

#include "base/random.h"
#include "connection/connection.h"
#include "process/forwardheaders.h"
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace briarwharf {

// Counts the runs of each request at all upstreams, by the caller's request id.
struct RunLog {
    std::map<std::string, int> runs;
    std::function<void(const std::string& upstream)> onRequest;
    // A prompt crashed the upstream.
    std::function<void(const std::string& upstream)> onCrash;
};

// What an upstream does wrong, or states, until it is changed.
struct UpstreamFaults {
    double badShare = 0; // of the requests; each is answered in one of several bad ways
    bool leaving = false; // states in all its answers that it takes no new requests
    std::optional<double> limit; // stated in all its answers, in requests a second
};

// An upstream within the process of the soak test. It answers calls and streams of numbered events, resumes
// streams, and counts each run. It is reached through a proxy, where the test injects faults.
class SoakUpstream {
public:
    static constexpr int events = 12; // number of events in a stream
    // A prompt whose first segment is at least this crashes the upstream that begins to answer it.
    static constexpr std::uint64_t firstCrashingSegment = 0xbad0000000000000;

    SoakUpstream(event_base*, std::string id, const ForwardingHeaders&, RunLog&, std::uint64_t seed);
    ~SoakUpstream();
    SoakUpstream(const SoakUpstream&) = delete;
    SoakUpstream& operator=(const SoakUpstream&) = delete;

    const std::string& id() const { return m_id; }
    // Continues as the next process at the same address.
    void setId(std::string id) { m_id = std::move(id); }
    Endpoint endpoint() const { return { "127.0.0.1", m_port }; }
    UpstreamFaults& faults() { return m_faults; }

    // The body of the answer to a call; callers compare it with what they received.
    static std::string bodyFor(std::string_view requestId);
    static std::string event(int number, std::string_view requestId);

private:
    class Run;

    void handle(const IngressRequest&, CallerExchange&);

    event_base* m_base;
    std::string m_id;
    const ForwardingHeaders& m_headers;
    RunLog& m_log;
    Random m_random;
    UpstreamFaults m_faults;
    std::list<std::unique_ptr<Run>> m_runs;
    Ingress m_server;
    std::uint16_t m_port = 0;
};

} // namespace briarwharf
