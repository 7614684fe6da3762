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

// Returns the monotonic time. Passed in, so that tests can control it.
using MonotonicClock = std::function<MonotonicTime()>;

// Maximum size of a snapshot page of a LogStateMachine, in bytes: the store's limit less a margin.
constexpr std::size_t maxSnapshotPageBytes = maxStoredValueBytes - 64 * 1024;

// Position of one command in a log.
struct LogPosition {
    std::uint64_t number = 0; // of the record, starting at 1
    std::size_t index = 0; // of the command within the record, starting at 0
};

// Interprets the commands of a log. Every instance applies the same commands in the same order and has to
// reach the same state, so apply() must depend on nothing but the state and its arguments.
class LogStateMachine {
public:
    virtual ~LogStateMachine() = default;

    // Applies one command. An error means that the command had no effect; it is passed to the caller of
    // Log::append(). Its kind must not be Unavailable, Unknown or DeadlineExceeded.
    virtual Status apply(const LogPosition&, std::string_view command) = 0;

    // Called after the last command of a record.
    virtual void recordApplied(std::uint64_t number) { static_cast<void>(number); }

    // Returns the whole state as pages of at most maxSnapshotPageBytes each. A page that equals one of the
    // previous snapshot is not written again, so put data that rarely changes into separate pages.
    virtual std::vector<std::string> snapshot() const = 0;

    // Replaces the state with that of a snapshot taken after the given record. Errors: Corrupt.
    virtual Status restore(std::uint64_t number, const std::vector<std::string>& pages) = 0;
};

struct LogOptions {
    std::string name; // the store's keys are log/<name>/...

    // Identifies this writer. Must be unique for each start of a process (randomToken()).
    std::string writer;

    // Minimum time between the starts of two commits. Commands that arrive in between share a record.
    Milliseconds commitInterval { 0 };

    // Timeout of one watch. While the log is watched, the head is confirmed at least this often.
    Milliseconds watchTimeout { 500 };

    // Time between two reads while the log is polled.
    Milliseconds pollInterval { 10000 };

    // Delay before the first retry after a store error. It doubles with each error up to the maximum; half of
    // each delay is random.
    Milliseconds retryDelay { 100 };
    Milliseconds maxRetryDelay { 2000 };

    std::uint64_t snapshotInterval = 256; // number of records between two snapshots
    std::uint64_t keptRecords = 64; // the last records of a snapshot that are not removed
    std::size_t maxRecordBytes = 256 * 1024; // of all commands in one record, so also of one command
    std::size_t maxQueuedBytes = 4 * 1024 * 1024; // of all commands that wait for a commit
    std::size_t maxRecentBytes = 512 * 1024; // recent records that are held in memory for peers
};

enum class LogFollow {
    None, // reads other writers' records only when an append conflicts with one; otherwise peers send them
    Poll, // one list and one read of the manifest per pollInterval
    Watch, // one watch per watchTimeout; one watch and one read of the manifest per record
};

struct LogStatistics {
    std::uint64_t commits = 0; // records that this writer appended
    std::uint64_t lostRaces = 0; // record numbers for which another writer was first
    std::uint64_t commitsAfterLostAnswer = 0; // own commits for which the answer to a create was lost
    std::uint64_t snapshots = 0;
    std::uint64_t removedRecords = 0;
    std::uint64_t restores = 0; // times that the store came back from an older copy
    std::uint64_t lostRecords = 0; // records that may be lost since, because they could not be appended again
};

