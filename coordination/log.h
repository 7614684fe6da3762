#pragma once

#include "base/error.h"
#include "base/random.h"
#include "base/time.h"
#include "coordination/peer_generated.h"
#include "coordination/store.h"
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// Reads the monotonic time; injected, so that tests step it.
using MonotonicClock = std::function<MonotonicTime()>;

// Longest snapshot page that a LogStateMachine may produce, in bytes; the store's bound less some room.
constexpr std::size_t maxSnapshotPageBytes = maxStoredValueBytes - 64 * 1024;

// Place of one command in a log. Numbers start at 1.
struct LogPosition {
    std::uint64_t number = 0; // of the record
    std::size_t index = 0; // of the command within the record
};

// What a log's commands mean. Every instance applies the same commands in the same order, so apply() must
// depend on nothing but the state and its arguments.
class LogStateMachine {
public:
    virtual ~LogStateMachine() = default;

    // Applies one command. An error (a kind other than Unavailable, Unknown and DeadlineExceeded) says that
    // the command had no effect; it reaches the caller of Log::append().
    virtual Status apply(const LogPosition&, std::string_view command) = 0;

    // Called after the last command of a record.
    virtual void recordApplied(std::uint64_t number) { static_cast<void>(number); }

    // The whole state as pages of at most maxSnapshotPageBytes. A page equal to one of the previous snapshot
    // is not written again, so parts that seldom change belong in pages of their own.
    virtual std::vector<std::string> snapshot() const = 0;

    // Replaces the state with that of a snapshot at the given record. Errors: Corrupt.
    virtual Status restore(std::uint64_t number, const std::vector<std::string>& pages) = 0;
};

struct LogOptions {
    std::string name; // part of the store's keys: log/<name>/...

    // Identifies this writer; unique for each start of a process (randomToken()).
    std::string writer;

    // Least time between the starts of two commits; commands that arrive in between share a record.
    Milliseconds commitInterval { 0 };

    // The head is confirmed at least this often while the log is watched.
    Milliseconds watchTimeout { 500 };

    // Between two reads while the log is polled.
    Milliseconds pollInterval { 10000 };

    // First wait after a store error; doubles up to the longest wait, with jitter.
    Milliseconds retryDelay { 100 };
    Milliseconds longestRetryDelay { 2000 };

    std::uint64_t snapshotInterval = 256; // records between snapshots
    std::uint64_t keptRecords = 64; // records that stay below a snapshot
    std::size_t maxRecordBytes = 256 * 1024; // commands of one record; also the longest command
    std::size_t maxQueuedBytes = 4 * 1024 * 1024; // commands waiting for a commit
    std::size_t relayedBytes = 512 * 1024; // recent records kept in memory for peers
};

enum class LogFollow {
    None, // learns of others' records when an append meets them, and from peers
    Poll, // one list and one read of the manifest each pollInterval
    Watch, // one watch each watchTimeout; one watch and one read of the manifest for each record
};

struct LogStatistics {
    std::uint64_t commits = 0; // records that this writer appended
    std::uint64_t lostRaces = 0; // record numbers that another writer took
    std::uint64_t settledAnswers = 0; // commits whose answer was lost
    std::uint64_t snapshots = 0;
    std::uint64_t removedRecords = 0;
};

// Shared log: commands in numbered records that any instance may append and every instance applies in order.
//
// Record n+1 is written with Store::create(), so one of several writers gets each number; no lease is needed
// for correctness. The record carries its writer's token, which settles a lost answer: the record is read
// back and the tokens are compared. A create whose effect may still come is repeated with the same bytes, and
// its commands are not moved to another number until the record's number has an owner.
//
// A snapshot (immutable pages named by one manifest) bounds the replay, and records well below it are
// removed. A writer that was paused could then create a removed number again. So a record counts only after
// the manifest has been read *after* it and was below it, for writers and for readers; a writer that finds
// the manifest at or above its record looks for its token among the manifest's recent tokens.
//
//   Log log({ .name = "config", .writer = randomToken() }, store, machine, clock);
//   log.start();
//   log.follow(LogFollow::Watch);
//   log.append(command, clock() + std::chrono::seconds(2), [](Result<LogPosition> appended) { ... });
//   // call log.tick() every 20 to 100 ms
//
// Store calls, without faults:
//   start             1 manifest + its pages + 1 list for each 64 records + 1 manifest
//   append            1 create + 1 read, for all the commands that were waiting
//     answer lost     + 1 read;   another writer was first  + 1 read + 1 list + 1 read
//   follow            see LogFollow
//   snapshot          1 write for each changed page + 1 write + 1 list for each 64 removed records
//                     + 1 write for each removed record and page
//
// While the store is down, slow or loses answers, the state stays as it is and appends end at their
// deadlines; the log retries by itself. Destroying the log drops the callbacks of its pending appends.
class Log {
public:
    // Called exactly once, never from inside append(). Errors:
    //   Unavailable  not written and never will be (the store was down or slow until the deadline)
    //   Unknown      may have been written, or may yet be
    //   TooLarge     longer than maxRecordBytes;  Overloaded: over maxQueuedBytes;  both not written
    //   others       from LogStateMachine::apply(): written, without an effect. A record that this instance
    //                received inside a snapshot reports success for each command, as apply() did not run here
    using AppendCallback = std::function<void(Result<LogPosition>)>;

