#pragma once

#include "base/base.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

struct event_base;

namespace briarwharf {

using StandinHeaders = std::vector<std::pair<std::string, std::string>>;

// One request as a stand-in sees it, whole and decoded.
struct StandinRequest {
    std::string method; // "GET", ...
    std::string path; // percent-decoded
    StandinHeaders headers;
    StandinHeaders query; // percent-decoded
    std::string body;

    // Value of the header, without regard to case; "" if absent.
    std::string header(std::string_view name) const;
    // Value of the query argument; "" if absent.
    std::string argument(std::string_view name) const;
};

// The answer to one request. Shared, because faults and streams answer later than the handler returns; after
// the connection has gone, every call has no effect.
class StandinExchange {
public:
    virtual ~StandinExchange() = default;

    // A whole answer with its length.
    virtual void reply(int status, const std::string& body, const StandinHeaders& headers = {}) = 0;
    // A chunked answer: start, any number of chunks, end.
    virtual void startStream(const StandinHeaders& headers) = 0;
    virtual void sendChunk(std::string_view) = 0;
    virtual void endStream() = 0;
    // Bytes as they are, in place of an answer; follow it with cut().
    virtual void sendRaw(std::string_view) = 0;
    // Closes the connection after what was sent before has been given to the kernel; nothing marks an end.
    virtual void cut() = 0;
    // Whether the connection still exists.
    virtual bool open() const = 0;
    // Bytes that wait for the caller to read.
    virtual std::size_t waitingBytes() const = 0;
    // Called once if the connection goes before the answer is complete.
    virtual void onGone(std::function<void()>) = 0;
};

using ExchangePointer = std::shared_ptr<StandinExchange>;
using StandinHandler = std::function<void(const StandinRequest&, const ExchangePointer&)>;

// An HTTP server of a stand-in on 127.0.0.1, on libevhtp.
class StandinServer {
public:
    StandinServer(event_base*, StandinHandler);
    ~StandinServer();
    StandinServer(const StandinServer&) = delete;
    StandinServer& operator=(const StandinServer&) = delete;

    // Port 0 lets the system choose. Returns the port in force. Errors: Unavailable (the port is taken).
    Result<std::uint16_t> listen(std::uint16_t port);

    // The connections that are open now, apart from the one of `except`, never answer again; new ones work.
    void silenceOpenConnections(const ExchangePointer& except);

    std::size_t openConnections() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// Runs functions once, each after its delay; those that still wait go with the object.
class DelayedCalls {
public:
    explicit DelayedCalls(event_base*);
    ~DelayedCalls();
    DelayedCalls(const DelayedCalls&) = delete;
    DelayedCalls& operator=(const DelayedCalls&) = delete;

    void run(Milliseconds delay, std::function<void()>);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// Runs the function at each interval until the object is destroyed.
class RepeatingCall {
public:
    RepeatingCall(event_base*, Milliseconds interval, std::function<void()>);
    ~RepeatingCall();
    RepeatingCall(const RepeatingCall&) = delete;
    RepeatingCall& operator=(const RepeatingCall&) = delete;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// Shorthand for an answer with a JSON body.
void replyJson(const ExchangePointer&, int status, const Json&, StandinHeaders headers = {});

// Shorthand for a typed error: {"error": {"type", "message"}}.
void replyError(const ExchangePointer&, int status, std::string_view type, std::string_view message,
    StandinHeaders headers = {});

} // namespace briarwharf
