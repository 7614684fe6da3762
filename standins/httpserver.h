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

// A complete, decoded request to a stand-in.
struct StandinRequest {
    std::string method; // "GET", ...
    std::string path; // percent-decoded
    StandinHeaders headers;
    StandinHeaders query; // percent-decoded
    std::string body;

    // Value of the header, whose name is compared case-insensitively; "" if absent.
    std::string header(std::string_view name) const;
    // Value of the query argument; "" if absent.
    std::string argument(std::string_view name) const;
};

// The answer to one request. Shared, because faults and streams send it after the handler has returned. Once
// the connection is closed, calls have no effect.
class StandinExchange {
public:
    virtual ~StandinExchange() = default;

    // Sends a whole answer with Content-Length.
    virtual void reply(int status, const std::string& body, const StandinHeaders& headers = {}) = 0;
    // Send a chunked answer: startStream, any number of sendChunk, endStream.
    virtual void startStream(const StandinHeaders& headers) = 0;
    virtual void sendChunk(std::string_view) = 0;
    virtual void endStream() = 0;
    // Writes bytes unchanged to the connection, instead of an answer; call cut() afterwards.
    virtual void sendRaw(std::string_view) = 0;
    // Closes the connection after a short delay that lets earlier bytes reach the kernel; the answer gets no
    // end marker.
    virtual void cut() = 0;
    // Whether the connection still exists and the answer is not complete.
    virtual bool open() const = 0;
    // Bytes in the output buffer that are not sent yet, because the caller reads slowly.
    virtual std::size_t unsentBytes() const = 0;
    // Sets a callback, called once if the connection closes before the answer is complete.
    virtual void onDisconnect(std::function<void()>) = 0;
};

using ExchangePointer = std::shared_ptr<StandinExchange>;
using StandinHandler = std::function<void(const StandinRequest&, const ExchangePointer&)>;

// HTTP server of a stand-in on 127.0.0.1, based on libevhtp.
class StandinServer {
public:
    StandinServer(event_base*, StandinHandler);
    ~StandinServer();
    StandinServer(const StandinServer&) = delete;
    StandinServer& operator=(const StandinServer&) = delete;

    // Port 0 lets the system choose a port. Returns the actual port. Errors: Unavailable (the port is taken).
    Result<std::uint16_t> listen(std::uint16_t port);

    // Stops all answers on the connections that are open now, except the one of `except`. New connections
    // work.
    void silenceOpenConnections(const ExchangePointer& except);

    std::size_t openConnections() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// Runs functions once, each after its delay. Functions that have not run are discarded with the object.
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

// Runs a function periodically until the object is destroyed.
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

// Sends a whole answer with a JSON body.
void replyJson(const ExchangePointer&, int status, const Json&, StandinHeaders headers = {});

// Sends a typed error: {"error": {"type", "message"}}.
void replyError(const ExchangePointer&, int status, std::string_view type, std::string_view message,
    StandinHeaders headers = {});

} // namespace briarwharf
