#pragma once

#include "base/endpoint.h"
#include "base/error.h"
#include "connection/httppool.h"
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace briarwharf {

struct HttpCall {
    std::string method = "GET";
    std::string target; // path and query
    std::string body; // empty for no body
    Milliseconds timeout { 1000 }; // for the whole call
    std::string contentType = "application/json"; // of the body
    std::string fields; // complete header lines to add
    std::size_t maxAnswerBytes = 16 * 1024 * 1024;
};

struct HttpAnswer {
    int status = 0;
    HttpFields fields;
    std::string body;
    // UntilClose: it ended with its connection, and may be a part of an answer.
    BodyFraming framing = BodyFraming::None;
};

// HTTP calls to one address; each answer is buffered and delivered complete. An answer of any status is a
// result. Errors: Unavailable (no byte of the request was sent), Unknown (sent, but the exchange failed
// before the answer was complete), DeadlineExceeded (sent, but the answer was not complete within the
// timeout), TooLarge, and the errors of HttpPool::start().
//
//   HttpCaller caller(pool, endpoint);
//   caller.call({ .target = "/objects" }, [](Result<HttpAnswer> answer) { ... });
class HttpCaller {
public:
    using Callback = std::function<void(Result<HttpAnswer>)>;

    HttpCaller(event_base*, HttpPool&, Endpoint);
    ~HttpCaller(); // calls in progress are dropped without calling back
    HttpCaller(const HttpCaller&) = delete;
    HttpCaller& operator=(const HttpCaller&) = delete;

    void setEndpoint(const Endpoint& endpoint) { m_endpoint = endpoint; }

    // The callback runs once, from the event loop.
    void call(const HttpCall&, Callback);

    std::uint64_t calls() const { return m_calls; }
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    class Pending;

    void remove(Pending&);

    event_base* m_base;
    HttpPool& m_pool;
    Endpoint m_endpoint;
    std::list<std::unique_ptr<Pending>> m_pending;
    std::list<std::unique_ptr<Pending>> m_finished;
    Timer m_cleanupTimer;
    std::uint64_t m_calls = 0;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
};

} // namespace briarwharf
