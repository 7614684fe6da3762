#pragma once

#include "base/error.h"
#include "base/time.h"
#include <cstdint>
#include <event2/event.h>
#include <evhtp/evhtp.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

struct HttpHeader {
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// The value of the first header with that name, ignoring case; nullopt if absent.
std::optional<std::string> findHeader(const HttpHeaders&, std::string_view name);

struct HttpServerOptions {
    std::size_t maxBodyBytes = 4 * 1024 * 1024; // a longer body is read and dropped, and sets bodyTooLarge
    std::size_t maxHeaderBytes = 32 * 1024; // all header lines together; more sets headersTooLarge
    std::size_t maxConnections = 10000; // further connections are closed at once
    Milliseconds idleTimeout { 75000 }; // a connection without traffic for this long is closed
};

struct HttpServerRequest {
    std::string method;
    std::string path;
    std::string query; // without '?'
    HttpHeaders headers;
    std::string body;
    bool bodyTooLarge = false;
    bool headersTooLarge = false;
};

class HttpServer;

// One request of a caller and its answer. Owned jointly by the server, while the connection exists, and by
// the code that answers the request. After the caller has disconnected, the functions that send the answer do
// nothing.
class HttpExchange {
public:
    const HttpServerRequest& request() const { return m_request; }

    // Sends a complete answer with Content-Length and ends the exchange.
    void reply(int status, const HttpHeaders&, std::string_view body);

    // Sends a chunked answer: startStream(), any number of write() calls, end(). abort() closes the
    // connection instead of ending the answer, so that the caller's client detects a truncated answer.
    void startStream(int status, const HttpHeaders&);
    void write(std::string_view);
    void end();
    void abort();

    bool isOpen() const { return m_handle != nullptr; }
    bool isStreaming() const { return m_streaming; }

    // Output bytes buffered in memory because the socket has not accepted them yet.
    std::size_t pendingBytes() const;

    // Called once if the connection ends before the answer has ended.
    void onClosed(std::function<void()> callback) { m_onClosed = std::move(callback); }
    // Called whenever all buffered output has been written to the socket.
    void onDrained(std::function<void()> callback) { m_onDrained = std::move(callback); }

private:
    friend class HttpServer;

    void addHeaders(const HttpHeaders&);
    void finish();
    void detach();

    evhtp_request_t* m_handle = nullptr;
    HttpServerRequest m_request;
    bool m_streaming = false;
    std::function<void()> m_onClosed;
    std::function<void()> m_onDrained;
};

// HTTP/1.1 server on libevhtp. Every complete request is passed to one handler, which may answer
// later.
//
//   HttpServer server(base, {}, [](std::shared_ptr<HttpExchange> exchange) {
//       exchange->reply(200, {}, "hello");
//   });
//   server.listen("127.0.0.1", 8080);
class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    HttpServer(event_base*, HttpServerOptions, Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Port 0 lets the system choose a port. Returns the port in use. Errors: Unavailable (the address is in
    // use or is not a local one).
    Result<std::uint16_t> listen(const std::string& address, std::uint16_t port);

    // Accepts no more connections; open ones continue.
    void stopListening();

    std::size_t connections() const { return m_connections; }

private:
    struct ConnectionState;

    static evhtp_res acceptConnection(evhtp_connection_t*, void* self);
    static evhtp_res headerRead(evhtp_request_t*, evhtp_header_t*, void* state);
    static evhtp_res bodyRead(evhtp_request_t*, evbuffer*, void* state);
    static evhtp_res outputWritten(evhtp_connection_t*, void* state);
    static evhtp_res requestFinished(evhtp_request_t*, void* state);
    static evhtp_res connectionFinished(evhtp_connection_t*, void* state);
    static void requestComplete(evhtp_request_t*, void* self);

    event_base* m_base;
    HttpServerOptions m_options;
    Handler m_handler;
    evhtp_t* m_evhtp;
    bool m_listening = false;
    std::size_t m_connections = 0;
};

} // namespace briarwharf
