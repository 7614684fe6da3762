#include "standins/loadrunner.h"
#include <algorithm>
#include <event2/event.h>
#include <numeric>

namespace briarwharf {

namespace {

    // The tool waits this much longer than the deadline that it sends.
    constexpr Milliseconds deadlineMargin { 2000 };
    constexpr Milliseconds sampleInterval { 200 };
    constexpr Milliseconds openInterval { 20 };
    constexpr Milliseconds statsDeadline { 1000 };
    // Share of the earlier prompt that must be cached to count as reused. It is below 1 because the tokens of
    // message framing may differ a little between turns.
    constexpr double minReusedShare = 0.95;
    constexpr int statusOk = 200;

    std::string endName(ClientResponse::End end)
    {
        switch (end) {
        case ClientResponse::End::ConnectFailed:
            return "connect_failed";
        case ClientResponse::End::TimedOut:
            return "timed_out";
        default:
            return "closed";
        }
    }

    // Type of a typed error, {"error": {"type"}}; "" if there is none.
    std::string errorType(const std::string& body)
    {
        auto parsed = parseJson(body, "error");
        if (!parsed || !parsed.value().is_object() || !parsed.value().contains("error"))
            return "";
        return stringField(parsed.value()["error"], "type").value_or("");
    }

    timeval toTimeval(RunTime duration)
    {
        auto micros = std::max<std::int64_t>(
            0, std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
        constexpr std::int64_t microsPerSecond = 1000000;
        return { static_cast<time_t>(micros / microsPerSecond),
            static_cast<suseconds_t>(micros % microsPerSecond) };
    }

} // namespace

struct LoadRunner::Turn {
    PlannedTurn planned;
    AnswerCheck check;
    RunTime started { 0 };
    RunTime lastChunk { 0 };
    bool chunkReceived = false;
};

// One idempotency key, with its first call and possibly one repeat.
struct LoadRunner::ServiceKey {
    std::string key;
    std::size_t organisation = 0;
    bool repeated = false;
    bool repeatAtOnce = false; // the repeat starts together with the first call
    std::string body; // body of the first completed answer
};

LoadRunner::LoadRunner(event_base* base, RunnerOptions options, LoadPlan& plan, LoadRunReport& report)
    : m_base(base)
    , m_options(std::move(options))
    , m_plan(plan)
    , m_report(report)
    , m_random(combineHashes(plan.options().seed, hash64("runner")))
    , m_client(base)
    , m_timer(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<LoadRunner*>(self)->handleArrivalTimer(); },
          this))
{
}

LoadRunner::~LoadRunner() { event_free(m_timer); }

void LoadRunner::start(std::function<void()> finished)
{
    m_finished = std::move(finished);
    m_start = std::chrono::steady_clock::now();
    if (!m_options.engines.empty())
        m_sampler = std::make_unique<RepeatingCall>(m_base, sampleInterval, [this] { sampleEngines(); });
    if (m_options.openStreams > 0) {
        m_report.openStreams.wanted = m_options.openStreams;
        m_opener = std::make_unique<RepeatingCall>(m_base, openInterval, [this] { openMoreStreams(); });
        return;
    }
    if (m_options.servicePool.empty())
        m_nextService = RunTime::max();
    scheduleNext();
}

RunTime LoadRunner::elapsed() const { return std::chrono::steady_clock::now() - m_start; }

const std::string& LoadRunner::randomTarget()
{
    return m_options.targets[m_random.below(m_options.targets.size())];
}

const OrganisationLoad& LoadRunner::organisationOf(const Turn& turn) const
{
    return m_plan.options().organisations[turn.planned.chat->organisation];
}

void LoadRunner::scheduleNext()
{
    auto next = std::min(m_plan.nextArrival(), m_nextService);
    timeval wait = toTimeval(next - elapsed());
    event_add(m_timer, &wait);
}

void LoadRunner::handleArrivalTimer()
{
    startDueRequests();
    if (std::chrono::duration<double>(elapsed()).count() >= m_options.durationSeconds
        || m_report.requests >= m_options.maxRequests) {
        m_stopped = true;
        return endIfDone();
    }
    scheduleNext();
}

void LoadRunner::startDueRequests()
{
    while (m_plan.nextArrival() <= elapsed() && m_report.requests < m_options.maxRequests) {
        auto turn = m_plan.takeArrival();
        if (m_inFlight < m_options.maxInFlight) {
            startTurn(std::move(turn));
        } else {
            ++m_report.skippedArrivals;
            m_plan.recordFailure(turn, elapsed());
        }
    }
    while (m_nextService <= elapsed()) {
        startService();
        m_nextService += std::chrono::duration_cast<RunTime>(
            std::chrono::duration<double>(m_random.exponential(1 / m_options.serviceRate)));
    }
}

