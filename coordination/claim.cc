#include "coordination/claim.h"

#include "base/hash.h"
#include "base/log.h"
#include "coordination/stored.h"
#include <algorithm>

namespace briarwharf {

namespace {

    constexpr std::string_view claimPart = "claim";

    // Range of sequence numbers per snapshot page. Pages of old claims then change only when claims in them
    // expire, and unchanged pages are not written again.
    constexpr std::uint64_t sequencesPerPage = 1024;

    // A page with large outcomes is split when it reaches about this size. The entry that exceeds it still
    // fits below the store's limit.
    constexpr std::size_t pageSplitBytes = 512 * 1024;

    // Estimated size of an entry's fields other than its body.
    constexpr std::size_t entryOverheadBytes = 400;

    // A call that ended without a claim is kept for this time, because its claim messages may arrive late and
    // be granted; such a claim must be released.
    constexpr Milliseconds endedRetention { 60000 };

    // After its shard has been assigned to another instance, a collector runs for this time to answer
    // requests that are in progress.
    constexpr Milliseconds collectorGracePeriod { 10000 };

    // Time after which every live instance knows that the store came back from an older copy.
    constexpr Milliseconds restoreSpreadTime { 10000 };

    constexpr std::string_view oversizedOutcomeBody
        = R"({"error":{"type":"outcome_too_large","message":"the call completed; its response is over the )"
          R"(size that is stored for repeats","remedy":"look the result up at the service","outcome":"completed"}})";

    void replaceOversizedBody(std::string& contentType, std::vector<std::uint8_t>& body)
    {
        if (body.size() <= maxOutcomeBodyBytes)
            return;
        contentType = "application/json";
        body = toBytes(oversizedOutcomeBody);
    }

    ClaimCommandKind commandKind(SettleKind kind)
    {
        switch (kind) {
        case SettleKind::Release:
            return ClaimCommandKind::Release;
        case SettleKind::Completed:
            return ClaimCommandKind::Completed;
        case SettleKind::Unknown:
            return ClaimCommandKind::Unknown;
        }
        return ClaimCommandKind::Unknown;
    }

} // namespace

std::string claimKeyHash(
    std::string_view organisation, std::string_view service, std::string_view idempotencyKey)
{
    std::string text;
    for (std::string_view component : { organisation, service, idempotencyKey })
        text += std::to_string(component.size()) + ":" + std::string(component);
    return sha256Hex(text);
}

std::uint32_t claimShard(std::string_view keyHash)
{
    return static_cast<std::uint32_t>(hash64(keyHash) % claimShards);
}

// Index ------------------------------------------------------------------------------------------------

ClaimIndex::ClaimIndex(std::chrono::milliseconds retention)
    : m_retentionMs(static_cast<std::uint64_t>(retention.count()))
{
}

const ClaimEntryT* ClaimIndex::find(const std::string& keyHash) const
{
    auto sequence = m_sequences.find(keyHash);
    return sequence == m_sequences.end() ? nullptr : &m_entries.at(sequence->second);
}

void ClaimIndex::insert(ClaimEntryT entry)
{
    std::uint64_t sequence = entry.sequence;
    m_sequences[entry.keyHash] = sequence;
    m_byAge.emplace(entry.atMs, sequence);
    m_entries[sequence] = std::move(entry);
}

void ClaimIndex::erase(std::uint64_t sequence)
{
    auto entry = m_entries.find(sequence);
    m_sequences.erase(entry->second.keyHash);
    m_byAge.erase({ entry->second.atMs, sequence });
    m_entries.erase(entry);
}

void ClaimIndex::touch(ClaimEntryT& entry, std::uint64_t atMs)
{
    m_byAge.erase({ entry.atMs, entry.sequence });
    entry.atMs = atMs;
    m_byAge.emplace(atMs, entry.sequence);
}

