#pragma once

#include "base/error.h"
#include "base/time.h"
#include "connection/eventloop.h"
#include "connection/httpserver.h"
#include <cstdint>
#include <event2/event.h>
#include <event2/http.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

struct evbuffer_cb_info;

namespace briarwharf {

struct UpstreamRequest {
    std::string method = "POST";
    std::string target; // path and query
    HttpHeaders headers;
    std::string body;
    Milliseconds deadline { 60000 }; // for the whole exchange
    Milliseconds silenceTimeout { 10000 }; // maximum time without a received byte, from the start
    // Opens a new connection: the upstream may close an idle connection at any moment, and it is then unknown
    // whether a request written at that moment ran. Set for calls that must not be repeated.
    bool freshConnection = false;
};

// How an exchange with an upstream ended.
enum class ExchangeEnd {
    Complete, // the answer is complete: a length or a last chunk marked its end
    ConnectFailed, // no connection
    Truncated, // closed before the answer was complete, or only the close marked its end
    Silent, // no byte for UpstreamRequest::silenceTimeout
    DeadlineExceeded,
    Invalid, // the answer is not valid HTTP or exceeds the limits
    Cancelled, // by cancel()
};

std::string_view exchangeEndName(ExchangeEnd);

struct ExchangeResult {
    ExchangeEnd end = ExchangeEnd::ConnectFailed;
    bool requestWritten = false; // a byte of the request was sent, so it may have run
};

struct ResponseHead {
    int status = 0;
    HttpHeaders headers;
};

struct ExchangeCallbacks {
    std::function<void(const ResponseHead&)> onHead;
    std::function<void(std::string_view)> onData;
    // Called exactly once unless the exchange was cancelled; the exchange must not be used afterwards.
    std::function<void(const ExchangeResult&)> onEnd;
};

struct UpstreamClientOptions {
    Milliseconds connectTimeout { 1000 };
    std::size_t maxIdleConnections = 64;
    std::size_t maxHeaderBytes = 64 * 1024;
    std::size_t maxChunkBytes = 16 * 1024 * 1024;
};

class UpstreamClient;

// One request to an upstream and its answer.
class UpstreamExchange {
public:
    ~UpstreamExchange();
    UpstreamExchange(const UpstreamExchange&) = delete;
    UpstreamExchange& operator=(const UpstreamExchange&) = delete;

    // Closes the connection; no callback follows. May be called from a callback of this exchange.
    void cancel();

    // Stops reading from the upstream, for use while the caller is slow. The silence timeout does not run
    // meanwhile.
    void pauseReading();
    void resumeReading();

    bool requestWritten() const { return m_requestWritten; }

private:
    friend class UpstreamClient;
    UpstreamExchange(UpstreamClient*, const UpstreamRequest&, ExchangeCallbacks);

    void start(evhttp_connection*, const UpstreamRequest&);
    void restartTimer();
    void handleTimer();
    void finish(ExchangeEnd);
    bool isAnswerFramed(evhttp_request*) const;

    static int headRead(evhttp_request*, void* self);
    static void dataRead(evhttp_request*, void* self);
    static void failed(evhttp_request_error, void* self);
    static void done(evhttp_request*, void* self);
    static void outputChanged(evbuffer*, const evbuffer_cb_info*, void* self);

    UpstreamClient* m_client;
    ExchangeCallbacks m_callbacks;
    evhttp_connection* m_connection = nullptr;
    Timer m_timer;
    MonotonicTime m_deadline;
    MonotonicTime m_lastByteTime;
    Milliseconds m_silenceTimeout;
    Milliseconds m_connectTimeout;
    ExchangeEnd m_failure = ExchangeEnd::Truncated;
    bool m_requestWritten = false;
    bool m_connected = false;
    bool m_paused = false;
    bool m_finished = false;
};

// HTTP client of one upstream, with a pool of idle connections whose exchanges ended cleanly. A connection
// whose exchange did not end cleanly is closed, so that a late answer cannot reach another exchange.
//
//   UpstreamClient client(base, "127.0.0.1", 9001, {});
//   auto exchange = client.start(request, { onHead, onData, onEnd });
class UpstreamClient {
public:
    UpstreamClient(event_base*, std::string address, std::uint16_t port, UpstreamClientOptions);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient&) = delete;
    UpstreamClient& operator=(const UpstreamClient&) = delete;

    // The client keeps the exchange until its end or cancel(); the pointer is needed only to call its
    // functions.
    std::shared_ptr<UpstreamExchange> start(const UpstreamRequest&, ExchangeCallbacks);

    // Bytes written to the network, and bytes of header names, header values and bodies received, for the
    // count of control traffic.
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

    std::size_t idleConnections() const { return m_idle.size(); }

private:
    friend class UpstreamExchange;

    evhttp_connection* openConnection();
    void recycle(evhttp_connection*);
    void closeLater(evhttp_connection*);
    void release(UpstreamExchange*);

    event_base* m_base;
    std::string m_address;
    std::uint16_t m_port;
    UpstreamClientOptions m_options;
    std::vector<evhttp_connection*> m_idle;
    std::unordered_map<UpstreamExchange*, std::shared_ptr<UpstreamExchange>> m_exchanges;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
};

} // namespace briarwharf