void LoadRunner::endIfDone()
{
    if (!m_stopped || m_inFlight > 0 || !m_finished)
        return;
    m_sampler.reset();
    m_report.seconds = std::chrono::duration<double>(m_lastAnswer).count();
    auto finished = std::exchange(m_finished, nullptr);
    finished();
}

void LoadRunner::startTurn(PlannedTurn planned)
{
    const auto& chat = *planned.chat;
    ExpectedAnswer expected { planned.nonce, planned.answerTokens, m_options.direct ? planned.nonce : "" };
    auto turn = std::make_shared<Turn>(Turn { std::move(planned), AnswerCheck(expected), elapsed() });
    const auto& organisation = organisationOf(*turn);
    ClientRequest request;
    request.target = randomTarget();
    request.path = "/v1/chat/completions";
    request.body = turn->planned.body;
    request.deadline = m_options.deadline + deadlineMargin;
    request.headers = { { "Content-Type", "application/json" }, { "X-Briarwharf-Chat", chat.name },
        { "X-Briarwharf-Deadline-Ms", std::to_string(m_options.deadline.count()) } };
    if (!organisation.key.empty())
        request.headers.emplace_back("Authorization", "Bearer " + organisation.key);
    if (m_options.direct)
        request.headers.emplace_back("X-Request-Id", turn->planned.nonce);
    if (chat.usesHint && !chat.hint.empty())
        request.headers.emplace_back("X-Briarwharf-Residence", chat.hint);
    if (turn->planned.stream)
        request.onData = [this, turn](std::string_view bytes) { handleStreamData(*turn, bytes); };
    request.onDone = [this, turn](const ClientResponse& response) { finishTurn(*turn, response); };
    ++m_report.requests;
    ++m_report.organisations[organisation.name].requests;
    ++m_inFlight;
    m_client.start(std::move(request));
}

void LoadRunner::handleStreamData(Turn& turn, std::string_view bytes)
{
    auto chunks = turn.check.addStreamData(bytes);
    auto now = elapsed();
    for (std::size_t i = 0; i < chunks; ++i) {
        if (turn.chunkReceived) {
            m_report.betweenTokens.add(now - turn.lastChunk);
        } else {
            m_report.firstToken.add(now - turn.started);
            if (!turn.planned.longRequest)
                m_report.shortFirstToken.add(now - turn.started);
        }
        turn.chunkReceived = true;
        turn.lastChunk = now;
    }
}

// Outcome of an answer with a status other than 200.
std::string LoadRunner::classifyError(const ClientResponse& response)
{
    auto type = errorType(response.body);
    if (!type.empty())
        ++m_report.errorTypes[type];
    auto outcome = response.header("X-Briarwharf-Outcome");
    if (outcome == "not-run" || response.header("X-Not-Run") == "true")
        return "not_run";
    // This repeat arrived while the first call with its key was running; the first call reports the outcome.
    if (type == "call_in_progress")
        return "in_progress";
    if (outcome == "unknown")
        return "unknown";
    return "status_" + std::to_string(response.status);
}

std::string LoadRunner::classify(Turn& turn, const ClientResponse& response)
{
    auto& check = turn.check;
    bool whole = response.end == ClientResponse::End::Complete;
    if (whole && response.status == statusOk && !turn.planned.stream)
        check.addWholeAnswer(response.body);
    if (!check.identifierMatchesRequest())
        ++m_report.foreignIdentifier;
    if (!check.textMatchesRequest()) {
        ++m_report.foreignText;
        return "foreign";
    }
    if (!whole)
        return endName(response.end);
    if (response.status != statusOk)
        return classifyError(response);
    if (check.errorEventReceived())
        return "stream_error";
    if (!check.endReceived())
        return "truncated";
    if (!check.textComplete() || check.malformed()) {
        ++m_report.truncatedAsComplete;
        return "incomplete";
    }
    return "completed";
}