Status ClaimIndex::apply(const LogPosition&, std::string_view bytes)
{
    auto command = unpackStored<ClaimCommand>(bytes, "claim command");
    if (!command)
        return command.error();
    m_clockMs = std::max(m_clockMs, command.value().atMs);
    m_era = std::max(m_era, command.value().era);
    switch (command.value().kind) {
    case ClaimCommandKind::Claim:
        return applyClaim(command.value());
    case ClaimCommandKind::Restored:
        return applyRestored(command.value());
    case ClaimCommandKind::Release:
        return applyRelease(command.value());
    case ClaimCommandKind::Completed:
    case ClaimCommandKind::Unknown:
        return applyOutcome(command.value());
    }
    return Error { ErrorKind::InvalidArgument, "claim command of an unknown kind: update this instance" };
}

Status ClaimIndex::applyClaim(const ClaimCommandT& command)
{
    if (m_released.contains(command.claimant))
        return Error { ErrorKind::Conflict,
            "the claimant has released this claim: repeat the call with a new claim" };
    if (const ClaimEntryT* entry = find(command.keyHash)) {
        if (entry->claimant == command.claimant)
            return ok();
        return Error { ErrorKind::Conflict, "another claimant has the key: read its state" };
    }
    insertClaim(command);
    return ok();
}

Status ClaimIndex::applyRestored(const ClaimCommandT& command)
{
    if (m_released.contains(command.claimant))
        return Error { ErrorKind::Conflict, "the claimant has released this claim" };
    if (const ClaimEntryT* entry = find(command.keyHash)) {
        if (entry->claimant == command.claimant)
            return ok();
        if (entry->state == ClaimState::Completed)
            return Error { ErrorKind::Conflict, "the call of another claimant has completed" };
        erase(entry->sequence);
    }
    insertClaim(command);
    return ok();
}

void ClaimIndex::insertClaim(const ClaimCommandT& command)
{
    ClaimEntryT entry;
    entry.keyHash = command.keyHash;
    entry.bodyHash = command.bodyHash;
    entry.claimant = command.claimant;
    entry.instance = command.instance;
    entry.sequence = m_nextSequence++;
    entry.atMs = m_clockMs;
    insert(std::move(entry));
}

std::vector<ClaimCommandT> ClaimIndex::takeLost()
{
    std::vector<ClaimCommandT> commands;
    for (auto& [sequence, entry] : std::exchange(m_entriesBefore, {})) {
        const ClaimEntryT* present = find(entry.keyHash);
        bool expired = entry.atMs + m_retentionMs < m_clockMs;
        bool isKept = present && present->claimant == entry.claimant
            && (present->state == entry.state || present->state == ClaimState::Completed);
        if (expired || m_released.contains(entry.claimant) || isKept)
            continue;
        ClaimCommandT command;
        command.keyHash = entry.keyHash;
        command.bodyHash = entry.bodyHash;
        command.claimant = entry.claimant;
        command.instance = entry.instance;
        command.kind = ClaimCommandKind::Restored;
        commands.push_back(command);
        if (entry.state == ClaimState::InProgress)
            continue;
        command.kind
            = entry.state == ClaimState::Completed ? ClaimCommandKind::Completed : ClaimCommandKind::Unknown;
        command.httpStatus = entry.httpStatus;
        command.contentType = entry.contentType;
        command.body = std::move(entry.body);
        commands.push_back(std::move(command));
    }
    for (auto& [claimant, atMs] : std::exchange(m_releasedBefore, {})) {
        if (m_released.contains(claimant) || atMs + m_retentionMs < m_clockMs)
            continue;
        ClaimCommandT command;
        command.kind = ClaimCommandKind::Release;
        command.claimant = claimant;
        commands.push_back(std::move(command));
    }
    return commands;
}

// The claimant is recorded even if it has no claim, because a delayed claim message of this claimant must not
// create one.
Status ClaimIndex::applyRelease(const ClaimCommandT& command)
{
    const ClaimEntryT* entry = find(command.keyHash);
    if (entry && entry->claimant == command.claimant) {
        if (entry->state == ClaimState::Completed)
            return Error { ErrorKind::Conflict, "the call has completed: its claim cannot be released" };
        erase(entry->sequence);
    }
    if (m_released.emplace(command.claimant, m_clockMs).second)
        m_releasedByAge.emplace(m_clockMs, command.claimant);
    return ok();
}

