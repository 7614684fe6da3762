#include "coordination/log.h"

#include "base/hash.h"
#include "base/log.h"
#include "coordination/stored.h"
#include <algorithm>
#include <cstdio>
#include <set>

namespace briarwharf {

namespace {

    constexpr std::string_view logPart = "log";

    // Maximum number of objects per list call. Limits the memory for a reply to 64 times the record size.
    constexpr std::size_t listLimit = 64;

    // A watch that times out confirms the head only if the manifest was read within maxManifestAge; otherwise
    // the manifest is read again. Records are removed no sooner than removalDelay after the manifest that
    // covers them was written, so the instances' clock rates may differ by a factor of three.
    constexpr Milliseconds maxManifestAge { 5000 };
    constexpr Milliseconds removalDelay { 15000 };

    // Fixed width, so that the keys sort like the numbers.
    std::string numberText(std::uint64_t number)
    {
        std::array<char, 24> text {};
        std::snprintf(text.data(), text.size(), "%020llu", static_cast<unsigned long long>(number));
        return text.data();
    }

    std::uint64_t recordNumberOf(const std::string& key)
    {
        return std::strtoull(key.c_str() + key.rfind('/') + 1, nullptr, 10);
    }

    // Returns the token of record `number`, where `last` is the number of the last token in the list. Empty
    // if the list does not go back that far.
    std::string recentTokenOf(
        const std::vector<std::string>& recentTokens, std::uint64_t last, std::uint64_t number)
    {
        if (number > last || last - number >= recentTokens.size())
            return {};
        return recentTokens[recentTokens.size() - 1 - (last - number)];
    }

} // namespace

// A snapshot that is being written to the store.
struct Log::SnapshotJob {
    Manifest base; // the manifest that it replaces
    Manifest next;
    std::vector<std::pair<std::size_t, std::string>> pages; // pages to write: index in next.pages, content
    std::size_t written = 0; // number of entries of `pages` that are in the store
    bool waiting = false; // for the end of m_snapshotBackoff
    bool resolving = false; // the write of the manifest may have taken effect; it must be read
};

Log::Log(LogOptions options, Store& store, LogStateMachine& machine, MonotonicClock clock)
    : m_options(std::move(options))
    , m_store(store)
    , m_machine(machine)
    , m_clock(std::move(clock))
    , m_random(hash64(m_options.writer))
    , m_self(std::make_shared<Log*>(this))
    , m_era(m_store.era())
{
}

Log::~Log() = default;

// Wraps a callback of the store so that it is not called after the log has been destroyed, or after the era
// of the store has risen.
template <typename Callback> auto Log::guarded(Callback callback)
{
    return [this, self = std::weak_ptr<Log*>(m_self), restore = m_restore, callback = std::move(callback)](
               auto answer) mutable {
        if (self.expired())
            return;
        checkEra();
        if (m_restore == restore)
            callback(std::move(answer));
    };
}

std::string Log::recordKey(std::uint64_t number) const { return recordPrefix() + numberText(number); }

std::string Log::recordPrefix() const { return "log/" + m_options.name + "/record/"; }

std::string Log::manifestKey() const { return "log/" + m_options.name + "/manifest"; }

std::string Log::encodeRecord(const std::string& token, const std::vector<PendingCommand>& commands)
{
    StoredRecordT record;
    record.token = token;
    for (const auto& pending : commands) {
        record.commands.push_back(std::make_unique<StoredBytesT>());
        record.commands.back()->bytes = toBytes(pending.command);
    }
    return packStored<StoredRecord>(record);
}

Result<Log::Record> Log::decodeRecord(std::string value)
{
    auto stored = unpackStored<StoredRecord>(value, "log record");
    if (!stored)
        return stored.error();
    Record record { stored.value().token, std::move(value), {} };
    for (const auto& command : stored.value().commands)
        record.commands.push_back(fromBytes(command->bytes));
    return record;
}

std::string Log::encodeManifest(const Manifest& manifest)
{
    StoredManifestT stored;
    stored.number = manifest.number;
    stored.token = manifest.token;
    stored.recentTokens = manifest.recentTokens;
    for (const auto& page : manifest.pages) {
        stored.pages.push_back(std::make_unique<StoredPageT>());
        stored.pages.back()->key = page.key;
        stored.pages.back()->digest = page.digest;
        stored.pages.back()->version = page.version;
    }
    return packStored<StoredManifest>(stored);
}

Result<Log::Manifest> Log::decodeManifest(const StoredObject& object)
{
    auto stored = unpackStored<StoredManifest>(object.value, "log manifest");
    if (!stored)
        return stored.error();
    Manifest manifest;
    manifest.number = stored.value().number;
    manifest.token = stored.value().token;
    manifest.recentTokens = std::move(stored.value().recentTokens);
    manifest.version = object.version;
    for (const auto& page : stored.value().pages)
        manifest.pages.push_back({ page->key, page->digest, page->version });
    return manifest;
}

// A log without a snapshot has no manifest; this is reported as a manifest with the number 0.
void Log::readManifest(ManifestCallback callback)
{
    MonotonicTime issuedAt = m_clock();
    auto answered
        = [this, issuedAt, callback = std::move(callback)](Result<std::optional<StoredObject>> read) {
              if (!read)
                  return callback(read.error());
              Result<Manifest> manifest
                  = read.value() ? decodeManifest(*read.value()) : Result<Manifest>(Manifest {});
              if (manifest && manifest.value().number >= m_manifest.number) {
                  m_manifest = manifest.value();
                  m_manifestReadAt = issuedAt;
              }
              callback(std::move(manifest));
          };
    m_store.read(manifestKey(), guarded(std::move(answered)));
}

void Log::backOff(Backoff& backoff)
{
    backoff.delay = backoff.delay.count() == 0 ? m_options.retryDelay
                                               : std::min(2 * backoff.delay, m_options.maxRetryDelay);
    // Half of the delay is random, so that instances whose calls failed at the same time retry at different
    // times.
    auto half = backoff.delay.count() / 2;
    backoff.until = m_clock()
        + Milliseconds(half + static_cast<Milliseconds::rep>(m_random.unit() * static_cast<double>(half)));
}

void Log::start()
{
    m_started = true;
    m_initialPages = m_machine.snapshot();
    sync();
}

void Log::follow(LogFollow follow)
{
    m_follow = follow;
    m_nextPoll = m_clock() + m_options.pollInterval;
    watchNext();
}

void Log::tick()
{
    MonotonicTime now = m_clock();
    checkEra();
    auto refused = std::move(m_refused);
    m_refused.clear();
    for (auto& [callback, error] : refused)
        callback(error);
    expire();
    if (m_started && m_follow == LogFollow::Poll && now >= m_nextPoll) {
        m_nextPoll = now + m_options.pollInterval;
        m_syncWanted = true;
    }
    if (m_syncWanted && !m_syncing && now >= m_syncBackoff.until)
        sync();
    if (m_attempt && m_attempt->waiting && now >= m_commitBackoff.until) {
        m_attempt->waiting = false;
        runAttempt();
    }
    if (m_snapshot && m_snapshot->waiting && now >= m_snapshotBackoff.until) {
        m_snapshot->waiting = false;
        m_snapshot->resolving ? resolveManifest() : writePage();
    }
    cleanIfDue();
    commit();
}

// Restored store ----------------------------------------------------------------------------------------

// The first era that the store states makes nothing void.
void Log::checkEra()
{
    if (m_store.era() == m_era)
        return;
    m_era = m_store.era();
    if (m_loaded || m_restoring || m_manifestReadAt)
        beginRestore();
}

// Versions, the manifest and the head of the earlier era are void. A record whose create is in progress may
// be in the store or not, so its commands end as Unknown. Commands that wait are refused, because they may
// depend on what is known to be in the store.
void Log::beginRestore()
{
    BW_LOG(WARNING, logPart) << m_options.name << ": the store came back from an older copy, era " << m_era
                             << ": reading the log again from record 1, last record applied: " << m_head;
    ++m_restore;
    ++m_statistics.restores;
    rememberRecords();
    m_restoring = true;
    m_loaded = m_syncing = m_watching = m_cleaning = m_cleaningRecords = false;
    m_head = m_cleanUpTo = 0;
    m_recentBytes = 0;
    m_recent.clear();
    m_headConfirmedAt.reset();
    m_manifest = {};
    m_manifestReadAt.reset();
    m_snapshot = nullptr;
    m_scheduledCleanups.clear();
    m_stalePages.clear();
    m_removals.clear();
    m_syncWanted = true;
    m_refreshes.insert(m_refreshes.end(), m_syncRefreshes.begin(), m_syncRefreshes.end());
    m_syncRefreshes.clear();
    Status initial = m_machine.restore(0, m_initialPages);
    if (!initial)
        BW_LOG(ERROR, logPart) << m_options.name << ": " << initial.error().message;
    for (auto& pending : std::exchange(m_queue, {}))
        m_refused.emplace_back(std::move(pending.callback),
            Error { ErrorKind::Unavailable,
                "log " + m_options.name
                    + ": the store came back from an older copy, nothing was written: retry" });
    m_queuedBytes = 0;
    if (m_attempt)
        attemptUnknown("the store came back from an older copy");
}

// Records of an interrupted restore that have not been appended again yet follow those that have.
void Log::rememberRecords()
{
    std::deque<LostRecord> lost;
    for (auto& [number, record] : m_recent)
        if (!record.token.empty())
            lost.push_back({ number, std::move(record) });
    auto known = [&lost](const LostRecord& each) {
        return std::any_of(lost.begin(), lost.end(),
            [&each](const LostRecord& other) { return other.record.token == each.record.token; });
    };
    for (auto& each : m_lost)
        if (!known(each))
            lost.push_back(std::move(each));
    m_lost = std::move(lost);
}

// Removes from m_lost the records that the store has. The tokens of its last records show which these are; a
// record below them counts as stored if the histories are the same at a later number.
void Log::dropStoredRecords()
{
    if (m_lost.empty())
        return;
    std::set<std::string> stored;
    std::uint64_t firstKnown = m_head + 1;
    for (auto recent = m_recent.rbegin(); recent != m_recent.rend(); ++recent) {
        if (recent->first + 1 != firstKnown || recent->second.token.empty())
            break;
        firstKnown = recent->first;
        stored.insert(recent->second.token);
    }
    std::uint64_t sameUpTo = 0;
    for (const auto& lost : m_lost) {
        auto recent = m_recent.find(lost.number);
        if (recent != m_recent.end() && recent->second.token == lost.record.token)
            sameUpTo = std::max(sameUpTo, lost.number);
    }
    std::erase_if(m_lost, [&](const LostRecord& lost) {
        if (lost.number <= sameUpTo || stored.contains(lost.record.token))
            return true;
        if (lost.number >= firstKnown && !lost.record.value.empty())
            return false;
        ++m_statistics.lostRecords;
        BW_LOG(ERROR, logPart)
            << m_options.name << ": record " << lost.number
            << " may be lost: the store came back from a copy without it, and it cannot be "
               "appended again: check its commands";
        return true;
    });
}

void Log::appendLostRecord()
{
    const LostRecord& lost = m_lost.front();
    BW_LOG(WARNING, logPart) << m_options.name << ": record " << lost.number
                             << " is not in the store any more: appending it again as record " << m_head + 1;
    ++m_attemptSerial;
    m_attempt.emplace(m_head + 1, lost.record.token);
    m_attempt->value = lost.record.value;
    createRecord();
}

// Reading ------------------------------------------------------------------------------------------------

void Log::sync()
{
    m_syncWanted = true;
    if (m_syncing)
        return;
    m_syncing = true;
    m_syncWanted = false;
    m_syncRefreshes = std::exchange(m_refreshes, {});
    if (m_loaded)
        return syncRecords();
    readManifest([this](Result<Manifest> manifest) {
        if (!manifest)
            return syncFailed();
        if (manifest.value().number > m_head)
            return loadSnapshot(std::move(manifest.value()));
        syncRecords();
    });
}

void Log::syncFailed()
{
    m_syncing = false;
    m_syncWanted = true;
    backOff(m_syncBackoff);
    answerRefreshes(m_syncRefreshes,
        Error {
            ErrorKind::Unavailable, "log " + m_options.name + ": the store cannot be read: retry later" });
}

void Log::refresh(std::function<void(Status)> callback)
{
    m_refreshes.push_back(std::move(callback));
    sync();
}

void Log::answerRefreshes(std::vector<std::function<void(Status)>>& refreshes, const Status& status)
{
    for (auto& callback : std::exchange(refreshes, {}))
        callback(status);
}

void Log::syncRecords()
{
    auto listed = [this, issuedAt = m_clock()](Result<std::vector<StoredObject>> records) {
        if (!records)
            return syncFailed();
        bool complete = records.value().size() < listLimit;
        syncVerify(std::move(records.value()), complete, issuedAt);
    };
    m_store.list(recordPrefix(), recordKey(m_head), listLimit, guarded(std::move(listed)));
}

// Accepts records only if the manifest, read after them, is not above m_head. Otherwise they may be records
// that a paused writer created under numbers whose records had been removed.
void Log::syncVerify(
    std::vector<StoredObject> records, bool complete, std::optional<MonotonicTime> confirmedAt)
{
    readManifest([this, records = std::move(records), complete, confirmedAt](Result<Manifest> manifest) {
        if (!manifest)
            return syncFailed();
        if (manifest.value().number > m_head)
            return loadSnapshot(std::move(manifest.value()));
        if (!applyStoredRecords(records))
            return syncFailed();
        if (!complete)
            return syncRecords();
        syncDone(confirmedAt);
    });
}

void Log::loadSnapshot(Manifest manifest)
{
    loadPages(std::make_shared<Manifest>(std::move(manifest)), std::make_shared<std::vector<std::string>>());
}

void Log::loadPages(
    const std::shared_ptr<Manifest>& manifest, const std::shared_ptr<std::vector<std::string>>& pages)
{
    if (pages->size() == manifest->pages.size())
        return restoreSnapshot(*manifest, *pages);
    const Page& page = manifest->pages[pages->size()];
    auto read = [this, manifest, pages](Result<std::optional<StoredObject>> object) {
        // A page is absent if a newer snapshot has replaced it. The retry reads the newer manifest.
        if (!object || !object.value())
            return syncFailed();
        if (sha256Hex(object.value()->value) != manifest->pages[pages->size()].digest) {
            BW_LOG(ERROR, logPart) << m_options.name << ": snapshot page " << object.value()->key
                                   << " does not match its digest in the manifest";
            return syncFailed();
        }
        pages->push_back(std::move(object.value()->value));
        loadPages(manifest, pages);
    };
    m_store.read(page.key, guarded(std::move(read)));
}

void Log::restoreSnapshot(const Manifest& manifest, const std::vector<std::string>& pages)
{
    if (manifest.number > m_head) {
        Status restored = m_machine.restore(manifest.number, pages);
        if (!restored) {
            BW_LOG(ERROR, logPart) << m_options.name << ": " << restored.error().message;
            return syncFailed();
        }
        m_head = manifest.number;
        m_recent.clear();
        m_recentBytes = 0;
        for (std::uint64_t back = 0; back < manifest.recentTokens.size() && back < manifest.number; ++back)
            m_recent[manifest.number - back].token
                = recentTokenOf(manifest.recentTokens, m_head, m_head - back);
        resolveBySnapshot(manifest);
    }
    syncRecords();
}

void Log::syncDone(std::optional<MonotonicTime> confirmedAt)
{
    m_syncing = false;
    m_syncBackoff = {};
    dropStoredRecords();
    if (!m_lost.empty()) {
        m_refreshes.insert(m_refreshes.end(), m_syncRefreshes.begin(), m_syncRefreshes.end());
        m_syncRefreshes.clear();
        return commit();
    }
    m_loaded = true;
    m_restoring = false;
    if (confirmedAt)
        confirmHead(*confirmedAt);
    answerRefreshes(m_syncRefreshes, ok());
    if (m_syncWanted)
        return sync();
    watchNext();
    commit();
}

// Applies the records that follow m_head without a gap. A gap is the end of the log: a writer that did not
// know yet that the store came back from an older copy created the record after it. Later appends fill the
// gap.
bool Log::applyStoredRecords(const std::vector<StoredObject>& records)
{
    for (const auto& object : records) {
        std::uint64_t number = recordNumberOf(object.key);
        if (number <= m_head)
            continue;
        if (number != m_head + 1) {
            BW_LOG(WARNING, logPart) << m_options.name << ": record " << m_head + 1
                                     << " is missing; the next record in the store is " << number;
            return true;
        }
        auto record = decodeRecord(object.value);
        if (!record) {
            BW_LOG(ERROR, logPart) << m_options.name << ": record " << number << ": "
                                   << record.error().message;
            return false;
        }
        applyRecord(number, std::move(record.value()));
    }
    return true;
}

// Applies the next record, and ends the attempt to append a record with the same number, if there is one.
void Log::applyRecord(std::uint64_t number, Record record)
{
    // When the store comes back from an older copy, a create that was in flight can add a record that is also
    // appended again under another number. Only the first one counts. Every instance knows the tokens of the
    // last keptRecords records.
    auto oldest = m_recent.lower_bound(number - std::min(number, m_options.keptRecords));
    bool repeated = std::any_of(oldest, m_recent.end(),
        [&record](const auto& recent) { return recent.second.token == record.token; });
    std::vector<Status> results(record.commands.size(), ok());
    for (std::size_t index = 0; index < record.commands.size() && !repeated; ++index)
        results[index] = m_machine.apply({ number, index }, record.commands[index]);
    m_machine.recordApplied(number);
    m_head = number;
    bool appendedAgain = std::erase_if(m_lost, [&](const LostRecord& lost) {
        return lost.record.token == record.token;
    }) > 0;
    // The last read shows whether the store has further records; it ends the restore.
    if (appendedAgain && m_lost.empty())
        m_syncWanted = true;
    bool own = m_attempt && m_attempt->number == number;
    bool accepted = own && m_attempt->token == record.token;
    cacheRecent(number, std::move(record.token), std::move(record.value));
    if (accepted)
        attemptAccepted(results);
    else if (own)
        attemptLost();
}

void Log::cacheRecent(std::uint64_t number, std::string token, std::string value)
{
    m_recentBytes += value.size();
    m_recent[number] = { std::move(token), std::move(value) };
    for (auto oldest = m_recent.begin(); m_recentBytes > m_options.maxRecentBytes && oldest != m_recent.end();
         ++oldest) {
        m_recentBytes -= oldest->second.value.size();
        std::string().swap(oldest->second.value);
    }
    while (m_recent.size() > m_options.keptRecords && m_recent.begin()->second.value.empty())
        m_recent.erase(m_recent.begin());
}

void Log::confirmHead(MonotonicTime at)
{
    if (!m_headConfirmedAt || *m_headConfirmedAt < at)
        m_headConfirmedAt = at;
}

void Log::peerConfirmed(std::uint64_t number, MonotonicTime at)
{
    if (m_loaded && m_head >= number)
        confirmHead(at);
}

void Log::watchNext()
{
    if (m_follow != LogFollow::Watch || m_watching || m_syncing || m_syncWanted || !m_loaded)
        return;
    m_watching = true;
    auto answered
        = [this, issuedAt = m_clock(), number = m_head + 1](Result<std::optional<StoredObject>> object) {
              m_watching = false;
              if (!m_syncing)
                  watchAnswered(issuedAt, number, std::move(object));
          };
    m_store.watch(recordKey(m_head + 1), 0, m_options.watchTimeout, guarded(std::move(answered)));
}

void Log::watchAnswered(
    MonotonicTime issuedAt, std::uint64_t number, Result<std::optional<StoredObject>> object)
{
    if (!object)
        return syncFailed();
    if (number != m_head + 1)
        return watchNext();
    MonotonicTime now = m_clock();
    if (object.value()) {
        m_syncing = true;
        return syncVerify({ std::move(*object.value()) }, true, std::nullopt);
    }
    // No record. An answer at the end of the timeout shows that there was none up to then; an earlier one
    // shows only that there was none when the watch was issued.
    MonotonicTime seenAt = std::min(issuedAt + m_options.watchTimeout, now);
    if (now < issuedAt + m_options.watchTimeout)
        seenAt = issuedAt;
    if (m_manifestReadAt && m_manifest.number <= m_head && now - *m_manifestReadAt < maxManifestAge) {
        confirmHead(seenAt);
        return watchNext();
    }
    m_syncing = true;
    syncVerify({}, true, seenAt);
}

// Peers -------------------------------------------------------------------------------------------------

LogPushT Log::makePush(std::uint64_t after, std::size_t maxBytes) const
{
    LogPushT push;
    push.log = m_options.name;
    push.era = m_era;
    if (!m_loaded || after >= m_head)
        return push;
    auto next = m_recent.find(after + 1);
    if (next == m_recent.end() || next->second.value.empty()) {
        StoredPagesT pages;
        for (auto& page : m_machine.snapshot()) {
            pages.pages.push_back(std::make_unique<StoredBytesT>());
            pages.pages.back()->bytes = toBytes(page);
        }
        std::string bytes = packStored<StoredPages>(pages);
        if (bytes.size() > maxBytes)
            return push;
        push.snapshotNumber = m_head;
        push.snapshot = toBytes(bytes);
        return push;
    }
    std::size_t bytes = 0;
    for (; next != m_recent.end(); ++next) {
        bytes += next->second.value.size();
        if (bytes > maxBytes && !push.records.empty())
            break;
        push.records.push_back(std::make_unique<LogRecordT>());
        push.records.back()->number = next->first;
        push.records.back()->token = next->second.token;
        push.records.back()->payload = toBytes(next->second.value);
    }
    return push;
}

Status Log::accept(const LogPushT& push)
{
    m_store.noteEra(push.era);
    checkEra();
    // A peer that has not read the log in the store's latest era may have records that the store lacks.
    if (push.era != m_era || m_restoring)
        return ok();
    if (push.snapshotNumber > m_head) {
        auto stored = unpackStored<StoredPages>(fromBytes(push.snapshot), "log snapshot of a peer");
        if (!stored)
            return stored.error();
        std::vector<std::string> pages;
        for (const auto& page : stored.value().pages)
            pages.push_back(fromBytes(page->bytes));
        BOOST_OUTCOME_TRY(m_machine.restore(push.snapshotNumber, pages));
        m_head = push.snapshotNumber;
        m_loaded = true;
        m_recent.clear();
        m_recentBytes = 0;
    }
    for (const auto& pushed : push.records) {
        if (pushed->number <= m_head)
            continue;
        if (pushed->number != m_head + 1)
            break;
        auto record = decodeRecord(fromBytes(pushed->payload));
        if (!record)
            return record.error();
        m_loaded = true;
        applyRecord(pushed->number, std::move(record.value()));
    }
    commit();
    return ok();
}

// Appending ---------------------------------------------------------------------------------------------

void Log::append(std::string command, MonotonicTime deadline, AppendCallback callback)
{
    if (command.size() > m_options.maxRecordBytes) {
        m_refused.emplace_back(std::move(callback),
            Error { ErrorKind::TooLarge,
                "a command of " + std::to_string(command.size()) + " bytes exceeds the log's limit of "
                    + std::to_string(m_options.maxRecordBytes) + ": split it" });
        return;
    }
    if (m_queuedBytes + command.size() > m_options.maxQueuedBytes) {
        m_refused.emplace_back(std::move(callback),
            Error { ErrorKind::Overloaded,
                "log " + m_options.name + " has too many commands waiting: retry later" });
        return;
    }
    m_queuedBytes += command.size();
    m_queue.push_back({ std::move(command), deadline, std::move(callback) });
    commit();
}

void Log::commit()
{
    MonotonicTime now = m_clock();
    bool busy = m_attempt || m_syncing || m_syncWanted;
    if (busy || now < m_commitBackoff.until)
        return;
    if (!m_lost.empty())
        return appendLostRecord();
    if (!m_loaded || m_queue.empty() || now < m_nextCommit)
        return;
    m_attempt.emplace(m_head + 1, m_options.writer + "-" + std::to_string(++m_attemptSerial));
    std::size_t bytes = 0;
    while (!m_queue.empty() && bytes + m_queue.front().command.size() <= m_options.maxRecordBytes) {
        bytes += m_queue.front().command.size();
        m_attempt->commands.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    m_queuedBytes -= bytes;
    m_attempt->value = encodeRecord(m_attempt->token, m_attempt->commands);
    m_nextCommit = now + m_options.commitInterval;
    createRecord();
}

// Drops the answer if the attempt has ended in the meantime.
template <typename Callback> auto Log::forAttempt(Callback callback)
{
    return guarded([this, serial = m_attemptSerial, callback = std::move(callback)](auto answer) mutable {
        if (m_attempt && m_attemptSerial == serial)
            callback(std::move(answer));
    });
}

void Log::runAttempt()
{
    switch (m_attempt->phase) {
    case Phase::Create:
        return createRecord();
    case Phase::ReadBack:
        return readBack();
    case Phase::Verify:
        return verify();
    }
}

void Log::createRecord()
{
    m_attempt->phase = Phase::Create;
    m_attempt->issuedAt = m_clock();
    m_store.create(recordKey(m_attempt->number), m_attempt->value,
        forAttempt([this](WriteResult result) { recordCreated(result); }));
}

void Log::recordCreated(WriteResult result)
{
    switch (result.outcome) {
    case WriteOutcome::Done:
        m_attempt->created = true;
        m_attempt->confirmsHead = true;
        return verify();
    case WriteOutcome::Unknown:
        m_attempt->maySucceed = true;
        return readBack();
    case WriteOutcome::Conflict:
        return readBack();
    case WriteOutcome::NotSent:
        if (m_attempt->maySucceed)
            return retryAttempt(Phase::Create);
        backOff(m_commitBackoff);
        return requeueAttempt();
    }
}

void Log::readBack()
{
    m_attempt->phase = Phase::ReadBack;
    auto read = [this](Result<std::optional<StoredObject>> object) {
        if (!object)
            return retryAttempt(Phase::ReadBack);
        if (object.value()) {
            auto record = decodeRecord(object.value()->value);
            m_attempt->created = record && record.value().token == m_attempt->token;
            m_attempt->taken = !m_attempt->created;
            if (m_attempt->taken && !m_attempt->maySucceed)
                return attemptLost();
        }
        verify();
    };
    m_store.read(recordKey(m_attempt->number), forAttempt(std::move(read)));
}

void Log::verify()
{
    m_attempt->phase = Phase::Verify;
    readManifest([this, serial = m_attemptSerial](Result<Manifest> manifest) {
        if (!m_attempt || m_attemptSerial != serial)
            return;
        if (!manifest)
            return retryAttempt(Phase::Verify);
        verified(manifest.value());
    });
}

void Log::verified(const Manifest& manifest)
{
    if (manifest.number >= m_attempt->number)
        return resolveBySnapshot(manifest);
    if (m_attempt->taken)
        return attemptLost();
    // The record is absent after a conflict or a lost answer. An earlier create may still take effect, so the
    // create is repeated with the same bytes until a record with the number exists.
    if (!m_attempt->created)
        return retryAttempt(Phase::Create);
    if (m_attempt->confirmsHead)
        confirmHead(m_attempt->issuedAt);
    if (m_head >= m_attempt->number)
        return attemptAccepted(std::vector<Status>(m_attempt->commands.size(), ok()));
    auto record = decodeRecord(m_attempt->value);
    applyRecord(m_attempt->number, std::move(record.value()));
}

void Log::retryAttempt(Phase phase)
{
    m_attempt->phase = phase;
    m_attempt->waiting = true;
    backOff(m_commitBackoff);
}

// Ends the attempt if a snapshot includes its number: the token in the manifest shows whose record it was.
void Log::resolveBySnapshot(const Manifest& manifest)
{
    if (!m_attempt || m_attempt->number > manifest.number)
        return;
    // Set before the callbacks run, because they may append, and the next record must be above the snapshot.
    m_syncWanted = m_syncWanted || manifest.number > m_head;
    std::string token = recentTokenOf(manifest.recentTokens, manifest.number, m_attempt->number);
    if (token.empty())
        attemptUnknown("a snapshot covers the record's number and does not show whose record it was");
    else if (token == m_attempt->token)
        attemptAccepted(std::vector<Status>(m_attempt->commands.size(), ok()));
    else
        attemptLost();
    if (m_syncWanted)
        sync();
}

// Moves the attempt's commands back to the front of the queue, to be written under another number. A command
// whose callback was already called with Unknown is dropped, because its caller no longer waits.
void Log::requeueAttempt()
{
    auto commands = std::move(m_attempt->commands);
    m_attempt.reset();
    for (auto pending = commands.rbegin(); pending != commands.rend(); ++pending) {
        if (!pending->callback)
            continue;
        m_queuedBytes += pending->command.size();
        m_queue.push_front(std::move(*pending));
    }
}

// Another writer's record has the number, so this writer's create has had no effect and will have none.
void Log::attemptLost()
{
    ++m_statistics.lostRaces;
    bool behind = m_head < m_attempt->number;
    requeueAttempt();
    if (behind)
        sync();
}

void Log::attemptUnknown(const std::string& reason)
{
    auto commands = std::move(m_attempt->commands);
    m_attempt.reset();
    for (auto& pending : commands)
        fail(pending, ErrorKind::Unknown, "log " + m_options.name + ": " + reason + ": read the state again");
}

void Log::attemptAccepted(const std::vector<Status>& results)
{
    ++m_statistics.commits;
    if (m_attempt->maySucceed)
        ++m_statistics.commitsAfterLostAnswer;
    std::uint64_t number = m_attempt->number;
    auto commands = std::move(m_attempt->commands);
    m_attempt.reset();
    m_commitBackoff = {};
    for (std::size_t index = 0; index < commands.size(); ++index) {
        if (!commands[index].callback)
            continue;
        if (results[index])
            commands[index].callback(LogPosition { number, index });
        else
            commands[index].callback(results[index].error());
    }
    snapshotIfDue();
    watchNext();
    commit();
}

void Log::fail(PendingCommand& pending, ErrorKind kind, std::string message)
{
    auto callback = std::move(pending.callback);
    pending.callback = nullptr;
    if (callback)
        callback(Error { kind, std::move(message) });
}

void Log::expire()
{
    MonotonicTime now = m_clock();
    std::vector<PendingCommand> expired;
    for (auto pending = m_queue.begin(); pending != m_queue.end();) {
        if (pending->deadline > now) {
            ++pending;
            continue;
        }
        m_queuedBytes -= pending->command.size();
        expired.push_back(std::move(*pending));
        pending = m_queue.erase(pending);
    }
    std::vector<PendingCommand> undecided;
    if (m_attempt) {
        for (auto& pending : m_attempt->commands) {
            if (pending.deadline > now || !pending.callback)
                continue;
            undecided.push_back({ {}, pending.deadline, std::move(pending.callback) });
            pending.callback = nullptr;
        }
    }
    for (auto& pending : expired)
        fail(pending, ErrorKind::Unavailable,
            "log " + m_options.name
                + ": the store was down or slow until the deadline, nothing was written: "
                  "retry later");
    for (auto& pending : undecided)
        fail(pending, ErrorKind::Unknown,
            "log " + m_options.name + ": the store gave no answer until the deadline: read the state again");
}

// Snapshots ---------------------------------------------------------------------------------------------

void Log::snapshotIfDue()
{
    if (!m_loaded || m_snapshot || m_head < m_manifest.number + m_options.snapshotInterval)
        return;
    m_snapshot = std::make_shared<SnapshotJob>();
    Manifest& next = m_snapshot->next;
    m_snapshot->base = m_manifest;
    next.number = m_head;
    next.token = m_options.writer + "-snapshot-" + std::to_string(m_head);
    std::uint64_t oldest = m_head - std::min(m_head, m_options.keptRecords);
    for (std::uint64_t number = oldest + 1; number <= m_head; ++number) {
        auto recent = m_recent.find(number);
        next.recentTokens.push_back(recent == m_recent.end() ? std::string() : recent->second.token);
    }
    for (auto& content : m_machine.snapshot()) {
        std::string digest = sha256Hex(content);
        const auto& old = m_snapshot->base.pages;
        auto same = std::find_if(
            old.begin(), old.end(), [&digest](const Page& page) { return page.digest == digest; });
        if (same != old.end()) {
            next.pages.push_back(*same);
            continue;
        }
        m_snapshot->pages.emplace_back(next.pages.size(), std::move(content));
        next.pages.push_back({ "log/" + m_options.name + "/page/" + numberText(next.number) + "-" + next.token
                + "-" + std::to_string(next.pages.size()),
            digest, 0 });
    }
    writePage();
}

template <typename Callback> auto Log::forSnapshot(Callback callback)
{
    return guarded(
        [job = std::weak_ptr<SnapshotJob>(m_snapshot), callback = std::move(callback)](auto answer) mutable {
            if (!job.expired())
                callback(std::move(answer));
        });
}

void Log::writePage()
{
    if (m_snapshot->written == m_snapshot->pages.size())
        return writeManifest();
    const auto& [index, content] = m_snapshot->pages[m_snapshot->written];
    m_store.create(m_snapshot->next.pages[index].key, content,
        forSnapshot([this](WriteResult result) { pageWritten(result); }));
}

void Log::pageWritten(WriteResult result)
{
    if (result.outcome == WriteOutcome::Conflict)
        return readPageBack();
    if (result.outcome != WriteOutcome::Done)
        return retrySnapshot();
    m_snapshot->next.pages[m_snapshot->pages[m_snapshot->written].first].version = result.version;
    ++m_snapshot->written;
    writePage();
}

// No other writer uses this key, so a page that exists was written by an earlier create whose answer was
// lost.
void Log::readPageBack()
{
    auto read = [this](Result<std::optional<StoredObject>> object) {
        if (!object || !object.value())
            return retrySnapshot();
        pageWritten({ WriteOutcome::Done, object.value()->version });
    };
    const auto& [index, content] = m_snapshot->pages[m_snapshot->written];
    m_store.read(m_snapshot->next.pages[index].key, forSnapshot(std::move(read)));
}

void Log::retrySnapshot()
{
    m_snapshot->waiting = true;
    backOff(m_snapshotBackoff);
}

void Log::writeManifest()
{
    std::string value = encodeManifest(m_snapshot->next);
    auto written = forSnapshot([this](WriteResult result) { manifestWritten(result); });
    if (m_snapshot->base.version == 0)
        m_store.create(manifestKey(), value, written);
    else
        m_store.update(manifestKey(), m_snapshot->base.version, value, written);
}

void Log::manifestWritten(WriteResult result)
{
    if (result.outcome == WriteOutcome::NotSent)
        return retrySnapshot();
    if (result.outcome != WriteOutcome::Done) {
        m_snapshot->resolving = true;
        return resolveManifest();
    }
    m_snapshot->next.version = result.version;
    snapshotDone();
}

void Log::resolveManifest()
{
    readManifest([this, job = std::weak_ptr<SnapshotJob>(m_snapshot)](Result<Manifest> manifest) {
        if (job.expired())
            return;
        if (!manifest)
            return retrySnapshot();
        m_snapshot->resolving = false;
        if (manifest.value().token == m_snapshot->next.token) {
            m_snapshot->next.version = manifest.value().version;
            return snapshotDone();
        }
        // The manifest has not changed. Repeat the update: it depends on the version, so it takes effect only
        // once.
        if (manifest.value().version == m_snapshot->base.version)
            return retrySnapshot();
        snapshotAbandoned();
    });
}

void Log::snapshotDone()
{
    ++m_statistics.snapshots;
    m_snapshotBackoff = {};
    auto job = std::move(m_snapshot);
    m_snapshot = nullptr;
    for (const auto& old : job->base.pages) {
        auto kept = std::any_of(job->next.pages.begin(), job->next.pages.end(),
            [&old](const Page& page) { return page.key == old.key; });
        if (!kept)
            m_stalePages.push_back(old);
    }
    if (m_manifest.number <= job->next.number)
        m_manifest = std::move(job->next);
    std::uint64_t cleanUpTo = m_manifest.number - std::min(m_manifest.number, m_options.keptRecords);
    m_scheduledCleanups.emplace_back(cleanUpTo, m_clock() + removalDelay);
}

// Another writer has replaced the base manifest, so this writer's update can no longer take effect.
void Log::snapshotAbandoned()
{
    for (const auto& [index, content] : m_snapshot->pages)
        m_stalePages.push_back(m_snapshot->next.pages[index]);
    m_snapshot = nullptr;
    m_scheduledCleanups.emplace_back(m_cleanUpTo, m_clock() + removalDelay);
}

void Log::cleanIfDue()
{
    bool due = false;
    while (!m_cleaning && !m_scheduledCleanups.empty() && m_scheduledCleanups.front().second <= m_clock()) {
        m_cleanUpTo = std::max(m_cleanUpTo, m_scheduledCleanups.front().first);
        m_scheduledCleanups.pop_front();
        due = true;
    }
    if (due)
        cleanRecords();
}

// Removes the records up to m_cleanUpTo, one call at a time, in batches of listLimit from the oldest on.
void Log::cleanRecords()
{
    m_cleaning = true;
    auto listed = [this](Result<std::vector<StoredObject>> records) {
        if (!records)
            return cleanupDone();
        m_removals.clear();
        for (const auto& record : records.value())
            if (recordNumberOf(record.key) <= m_cleanUpTo)
                m_removals.push_back({ record.key, {}, record.version });
        m_moreToClean = m_removals.size() == listLimit;
        m_cleaningRecords = true;
        removeNext();
    };
    m_store.list(recordPrefix(), {}, listLimit, guarded(std::move(listed)));
}

void Log::removeNext()
{
    if (m_removals.empty() && m_cleaningRecords) {
        if (m_moreToClean)
            return cleanRecords();
        m_cleaningRecords = false;
        m_removals = std::exchange(m_stalePages, {});
    }
    if (m_removals.empty())
        return cleanupDone();
    Page page = std::move(m_removals.back());
    m_removals.pop_back();
    auto removed = [this](WriteResult result) {
        if (result.outcome == WriteOutcome::NotSent)
            return cleanupDone();
        if (m_cleaningRecords && result.outcome == WriteOutcome::Done)
            ++m_statistics.removedRecords;
        removeNext();
    };
    m_store.remove(page.key, page.version, guarded(std::move(removed)));
}

// Also called after an error. Records that were not removed are listed again after the next snapshot; pages
// that had been moved from m_stalePages to m_removals stay in the store.
void Log::cleanupDone()
{
    m_cleaning = false;
    m_removals.clear();
}

} // namespace briarwharf
