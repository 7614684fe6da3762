#pragma once

#include "connection/ingress.h"

namespace briarwharf {

// One caller's connection. Part of Ingress, which is its only user.
class IngressConnection : public TcpStreamEvents, public HttpMessageSink, public CallerExchange {
public:
    IngressConnection(Ingress&, int socket, Ingress::Source);
    ~IngressConnection() override;
    IngressConnection(const IngressConnection&) = delete;
    IngressConnection& operator=(const IngressConnection&) = delete;

    // False while a part of the last answer waits to be sent, or a pipelined request to be parsed.
    bool isIdle() const;
    // Whether no request has come on it, or it has been idle for longer than callers reuse a connection.
    bool isUnused(MonotonicTime now) const;
    // Whether a body is read that falls behind the minimum rate.
    bool isBehind(MonotonicTime now) const;
    Ingress::Source source() const { return m_source; }

    // Closes the connection, or answers 408, if the timeout of its state has passed.
    void checkTimeouts(MonotonicTime now);

    // Memory that evict() frees, not that of a request in progress; 0: too little to be worth it.
    // Whether its request can be refused as not run, without harm to an answer.
    bool isRefusable() const;
    std::size_t evictableBytes() const;
    // Higher for a connection that holds more and moves less.
    double evictionScore(MonotonicTime now) const;
    // Refuses the unfinished request, or closes the connection.
    void evict();

    void streamReceived(std::string_view bytes) override;
    void streamEnded() override { handleDisconnect(); }
    void streamFailed(std::string_view) override { handleDisconnect(); }
    void streamDrained() override;

    void messageHead(const HttpHead&) override;
    void messageBody(std::string_view) override;
    void messageEnd() override { }

    void setEvents(CallerEvents* events) override { m_events = events; }
    void answer(int status, std::string_view fields, std::string_view body) override;
    void startAnswer(int status, std::string_view fields, std::optional<std::uint64_t> length,
        std::string_view firstBytes) override;
    void write(std::string_view) override;
    void end() override;
    void abort() override;
    std::size_t pendingBytes() const override { return m_stream->pendingBytes(); }

private:
    friend class Ingress;

    enum class State {
        Reading, // reading a request, or waiting for one
        Answering,
        Discarding, // answered before the request was read; input is dropped until a close or lingerTimeout
        Closing, // the last answer is being sent
        Closed,
    };

    // Whether the caller has taken nothing of the last answer for stalledWriteTimeout.
    bool isStalled(MonotonicTime now);
    void parse(std::string_view);
    void applyLimits();
    bool reserveHead();
    void dispatch();
    void keepInput(std::string_view);
    void appendBody(std::string& out, std::string_view bytes) const;
    void finishHead(std::string& out);
    void finishAnswer();
    void resumeInput();
    void resumeInputLater();
    bool mustDrainFirst() const;
    void refuseOverloaded();
    void refuse(int status, std::string_view reason);
    void sendRefusal(int status, std::string_view reason, std::string_view lines);
    void writeCounted(std::string_view);
    void countHeld();
    void countSent(MonotonicTime now);
    void enterState(State);
    void handleDisconnect();
    void close();

    Ingress& m_ingress;
    Ingress::Connections::iterator m_position; // in Ingress::m_connections
    Ingress::Source m_source;
    std::unique_ptr<TcpStream> m_stream;
    HttpParser m_parser;
    State m_state = State::Reading;
    MonotonicTime m_stateEntered; // when the state was entered
    MonotonicTime m_firstByteTime; // when the first byte of the request arrived
    ProgressMeter m_progress; // of the body that is read, or of the output that is sent
    Milliseconds m_idleLimit;
    std::size_t m_maxBodyBytes = 0; // of the request that is read
    GrowingBody m_body;
    std::string m_pipelinedInput; // buffered bytes of later requests
    CallerEvents* m_events = nullptr;
    MemoryHold m_connectionMemory;
    MemoryHold m_inputMemory;
    MemoryHold m_outputMemory;
    std::size_t m_unsentBytes = 0; // of the output when it was last looked at
    std::size_t m_undeliveredBytes = 0; // of the last answer, when it was last looked at
    MonotonicTime m_deliveredAt; // when bytes of it were last seen to have been delivered
    bool m_requested = false; // a whole request has arrived on the connection
    bool m_bodyTooLarge = false;
    bool m_overloaded = false; // no memory was left while the head or the body arrived
    bool m_keepAlive = true;
    bool m_closeAfter = false;
    bool m_chunked = false;
    bool m_answersHead = false; // the request's method is HEAD: its answer has no body
};

} // namespace briarwharf