// An outcome also replaces Unknown: the claimant's instance was declared dead, but it was alive.
Status ClaimIndex::applyOutcome(const ClaimCommandT& command)
{
    const ClaimEntryT* found = find(command.keyHash);
    if (!found || found->claimant != command.claimant)
        return Error { ErrorKind::NotFound, "the claimant has no claim on the key: nothing to settle" };
    ClaimEntryT& entry = m_entries.at(found->sequence);
    if (entry.state == ClaimState::Completed)
        return ok();
    touch(entry, m_clockMs);
    entry.state = ClaimState::Unknown;
    if (command.kind == ClaimCommandKind::Completed) {
        entry.state = ClaimState::Completed;
        entry.httpStatus = command.httpStatus;
        entry.contentType = command.contentType;
        entry.body = command.body;
    }
    return ok();
}

void ClaimIndex::recordApplied(std::uint64_t)
{
    while (!m_byAge.empty() && m_byAge.begin()->first + m_retentionMs < m_clockMs)
        erase(m_byAge.begin()->second);
    while (!m_releasedByAge.empty() && m_releasedByAge.begin()->first + m_retentionMs < m_clockMs) {
        m_released.erase(m_releasedByAge.begin()->second);
        m_releasedByAge.erase(m_releasedByAge.begin());
    }
}

std::vector<std::string> ClaimIndex::snapshot() const
{
    std::vector<std::string> pages;
    ClaimPageT page;
    page.clockMs = m_clockMs;
    page.nextSequence = m_nextSequence;
    page.era = m_era;
    std::size_t bytes = 0;
    auto finish = [&pages, &page, &bytes] {
        pages.push_back(packStored<ClaimPage>(page));
        page = ClaimPageT();
        bytes = 0;
    };
    for (const auto& [at, claimant] : m_releasedByAge) {
        page.released.push_back(std::make_unique<ReleasedClaimantT>());
        page.released.back()->claimant = claimant;
        page.released.back()->atMs = at;
        bytes += claimant.size() + entryOverheadBytes / 4;
        if (bytes >= pageSplitBytes)
            finish();
    }
    finish();
    std::uint64_t block = 0;
    for (const auto& [sequence, entry] : m_entries) {
        if (!page.entries.empty() && (sequence / sequencesPerPage != block || bytes >= pageSplitBytes))
            finish();
        block = sequence / sequencesPerPage;
        bytes += entry.body.size() + entryOverheadBytes;
        page.entries.push_back(std::make_unique<ClaimEntryT>(entry));
    }
    if (!page.entries.empty())
        finish();
    return pages;
}

// Number 0 means that the log is read again because the store came back from an older copy.
Status ClaimIndex::restore(std::uint64_t number, const std::vector<std::string>& pages)
{
    ClaimIndex next { std::chrono::milliseconds(m_retentionMs) };
    for (const auto& bytes : pages) {
        BOOST_OUTCOME_TRY(page, unpackStored<ClaimPage>(bytes, "claim page"));
        next.m_clockMs = std::max(next.m_clockMs, page.clockMs);
        next.m_nextSequence = std::max(next.m_nextSequence, page.nextSequence);
        next.m_era = std::max(next.m_era, page.era);
        for (auto& entry : page.entries)
            next.insert(std::move(*entry));
        for (const auto& released : page.released) {
            next.m_released[released->claimant] = released->atMs;
            next.m_releasedByAge.emplace(released->atMs, released->claimant);
        }
    }
    // Kept if a second restore interrupts the first.
    next.m_entriesBefore = std::move(m_entriesBefore);
    next.m_releasedBefore = std::move(m_releasedBefore);
    if (number == 0) {
        for (auto& [sequence, entry] : m_entries)
            next.m_entriesBefore.insert_or_assign(sequence, std::move(entry));
        next.m_releasedBefore.merge(m_released);
    }
    *this = std::move(next);
    return ok();
}

// Collector --------------------------------------------------------------------------------------------

