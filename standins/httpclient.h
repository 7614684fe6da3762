#pragma once

#include "standins/httpserver.h"
#include <map>

namespace briarwharf {

struct ClientResponse {
    enum class End {
        Complete, // the whole answer arrived, as its Content-Length or chunked encoding shows
        ConnectFailed, // no byte of the request was sent
        Closed, // the connection closed before the end of the answer
        Unframed, // the answer has no framing: only the close of the connection marked its end
        TimedOut,
    };

    End end = End::Closed;
    int status = 0; // 0: no headers were received
    StandinHeaders headers;
    std::string body;

    // Value of the header, whose name is compared case-insensitively; "" if absent.
    std::string header(std::string_view name) const;
};

struct ClientRequest {
    std::string target; // "127.0.0.1:7400"
    std::string method = "POST"; // or "GET"
    std::string path; // including the query, percent-encoded
    StandinHeaders headers;
    std::string body;
    Milliseconds deadline { 30000 };
    // Called with each piece of the body as it arrives; may be empty.
    std::function<void(std::string_view)> onData;
    std::function<void(ClientResponse)> onDone; // called once, from the event loop
};

// HTTP client of the load tool, based on evhttp. Keeps idle connections for reuse, and closes a connection
// whose request did not end with a complete, framed answer. Must not be destroyed in a callback.
class HttpClient {
public:
    explicit HttpClient(event_base*);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    void start(ClientRequest);

    std::size_t inFlight() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace briarwharf