void LoadRunner::finishTurn(Turn& turn, const ClientResponse& response)
{
    --m_inFlight;
    m_lastAnswer = elapsed();
    auto outcome = classify(turn, response);
    auto& organisation = m_report.organisations[organisationOf(turn).name];
    ++m_report.outcomes[outcome];
    ++organisation.outcomes[outcome];
    // A streamed answer with status 200 reports its outcome in a comment at its end instead of in a header.
    bool outcomeInStream = turn.planned.stream && response.status == statusOk;
    if (!m_options.direct && response.status != 0 && !outcomeInStream
        && response.header("X-Briarwharf-Outcome").empty())
        ++m_report.missingOutcome;
    if (outcome == "completed")
        recordCompleted(turn, response.header("X-Briarwharf-Residence"));
    else
        m_plan.recordFailure(turn.planned, elapsed());
    endIfDone();
}

void LoadRunner::recordCompleted(Turn& turn, const std::string& hint)
{
    auto& chat = *turn.planned.chat;
    auto latency = elapsed() - turn.started;
    bool isLong = turn.planned.longRequest;
    auto& organisation = m_report.organisations[organisationOf(turn).name];
    m_report.latency.add(latency);
    (isLong ? m_report.longLatency : m_report.shortLatency).add(latency);
    (isLong ? organisation.longLatency : organisation.shortLatency).add(latency);
    ++m_report.completed;
    m_report.generatedTokens += turn.planned.answerTokens;
    auto prompt = turn.check.promptTokens();
    auto cached = turn.check.cachedTokens();
    m_report.promptTokens += static_cast<std::uint64_t>(prompt);
    auto requestTokens = static_cast<std::uint64_t>(prompt) + turn.planned.answerTokens;
    m_report.skew.largestRequestTokens = std::max(m_report.skew.largestRequestTokens, requestTokens);
    m_report.cachedTokens += static_cast<std::uint64_t>(cached);
    if (chat.turn > 0) {
        auto& reuse = chat.usesHint ? m_report.withHint : m_report.withoutHint;
        ++reuse.returning;
        if (static_cast<double>(cached) >= minReusedShare * static_cast<double>(chat.promptTokens))
            ++reuse.reused;
    }
    if (!hint.empty())
        chat.hint = hint;
    m_plan.recordAnswer(turn.planned, turn.check.text(), prompt, elapsed());
}

void LoadRunner::startService()
{
    auto key = std::make_shared<ServiceKey>();
    key->key = m_plan.options().runId + "-call-" + std::to_string(m_serviceKeys++);
    key->organisation = m_random.below(m_plan.options().organisations.size());
    key->repeated = m_random.chance(m_options.repeatShare);
    key->repeatAtOnce = m_random.chance(0.5);
    callService(key, false);
    if (key->repeated && key->repeatAtOnce)
        callService(key, true);
}

void LoadRunner::callService(const std::shared_ptr<ServiceKey>& key, bool repeat)
{
    const auto& organisation = m_plan.options().organisations[key->organisation];
    ClientRequest request;
    request.target = randomTarget();
    request.path = m_options.direct ? "/" + m_options.servicePath
                                    : "/v1/services/" + m_options.servicePool + "/" + m_options.servicePath;
    request.body = dumpJson({ { "item", key->key } });
    request.deadline = m_options.deadline + deadlineMargin;
    request.headers = { { "Content-Type", "application/json" }, { "Idempotency-Key", key->key },
        { "X-Briarwharf-Deadline-Ms", std::to_string(m_options.deadline.count()) } };
    if (!organisation.key.empty())
        request.headers.emplace_back("Authorization", "Bearer " + organisation.key);
    auto started = elapsed();
    request.onDone = [this, key, repeat, started](
                         const ClientResponse& response) { finishService(key, repeat, started, response); };
    ++m_report.services.calls;
    m_report.services.repeats += repeat ? 1 : 0;
    ++m_inFlight;
    m_client.start(std::move(request));
}

void LoadRunner::finishService(
    const std::shared_ptr<ServiceKey>& key, bool repeat, RunTime started, const ClientResponse& response)
{
    --m_inFlight;
    m_lastAnswer = elapsed();
    auto& services = m_report.services;
    bool whole = response.end == ClientResponse::End::Complete;
    bool completed = whole && response.status == statusOk;
    ++services.outcomes[completed ? "completed" : whole ? classifyError(response) : endName(response.end)];
    if (completed) {
        services.latency.add(elapsed() - started);
        auto body = parseJson(response.body, "answer");
        if (body && integerField(body.value(), "run").value_or(1) > 1)
            ++services.ranTwice;
        if (key->body.empty())
            key->body = response.body;
        else
            ++(key->body == response.body ? services.sameAnswers : services.differentAnswers);
    }
    if (!repeat && key->repeated && !key->repeatAtOnce)
        callService(key, true);
    endIfDone();
}

