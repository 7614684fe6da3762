#pragma once

#include "standins/httpserver.h"
#include <map>

namespace briarwharf {

struct ClientResponse {
    enum class End {
        Complete, // the whole answer, as its framing says
        ConnectFailed, // no byte of the request left
        Closed, // the connection ended before the answer did
        Unframed, // only the closing connection marked the answer's end
        TimedOut,
    };

    End end = End::Closed;
    int status = 0; // 0: no headers came
    StandinHeaders headers;
    std::string body;

    // Value of the header, without regard to case; "" if absent.
    std::string header(std::string_view name) const;
};

struct ClientRequest {
    std::string target; // "127.0.0.1:7400"
    std::string method = "POST"; // or "GET"
    std::string path; // with its query, percent-encoded
    StandinHeaders headers;
    std::string body;
    Milliseconds deadline { 30000 };
    std::function<void(std::string_view)> onData; // each part of the body as it comes; may be empty
    std::function<void(ClientResponse)> onDone; // called once, from the loop
};

// HTTP client of the load tool, on evhttp: keeps idle connections, and closes each whose exchange did not end
// cleanly. Must not be destroyed in a callback.
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