// Shared log: commands in numbered records. Any instance may append records, and every instance applies them
// in the order of their numbers.
//
// Record n+1 is written with Store::create(), so exactly one of several writers gets each number; no lease is
// needed for correctness. The record contains a token of its writer. When the answer to a write is lost, the
// writer reads the record back and compares the tokens. A create that may still take effect is repeated with
// the same bytes, and its commands are not moved to another number until a record with that number exists.
//
// A snapshot (immutable pages listed by one manifest) limits how many records a start replays, and records
// well below the snapshot are removed. A writer that was paused could then create a record under a removed
// number. Therefore writers and readers accept a record only if they read the manifest *after* the record and
// the manifest's number is below the record's. A writer that finds the manifest's number at or above its
// record's number looks for its token among the manifest's recent tokens.
//
//   Log log({ .name = "config", .writer = randomToken() }, store, machine, clock);
//   log.start();
//   log.follow(LogFollow::Watch);
//   log.append(command, clock() + std::chrono::seconds(2), [](Result<LogPosition> appended) { ... });
//   // call log.tick() every 20 to 100 ms
//
// Store calls, without faults:
//   start             1 manifest + its pages + 1 list for each 64 records + 1 manifest
//   append            1 create + 1 read, for all commands that were waiting
//     answer lost     + 1 read;   another writer was first  + 1 read + 1 list + 1 read
//   follow            see LogFollow
//   snapshot          1 write for each changed page + 1 write + 1 list for each 64 removed records
//                     + 1 write for each removed record and page
//
// When the store's era rises, the log is read again from the store. Records in memory that it lacks are
// appended again, in their order and with their tokens, before any other command; instances that append the
// same record recognise it by its token. If no other writer has used their numbers, they keep them. Until
// then, loaded() is false, and commands wait.
//
// While the store is down or slow or answers are lost, the state does not change, appends fail at their
// deadlines, and the log retries by itself. If the log is destroyed, callbacks of pending appends are not
// called.
class Log {
public:
    // Called exactly once, never from inside append(). Errors:
    //   Unavailable  not written, and will not be (the store was down or slow until the deadline)
    //   Unknown      may have been written, or may be written later
    //   TooLarge     longer than maxRecordBytes; not written
    //   Overloaded   more than maxQueuedBytes would be waiting; not written
    //   others       from LogStateMachine::apply(): written, without an effect. If this instance received the
    //                record only inside a snapshot, each command reports success, as apply() did not run here
    using AppendCallback = std::function<void(Result<LogPosition>)>;

    Log(LogOptions, Store&, LogStateMachine&, MonotonicClock);
    ~Log();
    Log(const Log&) = delete;
    Log& operator=(const Log&) = delete;

    // Loads the newest snapshot and the records after it.
    void start();
    void follow(LogFollow);

    // Reads new records from the store at the next tick, in every follow mode.
    void poll() { m_syncWanted = m_started; }

    // Runs retries, deadlines, polls and commits that are due; call it every 20 to 100 ms.
    void tick();

    void append(std::string command, MonotonicTime deadline, AppendCallback);

    // Whether the state has been loaded from the store or from a peer. False again while the log is read
    // after the store came back from an older copy.
    bool loaded() const { return m_loaded && m_era == m_store.era(); }

    // Reads the newest records from the store, with 1 list and 1 read of the manifest for all callers that
    // are waiting. The callback is called exactly once, never from inside refresh(). Success means that the
    // state contains every record that existed when refresh() was called. Errors: Unavailable.
    void refresh(std::function<void(Status)>);

    // Latest era of the store that is known; the state is of this era if loaded() is true.
    StoreEra era() const { return m_store.era(); }

    // Number of the last record applied. Decreases only while loaded() is false.
    std::uint64_t head() const { return m_head; }

    // The latest time at which this instance or a peer knew that the store had no record after head().
    std::optional<MonotonicTime> headConfirmedAt() const { return m_headConfirmedAt; }

    // Call this when a peer reports that it has applied record `number`, and that the store had no record
    // after it at the time `at`.
    void peerConfirmed(std::uint64_t number, MonotonicTime at);

    // Builds the message for a peer whose last record is `after`, of up to about maxBytes: the records that
    // follow, or a snapshot if those records are no longer in memory. Empty if the peer is up to date or the
    // snapshot would exceed maxBytes.
    LogPushT makePush(std::uint64_t after, std::size_t maxBytes) const;

    // Applies a message that a peer built with makePush(): a snapshot above head(), then the records that
    // follow head() without a gap. Ignores the rest, so the state never goes back. Errors: Corrupt (the items
    // before the corrupt one have been applied).
    Status accept(const LogPushT&);

    const LogStatistics& statistics() const { return m_statistics; }
    const std::string& name() const { return m_options.name; }

private:
    struct PendingCommand {
        std::string command;
        MonotonicTime deadline;
        AppendCallback callback; // empty: it has already been called with Unknown
    };
    enum class Phase {
        Create,
        ReadBack, // reads the record to see whose it is
        Verify, // reads the manifest to see whether its number is below the record's
    };
    // The attempt to append one record.
    struct Attempt {
        Attempt(std::uint64_t number, std::string token)
            : number(number)
            , token(std::move(token))
        {
        }