ClaimCollector::ClaimCollector(ClaimCollectorOptions options, std::uint32_t shard, Store& store,
    MonotonicClock clock, std::function<WallTime()> wallClock, InstanceDeclaredDead instanceDeclaredDead)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_wallClock(std::move(wallClock))
    , m_instanceDeclaredDead(std::move(instanceDeclaredDead))
    , m_index(m_options.retention)
    , m_log({ .name = m_options.logPrefix + "claims/" + std::to_string(shard),
                .writer = m_options.writer,
                .commitInterval = m_options.commitInterval,
                .snapshotInterval = m_options.snapshotInterval },
          store, m_index, std::move(clock))
{
    m_log.start();
}

void ClaimCollector::append(ClaimCommandT command, Log::AppendCallback callback)
{
    command.atMs = static_cast<std::uint64_t>(unixMilliseconds(m_wallClock()));
    m_log.append(packStored<ClaimCommand>(command), m_clock() + m_options.appendTimeout, std::move(callback));
}

// Returns the answer that follows from the index; nullopt if there is no claim on the key, if the instance of
// its claimant was declared dead, or if the index is not complete yet.
std::optional<ClaimResponseT> ClaimCollector::answerFromIndex(const ClaimRequestT& request)
{
    const ClaimEntryT* entry = m_index.find(request.keyHash);
    if (!entry || !m_log.loaded())
        return std::nullopt;
    // A claim that was granted before the store lost it goes before a later one.
    if (request.granted && entry->claimant != request.claimant && entry->state != ClaimState::Completed)
        return std::nullopt;
    ClaimResponseT response;
    response.nonce = request.nonce;
    bool own = entry->claimant == request.claimant;
    if (entry->bodyHash != request.bodyHash) {
        response.status = ClaimStatus::DifferentRequest;
    } else if (entry->state == ClaimState::Completed) {
        response.status = ClaimStatus::Completed;
        response.httpStatus = entry->httpStatus;
        response.contentType = entry->contentType;
        response.body = entry->body;
    } else if (entry->state == ClaimState::Unknown) {
        response.status = ClaimStatus::Unknown;
    } else if (own) {
        response.status = ClaimStatus::Granted;
    } else if (m_instanceDeclaredDead(entry->instance)) {
        return std::nullopt;
    } else {
        response.status = ClaimStatus::InProgress;
    }
    return response;
}

ClaimResponseT ClaimCollector::unavailable(const ClaimRequestT& request)
{
    ClaimResponseT response;
    response.nonce = request.nonce;
    response.status = ClaimStatus::Unavailable;
    return response;
}

// Before it reports a state that another collector may have changed, it reads the store.
void ClaimCollector::claim(const ClaimRequestT& request, ClaimReply reply)
{
    auto response = answerFromIndex(request);
    bool mayChange = response
        && (response->status == ClaimStatus::InProgress || response->status == ClaimStatus::Unknown
            || response->status == ClaimStatus::DifferentRequest);
    if (!mayChange)
        return answerOrAppend(request, std::move(reply));
    m_log.refresh([this, request, reply = std::move(reply)](const Status& refreshed) {
        if (refreshed)
            answerOrAppend(request, reply);
        else
            reply(unavailable(request));
    });
}

void ClaimCollector::answerOrAppend(const ClaimRequestT& request, ClaimReply reply)
{
    if (auto response = answerFromIndex(request))
        return reply(std::move(*response));
    const ClaimEntryT* entry = m_index.find(request.keyHash);
    if (entry && m_log.loaded() && !request.granted)
        return markUnknown(request, *entry, std::move(reply));
    auto& waiting = m_waiting[request.claimant];
    waiting.push_back({ request, std::move(reply) });
    if (waiting.size() > 1)
        return;
    if (isHeld(request))
        m_held.push_back(request);
    else
        appendClaim(request);
}

// Appends what this collector knew before the store came back from an older copy and what the log still
// lacks. If a command is not durable, the state before is gone; its claimant then claims again while it
// lives.
void ClaimCollector::appendLost()
{
    if (!m_log.loaded())
        return;
    for (auto& command : m_index.takeLost()) {
        append(std::move(command), [](const Result<LogPosition>& appended) {
            bool refused = appended.has_error() && appended.error().kind != ErrorKind::Conflict;
            if (refused)
                BW_LOG(ERROR, claimPart)
                    << "a claim that the store lost was not written again: " << appended.error().message;
        });
    }
}

