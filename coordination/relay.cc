#include "coordination/relay.h"

#include "base/hash.h"
#include <algorithm>

namespace briarwharf {

namespace {

    // A confirmation that is newer than the peer's by less than this is not worth an early heartbeat.
    constexpr Milliseconds worthwhileConfirmation { 450 };

    Milliseconds roundedUp(std::chrono::nanoseconds duration)
    {
        return std::chrono::ceil<Milliseconds>(std::max(duration, std::chrono::nanoseconds(0)));
    }

    std::uint32_t wireMilliseconds(std::chrono::nanoseconds duration)
    {
        constexpr std::int64_t bound = 0xfffffffe; // leaves room for the 1 that headConfirmedMs adds
        return static_cast<std::uint32_t>(std::min<std::int64_t>(roundedUp(duration).count(), bound));
    }

    bool within(const std::optional<Milliseconds>& age, Milliseconds limit) { return age && *age <= limit; }

    NewWorkDecision answerByReport(const NewWorkInputs& inputs)
    {
        if (!within(inputs.ownReportAge, currencyLimit))
            return NewWorkDecision::NoFreshReport;
        return inputs.ownReportServing ? NewWorkDecision::OwnReport : NewWorkDecision::NotServing;
    }

    NewWorkDecision answerByPeers(const NewWorkInputs& inputs)
    {
        // An instance that hears nobody cannot tell an outage of the store from being cut off.
        bool hearsPeers = inputs.peerCoverage.instances > 1;
        // While the tree changes, a part of it may count twice and hide a missing one; the digest shows it.
        bool hearsAll = inputs.peerCoverage.instances == inputs.expectedInstances
            && inputs.peerCoverage.digest == inputs.expectedDigest;
        bool recently = inputs.peerCoverage.oldestAge <= currencyLimit;
        bool nothingNewer = inputs.peerCoverage.revision <= inputs.revision;
        return hearsPeers && hearsAll && recently && nothingNewer ? NewWorkDecision::NoChangePossible
                                                                  : NewWorkDecision::PeersMissing;
    }

} // namespace

NewWorkDecision decideNewWork(const NewWorkInputs& inputs)
{
    if (within(inputs.headConfirmedAge, currencyLimit))
        return NewWorkDecision::Current;
    return inputs.reportsState ? answerByReport(inputs) : answerByPeers(inputs);
}

bool isAllowed(NewWorkDecision answer)
{
    return answer == NewWorkDecision::Current || answer == NewWorkDecision::OwnReport
        || answer == NewWorkDecision::NoChangePossible;
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

bool ConfigurationRelay::takePoll(MonotonicTime now)
{
    auto jitter = static_cast<std::uint64_t>(m_options.pollInterval.count());
    if (!m_nextPoll)
        m_nextPoll = now + Milliseconds(m_random.below(jitter));
    if (watches() || within(confirmedAge(now), m_options.pollAfter) || now < *m_nextPoll)
        return false;
    m_nextPoll = now + m_options.pollInterval + Milliseconds(m_random.below(jitter));
    return true;
}

void ConfigurationRelay::confirm(std::uint64_t head, MonotonicTime asked)
{
    applyConfirmation({ head, asked });
}

void ConfigurationRelay::applyConfirmation(Confirmation confirmation)
{
    if (confirmation.head <= m_revision) {
        if (!m_confirmed || confirmation.at > *m_confirmed)
            m_confirmed = confirmation.at;
        return;
    }
    bool better = !m_ahead || confirmation.head > m_ahead->head
        || (confirmation.head == m_ahead->head && confirmation.at > m_ahead->at);
    if (better)
        m_ahead = confirmation;
}

void ConfigurationRelay::inForce(std::uint64_t number, const std::vector<LogRecordT>& records,
    MonotonicTime /* now */, const std::string& from)
{
    if (number <= m_revision)
        return;
    m_revision = number;
    if (m_ahead && m_ahead->head <= m_revision) {
        Confirmation confirmation = *m_ahead;
        m_ahead.reset();
        applyConfirmation(confirmation);
    }
    keep(records);
    if (records.empty())
        return;
    for (auto& [peer, state] : m_peers) {
        bool has = peer == from || std::max(state.revision, state.pushed) >= number;
        if (!has)
            push(peer, records.front().number, 0);
        state.pushed = std::max(state.pushed, number);
    }
}

// Keeps a contiguous run of records that ends with the newest.
void ConfigurationRelay::keep(const std::vector<LogRecordT>& records)
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
    while (
        m_kept.size() > m_options.keptRecords || (m_keptBytes > m_options.keptBytes && m_kept.size() > 1)) {
        m_keptBytes -= m_kept.front().payload.size();
        m_kept.pop_front();
    }
}

void ConfigurationRelay::push(const std::string& peer, std::uint64_t from, std::uint64_t nonce)
{
    LogPushT message;
    message.log = m_options.log;
    message.nonce = nonce;
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
    if (message.log != m_options.log)
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
    bool waits = now - *m_behindSince < m_options.fetchAfter
        || (m_lastFetch && now - *m_lastFetch < m_options.fetchRetry);
    if (waits)
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
    if (!m_confirmed)
        return std::nullopt;
    return roundedUp(now - *m_confirmed);
}

bool ConfigurationRelay::current(MonotonicTime now) const { return within(confirmedAge(now), currencyLimit); }

std::uint64_t ConfigurationRelay::knownHead() const
{
    return m_ahead ? std::max(m_revision, m_ahead->head) : m_revision;
}

std::optional<PeerStatement> ConfigurationRelay::statement(const std::string& peer, MonotonicTime now) const
{
    auto found = m_peers.find(peer);
    if (found == m_peers.end() || !found->second.stated)
        return std::nullopt;
    PeerStatement statement;
    statement.revision = found->second.revision;
    statement.current = !found->second.notCurrent;
    if (found->second.confirmed)
        statement.confirmedAge = toMilliseconds(now - *found->second.confirmed);
    return statement;
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
        if (found == m_peers.end() || !found->second.stated || !found->second.notCurrent)
            continue;
        ++coverage.instances;
        coverage.digest += m_membership.members().at(id).hash;
        coverage.oldestAge = std::max(coverage.oldestAge, roundedUp(now - *found->second.stated));
        coverage.revision = std::max(coverage.revision, found->second.knownHead);
    }
    return coverage;
}

