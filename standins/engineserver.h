#pragma once

#include "standins/enginemodel.h"
#include "standins/faultplan.h"
#include "standins/httpserver.h"

namespace briarwharf {

struct EngineServerOptions {
    Milliseconds tick { 10 }; // between looks at the batch
    // A stream whose caller has gone runs on for this long, so that it can be resumed.
    Milliseconds resumeGrace { 3000 };
    std::size_t maxWaitingBytes = 262144; // of a slow reader; its stream pauses
};

// Serves an EngineModel over HTTP.
//
//   POST /v1/chat/completions            whole answer, or a stream with "stream": true
//   GET  /v1/streams/{id}?offset=N       the stream from its content chunk N on; each holds one token
//   POST /v1/streams/{id}/cancel
//   GET  /v1/models, /health, /load, /stats, /cache/events?since=N
//   POST /orders                         {"order", "fence", "argument"}
//   POST /kv/export                      {"chat", "fence"}
//   POST /kv/import                      what export returned, and "fence"
//   POST /faults                         see FaultInjector; "silence_open": true silences open connections
class EngineServer {
public:
    EngineServer(event_base*, EngineModel&, EngineServerOptions);

    Result<std::uint16_t> listen(std::uint16_t port) { return m_server.listen(port); }

private:
    struct Call {
        JobId job = 0;
        ExchangePointer exchange;
        bool stream = false;
        bool started = false;
        std::uint32_t sent = 0; // content chunks, those before the offset included
        std::size_t chunks = 0; // sent on this connection
        FaultPlan fault;
        std::string shownId; // the identifier that the answer carries
        JobId shownJob = 0; // whose text the answer carries
        bool gone = false;
        bool finished = false;
    };
    using CallPointer = std::shared_ptr<Call>;

    void handle(const StandinRequest&, const ExchangePointer&);
    void handlePost(const StandinRequest&, const ExchangePointer&);
    void handleStreams(const StandinRequest&, const ExchangePointer&);
    void handleChat(const StandinRequest&, const ExchangePointer&);
    void startChat(const StandinRequest&, const ExchangePointer&, const FaultPlan&);
    void handleOrder(const Json&, const ExchangePointer&);
    void handleKv(const std::string& path, const Json&, const ExchangePointer&);
    void handleEvents(const StandinRequest&, const ExchangePointer&);
    void handleFaults(const Json&, const ExchangePointer&);
    void addCall(Call);
    void cross(Call&) const;
    void tick();
    void serveCall(Call&);
    void serveStream(Call&, const EngineJob&);
    void endStream(Call&, const EngineJob&);
    void serveWhole(Call&, const EngineJob&);
    bool faultStops(Call&);
    void cancelAbandoned(MonotonicTime now);

    DelayedCalls m_delays;
    EngineModel& m_model;
    EngineServerOptions m_options;
    FaultInjector m_faults;
    std::vector<CallPointer> m_calls;
    std::map<JobId, MonotonicTime> m_abandoned; // running without a caller, since
    StandinServer m_server;
    RepeatingCall m_ticker;
};

} // namespace briarwharf
