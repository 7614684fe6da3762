#include "coordination/member.h"

#include "base/hash.h"
#include "base/log.h"
#include "coordination/tree.h"
#include <algorithm>

namespace briarwharf {

namespace {

    constexpr std::uint32_t protocolVersion = 1;

    // Number of consecutive heartbeats with a different digest after which the whole member table is sent.
    // Changes that are still in transit cause fewer mismatches than this.
    constexpr int digestMismatchLimit = 5;
    // Start value of the mismatch count after the table was sent, which delays the next transfer by up to 20
    // more heartbeats.
    constexpr int digestCooldown = -20;

    // Window for the minimum delay between two clocks. Over two windows, clocks whose rates differ by 200 ppm
    // drift 12 ms apart; the margin covers this and the rounding to milliseconds.
    constexpr Milliseconds delayWindow { 30000 };
    constexpr Milliseconds driftMargin { 20 };

    constexpr Milliseconds removalInterval { 1000 };

    // An instance that received a frame from the probe's target within this many tenths of a heartbeat
    // interval responds to the probe at once.
    constexpr int maxFrameAgeTenths = 16;

    // Precedence of states of the same incarnation: the state with the higher value wins.
    int precedence(MemberState state)
    {
        switch (state) {
        case MemberState::Alive:
            return 0;
        case MemberState::Leaving:
            return 1;
        case MemberState::Suspect:
            return 2;
        case MemberState::Dead:
            return 3;
        }
        return 3;
    }

    bool isUsable(MemberState state) { return state == MemberState::Alive || state == MemberState::Suspect; }

    bool isKnownState(MemberState state) { return state <= MemberState::MAX; }

    std::uint32_t clockMilliseconds(MonotonicTime now)
    {
        return static_cast<std::uint32_t>(toMilliseconds(now.time_since_epoch()).count());
    }

    std::int32_t wrappedDifference(std::uint32_t later, std::uint32_t earlier)
    {
        return static_cast<std::int32_t>(later - earlier);
    }