    Log(LogOptions, Store&, LogStateMachine&, MonotonicClock);
    ~Log();
    Log(const Log&) = delete;
    Log& operator=(const Log&) = delete;

    // Loads the newest snapshot and the records after it.
    void start();
    void follow(LogFollow);

    // Reads what is new from the store at the next tick, whatever the follow mode.
    void poll() { m_syncWanted = m_started; }

    // Retries, deadlines, polls, commit intervals.
    void tick();

    void append(std::string command, MonotonicTime deadline, AppendCallback);

    // The state has been loaded from the store or from a peer.
    bool loaded() const { return m_loaded; }

    // Reads the store's newest records: 1 list and 1 read of the manifest, shared by callers that wait. The
    // callback is called exactly once, never from inside refresh(): success means that the state contains
    // every record that existed when refresh() was called. Errors: Unavailable.
    void refresh(std::function<void(Status)>);

    // Last record applied. Never decreases.
    std::uint64_t head() const { return m_head; }

    // When it was last known, here or at a peer, that the store had no record after head().
    std::optional<MonotonicTime> headConfirmedAt() const { return m_headConfirmedAt; }

    // A peer has applied `number` and knew at `at` that the store had no record after it.
    void peerConfirmed(std::uint64_t number, MonotonicTime at);

    // What a peer at record `after` lacks, up to about maxBytes: records, with a snapshot before them where
    // the records no longer reach back. Empty if the peer lacks nothing or a snapshot would not fit.
    LogPushT makePush(std::uint64_t after, std::size_t maxBytes) const;

    // Takes what a peer offered: what follows head() in order, the rest is ignored; never goes back.
    // Errors: Corrupt (the state is unchanged from the broken item on).
    Status accept(const LogPushT&);

    const LogStatistics& statistics() const { return m_statistics; }
    const std::string& name() const { return m_options.name; }

private:
    struct Pending {
        std::string command;
        MonotonicTime deadline;
        AppendCallback callback; // empty: already told Unknown
    };
    enum class Phase {
        Create,
        ReadBack, // who owns the number?
        Verify, // is the manifest below the number?
    };
    // The record that this writer is appending.
    struct Attempt {
        Attempt(std::uint64_t number, std::string token)
            : number(number)
            , token(std::move(token))
        {
        }

        std::uint64_t number;
        std::string token;
        std::string value;
        std::vector<Pending> commands;
        Phase phase = Phase::Create;
        MonotonicTime issuedAt;
        bool maySucceed = false; // a create without a definite answer is under way
        bool created = false; // the record was seen in the store
        bool taken = false; // another writer's record was seen under the number
        bool confirmsHead = false; // the create answered, so the store had no later record
        bool waiting = false; // for retryAt
    };
    struct Record {
        std::string token;
        std::string value;
        std::vector<std::string> commands;
    };
    struct Page {
        std::string key;
        std::string digest;
        ObjectVersion version = 0;
    };
    struct Manifest {
        std::uint64_t number = 0;
        std::string token;
        std::vector<Page> pages;
        std::vector<std::string> recentTokens; // of the records up to `number`
        ObjectVersion version = 0;
    };
    struct RecentRecord {
        std::string token;
        std::string value; // empty: no longer kept for peers
    };
    struct SnapshotJob;
    struct Backoff {
        Milliseconds delay { 0 };
        MonotonicTime until;
    };
    using ManifestCallback = std::function<void(Result<Manifest>)>;

