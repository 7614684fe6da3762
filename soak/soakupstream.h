#pragma once

#include "base/random.h"
#include "connection/connection.h"
#include "process/forwardheaders.h"
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace briarwharf {

// Counts the runs of each request at all upstreams, by the caller's request id.
struct RunLog {
    std::map<std::string, int> runs;
    std::function<void(const std::string& upstream)> onRequest;
};

// An upstream within the process of the soak test. It answers calls and streams of numbered events, resumes
// streams, and counts each run. It is reached through a proxy, where the test injects faults.
class SoakUpstream {
public:
    static constexpr int events = 12; // number of events in a stream

    SoakUpstream(event_base*, std::string id, const ForwardingHeaders&, RunLog&, std::uint64_t seed);
    ~SoakUpstream();
    SoakUpstream(const SoakUpstream&) = delete;
    SoakUpstream& operator=(const SoakUpstream&) = delete;

    const std::string& id() const { return m_id; }
    Endpoint endpoint() const { return { "127.0.0.1", m_port }; }

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
    std::list<std::unique_ptr<Run>> m_runs;
    Ingress m_server;
    std::uint16_t m_port = 0;
};

} // namespace briarwharf