// Whether the claim has to wait because a live instance may know an earlier claim on the key that the store
// lost.
bool ClaimCollector::isHeld(const ClaimRequestT& request)
{
    StoreEra era = m_log.era();
    if (request.granted || era == 0 || (m_log.loaded() && m_index.era() == era))
        return false;
    if (m_heldEra != era) {
        m_heldEra = era;
        m_heldUntil = m_clock() + m_options.restoreDelay;
    }
    return m_clock() < m_heldUntil;
}

void ClaimCollector::tick()
{
    m_log.tick();
    appendLost();
    for (auto& request : std::exchange(m_held, {})) {
        if (isHeld(request))
            m_held.push_back(std::move(request));
        else
            appendClaim(request);
    }
}

void ClaimCollector::appendClaim(const ClaimRequestT& request)
{
    ClaimCommandT command;
    command.kind = request.granted ? ClaimCommandKind::Restored : ClaimCommandKind::Claim;
    command.keyHash = request.keyHash;
    command.bodyHash = request.bodyHash;
    command.claimant = request.claimant;
    command.instance = request.instance;
    command.era = request.granted ? 0 : m_log.era();
    append(std::move(command), [this, claimant = request.claimant](const Result<LogPosition>& appended) {
        claimAppended(claimant, appended);
    });
}

void ClaimCollector::claimAppended(const std::string& claimant, const Result<LogPosition>& appended)
{
    auto found = m_waiting.find(claimant);
    auto waiting = std::move(found->second);
    m_waiting.erase(found);
    bool durable = appended || appended.error().kind == ErrorKind::Conflict;
    for (auto& [request, reply] : waiting) {
        auto response = durable ? answerFromIndex(request) : std::nullopt;
        const ClaimEntryT* entry = m_index.find(request.keyHash);
        if (response) {
            reply(std::move(*response));
        } else if (durable && entry && !request.granted) {
            markUnknown(request, *entry, std::move(reply));
        } else {
            reply(unavailable(request));
        }
    }
}

// The claimant's instance was declared dead and may have sent the call.
void ClaimCollector::markUnknown(const ClaimRequestT& request, const ClaimEntryT& entry, ClaimReply reply)
{
    ClaimCommandT command;
    command.kind = ClaimCommandKind::Unknown;
    command.keyHash = entry.keyHash;
    command.claimant = entry.claimant;
    BW_LOG(INFO, claimPart) << "instance " << entry.instance << " was declared dead with a claim in progress";
    append(
        std::move(command), [this, request, reply = std::move(reply)](const Result<LogPosition>& appended) {
            ClaimResponseT response = unavailable(request);
            bool durable = appended || appended.error().kind == ErrorKind::NotFound;
            if (auto known = durable ? answerFromIndex(request) : std::nullopt)
                response = std::move(*known);
            reply(std::move(response));
        });
}

void ClaimCollector::settle(const SettleRequestT& request, SettleReply reply)
{
    ClaimCommandT command;
    command.kind = commandKind(request.kind);
    command.keyHash = request.keyHash;
    command.claimant = request.claimant;
    command.httpStatus = request.httpStatus;
    command.contentType = request.contentType;
    command.body = request.body;
    replaceOversizedBody(command.contentType, command.body);
    append(std::move(command),
        [nonce = request.nonce, reply = std::move(reply)](const Result<LogPosition>& appended) {
            SettleResponseT response;
            response.nonce = nonce;
            // Conflict and NotFound are final too: the claim has another state or does not exist, so
            // repeating the settlement has no effect.
            response.settled = appended || appended.error().kind == ErrorKind::Conflict
                || appended.error().kind == ErrorKind::NotFound;
            reply(response);
        });
}

// Service ----------------------------------------------------------------------------------------------