        std::uint64_t number;
        std::string token;
        std::string value;
        std::vector<PendingCommand> commands;
        Phase phase = Phase::Create;
        MonotonicTime issuedAt;
        bool maySucceed = false; // an earlier create has no definite answer, so it may still take effect
        bool created = false; // this writer's record was seen in the store
        bool taken = false; // another writer's record was seen under the number
        bool confirmsHead = false; // the create succeeded, so the store had no later record
        bool waiting = false; // for the end of m_commitBackoff
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
        std::vector<std::string> recentTokens; // of the last records up to `number`, oldest first
        ObjectVersion version = 0;
    };
    struct RecentRecord {
        std::string token;
        std::string value; // empty: no longer held in memory for peers
    };
    struct SnapshotJob;
    struct Backoff {
        Milliseconds delay { 0 };
        MonotonicTime until;
    };
    // A record that the store may have lost.
    struct LostRecord {
        std::uint64_t number;
        RecentRecord record;
    };
    using ManifestCallback = std::function<void(Result<Manifest>)>;

    std::string recordPrefix() const;
    std::string recordKey(std::uint64_t number) const;
    std::string manifestKey() const;
    static std::string encodeRecord(const std::string& token, const std::vector<PendingCommand>& commands);
    static Result<Record> decodeRecord(std::string value);
    static std::string encodeManifest(const Manifest&);
    static Result<Manifest> decodeManifest(const StoredObject&);
    void readManifest(ManifestCallback);
    template <typename Callback> auto guarded(Callback callback);
    template <typename Callback> auto forAttempt(Callback callback);
    template <typename Callback> auto forSnapshot(Callback callback);
    void backOff(Backoff&);

    void checkEra();
    void beginRestore();
    void rememberRecords();
    void dropStoredRecords();
    void appendLostRecord();

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
    bool applyStoredRecords(const std::vector<StoredObject>&);
    void confirmHead(MonotonicTime);

    void watchNext();
    void watchAnswered(MonotonicTime issuedAt, std::uint64_t number, Result<std::optional<StoredObject>>);

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
    void attemptUnknown(const std::string& reason);
    void attemptAccepted(const std::vector<Status>& results);
    void expire();
    void fail(PendingCommand&, ErrorKind, std::string message);
    void applyRecord(std::uint64_t number, Record);
    void cacheRecent(std::uint64_t number, std::string token, std::string value);
    void resolveBySnapshot(const Manifest&);

    void snapshotIfDue();
    void retrySnapshot();
    void writePage();
    void pageWritten(WriteResult);
    void readPageBack();
    void writeManifest();
    void manifestWritten(WriteResult);
    void resolveManifest();
    void snapshotDone();
    void snapshotAbandoned();
    void cleanIfDue();
    void cleanRecords();
    void removeNext();
    void cleanupDone();

    LogOptions m_options;
    Store& m_store;
    LogStateMachine& m_machine;
    MonotonicClock m_clock;
    Random m_random;
    std::shared_ptr<Log*> m_self; // expires with the log; late answers are then dropped
    LogFollow m_follow = LogFollow::None;

    StoreEra m_era = 0; // in which the state was read
    std::uint64_t m_restore = 0; // answers to calls from before the last restore are dropped
    bool m_restoring = false; // from a rise of the era until loaded() is true again
    std::vector<std::string> m_initialPages; // state before the first record
    std::deque<LostRecord> m_lost; // to be appended again

    bool m_loaded = false;
    std::uint64_t m_head = 0;
    std::optional<MonotonicTime> m_headConfirmedAt;
    Manifest m_manifest;
    std::optional<MonotonicTime> m_manifestReadAt;
    std::map<std::uint64_t, RecentRecord> m_recent; // by record number
    std::size_t m_recentBytes = 0;

    bool m_started = false;
    bool m_syncing = false;
    bool m_syncWanted = false;
    Backoff m_syncBackoff;
    std::vector<std::function<void(Status)>> m_refreshes; // answered by the next sync that starts
    std::vector<std::function<void(Status)>> m_syncRefreshes; // answered by the sync in progress
    bool m_watching = false;
    MonotonicTime m_nextPoll;

    std::deque<PendingCommand> m_queue;
    std::size_t m_queuedBytes = 0;
    std::vector<std::pair<AppendCallback, Error>> m_refused; // called back at the next tick
    std::optional<Attempt> m_attempt;
    std::uint64_t m_attemptSerial = 0;
    MonotonicTime m_nextCommit;
    Backoff m_commitBackoff;

    std::shared_ptr<SnapshotJob> m_snapshot;
    Backoff m_snapshotBackoff;

    bool m_cleaning = false;
    bool m_cleaningRecords = false;
    bool m_moreToClean = false;
    std::uint64_t m_cleanUpTo = 0; // records up to this number may be removed now
    // Later values of m_cleanUpTo, and when they apply.
    std::deque<std::pair<std::uint64_t, MonotonicTime>> m_scheduledCleanups;
    std::vector<Page> m_stalePages;
    std::vector<Page> m_removals;
    LogStatistics m_statistics;
};

} // namespace briarwharf
