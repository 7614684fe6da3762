#pragma once

#include "standins/prefixcache.h"
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace briarwharf {

struct EngineOptions {
    std::string name = "engine";
    std::string model; // "": answers for any model
    double tokensPerSecond = 2000; // generated, over all streams
    double streamTokensPerSecond = 50; // generated, at most for one stream
    double prefillTokensPerSecond = 20000; // of prompts that are not cached, over all requests
    std::size_t maxBatch = 64; // requests that run at once; more wait in the queue
    std::size_t maxQueue = 512; // more are refused
    std::uint64_t cacheTokens = 400000;
    Milliseconds reportLag { 200 };
    Milliseconds eventLag { 500 };
    double eventGap = 0.02; // share of the cache events that are missing
    Milliseconds loadTime { 0 }; // from an order to load to its effect
    bool ignoreFence = false;
    std::uint64_t seed = 1;
};

struct ChatMessage {
    std::string role;
    std::string content;
};

struct EngineRequest {
    std::string id; // X-Request-Id
    std::string chat; // names the context for KV export; may be empty
    std::vector<ChatMessage> messages;
    std::uint32_t maxTokens = 0;
    std::int64_t priority = 0; // a lower value runs first
};

using JobId = std::uint64_t;

enum class JobState { Queued, Prefill, Decode, Done, Cancelled };

struct EngineJob {
    std::string id;
    std::string chat;
    std::string firstWord; // the request's nonce, so that a caller can tell whose text it is
    std::vector<PrefixSegment> segments;
    std::uint64_t lastHash = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t maxTokens = 0;
    std::int64_t priority = 0;
    JobState state = JobState::Queued;
    double prefillLeft = 0; // tokens
    double produced = 0; // tokens
    MonotonicTime finishedAt;

    bool ended() const { return state == JobState::Done || state == JobState::Cancelled; }
    std::uint32_t producedTokens() const { return static_cast<std::uint32_t>(produced); }
};

struct EngineReport {
    std::uint64_t tokensInProgress = 0; // prompt and most generated tokens of each request in progress
    std::uint64_t requestsInProgress = 0;
    std::string role = "serving";
    std::string version;

    bool operator==(const EngineReport&) const = default;
};

struct CacheEvent {
    std::uint64_t sequence = 0; // without gaps at the engine; missing numbers were lost
    MonotonicTime time;
    std::string kind; // "stored" or "evicted"
    std::string chat;
    std::uint32_t tokens = 0;
};

struct EngineOrder {
    std::string order; // "load", "role", "drain", "undrain"
    std::uint64_t fence = 0;
    std::string argument;
};

// A model engine without its HTTP layer: continuous batching, prefix cache, lagging load report, fenced
// orders and KV transfer. Text is synthetic: word i of an answer follows from the request, so a caller can
// check that an answer is its own and whole.
class EngineModel {
public:
    explicit EngineModel(EngineOptions);

    // Errors: Overloaded (not run: draining, or the queue is full).
    Result<JobId> submit(const EngineRequest&, MonotonicTime now);

    // Runs the batch up to `now`.
    void advance(MonotonicTime now);

    // Ends a job that has not ended; false if there is none.
    bool cancel(JobId, MonotonicTime now);

    // nullptr: unknown, or forgotten some time after its end.
    const EngineJob* job(JobId) const;
    // The newest job of a request identifier.
    std::optional<JobId> findJob(const std::string& requestId) const;

    // Word `index` of the job's answer, with the space after it.
    static std::string word(const EngineJob&, std::uint32_t index);
    // Words [0, count) of the answer.
    static std::string text(const EngineJob&, std::uint32_t count);

    // The report of `reportLag` ago.
    EngineReport report(MonotonicTime now) const;
    // The report without lag.
    EngineReport state() const;

    // Errors: Conflict (stale fencing number), InvalidArgument.
    Status order(const EngineOrder&, MonotonicTime now);
    // Checks the fencing number of an order or a KV transfer. Errors: Conflict.
    Status checkFence(std::uint64_t fence);

    // {"chat", "tokens", "segments"}. Errors: NotFound.
    Result<Json> exportContext(const std::string& chat) const;
    // Takes what exportContext returned. Errors: InvalidArgument. Returns the tokens taken.
    Result<std::uint64_t> importContext(const Json&, MonotonicTime now);

    // Events after `since` that are visible, at most `limit`.
    std::vector<CacheEvent> events(std::uint64_t since, MonotonicTime now, std::size_t limit) const;

    // Totals, the state without lag, and the last orders.
    Json stats() const;

    const EngineOptions& options() const { return m_options; }

private:
    void step(double seconds, MonotonicTime now);
    void admit();
    void prefill(double seconds);
    void decode(double seconds, MonotonicTime now);
    void finish(JobId, EngineJob&, JobState, MonotonicTime now);
    void store(const EngineJob&, const std::vector<PrefixSegment>&, MonotonicTime now);
    void recordEvent(
        const std::string& kind, const std::string& chat, std::uint32_t tokens, MonotonicTime now);
    void recordReport(MonotonicTime now);
    void forgetOld(MonotonicTime now);

    struct TimedReport {
        MonotonicTime time;
        EngineReport report;
    };

    struct PendingLoad {
        MonotonicTime due;
        std::string version;
    };

    EngineOptions m_options;
    Random m_random;
    PrefixCache m_cache;
    std::map<JobId, EngineJob> m_jobs;
    std::set<std::pair<std::int64_t, JobId>> m_queue; // by priority, then arrival
    std::set<JobId> m_running;
    std::deque<JobId> m_ended;
    std::unordered_map<std::string, JobId> m_byRequest;
    std::unordered_map<std::string, std::vector<PrefixSegment>> m_contexts; // last context of each chat
    std::deque<std::string> m_contextOrder;
    std::unordered_map<std::uint64_t, std::string> m_chatOfSegment;
    std::deque<CacheEvent> m_events;
    std::deque<TimedReport> m_reports;
    std::deque<PendingLoad> m_loads;
    std::deque<EngineOrder> m_orders;
    std::string m_role = "serving";
    std::string m_version;
    std::uint64_t m_fence = 0;
    std::uint64_t m_nextSequence = 1;
    JobId m_nextJob = 1;
    MonotonicTime m_time;
    std::uint64_t m_tokensInProgress = 0;
    std::uint64_t m_peakTokens = 0;
    std::uint64_t m_submitted = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_staleOrders = 0;
    std::uint64_t m_promptTokens = 0;
    std::uint64_t m_cachedTokens = 0;
    std::uint64_t m_generatedTokens = 0;
};

// Tokens of a text, as the engine counts them.
std::uint32_t countTokens(std::string_view text);

} // namespace briarwharf