ClaimService::ClaimService(ClaimCollectorOptions options, Store& store, MonotonicClock clock,
    std::function<WallTime()> wallClock, std::function<bool(std::uint32_t)> isAssigned,
    InstanceDeclaredDead instanceDeclaredDead)
    : m_options(std::move(options))
    , m_store(store)
    , m_clock(std::move(clock))
    , m_wallClock(std::move(wallClock))
    , m_isAssigned(std::move(isAssigned))
    , m_instanceDeclaredDead(std::move(instanceDeclaredDead))
{
}

ClaimCollector* ClaimService::collector(std::uint32_t shard)
{
    if (shard >= claimShards || !m_isAssigned(shard))
        return nullptr;
    RunningCollector& running = m_collectors[shard];
    running.lastAssignedAt = m_clock();
    if (!running.collector)
        running.collector = std::make_unique<ClaimCollector>(
            m_options, shard, m_store, m_clock, m_wallClock, m_instanceDeclaredDead);
    return running.collector.get();
}

void ClaimService::claim(const ClaimRequestT& request, const ClaimReply& reply)
{
    if (auto* running = collector(request.shard))
        return running->claim(request, reply);
    ClaimResponseT response;
    response.nonce = request.nonce;
    response.status = ClaimStatus::NotCollector;
    reply(std::move(response));
}

void ClaimService::settle(const SettleRequestT& request, const SettleReply& reply)
{
    if (auto* running = collector(request.shard))
        return running->settle(request, reply);
    SettleResponseT response;
    response.nonce = request.nonce;
    reply(response);
}

void ClaimService::tick()
{
    MonotonicTime now = m_clock();
    for (auto running = m_collectors.begin(); running != m_collectors.end();) {
        running->second.collector->tick();
        if (m_isAssigned(running->first))
            running->second.lastAssignedAt = now;
        bool expired = now - running->second.lastAssignedAt > collectorGracePeriod;
        running = expired ? m_collectors.erase(running) : std::next(running);
    }
}

// Client -----------------------------------------------------------------------------------------------

// Identifiers start at a random number, so that an answer to an earlier process of this instance does not
// match a call of this process.
ClaimClient::ClaimClient(
    ClaimClientOptions options, MonotonicClock clock, SendClaim sendClaim, SendSettle sendSettle)
    : m_options(std::move(options))
    , m_clock(std::move(clock))
    , m_sendClaim(std::move(sendClaim))
    , m_sendSettle(std::move(sendSettle))
    , m_nextId(randomSeed() >> 1)
{
}

ClaimClient::ClaimId ClaimClient::begin(
    const std::string& keyHash, const std::string& bodyHash, MonotonicTime deadline, DecisionCallback decided)
{
    ClaimId id = m_nextId++;
    Call& call = m_calls[id];
    call.request.nonce = id;
    call.request.shard = claimShard(keyHash);
    call.request.keyHash = keyHash;
    call.request.bodyHash = bodyHash;
    call.request.claimant = m_options.instance + "/" + std::to_string(id);
    call.request.instance = m_options.instance;
    call.deadline = deadline;
    call.decided = std::move(decided);
    call.resendAt = m_clock() + m_options.resendDelay;
    call.resendDelay = m_options.resendDelay;
    // Sends a copy, because the answer may arrive during this function call and remove `call`.
    m_sendClaim(ClaimRequestT(call.request));
    return id;
}

void ClaimClient::decide(Call& call, ClaimDecision decision, const ClaimOutcome& outcome)
{
    auto decided = std::move(call.decided);
    call.decided = nullptr;
    if (decided)
        decided(decision, outcome);
}

bool ClaimClient::tryStartCall(ClaimId id)
{
    auto found = m_calls.find(id);
    if (found == m_calls.end() || found->second.state != State::Granted)
        return false;
    if (m_clock() >= found->second.deadline) {
        release(found->second);
        return false;
    }
    found->second.state = State::Called;
    return true;
}

