#pragma once

#include "standins/prefixcache.h"
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace briarwharf {

struct EngineOptions {
    std::string name = "engine";
    std::string model; // name of the loaded model; empty: requests for any model are answered
    double tokensPerSecond = 2000; // generation rate, total of all requests
    double streamTokensPerSecond = 50; // maximum generation rate of one request
    double prefillTokensPerSecond = 20000; // uncached prompt tokens, total of all requests
    std::size_t maxBatch = 64; // requests that run at the same time; further ones wait in the queue
    std::size_t maxQueue = 512; // waiting requests; further ones are refused
    std::uint64_t cacheTokens = 400000; // capacity of the prefix cache
    Milliseconds reportLag { 200 }; // age of the state that the load report shows
    Milliseconds eventLag { 500 }; // time until a cache event can be read
    double eventGap = 0.02; // share of the cache events that are dropped at random
    Milliseconds loadTime { 0 }; // from a "load" order until the engine serves the new version
    bool ignoreFence = false; // accepts stale fencing numbers
    std::uint64_t seed = 1; // of the choice of dropped cache events
};

struct ChatMessage {
    std::string role;
    std::string content;
};

struct EngineRequest {
    std::string id; // X-Request-Id
    std::string chat; // chat identifier, the key of the context in KV export; may be empty
    std::vector<ChatMessage> messages;
    std::uint32_t maxTokens = 0;
    std::int64_t priority = 0; // a lower value runs first
};

using JobId = std::uint64_t;

enum class JobState { Queued, Prefill, Decode, Done, Cancelled };

struct EngineJob {
    std::string id;
    std::string chat;
    std::string firstWord; // the request's nonce: shows a caller which request the text answers
    std::vector<PrefixSegment> segments;
    std::uint64_t prefixHash = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t maxTokens = 0;
    std::int64_t priority = 0;
    JobState state = JobState::Queued;
    double prefillTokensLeft = 0; // prompt tokens still to be processed
    double produced = 0; // generated tokens; fractional between steps
    MonotonicTime finishedAt;

    bool ended() const { return state == JobState::Done || state == JobState::Cancelled; }
    std::uint32_t producedTokens() const { return static_cast<std::uint32_t>(produced); }
};

struct EngineReport {
    // Sum over the requests in progress of their prompt tokens and maximum answer tokens.
    std::uint64_t tokensInProgress = 0;
    std::uint64_t requestsInProgress = 0;
    std::string role = "serving";
    std::string version;

    bool operator==(const EngineReport&) const = default;
};

struct CacheEvent {
    std::uint64_t sequence = 0; // consecutive at the engine; a reader that misses a number lost that event
    MonotonicTime time;
    std::string kind; // "stored" or "evicted"
    std::string chat;
    std::uint32_t tokens = 0;
};

struct EngineOrder {
    std::string order; // "load", "role", "drain" or "undrain"
    std::uint64_t fence = 0;
    std::string argument; // model version of "load", role of "role"
};

// Simulates a model engine without its HTTP layer: continuous batching, a prefix cache, a delayed load
// report, orders protected by fencing numbers, and KV transfer. The generated text is synthetic: each word is
// determined by the request and the word's index, so a caller can check that an answer belongs to its request
// and is complete.
class EngineModel {
public:
    explicit EngineModel(EngineOptions);

    // Queues a request. Errors: Overloaded (the request did not run: the engine is draining or its queue is
    // full).
    Result<JobId> submit(const EngineRequest&, MonotonicTime now);

    // Simulates the running batch up to `now`.
    void advance(MonotonicTime now);

    // Cancels a queued or running job; false if the job is unknown or has already ended.
    bool cancel(JobId, MonotonicTime now);

    // nullptr if the job is unknown. Ended jobs are removed after a retention time.
    const EngineJob* job(JobId) const;
    // The newest job that has this request identifier.
    std::optional<JobId> findJob(const std::string& requestId) const;

    // Word `index` of the job's answer, followed by a space unless it is the last one.
    static std::string word(const EngineJob&, std::uint32_t index);
    // Words [0, count) of the answer.
    static std::string text(const EngineJob&, std::uint32_t count);

    // The load report as a router sees it: the state at `now` minus `reportLag`.
    EngineReport report(MonotonicTime now) const;
    // The present state, without the lag.
    EngineReport state() const;

    // Executes an order. Errors: Conflict (stale fencing number), InvalidArgument.
    Status order(const EngineOrder&, MonotonicTime now);
    // Checks the fencing number of an order or a KV transfer against the highest one seen. Errors: Conflict
    // (it is lower).
    Status checkFence(std::uint64_t fence);

    // The cached context of a chat: {"chat", "tokens", "segments"}. Errors: NotFound.
    Result<Json> exportContext(const std::string& chat) const;
    // Adds a context that exportContext returned to the cache. Returns its number of tokens. Errors:
    // InvalidArgument.
    Result<std::uint64_t> importContext(const Json&, MonotonicTime now);

    // At most `limit` cache events with a sequence number above `since` that are at least `eventLag` old.
    std::vector<CacheEvent> events(std::uint64_t since, MonotonicTime now, std::size_t limit) const;

    // Counters since the start, the present state without lag, and the most recent orders.
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
    void removeEndedJobs(MonotonicTime now);

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
    std::set<std::pair<std::int64_t, JobId>> m_queue; // by priority, then order of arrival
    std::set<JobId> m_running;
    std::deque<JobId> m_endedJobs;
    std::unordered_map<std::string, JobId> m_jobByRequestId;
    std::unordered_map<std::string, std::vector<PrefixSegment>> m_contexts; // latest context of each chat
    std::deque<std::string> m_contextOrder;
    std::unordered_map<std::uint64_t, std::string> m_chatOfSegment;
    std::deque<CacheEvent> m_events;
    std::deque<TimedReport> m_reports;
    std::deque<PendingLoad> m_pendingLoads;
    std::deque<EngineOrder> m_orders;
    std::string m_role = "serving";
    std::string m_version;
    std::uint64_t m_highestFence = 0;
    std::uint64_t m_nextEventSequence = 1;
    JobId m_nextJob = 1;
    MonotonicTime m_advancedTo;
    std::uint64_t m_tokensInProgress = 0;
    std::uint64_t m_peakTokensInProgress = 0;
    std::uint64_t m_submitted = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_staleOrders = 0;
    std::uint64_t m_promptTokens = 0;
    std::uint64_t m_cachedTokens = 0;
    std::uint64_t m_generatedTokens = 0;
};

// Number of tokens of a text: one for every four bytes, rounded up.
std::uint32_t countTokens(std::string_view text);

} // namespace briarwharf
