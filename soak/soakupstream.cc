#include "soak/soakupstream.h"

#include "base/hash.h"
#include "base/number.h"
#include <array>
#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds maxCallTime { 40 };
    constexpr Milliseconds maxEventPause { 60 };
    constexpr Milliseconds lateBy { 900 };

    // One request in so many has long events, so that answers to slow callers fill all buffers on their way.
    constexpr std::uint64_t longEventsOneIn = 32;
    constexpr std::size_t longEventBytes = 256 * 1024;

    // The upstreams of a stream's attempts must agree whether their answers state a media type.
    bool statesMediaType(std::string_view requestId) { return hash64(requestId, 1) % 2 == 0; }

} // namespace

class SoakUpstream::Run : public CallerEvents {
public:
    struct Request {
        std::string id;
        int nextEvent = 1;
        bool stream = false;
        bool crashes = false; // the upstream that begins to answer it
    };

    Run(SoakUpstream& owner, CallerExchange& caller, Request request, std::string headerLines, bool isBad)
        : m_owner(owner)
        , m_caller(caller, *this)
        , m_request(std::move(request))
        , m_headerLines(std::move(headerLines))
        , m_timer(owner.m_base, [this] { step(); })
    {
        if (isBad)
            m_badAnswer = badAnswers()[m_owner.m_random.below(badAnswers().size())];
        m_timer.start(m_badAnswer == &Run::answerLate ? lateBy : pause());
    }

    bool isDone() const { return !m_caller; }
    void callerLeft() override { m_caller.release(); }

private:
    using BadAnswer = void (Run::*)();

    static const std::vector<BadAnswer>& badAnswers()
    {
        static const std::vector<BadAnswer> answers { &Run::fail, &Run::failWithPause, &Run::breakOff,
            &Run::breakOffInAnswer, &Run::answerLate, &Run::answerTwice, &Run::answerUnsigned,
            &Run::answerWithoutEnd };
        return answers;
    }

    Milliseconds pause() const
    {
        Milliseconds maxPause = m_request.stream ? maxEventPause : maxCallTime;
        return Milliseconds(m_owner.m_random.below(static_cast<std::uint64_t>(maxPause.count())));
    }

    void step()
    {
        if (!m_caller)
            return;
        if (m_request.crashes)
            return m_owner.m_log.onCrash(m_owner.m_id);
        if (m_badAnswer)
            return (this->*std::exchange(m_badAnswer, nullptr))();
        if (!m_request.stream)
            return m_caller.release()->answer(200, m_headerLines, bodyFor(m_request.id));
        if (!std::exchange(m_answerStarted, true))
            m_caller->startAnswer(200, m_headerLines, std::nullopt, {});
        if (m_request.nextEvent > events)
            return m_caller.release()->end();
        m_caller->write(event(m_request.nextEvent++, m_request.id));
        m_timer.start(pause());
    }

    void fail() { m_caller.release()->answer(500, m_headerLines, "failure"); }
    void failWithPause()
    {
        m_caller.release()->answer(503, m_headerLines + "Retry-After: 0.4\r\n", "failure");
    }
    void breakOff() { m_caller.release()->abort(); }
    void breakOffInAnswer()
    {
        std::string text = event(m_request.nextEvent, m_request.id);
        m_caller->startAnswer(200, m_headerLines, std::nullopt, text + text.substr(0, text.size() / 2));
        m_caller.release()->abort();
    }
    void answerLate() { step(); } // the constructor has waited
    // Bytes that follow the answer's length are another answer on the connection.
    void answerTwice()
    {
        std::string body = bodyFor(m_request.id);
        std::string again = "HTTP/1.1 200 OK\r\n" + m_headerLines
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        if (m_request.stream)
            return breakOff();
        m_caller->startAnswer(200, m_headerLines, body.size(), body);
        m_caller->write(again);
        m_caller.release()->end();
    }
    void answerUnsigned() { m_caller.release()->answer(200, {}, bodyFor(m_request.id)); }
    // Writes more bytes than an instance may keep in memory.
    void answerWithoutEnd()
    {
        if (!std::exchange(m_answerStarted, true))
            m_caller->startAnswer(500, m_headerLines, std::nullopt, "failure");
        if (++m_pieces > maxPieces)
            return m_caller.release()->abort();
        m_caller->write(std::string(pieceBytes, 'x'));
        m_badAnswer = &Run::answerWithoutEnd;
        m_timer.start(Milliseconds(5));
    }

    static constexpr int maxPieces = 64;
    static constexpr std::size_t pieceBytes = 64 * 1024;

    SoakUpstream& m_owner;
    CallerHandle m_caller;
    Request m_request;
    std::string m_headerLines;
    BadAnswer m_badAnswer = nullptr;
    bool m_answerStarted = false;
    int m_pieces = 0;
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
    std::size_t filler = hash64(requestId) % longEventsOneIn == 0 ? longEventBytes : 0;
    return "id: " + std::to_string(number) + "\ndata: " + std::string(requestId) + std::string(filler, '.')
        + "\n\n";
}

void SoakUpstream::handle(const IngressRequest& request, CallerExchange& caller)
{
    m_runs.remove_if([](const auto& run) { return run->isDone(); });
    const HttpFields& fields = request.head.fields;
    std::string requestId(fields.find(m_headers.requestId));
    std::string headerLines;
    appendField(headerLines, m_headers.requestId, requestId);
    if (m_faults.leaving)
        appendField(headerLines, m_headers.leaving, "1");
    if (m_faults.limit)
        appendField(headerLines, m_headers.rateLimit, std::to_string(*m_faults.limit));
    std::string_view expected = fields.find(m_headers.expectedUpstream);
    if (!expected.empty() && expected != m_id)
        return caller.answer(421, headerLines, {});
    bool isBad = m_faults.badShare > 0 && m_random.chance(m_faults.badShare);
    if (isBad && m_random.chance(0.3))
        return caller.answer(503, headerLines + m_headers.notRun + ": 1\r\nRetry-After: 0.3\r\n", "not run");
    ++m_log.runs[requestId];
    m_log.onRequest(m_id);
    appendField(headerLines, m_headers.signature, m_id);
    if (statesMediaType(requestId))
        appendField(headerLines, "Content-Type", "text/event-stream");
    Run::Request run;
    run.id = requestId;
    run.stream = request.head.target.rfind("/chat/", 0) == 0 || request.head.target.rfind("/ask/", 0) == 0;
    run.nextEvent
        = static_cast<int>(parseNumber<std::uint64_t>(fields.find(m_headers.lastEvent)).value_or(0)) + 1;
    std::string_view segments = fields.find(m_headers.promptSegments);
    auto first = parseNumber<std::uint64_t>(segments.substr(0, segments.find(':')), 16);
    run.crashes = first.value_or(0) >= firstCrashingSegment;
    m_runs.push_back(std::make_unique<Run>(*this, caller, std::move(run), headerLines, isBad));
}

} // namespace briarwharf