void ClaimClient::settle(
    Call& call, SettleKind kind, ClaimOutcome outcome, MonotonicTime deadline, SettledCallback settled)
{
    MonotonicTime now = m_clock();
    call.state = State::Settling;
    call.claimsAgain = call.claimsAgain && kind != SettleKind::Release;
    call.settlement.nonce = call.request.nonce;
    call.settlement.shard = call.request.shard;
    call.settlement.keyHash = call.request.keyHash;
    call.settlement.claimant = call.request.claimant;
    call.settlement.kind = kind;
    call.settlement.httpStatus = outcome.httpStatus;
    call.settlement.contentType = std::move(outcome.contentType);
    call.settlement.body = toBytes(outcome.body);
    replaceOversizedBody(call.settlement.contentType, call.settlement.body);
    call.deadline = deadline;
    call.settled = std::move(settled);
    call.resendDelay = m_options.resendDelay;
    call.resendAt = now + call.resendDelay;
    call.removeAt = now + m_options.settleTimeout;
    m_sendSettle(SettleRequestT(call.settlement));
}

void ClaimClient::release(Call& call)
{
    settle(call, SettleKind::Release, {}, MonotonicTime::max(), nullptr);
}

void ClaimClient::finish(ClaimId id, ClaimOutcome outcome, MonotonicTime deadline, SettledCallback settled)
{
    auto found = m_calls.find(id);
    if (found != m_calls.end() && found->second.state == State::Called)
        settle(found->second, SettleKind::Completed, std::move(outcome), deadline, std::move(settled));
}

void ClaimClient::finishUnknown(ClaimId id, MonotonicTime deadline, SettledCallback settled)
{
    auto found = m_calls.find(id);
    if (found != m_calls.end() && found->second.state == State::Called)
        settle(found->second, SettleKind::Unknown, {}, deadline, std::move(settled));
}

void ClaimClient::notSent(ClaimId id)
{
    auto found = m_calls.find(id);
    if (found != m_calls.end() && found->second.state == State::Called)
        release(found->second);
}

void ClaimClient::giveUp(ClaimId id)
{
    auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    State state = found->second.state;
    if (state == State::Claiming || state == State::Granted) {
        found->second.decided = nullptr;
        release(found->second);
    }
}

void ClaimClient::response(const ClaimResponseT& response)
{
    auto found = m_calls.find(response.nonce);
    if (found == m_calls.end())
        return;
    if (found->second.state == State::Ended && response.status == ClaimStatus::Granted)
        return release(found->second);
    if (found->second.claimsAgain)
        return claimedAgain(found->second, response);
    // Late and repeated answers are ignored: the call is no longer in the state Claiming.
    if (found->second.state != State::Claiming)
        return;
    Call& call = found->second;
    ClaimDecision decision = ClaimDecision::NotRun;
    switch (response.status) {
    case ClaimStatus::NotCollector:
        return;
    case ClaimStatus::Granted:
        call.state = State::Granted;
        // The collector may not have known of the restore yet.
        if (m_restoredAt && m_clock() - *m_restoredAt < restoreSpreadTime)
            claimAgain(call);
        return decide(call, ClaimDecision::Run, {});
    case ClaimStatus::Unavailable: {
        auto decided = std::move(call.decided);
        release(call);
        return decided(ClaimDecision::NotRun, {});
    }
    case ClaimStatus::InProgress:
        decision = ClaimDecision::InProgress;
        break;
    case ClaimStatus::Completed:
        decision = ClaimDecision::Completed;
        break;
    case ClaimStatus::Unknown:
        decision = ClaimDecision::Unknown;
        break;
    case ClaimStatus::DifferentRequest:
        decision = ClaimDecision::DifferentRequest;
        break;
    }
    call.state = State::Ended;
    call.removeAt = m_clock() + endedRetention;
    decide(call, decision, { response.httpStatus, response.contentType, fromBytes(response.body) });
}

void ClaimClient::response(const SettleResponseT& response)
{
    auto found = m_calls.find(response.nonce);
    if (found == m_calls.end() || found->second.state != State::Settling || !response.settled)
        return;
    Call& call = found->second;
    if (call.claimsAgain)
        return; // the answer may be from before the store lost the claim
    auto settled = std::exchange(call.settled, nullptr);
    if (call.settlement.kind == SettleKind::Release) {
        m_calls.erase(found);
    } else {
        call.state = State::Settled;
        call.removeAt = m_clock() + m_options.settledRetention;
        m_settled.push_back(response.nonce);
        forgetOldestSettled();
    }
    if (settled)
        settled(true);
}

