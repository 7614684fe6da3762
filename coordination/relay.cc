#include "coordination/relay.h"

#include "base/hash.h"
#include <algorithm>

namespace briarwharf {

namespace {

    // An early heartbeat is sent only for a confirmation that is newer than the peer's by more than this.
    constexpr Milliseconds minConfirmationGain { 450 };

    Milliseconds roundedUp(std::chrono::nanoseconds duration)
    {
        return std::chrono::ceil<Milliseconds>(std::max(duration, std::chrono::nanoseconds(0)));
    }

    std::uint32_t wireMilliseconds(std::chrono::nanoseconds duration)
    {
        constexpr std::int64_t bound = 0xfffffffe; // leaves room for the 1 that is added in headConfirmedMs
        return static_cast<std::uint32_t>(std::min<std::int64_t>(roundedUp(duration).count(), bound));
    }

    bool isWithin(const std::optional<Milliseconds>& age, Milliseconds limit) { return age && *age <= limit; }

    NewWorkDecision decideByReport(const NewWorkInputs& inputs)
    {
        if (!isWithin(inputs.ownReportAge, freshnessLimit))
            return NewWorkDecision::NoFreshReport;
        return inputs.ownReportServing ? NewWorkDecision::OwnReport : NewWorkDecision::NotServing;
    }

