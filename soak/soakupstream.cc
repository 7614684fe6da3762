#include "soak/soakupstream.h"

#include "base/number.h"
#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds maxCallTime { 40 };
    constexpr Milliseconds maxEventPause { 60 };

} // namespace

class SoakUpstream::Run : public CallerEvents {
public:
    Run(SoakUpstream& owner, CallerExchange& caller, std::string requestId, std::string headerLines, int next,
        bool stream)
        : m_owner(owner)
        , m_caller(caller, *this)
        , m_requestId(std::move(requestId))
        , m_headerLines(std::move(headerLines))
        , m_next(next)
        , m_stream(stream)
        , m_timer(owner.m_base, [this] { step(); })
    {
        m_timer.start(pause());
    }

    bool isDone() const { return !m_caller; }
    void callerLeft() override { m_caller.release(); }

private:
    Milliseconds pause() const
    {
        Milliseconds maxPause = m_stream ? maxEventPause : maxCallTime;
        return Milliseconds(m_owner.m_random.below(static_cast<std::uint64_t>(maxPause.count())));
    }

    void step()
    {
        if (!m_caller)
            return;
        if (!m_stream)
            return m_caller.release()->answer(200, m_headerLines, bodyFor(m_requestId));
        if (!std::exchange(m_answerStarted, true))
            m_caller->startAnswer(200, m_headerLines, std::nullopt, {});
        if (m_next > events)
            return m_caller.release()->end();
        m_caller->write(event(m_next++, m_requestId));
        m_timer.start(pause());
    }

    SoakUpstream& m_owner;
    CallerHandle m_caller;
    std::string m_requestId;
    std::string m_headerLines;
    int m_next;
    bool m_stream;
    bool m_answerStarted = false;
    Timer m_timer;
};

SoakUpstream::SoakUpstream(
    event_base* base, std::string id, const ForwardingHeaders& headers, RunLog& log, std::uint64_t seed)
    : m_base(base)
    , m_id(std::move(id))
    , m_headers(headers)
    , m_log(log)
    , m_random(seed)
    , m_server(base, {},
          [this](const IngressRequest& request, CallerExchange& caller) { handle(request, caller); })
{
    m_port = m_server.listen({ "127.0.0.1", 0 }).value();
}

SoakUpstream::~SoakUpstream() = default;

std::string SoakUpstream::bodyFor(std::string_view requestId)
{
    return "answer to " + std::string(requestId);
}

std::string SoakUpstream::event(int number, std::string_view requestId)
{
    return "id: " + std::to_string(number) + "\ndata: " + std::string(requestId) + "\n\n";
}

void SoakUpstream::handle(const IngressRequest& request, CallerExchange& caller)
{
    m_runs.remove_if([](const auto& run) { return run->isDone(); });
    const HttpFields& fields = request.head.fields;
    std::string requestId(fields.find(m_headers.requestId));
    std::string headerLines;
    appendField(headerLines, m_headers.requestId, requestId);
    std::string_view expected = fields.find(m_headers.expectedUpstream);
    if (!expected.empty() && expected != m_id)
        return caller.answer(421, headerLines, {});
    ++m_log.runs[requestId];
    m_log.onRequest(m_id);
    appendField(headerLines, m_headers.signature, m_id);
    bool stream = request.head.target.rfind("/chat/", 0) == 0 || request.head.target.rfind("/ask/", 0) == 0;
    auto after = parseNumber<std::uint64_t>(fields.find(m_headers.lastEvent));
    m_runs.push_back(std::make_unique<Run>(
        *this, caller, requestId, headerLines, static_cast<int>(after.value_or(0)) + 1, stream));
}

} // namespace briarwharf