// The deque has an entry for each time that a call was settled, so it limits the calls in the state Settled.
void ClaimClient::forgetOldestSettled()
{
    if (m_settled.size() <= m_options.maxSettledCalls)
        return;
    ClaimId oldest = m_settled.front();
    m_settled.pop_front();
    auto found = m_calls.find(oldest);
    bool settledAgain = std::find(m_settled.begin(), m_settled.end(), oldest) != m_settled.end();
    if (found != m_calls.end() && found->second.state == State::Settled && !settledAgain)
        m_calls.erase(found);
}

void ClaimClient::storeRestored()
{
    MonotonicTime now = m_clock();
    m_restoredAt = now;
    for (auto& [id, call] : m_calls) {
        bool settling = call.state == State::Settling && call.settlement.kind != SettleKind::Release;
        bool granted = call.state == State::Granted || call.state == State::Called;
        if (!granted && call.state != State::Settled && !settling)
            continue;
        if (call.state == State::Settled) {
            call.state = State::Settling;
            call.removeAt = now + m_options.settleTimeout;
        }
        claimAgain(call);
    }
}

void ClaimClient::claimAgain(Call& call)
{
    call.request.granted = true;
    call.claimsAgain = true;
    call.resendDelay = m_options.resendDelay;
    call.resendAt = m_clock();
}

// Any answer of a collector but Unavailable shows that the key has a claim again. Completed is the answer if
// the collector had the outcome in memory.
void ClaimClient::claimedAgain(Call& call, const ClaimResponseT& response)
{
    if (response.status == ClaimStatus::NotCollector || response.status == ClaimStatus::Unavailable)
        return;
    call.claimsAgain = false;
    if (call.state == State::Granted && response.status != ClaimStatus::Granted)
        return release(call); // tryStartCall() then returns false
    if (response.status != ClaimStatus::Granted && response.status != ClaimStatus::Completed)
        BW_LOG(WARNING, claimPart) << "the claim " << call.request.claimant
                                   << " was claimed again after the store lost it and has another state: "
                                   << EnumNameClaimStatus(response.status);
    if (call.state == State::Settling)
        m_sendSettle(SettleRequestT(call.settlement));
}

std::size_t ClaimClient::pending() const
{
    return static_cast<std::size_t>(std::count_if(m_calls.begin(), m_calls.end(), [](const auto& entry) {
        return entry.second.state != State::Ended && entry.second.state != State::Settled;
    }));
}

void ClaimClient::tick()
{
    std::vector<ClaimId> ids;
    for (const auto& [id, call] : m_calls)
        ids.push_back(id);
    for (ClaimId id : ids)
        tickCall(id);
}

void ClaimClient::tickCall(ClaimId id)
{
    auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    Call& call = found->second;
    MonotonicTime now = m_clock();
    if (now >= call.deadline && (call.state == State::Claiming || call.state == State::Granted)) {
        auto decided = std::move(call.decided);
        release(call);
        if (decided)
            decided(ClaimDecision::NotRun, {});
        return;
    }
    if (call.state == State::Settling && now >= call.deadline && call.settled) {
        auto settled = std::exchange(call.settled, nullptr);
        return settled(false);
    }
    bool ending = call.state == State::Settling || call.state == State::Settled || call.state == State::Ended;
    if (ending && now >= call.removeAt) {
        m_calls.erase(found);
        return;
    }
    if (now < call.resendAt)
        return;
    call.resendDelay = std::min(2 * call.resendDelay, m_options.maxResendDelay);
    call.resendAt = now + call.resendDelay;
    if (call.state == State::Claiming || call.claimsAgain)
        m_sendClaim(ClaimRequestT(call.request));
    else if (call.state == State::Settling)
        m_sendSettle(SettleRequestT(call.settlement));
}

} // namespace briarwharf