    bool wrappedLess(std::int32_t left, std::int32_t right)
    {
        return wrappedDifference(static_cast<std::uint32_t>(left), static_cast<std::uint32_t>(right)) < 0;
    }

} // namespace

Membership::Membership(InstanceIdentity self, MembershipOptions options, Outbox& outbox, std::uint64_t seed)
    : m_self(std::move(self))
    , m_selfHash(hash64(m_self.id))
    , m_options(options)
    , m_outbox(outbox)
    , m_random(seed)
{
    toggleDigest(m_self.id, m_self.incarnation, MemberState::Alive);
    updateUsable();
}

void Membership::addSection(HeartbeatSection& section) { m_sections.push_back(&section); }

void Membership::seed(const std::vector<ListedInstance>& list, MonotonicTime now)
{
    m_listed.clear();
    bool added = false;
    for (const ListedInstance& listed : list) {
        if (listed.id == m_self.id)
            continue;
        m_listed.insert(listed.id);
        auto known = m_views.find(listed.id);
        if (known != m_views.end()) {
            if (known->second.failureDomain.empty())
                learnFailureDomain(known->second, listed.failureDomain);
            continue;
        }
        MemberView view;
        view.address = listed.address;
        view.failureDomain = listed.failureDomain;
        add(listed.id, view, now);
        added = true;
    }
    if (added)
        updateUsable();
    for (const std::string& id : m_listed) {
        auto record = m_records.find(id);
        if (record != m_records.end())
            record->second.everListed = true;
    }
    for (const std::string& id : m_dead) {
        // A member that was never listed may be newer than the list, which lags by up to listLag.
        Record& record = m_records.at(id);
        if (m_listed.count(id) == 0
            && (record.everListed || now - record.declaredDeadAt >= m_options.listLag))
            record.confirmedRemoved = true;
    }
}

void Membership::add(const std::string& id, MemberView view, MonotonicTime now)
{
    if (m_views.size() >= m_options.maxMembers)
        return;
    view.hash = hash64(id);
    toggleDigest(id, view.incarnation, view.state);
    if (view.state == MemberState::Suspect)
        m_suspects.insert(id);
    Record record;
    record.lastReceived = now;
    record.lastKnownReachable = now;
    record.suspectedAt = now;
    m_records[id] = record;
    m_views[id] = std::move(view);
}

// Adds the member's state to the digest, or removes it again. Members that are known only from the list
// (incarnation 0) and dead members are left out, because instances remove them at different times.
void Membership::toggleDigest(const std::string& id, std::uint64_t incarnation, MemberState state)
{
    if (incarnation == 0 || state == MemberState::Dead)
        return;
    std::uint64_t hash = combineHashes(hash64(id, incarnation), static_cast<std::uint64_t>(state));
    m_digest ^= static_cast<std::uint32_t>(hash);
}

void Membership::updateUsable()
{
    m_usable.clear();
    m_usableHashes.clear();
    for (const auto& [id, view] : m_views) {
        if (!isUsable(view.state))
            continue;
        m_usable.push_back(id);
        m_usableHashes.push_back(view.hash);
    }
    if (!m_leaving || m_usable.empty()) {
        auto position = std::lower_bound(m_usable.begin(), m_usable.end(), m_self.id) - m_usable.begin();
        m_usable.insert(m_usable.begin() + position, m_self.id);
        m_usableHashes.insert(m_usableHashes.begin() + position, m_selfHash);
    }
    m_linksOutdated = true;
    ++m_epoch;
}

const std::string& Membership::owner(std::uint64_t keyHash) const
{
    // Selects the same member as rendezvousScore with equal weights, but without computing its logarithm.
    std::size_t best = 0;
    std::uint64_t bestScore = 0;
    for (std::size_t i = 0; i < m_usable.size(); ++i) {
        std::uint64_t score = combineHashes(keyHash, m_usableHashes[i]);
        if (i > 0 && score <= bestScore)
            continue;
        best = i;
        bestScore = score;
    }
    return m_usable[best];
}

std::size_t Membership::expectedInstances() const
{
    auto removed = std::count_if(m_dead.begin(), m_dead.end(),
        [this](const std::string& id) { return m_records.find(id)->second.confirmedRemoved; });
    return m_records.size() - static_cast<std::size_t>(removed) + 1;
}

std::vector<std::string> Membership::expectedPeers() const
{
    std::vector<std::string> peers;
    for (const auto& [id, record] : m_records)
        if (!record.confirmedRemoved)
            peers.push_back(id);
    return peers;
}

std::uint64_t Membership::expectedDigest() const
{
    std::uint64_t digest = m_selfHash;
    for (const auto& [id, record] : m_records)
        digest += record.confirmedRemoved ? 0 : m_views.find(id)->second.hash;
    return digest;
}

bool Membership::inTree(const std::string& peer) const
{
    auto link = m_links.find(peer);
    return link != m_links.end() && (link->second.peerIsChild || peer == m_parent);
}

std::vector<std::string> Membership::linkedPeers() const
{
    std::vector<std::string> peers;
    for (const auto& [id, link] : m_links)
        peers.push_back(id);
    return peers;
}

std::size_t Membership::treeLinkCount() const
{
    return static_cast<std::size_t>(std::count_if(m_links.begin(), m_links.end(),
        [this](const auto& entry) { return entry.second.peerIsChild || entry.first == m_parent; }));
}

bool Membership::isolated(MonotonicTime now) const
{
    return std::none_of(m_links.begin(), m_links.end(), [this, now](const auto& entry) {
        return now - entry.second.lastReceived <= m_options.silenceTimeout;
    });
}

void Membership::linkUp(const std::string& peer, MonotonicTime now)
{
    if (m_links.count(peer) > 0)
        linkDown(peer, now);
    Link link;
    link.lastReceived = now;
    link.upSince = now;
    link.delayWindowStart = now;
    // A random phase for each link, so that links that come up together do not send their heartbeats in a
    // burst.
    auto interval = static_cast<std::uint64_t>(m_options.heartbeatInterval.count());
    link.lastSent = now - Milliseconds(m_random.below(interval));
    auto record = m_records.find(peer);
    if (record != m_records.end() && m_chosenPeers.count(peer) == 0)
        record->second.lastKnownReachable = now; // not monitored until now: earlier silence is no evidence
    auto view = m_views.find(peer);
    if (view != m_views.end() && view->second.state != MemberState::Alive)
        link.pendingChanges[peer] = m_options.changeRepeats;
    m_links[peer] = std::move(link);
    HelloT hello;
    hello.member = std::make_unique<MemberT>(toMessage(m_self.id));
    hello.protocolVersion = protocolVersion;
    m_outbox.send(peer, std::move(hello));
    for (HeartbeatSection* section : m_sections)
        section->linkUp(peer, now);
}

void Membership::linkDown(const std::string& peer, MonotonicTime now)
{
    if (m_links.erase(peer) == 0)
        return;
    if (m_parent == peer)
        m_parent.clear();
    for (HeartbeatSection* section : m_sections)
        section->linkDown(peer, now);
}

bool Membership::receive(const PeerFrameT& frame, MonotonicTime now)
{
    auto link = m_links.find(frame.sender);
    if (link == m_links.end())
        return frame.sender != m_self.id;
    auto view = m_views.find(frame.sender);
    if (view != m_views.end() && frame.incarnation < view->second.incarnation) {
        // Reports the known incarnation back, so that a replacement whose clock is behind learns which
        // incarnation it has to exceed.
        link->second.pendingChanges[frame.sender] = m_options.changeRepeats;
        link->second.urgent = true;
        return now - link->second.upSince <= m_options.silenceTimeout;
    }
    link->second.lastReceived = now;
    link->second.reportedSilent = false;
    if (view != m_views.end()) {
        Record& record = m_records[frame.sender];
        record.lastReceived = now;
        record.probeStarted.reset();
        if (frame.incarnation > view->second.incarnation)
            setState(frame.sender, MemberState::Alive, frame.incarnation, {}, now);
        else if (precedence(view->second.state) >= precedence(MemberState::Suspect))
            link->second.pendingChanges[frame.sender] = m_options.changeRepeats;
    }
    handleBody(frame, now);
    answerProbes(frame.sender, now);
    return true;
}

void Membership::handleBody(const PeerFrameT& frame, MonotonicTime now)
{
    if (const HelloT* hello = frame.body.AsHello())
        handleHello(*hello, frame.sender, now);
    else if (const HeartbeatT* heartbeat = frame.body.AsHeartbeat())
        handleHeartbeat(*heartbeat, frame.sender, now);
    else if (const PingRequestT* request = frame.body.AsPingRequest())
        handlePingRequest(*request, frame.sender, now);
    else if (const PingResponseT* response = frame.body.AsPingResponse())
        handlePingResponse(*response, now);
}

void Membership::handleHello(const HelloT& hello, const std::string& sender, MonotonicTime now)
{
    if (hello.member && hello.member->id == sender)
        applyMember(*hello.member, sender, now);
}

void Membership::handleHeartbeat(const HeartbeatT& heartbeat, const std::string& sender, MonotonicTime now)
{
    Link& link = m_links.at(sender);
    if (heartbeat.sequence <= link.lastReceivedSequence)
        return; // reordered: its contents are older than those already applied
    link.lastReceivedSequence = heartbeat.sequence;
    std::optional<Milliseconds> maxTransit = transitBound(link, heartbeat, now);
    for (const auto& member : heartbeat.members)
        if (member)
            applyMember(*member, sender, now);
    link.peerIsChild = heartbeat.parent && treeRank(sender) > treeRank(m_self.id);
    link.digestMismatches = heartbeat.membersDigest == m_digest ? 0 : link.digestMismatches + 1;
    if (link.digestMismatches >= digestMismatchLimit) {
        queueAllMembers(link);
        link.digestMismatches = digestCooldown;
    }
    LinkView linkView = view(sender, link);
    linkView.maxTransit = maxTransit;
    for (HeartbeatSection* section : m_sections)
        section->accept(linkView, heartbeat, now);
}

// The heartbeat was sent at time t on the peer's clock and received at time r on this instance's clock: r - t
// = offset + transit. For heartbeats in the other direction, the peer reports a minimum (received - sent) of
// d = -offset + transit' >= -offset, so transit <= r - t + d. This holds for any delays; only the drift of
// the clocks needs a margin.
std::optional<Milliseconds> Membership::transitBound(
    Link& link, const HeartbeatT& heartbeat, MonotonicTime now)
{
    std::int32_t delay = wrappedDifference(clockMilliseconds(now), heartbeat.sentMs);
    if (now - link.delayWindowStart > delayWindow) {
        link.previousMinDelay = link.minDelay;
        link.minDelay.reset();
        link.delayWindowStart = now;
    }
    if (!link.minDelay || wrappedLess(delay, *link.minDelay))
        link.minDelay = delay;
    if (!heartbeat.leastDelayKnown)
        return std::nullopt;
    auto bound = static_cast<std::int32_t>(
        static_cast<std::uint32_t>(delay) + static_cast<std::uint32_t>(heartbeat.leastDelayMs));
    return std::max(Milliseconds(bound), Milliseconds(0)) + driftMargin;
}

void Membership::queueAllMembers(Link& link)
{
    for (const auto& [id, view] : m_views)
        if (view.incarnation > 0)
            link.pendingChanges.emplace(id, 1);
    link.pendingChanges.emplace(m_self.id, 1);
}

void Membership::handlePingRequest(const PingRequestT& request, const std::string& sender, MonotonicTime now)
{
    Milliseconds maxFrameAge = m_options.heartbeatInterval * maxFrameAgeTenths / 10;
    if (request.target == m_self.id
        || (linked(request.target) && receivedWithin(request.target, maxFrameAge, now))) {
        PingResponseT response;
        response.target = request.target;
        response.nonce = request.nonce;
        response.reached = true;
        m_outbox.send(sender, std::move(response));
        return;
    }
    if (m_views.count(request.target) == 0 || m_probes.size() >= m_options.maxMembers)
        return;
    m_probes.push_back({ sender, request.target, request.nonce, now + m_options.probeTimeout });
    if (!linked(request.target))
        return; // desiredPeers() contains the target, so that the owner tries to connect to it
    PingRequestT direct;
    direct.target = request.target;
    direct.nonce = m_nextNonce++;
    m_outbox.send(request.target, std::move(direct));
}

void Membership::answerProbes(const std::string& target, MonotonicTime now)
{
    for (const PendingProbe& probe : m_probes) {
        if (probe.target != target || now > probe.deadline)
            continue;
        PingResponseT response;
        response.target = target;
        response.nonce = probe.nonce;
        response.reached = true;
        m_outbox.send(probe.requester, std::move(response));
    }
    std::erase_if(m_probes, [&target](const PendingProbe& probe) { return probe.target == target; });
}

void Membership::expireProbes(MonotonicTime now)
{
    std::erase_if(m_probes, [now](const PendingProbe& probe) { return now > probe.deadline; });
}

void Membership::handlePingResponse(const PingResponseT& response, MonotonicTime now)
{
    auto record = m_records.find(response.target);
    if (record == m_records.end() || !response.reached || response.nonce != record->second.probeNonce)
        return;
    record->second.lastKnownReachable = now;
    record->second.probeStarted.reset();
}

void Membership::applyMember(const MemberT& message, const std::string& source, MonotonicTime now)
{
    if (message.id.empty() || !isKnownState(message.state))
        return;
    if (message.id == m_self.id) {
        handleReportOfSelf(message);
        return;
    }
    auto found = m_views.find(message.id);
    if (found == m_views.end()) {
        if (message.state == MemberState::Dead)
            return;
        add(message.id, { message.address, message.failureDomain, message.incarnation, message.state }, now);
        updateUsable();
        queueChange(message.id, source);
        ++m_memberChanges;
        return;
    }
    MemberView& known = found->second;
    if (message.incarnation == known.incarnation && learnFailureDomain(known, message.failureDomain))
        queueChange(message.id, source);
    bool newer = message.incarnation > known.incarnation
        || (message.incarnation == known.incarnation && precedence(message.state) > precedence(known.state));
    auto link = m_links.find(source);
    if (link != m_links.end() && message.incarnation == known.incarnation && message.state == known.state)
        link->second.pendingChanges.erase(message.id); // the peer has it already
    if (!newer)
        return;
    if (!message.address.empty()) {
        known.address = message.address;
        learnFailureDomain(known, message.failureDomain);
    }
    setState(message.id, message.state, message.incarnation, source, now);
}

// Seeds are known by address only until their first message. Returns true if the domain was unknown.
bool Membership::learnFailureDomain(MemberView& member, const std::string& failureDomain)
{
    if (failureDomain.empty() || member.failureDomain == failureDomain)
        return false;
    bool wasUnknown = member.failureDomain.empty();
    member.failureDomain = failureDomain;
    updateUsable(); // links and the owners of duties depend on the domains
    return wasUnknown;
}

void Membership::handleReportOfSelf(const MemberT& message)
{
    bool newer = message.incarnation > m_self.incarnation;
    if (newer && message.state != MemberState::Dead && !message.address.empty()
        && message.address != m_self.address) {
        m_superseded = true;
        return;
    }
    MemberState own = m_leaving ? MemberState::Leaving : MemberState::Alive;
    bool contradicts = newer || (message.incarnation == m_self.incarnation && message.state != own);
    if (!contradicts || (message.incarnation == m_self.incarnation && message.state == MemberState::Alive))
        return;
    toggleDigest(m_self.id, m_self.incarnation, own);
    m_self.incarnation = message.incarnation + 1;
    toggleDigest(m_self.id, m_self.incarnation, own);
    queueChange(m_self.id, {});
}

void Membership::setState(const std::string& id, MemberState state, std::uint64_t incarnation,
    const std::string& source, MonotonicTime now)
{
    MemberView& view = m_views.at(id);
    Record& record = m_records.at(id);
    bool wasUsable = isUsable(view.state);
    if (state == view.state && incarnation == view.incarnation)
        return;
    m_suspects.erase(id);
    m_dead.erase(id);
    toggleDigest(id, view.incarnation, view.state);
    view.state = state;
    view.incarnation = incarnation;
    toggleDigest(id, incarnation, state);
    if (state == MemberState::Suspect) {
        record.suspectedAt = now;
        m_suspects.insert(id);
    }
    if (state == MemberState::Dead) {
        record.declaredDeadAt = now;
        m_dead.insert(id);
    } else {
        record.confirmedRemoved = false;
    }
    if (state == MemberState::Alive || state == MemberState::Leaving)
        record.lastKnownReachable = now; // only the member itself announces these states
    ++m_memberChanges;
    queueChange(id, source);
    if (isUsable(state) != wasUsable)
        updateUsable();
}

void Membership::queueChange(const std::string& id, const std::string& source)
{
    for (auto& [peer, link] : m_links) {
        if (peer == source)
            continue;
        link.pendingChanges[id] = m_options.changeRepeats;
        link.urgent = true;
    }
}

void Membership::leave(MonotonicTime now)
{
    if (m_leaving)
        return;
    toggleDigest(m_self.id, m_self.incarnation, MemberState::Alive);
    m_leaving = true;
    toggleDigest(m_self.id, m_self.incarnation, MemberState::Leaving);
    updateUsable();
    queueChange(m_self.id, {});
    sendDueHeartbeats(now);
}

MemberT Membership::toMessage(const std::string& id) const
{
    MemberT message;
    message.id = id;
    if (id == m_self.id) {
        message.address = m_self.address;
        message.failureDomain = m_self.failureDomain;
        message.incarnation = m_self.incarnation;
        message.state = m_leaving ? MemberState::Leaving : MemberState::Alive;
        return message;
    }
    const MemberView& view = m_views.find(id)->second;
    message.address = view.address;
    message.failureDomain = view.failureDomain;
    message.incarnation = view.incarnation;
    message.state = view.state;
    return message;
}

PeerFrameT Membership::frame(OutgoingMessage message) const
{
    PeerFrameT frame;
    frame.sender = m_self.id;
    frame.incarnation = m_self.incarnation;
    frame.body = std::move(message.body);
    return frame;
}

std::vector<std::string> Membership::desiredPeers() const
{
    std::set<std::string> peers = m_chosenPeers;
    for (const PendingProbe& probe : m_probes)
        if (m_views.count(probe.target) > 0)
            peers.insert(probe.target);
    if (m_views.count(m_substituteParent) > 0)
        peers.insert(m_substituteParent);
    if (m_retriedDeadMember && m_views.count(*m_retriedDeadMember) > 0)
        peers.insert(*m_retriedDeadMember);
    return { peers.begin(), peers.end() };
}

bool Membership::needsLink(const std::string& peer) const
{
    std::vector<std::string> desired = desiredPeers();
    return std::binary_search(desired.begin(), desired.end(), peer) || inTree(peer);
}

std::vector<std::string> Membership::takeSilentLinks() { return std::exchange(m_silentLinks, {}); }

void Membership::tick(MonotonicTime now)
{
    compensateForPause(now);
    if (m_linksOutdated)
        chooseLinks(now);
    chooseParent(now);
    checkSilentLinks(now);
    checkMembers(now);
    expireProbes(now);
    retryDeadMember(now);
    sendDueHeartbeats(now);
}

// After a pause of this process, all peers appear silent. The time in which this process could not receive
// anything is not counted as their silence.
void Membership::compensateForPause(MonotonicTime now)
{
    MonotonicTime last = std::exchange(m_lastTick, now).value_or(now);
    if (now - last <= m_options.pauseThreshold)
        return;
    auto shift = [last, now](MonotonicTime& time) {
        if (time <= last)
            time += now - last;
    };
    for (auto& [id, link] : m_links)
        shift(link.lastReceived);
    for (auto& [id, record] : m_records) {
        shift(record.lastReceived);
        shift(record.lastKnownReachable);
        shift(record.suspectedAt);
        record.probeStarted.reset();
    }
}

void Membership::chooseLinks(MonotonicTime now)
{
    m_linksOutdated = false;
    std::set<std::string> before = std::exchange(m_chosenPeers, {});
    std::vector<std::string> ids = m_usable;
    std::erase(ids, m_self.id);
    chooseDesignatedParent(ids);
    if (ids.size() < m_options.fullMeshLimit)
        m_chosenPeers.insert(ids.begin(), ids.end());
    else
        choosePartialMesh(ids);
    if (!m_designatedParent.empty())
        m_chosenPeers.insert(m_designatedParent);
    for (const std::string& peer : m_chosenPeers)
        if (before.count(peer) == 0 && !linked(peer))
            // Not monitored until now: earlier silence is no evidence.
            m_records.at(peer).lastKnownReachable = now;
}

void Membership::chooseDesignatedParent(const std::vector<std::string>& peers)
{
    std::vector<TreeMember> members { { m_self.id, m_self.failureDomain } };
    for (const std::string& peer : peers)
        members.push_back({ peer, m_views.at(peer).failureDomain });
    std::size_t parent = treeParents(members).front();
    m_designatedParent = parent < members.size() ? members[parent].id : std::string();
}

void Membership::choosePartialMesh(const std::vector<std::string>& peers)
{
    using Scored = std::pair<std::uint64_t, const std::string*>;
    std::vector<Scored> within;
    std::vector<Scored> across;
    for (const std::string& peer : peers) {
        const MemberView& view = m_views.at(peer);
        std::vector<Scored>& group = view.failureDomain == m_self.failureDomain ? within : across;
        group.emplace_back(combineHashes(m_selfHash, view.hash), &peer);
    }
    auto choose = [this](std::vector<Scored>& group, std::size_t count) {
        count = std::min(count, group.size());
        std::partial_sort(
            group.begin(), group.begin() + static_cast<std::ptrdiff_t>(count), group.end(), std::greater<>());
        for (std::size_t i = 0; i < count; ++i)
            m_chosenPeers.insert(*group[i].second);
    };
    choose(within, m_options.linksWithinDomain);
    choose(across, m_options.linksAcrossDomains);
}

// The designated parent while its link is not silent, otherwise the linked peer of lower rank with the
// highest score.
std::string Membership::linkedParent(MonotonicTime now) const
{
    if (receivedWithin(m_designatedParent, m_options.silenceTimeout, now))
        return m_designatedParent;
    std::string chosen;
    std::uint64_t ownRank = treeRank(m_self.id);
    std::uint64_t bestScore = 0;
    for (const auto& [peer, link] : m_links) {
        auto found = m_views.find(peer);
        bool isEligible = found != m_views.end() && isUsable(found->second.state)
            && receivedWithin(peer, m_options.silenceTimeout, now) && treeRank(peer) < ownRank;
        if (!isEligible)
            continue;
        std::uint64_t score = combineHashes(m_selfHash, found->second.hash);
        if (chosen.empty() || score > bestScore) {
            chosen = peer;
            bestScore = score;
        }
    }
    return chosen;
}

// While no parent is linked, this instance's subtree is disconnected, which would last until the designated
// parent is declared dead and a new tree is computed. A substitute parent of lower rank bridges this time.
void Membership::chooseSubstitute(MonotonicTime now)
{
    if (m_designatedParent.empty() || receivedWithin(m_designatedParent, m_options.silenceTimeout, now)) {
        m_parentMissingSince.reset();
        m_substituteParent.clear();
        return;
    }
    if (!m_parentMissingSince)
        m_parentMissingSince = now;
    if (!m_parent.empty() || !m_substituteParent.empty()
        || now - *m_parentMissingSince < m_options.substituteParentDelay)
        return;
    std::uint64_t ownRank = treeRank(m_self.id);
    std::uint64_t bestScore = 0;
    for (const std::string& peer : m_usable) {
        if (peer == m_designatedParent || peer == m_self.id || treeRank(peer) >= ownRank)
            continue;
        std::uint64_t score = combineHashes(m_selfHash, m_views.at(peer).hash);
        if (m_substituteParent.empty() || score > bestScore) {
            m_substituteParent = peer;
            bestScore = score;
        }
    }
}

void Membership::chooseParent(MonotonicTime now)
{
    std::string chosen = linkedParent(now);
    if (chosen != m_parent)
        changeParent(chosen);
    chooseSubstitute(now);
}

void Membership::changeParent(const std::string& chosen)
{
    for (const std::string& peer : { m_parent, chosen }) {
        auto link = m_links.find(peer);
        if (link != m_links.end())
            link->second.urgent = true;
    }
    m_parent = chosen;
}

void Membership::checkSilentLinks(MonotonicTime now)
{
    for (auto& [peer, link] : m_links) {
        if (link.reportedSilent || now - link.lastReceived <= m_options.silenceTimeout)
            continue;
        link.reportedSilent = true;
        m_silentLinks.push_back(peer);
    }
}

void Membership::checkMembers(MonotonicTime now)
{
    std::set<std::string> monitored = m_chosenPeers;
    for (const auto& [peer, link] : m_links)
        monitored.insert(peer);
    for (const std::string& id : monitored)
        if (m_views.count(id) > 0)
            checkReachability(id, now);

    for (const std::string& id : std::set<std::string>(m_suspects))
        expireSuspicion(id, now);
    if (now - m_lastRemoval >= removalInterval)
        removeDeadMembers(now);
}

void Membership::removeDeadMembers(MonotonicTime now)
{
    m_lastRemoval = now;
    for (auto record = m_records.begin(); record != m_records.end();) {
        bool removable = record->second.confirmedRemoved
            && now - record->second.declaredDeadAt > m_options.deadMemberRetention && !linked(record->first);
        if (removable) {
            m_views.erase(record->first);
            m_dead.erase(record->first);
        }
        record = removable ? m_records.erase(record) : std::next(record);
    }
}

void Membership::checkReachability(const std::string& id, MonotonicTime now)
{
    MemberState state = m_views.at(id).state;
    if (state == MemberState::Dead || state == MemberState::Suspect)
        return;
    Record& record = m_records.at(id);
    MonotonicTime evidence = std::max(record.lastReceived, record.lastKnownReachable);
    if (now - evidence <= m_options.silenceTimeout) {
        record.probeStarted.reset();
        return;
    }
    if (isolated(now)) {
        // No peer can probe the member, and this instance being disconnected is more likely than all other
        // instances being dead.
        if (now - evidence > m_options.isolatedSuspicionTimeout)
            suspect(id, now);
        return;
    }
    if (!record.probeStarted) {
        record.probeStarted = now;
        record.probeNonce = m_nextNonce++;
        record.probeRepeated = false;
        sendProbes(id, now);
        return;
    }
    if (!record.probeRepeated && now - *record.probeStarted > m_options.probeTimeout / 2) {
        record.probeRepeated = true;
        sendProbes(id, now);
    }
    if (now - *record.probeStarted > m_options.probeTimeout)
        suspect(id, now);
}

void Membership::sendProbes(const std::string& id, MonotonicTime now)
{
    std::vector<std::string> helpers;
    for (const auto& [peer, link] : m_links)
        if (peer != id && now - link.lastReceived <= m_options.silenceTimeout)
            helpers.push_back(peer);
    for (std::size_t i = 0; i < m_options.probeHelpers && !helpers.empty(); ++i) {
        std::size_t chosen = m_random.below(helpers.size());
        PingRequestT request;
        request.target = id;
        request.nonce = m_records.at(id).probeNonce;
        m_outbox.send(helpers[chosen], std::move(request));
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

void Membership::suspect(const std::string& id, MonotonicTime now)
{
    m_records.at(id).probeStarted.reset();
    BW_LOG(DEBUG, "member") << m_self.id << " suspects " << id;
    setState(id, MemberState::Suspect, m_views.at(id).incarnation, {}, now);
}

void Membership::expireSuspicion(const std::string& id, MonotonicTime now)
{
    Record& record = m_records.at(id);
    if (now - record.suspectedAt <= m_options.suspicionTimeout)
        return;
    // A suspected member whose frames still arrive has not received the suspicion yet. An isolated instance
    // waits longer, because it may itself be the one that is disconnected.
    bool wait = receivedWithin(id, m_options.silenceTimeout, now)
        || (isolated(now) && now - record.suspectedAt <= m_options.isolatedSuspicionTimeout);
    if (!wait)
        setState(id, MemberState::Dead, m_views.at(id).incarnation, {}, now);
}

bool Membership::receivedWithin(const std::string& id, Milliseconds limit, MonotonicTime now) const
{
    auto link = m_links.find(id);
    return link != m_links.end() && now - link->second.lastReceived <= limit;
}

void Membership::retryDeadMember(MonotonicTime now)
{
    if (now - m_retryStarted < m_options.deadMemberRetryInterval)
        return;
    m_retryStarted = now;
    m_retriedDeadMember.reset();
    std::vector<std::string> dead;
    for (const std::string& id : m_dead)
        if (!m_records.at(id).confirmedRemoved)
            dead.push_back(id);
    if (!dead.empty())
        m_retriedDeadMember = dead[m_random.below(dead.size())];
}

LinkView Membership::view(const std::string& peer, const Link& link) const
{
    LinkView linkView { peer };
    linkView.peerIsParent = peer == m_parent;
    linkView.isTreeLink = linkView.peerIsParent || link.peerIsChild;
    linkView.treeLinks = treeLinkCount();
    return linkView;
}

void Membership::sendDueHeartbeats(MonotonicTime now)
{
    for (auto& [peer, link] : m_links) {
        if (isDue(peer, link, now))
            sendHeartbeat(peer, link, now);
    }
}

bool Membership::isDue(const std::string& peer, const Link& link, MonotonicTime now) const
{
    auto age = now - link.lastSent;
    if (age < m_options.minImmediateInterval)
        return false;
    bool waits = age < m_options.minHeartbeatInterval; // all but urgent news
    if (!waits && (age >= m_options.heartbeatInterval || link.urgent))
        return true;
    LinkView linkView = view(peer, link);
    return std::any_of(m_sections.begin(), m_sections.end(), [&](const HeartbeatSection* section) {
        return section->urgentAtOnce(linkView, now) || (!waits && section->urgent(linkView, now));
    });
}

void Membership::sendHeartbeat(const std::string& peer, Link& link, MonotonicTime now)
{
    HeartbeatT heartbeat;
    heartbeat.sequence = ++link.lastSentSequence;
    heartbeat.acknowledged = link.lastReceivedSequence;
    heartbeat.sentMs = clockMilliseconds(now);
    std::optional<std::int32_t> minimum = link.minDelay;
    if (link.previousMinDelay && (!minimum || wrappedLess(*link.previousMinDelay, *minimum)))
        minimum = link.previousMinDelay;
    heartbeat.leastDelayKnown = minimum.has_value();
    heartbeat.leastDelayMs = minimum.value_or(0);
    heartbeat.membersDigest = m_digest;
    heartbeat.parent = peer == m_parent;
    addPendingMembers(link, heartbeat);
    LinkView linkView = view(peer, link);
    for (HeartbeatSection* section : m_sections)
        section->fill(linkView, heartbeat, now);
    link.lastSent = now;
    link.urgent = !link.pendingChanges.empty(); // the rest follows after minHeartbeatInterval
    m_outbox.send(peer, std::move(heartbeat));
}

void Membership::addPendingMembers(Link& link, HeartbeatT& heartbeat)
{
    for (auto entry = link.pendingChanges.begin();
         entry != link.pendingChanges.end() && heartbeat.members.size() < m_options.maxChangesPerHeartbeat;) {
        if (entry->first == m_self.id || m_views.count(entry->first) > 0)
            heartbeat.members.push_back(std::make_unique<MemberT>(toMessage(entry->first)));
        else
            entry->second = 1; // removed in the meantime: drop the change
        entry = --entry->second == 0 ? link.pendingChanges.erase(entry) : std::next(entry);
    }
}

} // namespace briarwharf