    std::string recordPrefix() const;
    std::string recordKey(std::uint64_t number) const;
    std::string manifestKey() const;
    static std::string encodeRecord(const std::string& token, const std::vector<Pending>& commands);
    static Result<Record> decodeRecord(std::string value);
    static std::string encodeManifest(const Manifest&);
    static Result<Manifest> decodeManifest(const StoredObject&);
    void readManifest(ManifestCallback);
    template <typename Callback> auto guarded(Callback callback);
    template <typename Callback> auto forAttempt(Callback callback);
    template <typename Callback> auto forSnapshot(Callback callback);
    void backOff(Backoff&);

    void sync();
    static void answerRefreshes(std::vector<std::function<void(Status)>>&, const Status&);
    void syncFailed();
    void syncRecords();
    void syncVerify(
        std::vector<StoredObject> records, bool complete, std::optional<MonotonicTime> confirmedAt);
    void loadSnapshot(Manifest);
    void loadPages(const std::shared_ptr<Manifest>&, const std::shared_ptr<std::vector<std::string>>& pages);
    void restoreSnapshot(const Manifest&, const std::vector<std::string>& pages);
    void syncDone(std::optional<MonotonicTime> confirmedAt);
    bool applyStored(const std::vector<StoredObject>&);
    void confirmHead(MonotonicTime);

    void watchNext();
    void watched(MonotonicTime issuedAt, std::uint64_t number, Result<std::optional<StoredObject>>);

    void commit();
    void runAttempt();
    void createRecord();
    void recordCreated(WriteResult);
    void readBack();
    void verify();
    void verified(const Manifest&);
    void retryAttempt(Phase);
    void requeueAttempt();
    void attemptLost();
    void attemptUnknown();
    void attemptAccepted(const std::vector<Status>& results);
    void expire();
    void fail(Pending&, ErrorKind, std::string message);
    void applyRecord(std::uint64_t number, Record);
    void remember(std::uint64_t number, std::string token, std::string value);
    void settleBySnapshot(const Manifest&);

    void snapshotIfDue();
    void retrySnapshot();
    void writePage();
    void pageWritten(WriteResult);
    void readPageBack();
    void writeManifest();
    void manifestWritten(WriteResult);
    void settleManifest();
    void snapshotDone();
    void snapshotAbandoned();
    void cleanIfDue();
    void cleanRecords();
    void removeNext();
    void cleaningDone();

    LogOptions m_options;
    Store& m_store;
    LogStateMachine& m_machine;
    MonotonicClock m_clock;
    Random m_random;
    std::shared_ptr<Log*> m_self; // expires with the log, so that late answers are dropped
    LogFollow m_follow = LogFollow::None;

    bool m_loaded = false;
    std::uint64_t m_head = 0;
    std::optional<MonotonicTime> m_headConfirmedAt;
    Manifest m_manifest;
    std::optional<MonotonicTime> m_manifestReadAt;
    std::map<std::uint64_t, RecentRecord> m_recent; // by number
    std::size_t m_recentBytes = 0;

    bool m_started = false;
    bool m_syncing = false;
    bool m_syncWanted = false;
    Backoff m_syncBackoff;
    std::vector<std::function<void(Status)>> m_refreshes; // for the next sync to start
    std::vector<std::function<void(Status)>> m_syncRefreshes; // for the present sync
    bool m_watching = false;
    MonotonicTime m_nextPoll;

    std::deque<Pending> m_queue;
    std::size_t m_queuedBytes = 0;
    std::vector<std::pair<AppendCallback, Error>> m_refused; // told at the next tick
    std::optional<Attempt> m_attempt;
    std::uint64_t m_attemptSerial = 0;
    MonotonicTime m_nextCommit;
    Backoff m_commitBackoff;

    std::shared_ptr<SnapshotJob> m_snapshot;
    Backoff m_snapshotBackoff;

    bool m_cleaning = false;
    bool m_cleaningRecords = false;
    bool m_moreToClean = false;
    std::uint64_t m_cleanFloor = 0; // records up to this one may go
    std::deque<std::pair<std::uint64_t, MonotonicTime>> m_cleanDue; // later floors, with their times
    std::vector<Page> m_stalePages;
    std::vector<Page> m_removals;
    LogStatistics m_statistics;
};

} // namespace briarwharf