Coverage ConfigurationRelay::treeCoverage(const std::string& except, MonotonicTime now) const
{
    Coverage coverage { 1, m_membership.selfHash(), Milliseconds(0), knownHead() };
    for (const auto& [peer, state] : m_peers) {
        if (peer == except || state.covered == 0 || !m_membership.inTree(peer))
            continue;
        coverage.instances += state.covered;
        coverage.digest += state.coveredDigest;
        coverage.oldestAge = std::max(coverage.oldestAge, roundedUp(now - state.coveredOldest));
        coverage.revision = std::max(coverage.revision, state.knownHead);
    }
    return coverage;
}

void ConfigurationRelay::fill(const LinkView& link, HeartbeatT& heartbeat, MonotonicTime now)
{
    Peer& peer = m_peers[link.peer];
    heartbeat.revision = m_revision;
    heartbeat.headConfirmedMs = m_confirmed ? 1 + wireMilliseconds(now - *m_confirmed) : 0;
    peer.told = m_confirmed;
    if (knownHead() > m_revision)
        heartbeat.coveredRevision = knownHead();
    if (!link.tree || current(now))
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
    peer.revision = std::max(peer.revision, heartbeat.revision);
    peer.covered = 0;
    if (!link.transit)
        return; // how old the statement is cannot be bounded
    MonotonicTime stated = now - *link.transit;
    Milliseconds confirmedAge(heartbeat.headConfirmedMs == 0 ? 0 : heartbeat.headConfirmedMs - 1);
    peer.stated = stated;
    peer.notCurrent = heartbeat.headConfirmedMs == 0 || confirmedAge > currencyLimit;
    peer.knownHead = std::max(heartbeat.revision, heartbeat.coveredRevision);
    if (link.tree && peer.notCurrent && heartbeat.covered > 0) {
        peer.covered = heartbeat.covered;
        peer.coveredDigest = heartbeat.coveredDigest;
        peer.coveredOldest = stated - Milliseconds(heartbeat.coveredOldestMs);
    }
    if (heartbeat.headConfirmedMs == 0)
        return;
    peer.confirmed = stated - confirmedAge;
    applyConfirmation({ heartbeat.revision, *peer.confirmed });
}

// Along the tree, a confirmation does not wait for the next heartbeat: over several hops, waiting half an
// interval at each would use up the limit for currency.
bool ConfigurationRelay::urgent(const LinkView& link, MonotonicTime now) const
{
    auto found = m_peers.find(link.peer);
    if (!link.tree || !m_confirmed || found == m_peers.end())
        return false;
    const Peer& peer = found->second;
    MonotonicTime known
        = std::max(peer.confirmed.value_or(MonotonicTime()), peer.told.value_or(MonotonicTime()));
    return now - known > m_options.staleConfirmation && *m_confirmed - known > worthwhileConfirmation;
}

void ConfigurationRelay::linkUp(const std::string& peer, MonotonicTime /* now */) { m_peers[peer] = {}; }

void ConfigurationRelay::linkDown(const std::string& peer, MonotonicTime /* now */) { m_peers.erase(peer); }

} // namespace briarwharf
