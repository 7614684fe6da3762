#include "soak/soakcaller.h"

#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds deadline { 6000 };
    constexpr std::string_view key = "key-1";

} // namespace

SoakCaller::SoakCaller(event_base* base, HttpPool& pool, const Endpoint& instance,
    const ForwardingHeaders& headers, SoakAnswer answer, Done done)
    : m_answer(std::move(answer))
    , m_done(std::move(done))
    , m_timer(base, [this] { finish(); })
{
    OutgoingRequest request;
    request.head = (m_answer.atMostOnce ? "POST " : "GET ") + m_answer.target + " HTTP/1.1\r\n";
    appendField(request.head, "Host", "soak.example");
    appendField(request.head, headers.requestId, m_answer.requestId);
    appendField(request.head, headers.key, key);
    appendField(request.head, headers.deadline, std::to_string(deadline.count()));
    request.head += "Content-Length: 0\r\n\r\n";
    auto exchange = pool.start(instance, request, *this);
    if (exchange)
        m_exchange = std::move(exchange.value());
    m_timer.start(exchange ? deadline + Milliseconds(1000) : Milliseconds(0));
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