void LoadRunner::sampleEngines()
{
    auto round = ++m_sampleRound;
    m_roundTokensInProgress.clear();
    for (const auto& engine : m_options.engines) {
        ClientRequest request;
        request.target = engine;
        request.method = "GET";
        request.path = "/stats";
        request.deadline = statsDeadline;
        request.onDone = [this, round](const ClientResponse& response) { addSample(round, response); };
        m_client.start(std::move(request));
    }
}

// Adds one engine's answer to the current sampling round, and counts the round once every engine has
// answered. A round in which an engine does not answer is left out.
void LoadRunner::addSample(std::uint64_t round, const ClientResponse& response)
{
    auto stats = parseJson(response.body, "statistics");
    if (round != m_sampleRound || !stats)
        return;
    m_roundTokensInProgress.push_back(numberField(stats.value(), "tokens_in_progress").value_or(0));
    if (m_roundTokensInProgress.size() != m_options.engines.size())
        return;
    double sum = std::accumulate(m_roundTokensInProgress.begin(), m_roundTokensInProgress.end(), 0.0);
    double mean = sum / static_cast<double>(m_roundTokensInProgress.size());
    double highest = *std::max_element(m_roundTokensInProgress.begin(), m_roundTokensInProgress.end());
    if (mean < m_options.skewFloor)
        return;
    auto& skew = m_report.skew;
    ++skew.samples;
    skew.ratios.push_back(highest / mean);
    skew.maxExcessTokens = std::max(skew.maxExcessTokens, highest - m_options.loadBound * mean);
}

void LoadRunner::openMoreStreams()
{
    double seconds = std::chrono::duration<double>(elapsed()).count();
    auto due = std::min(m_options.openStreams, static_cast<std::size_t>(seconds * m_options.openRate));
    while (m_startedStreams < due)
        openStream();
    if (seconds < m_options.durationSeconds)
        return;
    m_report.seconds = seconds;
    m_sampler.reset();
    auto finished = std::exchange(m_finished, nullptr);
    if (finished)
        finished();
}

void LoadRunner::openStream()
{
    const auto& organisations = m_plan.options().organisations;
    const auto& organisation = organisations[m_startedStreams % organisations.size()];
    auto number = std::to_string(m_startedStreams++);
    Json message = { { "role", "user" }, { "content", "nonce=" + number } };
    Json body = { { "model", m_plan.options().model }, { "stream", true },
        { "max_tokens", m_options.openStreamTokens }, { "messages", Json::array({ message }) } };
    ClientRequest request;
    request.target = randomTarget();
    request.path = "/v1/chat/completions";
    request.body = dumpJson(body);
    // Streams are held to the end of the run; the deadline only limits a stream that hangs.
    request.deadline = Milliseconds(static_cast<std::int64_t>(m_options.durationSeconds * 1000)) * 2;
    request.headers = { { "Content-Type", "application/json" },
        { "X-Briarwharf-Deadline-Ms", std::to_string(request.deadline.count()) },
        { "X-Briarwharf-Chat", m_plan.options().runId + "-open-" + number } };
    if (!organisation.key.empty())
        request.headers.emplace_back("Authorization", "Bearer " + organisation.key);
    auto check = std::make_shared<AnswerCheck>(ExpectedAnswer { "nonce=" + number, 0, "" });
    auto chunkReceived = std::make_shared<bool>(false);
    auto started = elapsed();
    request.onData = [this, check, chunkReceived, started](std::string_view bytes) {
        auto chunks = check->addStreamData(bytes);
        m_report.openStreams.chunks += chunks;
        if (chunks == 0 || *chunkReceived)
            return;
        *chunkReceived = true;
        m_report.firstToken.add(elapsed() - started);
        ++m_report.openStreams.started;
        m_report.openStreams.maxOpen = std::max<std::uint64_t>(m_report.openStreams.maxOpen, ++m_openStreams);
    };
    request.onDone = [this, check, chunkReceived](const ClientResponse& response) {
        m_openStreams -= *chunkReceived ? 1 : 0;
        if (!check->textMatchesRequest())
            ++m_report.foreignText;
        bool whole = response.end == ClientResponse::End::Complete;
        ++m_report.outcomes[!whole            ? endName(response.end)
                : response.status == statusOk ? "ended"
                                              : classifyError(response)];
    };
    ++m_report.requests;
    m_client.start(std::move(request));
}

} // namespace briarwharf
