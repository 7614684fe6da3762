#include "standins/enginemodel.h"
#include <algorithm>

namespace briarwharf {

namespace {

    constexpr std::size_t bytesPerToken = 4;
    constexpr std::uint32_t messageOverheadTokens = 4;
    constexpr Milliseconds stepLength { 10 };
    // While any request decodes, prefill gets at most this share of the time, as in engines with chunked
    // prefill.
    constexpr double prefillShare = 0.5;
    constexpr auto endedJobRetention = std::chrono::seconds(60);
    constexpr std::size_t maxEndedJobs = 20000;
    constexpr std::size_t maxKeptContexts = 100000;
    constexpr std::size_t maxKeptEvents = 20000;
    constexpr std::size_t maxKeptOrders = 100;
    constexpr std::string_view noncePrefix = "nonce=";

    // The first word starting with "nonce=" in the last message; "answer" if there is none.
    std::string findNonce(const std::vector<ChatMessage>& messages)
    {
        if (messages.empty())
            return "answer";
        const auto& content = messages.back().content;
        auto start = content.find(noncePrefix);
        if (start == std::string::npos)
            return "answer";
        return content.substr(start, content.find_first_of(" \n\t", start) - start);
    }

    PrefixSegment nextSegment(std::uint64_t previous, std::string_view role, std::string_view content)
    {
        return { combineHashes(combineHashes(previous, hash64(role)), hash64(content)),
            countTokens(content) + messageOverheadTokens };
    }

} // namespace

std::uint32_t countTokens(std::string_view text)
{
    return static_cast<std::uint32_t>((text.size() + bytesPerToken - 1) / bytesPerToken);
}

EngineModel::EngineModel(EngineOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_cache(m_options.cacheTokens)
    , m_version(m_options.model)
{
}

Result<JobId> EngineModel::submit(const EngineRequest& request, MonotonicTime now)
{
    advance(now);
    if (m_role == "draining") {
        ++m_refused;
        return Error { ErrorKind::Overloaded, "the engine is draining: send the request to another one" };
    }
    if (m_queue.size() >= m_options.maxQueue) {
        ++m_refused;
        return Error { ErrorKind::Overloaded, "the engine's queue is full: retry later" };
    }
    EngineJob job;
    job.id = request.id;
    job.chat = request.chat;
    job.firstWord = findNonce(request.messages);
    for (const auto& message : request.messages) {
        job.segments.push_back(nextSegment(job.prefixHash, message.role, message.content));
        job.prefixHash = job.segments.back().hash;
        job.promptTokens += job.segments.back().tokens;
    }
    job.maxTokens = std::max<std::uint32_t>(1, request.maxTokens);
    job.priority = request.priority;
    JobId id = m_nextJob++;
    m_tokensInProgress += job.promptTokens + job.maxTokens;
    m_peakTokensInProgress = std::max(m_peakTokensInProgress, m_tokensInProgress);
    m_queue.emplace(job.priority, id);
    m_jobByRequestId[job.id] = id;
    m_jobs.emplace(id, std::move(job));
    ++m_submitted;
    admit();
    recordReport(now);
    return id;
}

void EngineModel::advance(MonotonicTime now)
{
    while (!m_pendingLoads.empty() && m_pendingLoads.front().due <= now) {
        m_version = m_pendingLoads.front().version;
        m_pendingLoads.pop_front();
        recordReport(now);
    }
    while (m_advancedTo < now && !m_running.empty()) {
        auto end = std::min<MonotonicTime>(now, m_advancedTo + stepLength);
        step(std::chrono::duration<double>(end - m_advancedTo).count(), end);
        m_advancedTo = end;
    }
    m_advancedTo = std::max(m_advancedTo, now);
    removeEndedJobs(now);
}

void EngineModel::step(double seconds, MonotonicTime now)
{
    admit();
    bool anyDecode = false;
    bool anyPrefill = false;
    for (JobId id : m_running)
        (m_jobs[id].state == JobState::Decode ? anyDecode : anyPrefill) = true;
    double prefillSeconds = anyPrefill ? (anyDecode ? seconds * prefillShare : seconds) : 0;
    prefill(prefillSeconds);
    decode(seconds - (anyDecode ? prefillSeconds : 0), now);
    admit();
}

void EngineModel::admit()
{
    while (!m_queue.empty() && m_running.size() < m_options.maxBatch) {
        JobId id = m_queue.begin()->second;
        m_queue.erase(m_queue.begin());
        auto& job = m_jobs[id];
        job.cachedTokens = static_cast<std::uint32_t>(m_cache.lookUp(job.segments));
        job.prefillTokensLeft = job.promptTokens - job.cachedTokens;
        job.state = JobState::Prefill;
        m_promptTokens += job.promptTokens;
        m_cachedTokens += job.cachedTokens;
        m_running.insert(id);
    }
}

void EngineModel::prefill(double seconds)
{
    std::vector<JobId> waiting;
    for (JobId id : m_running) {
        if (m_jobs[id].state == JobState::Prefill)
            waiting.push_back(id);
    }
    for (JobId id : waiting) {
        auto& job = m_jobs[id];
        job.prefillTokensLeft
            -= seconds * m_options.prefillTokensPerSecond / static_cast<double>(waiting.size());
        if (job.prefillTokensLeft <= 0)
            job.state = JobState::Decode;
    }
}

void EngineModel::decode(double seconds, MonotonicTime now)
{
    std::vector<JobId> decoding;
    for (JobId id : m_running) {
        if (m_jobs[id].state == JobState::Decode)
            decoding.push_back(id);
    }
    if (decoding.empty())
        return;
    double rate = std::min(
        m_options.streamTokensPerSecond, m_options.tokensPerSecond / static_cast<double>(decoding.size()));
    for (JobId id : decoding) {
        auto& job = m_jobs[id];
        job.produced = std::min<double>(job.maxTokens, job.produced + rate * seconds);
        // The sum of fractional steps may end just below maxTokens because of floating-point rounding.
        constexpr double rounding = 1e-6;
        if (job.produced + rounding >= job.maxTokens) {
            job.produced = job.maxTokens;
            finish(id, job, JobState::Done, now);
        }
    }
}

void EngineModel::finish(JobId id, EngineJob& job, JobState state, MonotonicTime now)
{
    job.state = state;
    job.finishedAt = now;
    m_running.erase(id);
    m_queue.erase({ job.priority, id });
    m_endedJobs.push_back(id);
    m_tokensInProgress -= job.promptTokens + job.maxTokens;
    m_generatedTokens += job.producedTokens();
    if (state == JobState::Done) {
        ++m_completed;
        auto segments = job.segments;
        segments.push_back(nextSegment(job.prefixHash, "assistant", text(job, job.maxTokens)));
        store(job, segments, now);
    } else {
        ++m_cancelled;
    }
    recordReport(now);
}

void EngineModel::store(const EngineJob& job, const std::vector<PrefixSegment>& segments, MonotonicTime now)
{
    std::uint32_t tokens = 0;
    for (const auto& segment : segments) {
        tokens += segment.tokens;
        m_chatOfSegment[segment.hash] = job.chat;
    }
    if (!job.chat.empty()) {
        if (m_contexts.insert_or_assign(job.chat, segments).second)
            m_contextOrder.push_back(job.chat);
        if (m_contextOrder.size() > maxKeptContexts) {
            m_contexts.erase(m_contextOrder.front());
            m_contextOrder.pop_front();
        }
    }
    recordEvent("stored", job.chat, tokens, now);
    for (auto hash : m_cache.insert(segments)) {
        auto chat = m_chatOfSegment.find(hash);
        if (chat == m_chatOfSegment.end())
            continue;
        recordEvent("evicted", chat->second, 0, now);
        m_chatOfSegment.erase(chat);
    }
}

void EngineModel::recordEvent(
    const std::string& kind, const std::string& chat, std::uint32_t tokens, MonotonicTime now)
{
    std::uint64_t sequence = m_nextEventSequence++;
    if (m_random.chance(m_options.eventGap))
        return;
    m_events.push_back({ sequence, now, kind, chat, tokens });
    if (m_events.size() > maxKeptEvents)
        m_events.pop_front();
}

void EngineModel::recordReport(MonotonicTime now)
{
    auto report = state();
    if (!m_reports.empty() && m_reports.back().report == report)
        return;
    m_reports.push_back({ now, std::move(report) });
    while (m_reports.size() > 1 && m_reports[1].time + m_options.reportLag <= now)
        m_reports.pop_front();
}

void EngineModel::removeEndedJobs(MonotonicTime now)
{
    while (!m_endedJobs.empty()) {
        auto found = m_jobs.find(m_endedJobs.front());
        if (m_endedJobs.size() <= maxEndedJobs && found->second.finishedAt + endedJobRetention > now)
            return;
        auto request = m_jobByRequestId.find(found->second.id);
        if (request != m_jobByRequestId.end() && request->second == found->first)
            m_jobByRequestId.erase(request);
        m_jobs.erase(found);
        m_endedJobs.pop_front();
    }
}

bool EngineModel::cancel(JobId id, MonotonicTime now)
{
    advance(now);
    auto found = m_jobs.find(id);
    if (found == m_jobs.end() || found->second.ended())
        return false;
    finish(id, found->second, JobState::Cancelled, now);
    admit();
    return true;
}

const EngineJob* EngineModel::job(JobId id) const
{
    auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

std::optional<JobId> EngineModel::findJob(const std::string& requestId) const
{
    auto found = m_jobByRequestId.find(requestId);
    if (found == m_jobByRequestId.end())
        return std::nullopt;
    return found->second;
}

std::string EngineModel::word(const EngineJob& job, std::uint32_t index)
{
    if (index == 0)
        return job.maxTokens == 1 ? job.firstWord : job.firstWord + ' ';
    if (index + 1 == job.maxTokens)
        return "end";
    return 'w' + std::to_string(index) + ' ';
}

std::string EngineModel::text(const EngineJob& job, std::uint32_t count)
{
    std::string result;
    for (std::uint32_t i = 0; i < count; ++i)
        result += word(job, i);
    return result;
}

EngineReport EngineModel::report(MonotonicTime now) const
{
    EngineReport visible;
    visible.version = m_options.model;
    for (const auto& entry : m_reports) {
        if (entry.time + m_options.reportLag > now)
            break;
        visible = entry.report;
    }
    return visible;
}

EngineReport EngineModel::state() const
{
    return { m_tokensInProgress, m_queue.size() + m_running.size(), m_role, m_version };
}

Status EngineModel::checkFence(std::uint64_t fence)
{
    if (fence < m_highestFence && !m_options.ignoreFence) {
        ++m_staleOrders;
        return Error { ErrorKind::Conflict,
            "fencing number " + std::to_string(fence) + " is stale, " + std::to_string(m_highestFence)
                + " was seen: acquire the lease again" };
    }
    m_highestFence = std::max(m_highestFence, fence);
    return ok();
}

Status EngineModel::order(const EngineOrder& order, MonotonicTime now)
{
    advance(now);
    static const std::map<std::string, std::string> fixedRoles {
        { "drain", "draining" },
        { "undrain", "serving" },
    };
    auto fixed = fixedRoles.find(order.order);
    bool known = fixed != fixedRoles.end() || order.order == "role" || order.order == "load";
    if (!known || (fixed == fixedRoles.end() && order.argument.empty()))
        return Error { ErrorKind::InvalidArgument,
            "order must be drain, undrain, or role or load with an argument" };
    auto fence = checkFence(order.fence);
    if (!fence)
        return fence;
    m_orders.push_back(order);
    if (m_orders.size() > maxKeptOrders)
        m_orders.pop_front();
    if (order.order == "load")
        m_pendingLoads.push_back({ now + m_options.loadTime, order.argument });
    else
        m_role = fixed == fixedRoles.end() ? order.argument : fixed->second;
    advance(now);
    recordReport(now);
    return ok();
}

Result<Json> EngineModel::exportContext(const std::string& chat) const
{
    auto context = m_contexts.find(chat);
    std::size_t count = context == m_contexts.end() ? 0 : m_cache.cachedSegments(context->second);
    if (count == 0)
        return Error { ErrorKind::NotFound, "no context of the chat is cached: there is nothing to export" };
    Json segments = Json::array();
    std::uint64_t tokens = 0;
    for (std::size_t i = 0; i < count; ++i) {
        segments.push_back({ context->second[i].hash, context->second[i].tokens });
        tokens += context->second[i].tokens;
    }
    return Json { { "chat", chat }, { "tokens", tokens }, { "segments", segments } };
}

Result<std::uint64_t> EngineModel::importContext(const Json& body, MonotonicTime now)
{
    auto chat = stringField(body, "chat");
    if (!chat || !body.contains("segments") || !body["segments"].is_array())
        return Error { ErrorKind::InvalidArgument, "import takes the object that export returned" };
    EngineJob owner;
    owner.chat = *chat;
    std::vector<PrefixSegment> segments;
    std::uint64_t tokens = 0;
    for (const auto& segment : body["segments"]) {
        if (!segment.is_array() || segment.size() != 2 || !segment[0].is_number_unsigned()
            || !segment[1].is_number_unsigned())
            return Error { ErrorKind::InvalidArgument, "a segment must be [hash, tokens]" };
        segments.push_back({ segment[0].get<std::uint64_t>(), segment[1].get<std::uint32_t>() });
        tokens += segments.back().tokens;
    }
    store(owner, segments, now);
    return tokens;
}

std::vector<CacheEvent> EngineModel::events(std::uint64_t since, MonotonicTime now, std::size_t limit) const
{
    std::vector<CacheEvent> visible;
    for (const auto& event : m_events) {
        if (visible.size() >= limit || event.time + m_options.eventLag > now)
            break;
        if (event.sequence > since)
            visible.push_back(event);
    }
    return visible;
}

Json EngineModel::stats() const
{
    Json orders = Json::array();
    for (const auto& order : m_orders)
        orders.push_back(
            { { "order", order.order }, { "fence", order.fence }, { "argument", order.argument } });
    return { { "name", m_options.name }, { "role", m_role }, { "version", m_version },
        { "fence", m_highestFence }, { "tokens_in_progress", m_tokensInProgress },
        { "peak_tokens_in_progress", m_peakTokensInProgress }, { "requests_queued", m_queue.size() },
        { "requests_running", m_running.size() }, { "submitted", m_submitted }, { "completed", m_completed },
        { "cancelled", m_cancelled }, { "refused", m_refused }, { "stale_orders", m_staleOrders },
        { "prompt_tokens", m_promptTokens }, { "cached_tokens", m_cachedTokens },
        { "generated_tokens", m_generatedTokens }, { "cache_tokens", m_cache.tokens() },
        { "orders", orders } };
}

} // namespace briarwharf