    NewWorkDecision decideByPeers(const NewWorkInputs& inputs)
    {
        // An instance that receives from no peer cannot distinguish an outage of the store from its own
        // disconnection.
        bool receivesFromPeers = inputs.peerCoverage.instances > 1;
        // While the tree changes, a subtree may be counted twice and hide a missing instance from the count;
        // the digest detects this.
        bool coversAllInstances = inputs.peerCoverage.instances == inputs.expectedInstances
            && inputs.peerCoverage.digest == inputs.expectedDigest;
        bool reportedRecently = inputs.peerCoverage.oldestAge <= freshnessLimit;
        bool nothingNewer = inputs.peerCoverage.revision <= inputs.revision;
        return receivesFromPeers && coversAllInstances && reportedRecently && nothingNewer
            ? NewWorkDecision::NoChangePossible
            : NewWorkDecision::PeersMissing;
    }

} // namespace

NewWorkDecision decideNewWork(const NewWorkInputs& inputs)
{
    if (isWithin(inputs.headConfirmedAge, freshnessLimit))
        return NewWorkDecision::Current;
    return inputs.reportsState ? decideByReport(inputs) : decideByPeers(inputs);
}

bool isAllowed(NewWorkDecision decision)
{
    return decision == NewWorkDecision::Current || decision == NewWorkDecision::OwnReport
        || decision == NewWorkDecision::NoChangePossible;
}

ConfigurationRelay::ConfigurationRelay(
    const Membership& membership, RelayOptions options, Outbox& outbox, std::uint64_t seed)
    : m_membership(membership)
    , m_options(std::move(options))
    , m_outbox(outbox)
    , m_random(seed)
    , m_election(membership, m_options.watchersPerDomain)
{
}

bool ConfigurationRelay::takeDuePoll(MonotonicTime now)
{
    auto jitter = static_cast<std::uint64_t>(m_options.pollInterval.count());
    if (!m_nextPoll)
        m_nextPoll = now + Milliseconds(m_random.below(jitter));
    if (watches() || isWithin(confirmedAge(now), m_options.pollConfirmationAge) || now < *m_nextPoll)
        return false;
    m_nextPoll = now + m_options.pollInterval + Milliseconds(m_random.below(jitter));
    return true;
}

void ConfigurationRelay::setEra(StoreEra era)
{
    if (era <= m_era)
        return;
    m_era = era;
    m_revision = 0;
    m_headConfirmedAt.reset();
    m_pendingConfirmation.reset();
    m_behindSince.reset();
    m_kept.clear();
    m_keptBytes = 0;
    for (auto& [peer, state] : m_peers)
        state = {};
}

void ConfigurationRelay::confirm(std::uint64_t head, MonotonicTime requestedAt)
{
    applyConfirmation({ head, requestedAt });
}

void ConfigurationRelay::applyConfirmation(Confirmation confirmation)
{
    if (confirmation.head <= m_revision) {
        if (!m_headConfirmedAt || confirmation.at > *m_headConfirmedAt)
            m_headConfirmedAt = confirmation.at;
        return;
    }
    bool isNewer = !m_pendingConfirmation || confirmation.head > m_pendingConfirmation->head
        || (confirmation.head == m_pendingConfirmation->head && confirmation.at > m_pendingConfirmation->at);
    if (isNewer)
        m_pendingConfirmation = confirmation;
}

void ConfigurationRelay::setInForce(std::uint64_t number, const std::vector<LogRecordT>& records,
    MonotonicTime /* now */, const std::string& from)
{
    if (number <= m_revision)
        return;
    m_revision = number;
    if (m_pendingConfirmation && m_pendingConfirmation->head <= m_revision) {
        Confirmation confirmation = *m_pendingConfirmation;
        m_pendingConfirmation.reset();
        applyConfirmation(confirmation);
    }
    keepRecords(records);
    if (records.empty())
        return;
    for (auto& [peer, state] : m_peers) {
        bool isUpToDate = peer == from || std::max(state.revision, state.pushedRevision) >= number;
        if (!isUpToDate)
            push(peer, records.front().number, 0);
        state.pushedRevision = std::max(state.pushedRevision, number);
    }
}

// Keeps a contiguous sequence of records that ends with the newest, within the limits of number and bytes.
void ConfigurationRelay::keepRecords(const std::vector<LogRecordT>& records)
{
    for (const LogRecordT& record : records) {
        if (!m_kept.empty() && record.number <= m_kept.back().number)
            continue;
        if (!m_kept.empty() && record.number != m_kept.back().number + 1) {
            m_kept.clear();
            m_keptBytes = 0;
        }
        m_kept.push_back(record);
        m_keptBytes += record.payload.size();
    }
    while (m_kept.size() > m_options.maxKeptRecords
        || (m_keptBytes > m_options.maxKeptBytes && m_kept.size() > 1)) {
        m_keptBytes -= m_kept.front().payload.size();
        m_kept.pop_front();
    }
}

void ConfigurationRelay::push(const std::string& peer, std::uint64_t from, std::uint64_t nonce)
{
    LogPushT message;
    message.log = m_options.log;
    message.nonce = nonce;
    message.era = m_era;
    std::size_t bytes = 0;
    for (const LogRecordT& record : m_kept) {
        if (record.number < from || (bytes > 0 && bytes + record.payload.size() > m_options.maxPushBytes))
            continue;
        bytes += record.payload.size();
        message.records.push_back(std::make_unique<LogRecordT>(record));
    }
    if (!message.records.empty())
        m_outbox.send(peer, std::move(message));
}

ConfigurationRelay::Update ConfigurationRelay::receive(
    const std::string& peer, const LogPushT& message, MonotonicTime /* now */)
{
    Update update;
    m_heardEra = std::max(m_heardEra, message.era);
    if (message.log != m_options.log || message.era != m_era)
        return update;
    std::uint64_t next = m_revision + 1;
    if (message.snapshotNumber > m_revision && !message.snapshot.empty()) {
        update.snapshotNumber = message.snapshotNumber;
        update.snapshot = message.snapshot;
        next = message.snapshotNumber + 1;
    }
    std::uint64_t last = message.snapshotNumber;
    for (const auto& record : message.records) {
        if (!record)
            continue;
        last = std::max(last, record->number);
        if (record->number != next)
            continue;
        update.records.push_back(*record);
        ++next;
    }
    auto sender = m_peers.find(peer);
    if (sender != m_peers.end())
        sender->second.revision = std::max(sender->second.revision, last);
    return update;
}

void ConfigurationRelay::receive(const std::string& peer, const LogFetchT& message, MonotonicTime /* now */)
{
    if (message.log != m_options.log || message.from > m_revision)
        return;
    if (m_kept.empty() || message.from < m_kept.front().number || m_kept.back().number != m_revision)
        m_snapshotRequests.push_back({ peer, message.nonce });
    else
        push(peer, message.from, message.nonce);
}

std::vector<std::string> ConfigurationRelay::peersAhead() const
{
    std::vector<std::string> peers;
    for (const auto& [peer, state] : m_peers)
        if (state.revision > m_revision)
            peers.push_back(peer);
    return peers;
}

void ConfigurationRelay::tick(MonotonicTime now)
{
    std::vector<std::string> ahead = peersAhead();
    if (ahead.empty()) {
        m_behindSince.reset();
        return;
    }
    if (!m_behindSince)
        m_behindSince = now;
    bool isTooEarly = now - *m_behindSince < m_options.fetchDelay
        || (m_lastFetch && now - *m_lastFetch < m_options.fetchRetryInterval);
    if (isTooEarly)
        return;
    m_lastFetch = now;
    LogFetchT fetch;
    fetch.log = m_options.log;
    fetch.from = m_revision + 1;
    fetch.nonce = m_nextNonce++;
    m_outbox.send(ahead[m_random.below(ahead.size())], std::move(fetch));
}

std::optional<Milliseconds> ConfigurationRelay::confirmedAge(MonotonicTime now) const
{
    if (!m_headConfirmedAt)
        return std::nullopt;
    return roundedUp(now - *m_headConfirmedAt);
}

bool ConfigurationRelay::current(MonotonicTime now) const
{
    return isWithin(confirmedAge(now), freshnessLimit);
}

std::uint64_t ConfigurationRelay::knownHead() const
{
    return m_pendingConfirmation ? std::max(m_revision, m_pendingConfirmation->head) : m_revision;
}

std::optional<PeerReport> ConfigurationRelay::peerReport(const std::string& peer, MonotonicTime now) const
{
    auto found = m_peers.find(peer);
    if (found == m_peers.end() || !found->second.reportedAt)
        return std::nullopt;
    PeerReport report;
    report.revision = found->second.revision;
    report.current = !found->second.notCurrent;
    if (found->second.headConfirmedAt)
        report.confirmedAge = toMilliseconds(now - *found->second.headConfirmedAt);
    return report;
}

Coverage ConfigurationRelay::notCurrentCoverage(MonotonicTime now) const
{
    Coverage direct = directCoverage(now);
    Coverage tree = treeCoverage({}, now);
    bool treeIsBetter = tree.instances > direct.instances
        || (tree.instances == direct.instances && tree.oldestAge < direct.oldestAge);
    return treeIsBetter ? tree : direct;
}

Coverage ConfigurationRelay::directCoverage(MonotonicTime now) const
{
    Coverage coverage { 1, m_membership.selfHash(), Milliseconds(0), knownHead() };
    for (const std::string& id : m_membership.expectedPeers()) {
        auto found = m_peers.find(id);
        if (found == m_peers.end() || !found->second.reportedAt || !found->second.notCurrent)
            continue;
        ++coverage.instances;
        coverage.digest += m_membership.members().at(id).hash;
        coverage.oldestAge = std::max(coverage.oldestAge, roundedUp(now - *found->second.reportedAt));
        coverage.revision = std::max(coverage.revision, found->second.knownHead);
    }
    return coverage;
}

Coverage ConfigurationRelay::treeCoverage(const std::string& except, MonotonicTime now) const
{
    Coverage coverage { 1, m_membership.selfHash(), Milliseconds(0), knownHead() };
    for (const auto& [peer, state] : m_peers) {
        if (peer == except || state.coveredInstances == 0 || !m_membership.inTree(peer))
            continue;
        coverage.instances += state.coveredInstances;
        coverage.digest += state.coveredDigest;
        coverage.oldestAge = std::max(coverage.oldestAge, roundedUp(now - state.coveredOldestAt));
        coverage.revision = std::max(coverage.revision, state.knownHead);
    }
    return coverage;
}

void ConfigurationRelay::fill(const LinkView& link, HeartbeatT& heartbeat, MonotonicTime now)
{
    Peer& peer = m_peers[link.peer];
    heartbeat.revision = m_revision;
    heartbeat.storeEra = m_era;
    heartbeat.headConfirmedMs = m_headConfirmedAt ? 1 + wireMilliseconds(now - *m_headConfirmedAt) : 0;
    peer.confirmationSent = m_headConfirmedAt;
    if (knownHead() > m_revision)
        heartbeat.coveredRevision = knownHead();
    if (!link.isTreeLink || current(now))
        return;
    Coverage coverage = treeCoverage(link.peer, now);
    heartbeat.covered = static_cast<std::uint32_t>(coverage.instances);
    heartbeat.coveredDigest = coverage.digest;
    heartbeat.coveredOldestMs = wireMilliseconds(coverage.oldestAge);
    if (coverage.revision > m_revision)
        heartbeat.coveredRevision = coverage.revision;
}

void ConfigurationRelay::accept(const LinkView& link, const HeartbeatT& heartbeat, MonotonicTime now)
{
    Peer& peer = m_peers[link.peer];
    m_heardEra = std::max(m_heardEra, heartbeat.storeEra);
    if (heartbeat.storeEra != m_era) {
        peer = {};
        return;
    }
    peer.revision = std::max(peer.revision, heartbeat.revision);
    peer.coveredInstances = 0;
    if (!link.maxTransit)
        return; // the age of the report cannot be bounded
    MonotonicTime reportedAt = now - *link.maxTransit;
    Milliseconds confirmedAge(heartbeat.headConfirmedMs == 0 ? 0 : heartbeat.headConfirmedMs - 1);
    peer.reportedAt = reportedAt;
    peer.notCurrent = heartbeat.headConfirmedMs == 0 || confirmedAge > freshnessLimit;
    peer.knownHead = std::max(heartbeat.revision, heartbeat.coveredRevision);
    if (link.isTreeLink && peer.notCurrent && heartbeat.covered > 0) {
        peer.coveredInstances = heartbeat.covered;
        peer.coveredDigest = heartbeat.coveredDigest;
        peer.coveredOldestAt = reportedAt - Milliseconds(heartbeat.coveredOldestMs);
    }
    if (heartbeat.headConfirmedMs == 0)
        return;
    peer.headConfirmedAt = reportedAt - confirmedAge;
    applyConfirmation({ heartbeat.revision, *peer.headConfirmedAt });
}

// On tree links, a confirmation is sent before the next regular heartbeat: over several hops, a mean wait of
// half an interval at each hop would exceed freshnessLimit.
bool ConfigurationRelay::urgent(const LinkView& link, MonotonicTime now) const
{
    auto found = m_peers.find(link.peer);
    if (!link.isTreeLink || !m_headConfirmedAt || found == m_peers.end())
        return false;
    const Peer& peer = found->second;
    MonotonicTime known = std::max(
        peer.headConfirmedAt.value_or(MonotonicTime()), peer.confirmationSent.value_or(MonotonicTime()));
    return now - known > m_options.staleConfirmationAge && *m_headConfirmedAt - known > minConfirmationGain;
}

void ConfigurationRelay::linkUp(const std::string& peer, MonotonicTime /* now */) { m_peers[peer] = {}; }

void ConfigurationRelay::linkDown(const std::string& peer, MonotonicTime /* now */) { m_peers.erase(peer); }

} // namespace briarwharf
