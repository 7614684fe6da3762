#include "connection/httpcall.h"

#include <algorithm>
#include <utility>

namespace briarwharf {

class HttpCaller::Pending : public OutgoingEvents {
public:
    Pending(HttpCaller& owner, std::size_t maxAnswerBytes, Callback callback)
        : m_owner(owner)
        , m_maxAnswerBytes(maxAnswerBytes)
        , m_callback(std::move(callback))
        , m_timer(owner.m_base, [this] { handleTimer(); })
    {
    }

    void start(const HttpCall& call, const OutgoingRequest& request)
    {
        m_requestLine = call.method + " " + call.target;
        m_timer.start(call.timeout);
        auto exchange = m_owner.m_pool.start(m_owner.m_endpoint, request, *this);
        if (exchange) {
            m_exchange = std::move(exchange.value());
            return;
        }
        m_startError = exchange.error();
        m_timer.start(Milliseconds(0));
    }

    void answerHead(const HttpHead& head) override
    {
        m_answer.status = head.status;
        m_answer.fields = head.fields;
        m_answer.framing = head.framing;
        for (std::size_t index = 0; index < head.fields.size(); ++index)
            m_owner.m_bytesReceived += head.fields.at(index).name.size() + head.fields.at(index).value.size();
        if (head.framing == BodyFraming::Length)
            m_answer.body.reserve(std::min<std::uint64_t>(head.contentLength, m_maxAnswerBytes));
    }

    void answerBody(std::string_view bytes) override
    {
        m_owner.m_bytesReceived += bytes.size();
        if (m_answer.body.size() + bytes.size() > m_maxAnswerBytes)
            return finish(Error { ErrorKind::TooLarge, m_requestLine + ": the answer is over the bound" });
        m_answer.body += bytes;
    }

    void answerEnd() override { finish(std::move(m_answer)); }

    void exchangeFailed(const ExchangeFailure& failure) override
    {
        bool sent = failure.kind != ExchangeFailureKind::NotConnected;
        finish(Error {
            sent ? ErrorKind::Unknown : ErrorKind::Unavailable, m_requestLine + ": " + failure.reason });
    }

private:
    friend class HttpCaller;

    void handleTimer()
    {
        if (m_startError)
            return finish(*m_startError);
        bool sent = m_exchange && m_exchange->written();
        finish(Error { sent ? ErrorKind::DeadlineExceeded : ErrorKind::Unavailable,
            m_requestLine + ": no answer in time" });
    }

    void finish(Result<HttpAnswer> result)
    {
        if (!m_callback)
            return;
        m_timer.stop();
        m_exchange.reset();
        Callback callback = std::exchange(m_callback, nullptr);
        m_owner.remove(*this);
        callback(std::move(result));
    }

    HttpCaller& m_owner;
    std::size_t m_maxAnswerBytes;
    Callback m_callback;
    Timer m_timer;
    std::string m_requestLine;
    HttpAnswer m_answer;
    std::optional<Error> m_startError; // of HttpPool::start(): no byte was sent; reported by the timer
    std::unique_ptr<OutgoingExchange> m_exchange;
    std::list<std::unique_ptr<Pending>>::iterator m_position;
};

HttpCaller::HttpCaller(event_base* base, HttpPool& pool, Endpoint endpoint)
    : m_base(base)
    , m_pool(pool)
    , m_endpoint(std::move(endpoint))
    , m_cleanupTimer(base, [this] { m_finished.clear(); })
{
}

HttpCaller::~HttpCaller() = default;

void HttpCaller::call(const HttpCall& call, Callback callback)
{
    OutgoingRequest request;
    request.head = call.method + " " + call.target + " HTTP/1.1\r\n";
    appendField(request.head, "Host", printEndpoint(m_endpoint));
    if (!call.body.empty() || call.method != "GET") {
        appendField(request.head, "Content-Type", call.contentType);
        appendField(request.head, "Content-Length", std::to_string(call.body.size()));
    }
    request.head += call.fields + "\r\n";
    if (!call.body.empty())
        request.body = std::make_shared<const std::string>(call.body);
    ++m_calls;
    m_bytesSent += request.head.size() + call.body.size();
    m_pending.push_back(std::make_unique<Pending>(*this, call.maxAnswerBytes, std::move(callback)));
    m_pending.back()->m_position = std::prev(m_pending.end());
    m_pending.back()->start(call, request);
}

void HttpCaller::remove(Pending& pending)
{
    m_finished.splice(m_finished.end(), m_pending, pending.m_position);
    m_cleanupTimer.start(Milliseconds(0));
}

} // namespace briarwharf
