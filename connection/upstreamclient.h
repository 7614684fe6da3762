#pragma once

#include "base/error.h"
#include "base/time.h"
#include "connection/eventloop.h"
#include "connection/httppool.h"
#include "connection/httpserver.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace briarwharf {

struct UpstreamRequest {
    std::string method = "POST";
    std::string target; // path and query
    HttpHeaders headers;
    std::string body;
    Milliseconds deadline { 60000 }; // for the whole exchange
    Milliseconds silenceTimeout { 10000 }; // maximum time without a received byte, from the start
    std::size_t maxAnswerBytes = 0; // of the body; a longer answer ends as Invalid; 0: the owner bounds it
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
    Invalid, // the answer is not valid HTTP or exceeds a limit
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

class UpstreamClient;

// One request to an upstream and its answer.
class UpstreamExchange : private OutgoingEvents {
public:
    ~UpstreamExchange() override;
    UpstreamExchange(const UpstreamExchange&) = delete;
    UpstreamExchange& operator=(const UpstreamExchange&) = delete;

    // Closes the connection; no callback follows. May be called from a callback of this exchange.
    void cancel();

    // Stops reading from the upstream, for use while the caller is slow. The silence timeout does not run
    // meanwhile.
    void pauseReading();
    void resumeReading();

    bool requestWritten() const { return m_exchange ? m_exchange->written() : m_requestWritten; }

private:
    friend class UpstreamClient;
    UpstreamExchange(UpstreamClient*, const UpstreamRequest&, ExchangeCallbacks);

    void start(const UpstreamRequest&);
    void restartTimer();
    void handleTimer();
    void finish(ExchangeEnd);

    void answerHead(const HttpHead&) override;
    void answerBody(std::string_view) override;
    void answerEnd() override;
    void exchangeFailed(const ExchangeFailure&) override;

    UpstreamClient* m_client;
    ExchangeCallbacks m_callbacks;
    std::unique_ptr<OutgoingExchange> m_exchange; // null: could not be started, or has ended
    Timer m_timer;
    MonotonicTime m_deadline;
    MonotonicTime m_lastByteTime;
    Milliseconds m_silenceTimeout;
    std::size_t m_requestBytes = 0;
    std::size_t m_maxAnswerBytes;
    std::size_t m_answerBytes = 0;
    BodyFraming m_framing = BodyFraming::None; // of the answer
    bool m_requestWritten = false; // when it ended
    bool m_paused = false;
    bool m_finished = false;
};

// HTTP client of one upstream. A connection whose exchange did not end cleanly is closed, so that a late
// answer cannot reach another exchange.
//
//   UpstreamClient client(base, "127.0.0.1", 9001);
//   auto exchange = client.start(request, { onHead, onData, onEnd });
class UpstreamClient {
public:
    // The pool may serve several clients; null: a pool of its own.
    UpstreamClient(event_base*, std::string address, std::uint16_t port, std::shared_ptr<HttpPool> = nullptr);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient&) = delete;
    UpstreamClient& operator=(const UpstreamClient&) = delete;

    // A pool with the options for such clients.
    static std::shared_ptr<HttpPool> makePool(event_base*);

    // The client keeps the exchange until its end or cancel(); the pointer is needed only to call its
    // functions.
    std::shared_ptr<UpstreamExchange> start(const UpstreamRequest&, ExchangeCallbacks);

    // Bytes of requests that were written to the network, and bytes of header names, header values and bodies
    // received, for the count of control traffic.
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

    std::size_t idleConnections() const { return m_pool->idleConnections(m_endpoint); }

private:
    friend class UpstreamExchange;

    OutgoingRequest outgoing(const UpstreamRequest&) const;
    void release(UpstreamExchange*);

    event_base* m_base;
    Endpoint m_endpoint;
    std::shared_ptr<HttpPool> m_pool;
    std::unordered_map<UpstreamExchange*, std::shared_ptr<UpstreamExchange>> m_exchanges;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
};

} // namespace briarwharf
