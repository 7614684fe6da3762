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
    std::string body; // JSON; empty: none
    Milliseconds timeout { 1000 }; // for the whole call
    std::size_t maxAnswerBytes = 16 * 1024 * 1024;
};

struct HttpAnswer {
    int status = 0;
    std::string body;
};

// Calls to one address whose answers are taken whole. Answers of any status are results; errors are
// Unavailable (nothing was sent), Unknown (sent, but no whole answer came), DeadlineExceeded (likewise, in
// time) and TooLarge.
//
//   HttpCaller caller(pool, endpoint);
//   caller.call({ .target = "/objects" }, [](Result<HttpAnswer> answer) { ... });
class HttpCaller {
public:
    using Callback = std::function<void(Result<HttpAnswer>)>;

    HttpCaller(event_base*, HttpPool&, Endpoint);
    ~HttpCaller(); // open calls end without a call back
    HttpCaller(const HttpCaller&) = delete;
    HttpCaller& operator=(const HttpCaller&) = delete;

    void setEndpoint(const Endpoint& endpoint) { m_endpoint = endpoint; }

    // The callback runs once, from the loop.
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
    std::list<std::unique_ptr<Pending>> m_buried;
    Timer m_burial;
    std::uint64_t m_calls = 0;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
};

} // namespace briarwharf
