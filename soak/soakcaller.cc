#include "soak/soakcaller.h"

#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds deadline { 6000 };
    constexpr std::string_view key = "key-1";

} // namespace

SoakCaller::SoakCaller(event_base* base, HttpPool& pool, const Endpoint& instance,
    const ForwardingHeaders& headers, SoakAnswer answer, const CallerManner& manner, Done done)
    : m_answer(std::move(answer))
    , m_done(std::move(done))
    , m_readPause(manner.readPause)
    , m_timer(base, [this] { finish(); })
    , m_readTimer(base, [this] {
        if (m_exchange)
            m_exchange->resumeReading();
    })
{
    OutgoingRequest request;
    request.head = (m_answer.atMostOnce ? "POST " : "GET ") + m_answer.target + " HTTP/1.1\r\n";
    appendField(request.head, "Host", "soak.example");
    appendField(request.head, headers.requestId, m_answer.requestId);
    appendField(request.head, headers.key, key);
    appendField(request.head, headers.deadline, std::to_string(deadline.count()));
    if (!manner.segments.empty())
        appendField(request.head, headers.promptSegments, manner.segments);
    if (!manner.tokens.empty())
        appendField(request.head, headers.tokens, manner.tokens);
    request.head += "Content-Length: 0\r\n\r\n";
    auto exchange = pool.start(instance, request, *this);
    if (exchange)
        m_exchange = std::move(exchange.value());
    Milliseconds patience
        = manner.leavesAfter.count() > 0 ? manner.leavesAfter : deadline + Milliseconds(1000);
    m_timer.start(exchange ? patience : Milliseconds(0));
}

void SoakCaller::answerHead(const HttpHead& head)
{
    m_answer.status = head.status;
    if (m_readPause.count() == 0)
        return;
    m_exchange->pauseReading();
    m_readTimer.start(m_readPause);
}

void SoakCaller::answerEnd()
{
    m_answer.complete = true;
    finish();
}

void SoakCaller::finish()
{
    if (!m_done)
        return;
    m_timer.stop();
    m_exchange.reset();
    std::exchange(m_done, nullptr)(m_answer);
}

} // namespace briarwharf
