#pragma once

#include "standins/enginemodel.h"
#include "standins/faultplan.h"
#include "standins/httpserver.h"

namespace briarwharf {

struct EngineServerOptions {
    Milliseconds tick { 10 }; // interval at which the model advances and output is sent
    // A stream whose caller disconnected runs on for this long, so that it can be resumed.
    Milliseconds resumeGrace { 3000 };
    // A stream pauses while its connection has more unsent bytes than this, because its caller reads slowly.
    std::size_t maxUnsentBytes = 262144;
};

// Serves an EngineModel over HTTP.
//
//   POST /v1/chat/completions            whole answer, or a stream with "stream": true
//   GET  /v1/streams/{id}?offset=N       the stream from content chunk N on; a chunk holds one token
//   POST /v1/streams/{id}/cancel
//   GET  /v1/models, /health, /load, /stats, /cache/events?since=N
//   POST /orders                         {"order", "fence", "argument"}
//   POST /kv/export                      {"chat", "fence"}
//   POST /kv/import                      the body that export returned, and "fence"
//   POST /faults                         see FaultInjector; "silence_open": true stops open connections
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
        // Index of the content chunk to send next; starts at the requested offset.
        std::uint32_t nextChunk = 0;
        std::size_t chunksSent = 0; // content chunks sent on this connection
        FaultPlan fault;
        std::string answerId; // identifier in the answer; differs from the request's if a fault is set
        JobId answerJob = 0; // job whose text the answer carries; differs from `job` if a fault is set
        bool disconnected = false; // the caller disconnected
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
    void applyCrossedFault(Call&) const;
    void tick();
    void serveCall(Call&);
    void serveStream(Call&, const EngineJob&);
    void endStream(Call&, const EngineJob&);
    void serveWhole(Call&, const EngineJob&);
    bool faultStopsSending(Call&);
    void cancelAbandoned(MonotonicTime now);

    DelayedCalls m_delays;
    EngineModel& m_model;
    EngineServerOptions m_options;
    FaultInjector m_faults;
    std::vector<CallPointer> m_calls;
    // Running jobs whose caller disconnected, with the time of that. Whole answers have the zero time, so
    // that they are cancelled at once: only streams can be resumed.
    std::map<JobId, MonotonicTime> m_abandoned;
    StandinServer m_server;
    RepeatingCall m_ticker;
};

} // namespace briarwharf
