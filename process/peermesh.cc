#include "process/peermesh.h"

#include "base/base.h"
#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds minDialDelay { 200 };
    constexpr Milliseconds maxDialDelay { 5000 };

    // Links that membership does not need, such as those to collectors of claims, are kept, and reopened if
    // they break, for this long after their last use.
    constexpr Milliseconds onDemandLinkLifetime { 60000 };

    // Links that this instance opened are closed when it has not needed them for this long. Otherwise every
    // instance would keep its links to the seeds, and each seed one to every instance.
    constexpr Milliseconds unneededLinkLifetime { 2000 };

    MemberT memberOf(const InstanceIdentity& identity)
    {
        MemberT member;
        member.id = identity.id;
        member.address = identity.address;
        member.failureDomain = identity.failureDomain;
        member.incarnation = identity.incarnation;
        member.state = MemberState::Alive;
        return member;
    }

    PeerLinkOptions linkOptions(std::shared_ptr<MemoryBudget> memory)
    {
        PeerLinkOptions options;
        options.memory = std::move(memory);
        return options;
    }

} // namespace

PeerMesh::PeerMesh(
    event_base* base, InstanceIdentity identity, FrameCallback onFrame, std::shared_ptr<MemoryBudget> memory)
    : m_onFrame(std::move(onFrame))
    , m_membership(std::move(identity), MembershipOptions {}, m_outbox, randomSeed())
    , m_transport(base, linkOptions(std::move(memory)),
          { [this](LinkId link, const HelloT& hello, bool outgoing) { linkUp(link, hello, outgoing); },
              [this](LinkId link, const Error&) { linkDown(link); },
              [this](LinkId link, const PeerFrameT& frame) { frameReceived(link, frame); } })
{
    m_transport.setSelf(memberOf(m_membership.self()));
}

Status PeerMesh::listen()
{
    auto address = m_transport.listen(m_membership.self().address);
    if (!address)
        return address.error();
    return ok();
}

void PeerMesh::seed(const std::vector<ListedInstance>& listed)
{
    m_membership.seed(listed, clockNow());
    dialMissing();
}

void PeerMesh::tick()
{
    m_membership.tick(clockNow());
    for (const auto& peer : m_membership.takeSilentLinks()) {
        BW_LOG(WARNING, "peers") << "the link to " << peer << " is silent; closing and reopening it";
        closePeer(peer);
    }
    dialMissing();
    closeUnneeded();
}

void PeerMesh::leave()
{
    m_membership.leave(clockNow());
    flush();
}

bool PeerMesh::ensureLink(const std::string& peer)
{
    m_onDemandLastUsed[peer] = clockNow();
    return m_links.count(peer) > 0;
}

void PeerMesh::linkUp(LinkId link, const HelloT& hello, bool outgoing)
{
    const std::string& peer = hello.member->id;
    if (peer == m_membership.self().id)
        return m_transport.close(link);
    auto existing = m_links.find(peer);
    if (existing != m_links.end()) {
        // If both sides opened a link, each keeps the one that the side with the lower id opened.
        bool keepOutgoing = m_membership.self().id < peer;
        if (outgoing != keepOutgoing && m_outgoing[existing->second] == keepOutgoing)
            return m_transport.close(link);
        closePeer(peer);
    }
    m_links[peer] = link;
    m_peers[link] = peer;
    m_outgoing[link] = outgoing;
    m_dials[peer].delay = Milliseconds(0);
    m_membership.linkUp(peer, clockNow());
    PeerFrameT frame;
    frame.sender = peer;
    frame.incarnation = hello.member->incarnation;
    frame.body.Set(HelloT(hello));
    m_membership.receive(frame, clockNow());
    BW_LOG(INFO, "peers") << "the link to " << peer << " is up";
    flush();
}

void PeerMesh::linkDown(LinkId link)
{
    for (auto& [peer, dial] : m_dials) {
        if (dial.link == link)
            dial.link.reset();
    }
    auto found = m_peers.find(link);
    if (found == m_peers.end())
        return;
    std::string peer = found->second;
    BW_LOG(INFO, "peers") << "the link to " << peer << " is down";
    closePeer(peer);
}

void PeerMesh::frameReceived(LinkId link, const PeerFrameT& frame)
{
    auto found = m_peers.find(link);
    if (found == m_peers.end())
        return;
    std::string peer = found->second;
    if (!m_membership.receive(frame, clockNow()))
        return closePeer(peer);
    m_onFrame(peer, frame);
    flush();
}

void PeerMesh::closePeer(const std::string& peer)
{
    auto found = m_links.find(peer);
    if (found == m_links.end())
        return;
    LinkId link = found->second;
    m_links.erase(found);
    m_peers.erase(link);
    m_outgoing.erase(link);
    m_unneededSince.erase(peer);
    m_dials[peer].link.reset();
    m_transport.close(link);
    m_membership.linkDown(peer, clockNow());
}

void PeerMesh::dialMissing()
{
    MonotonicTime now = clockNow();
    for (const auto& peer : m_membership.desiredPeers())
        dial(peer, now);
    for (auto used = m_onDemandLastUsed.begin(); used != m_onDemandLastUsed.end();) {
        if (now - used->second > onDemandLinkLifetime) {
            used = m_onDemandLastUsed.erase(used);
            continue;
        }
        dial(used->first, now);
        ++used;
    }
}

// Links that peers opened are theirs to close.
void PeerMesh::closeUnneeded()
{
    MonotonicTime now = clockNow();
    std::vector<std::string> unneeded;
    for (const auto& [peer, link] : m_links) {
        bool needed = m_membership.needsLink(peer) || m_onDemandLastUsed.count(peer) > 0;
        if (needed || !m_outgoing.at(link)) {
            m_unneededSince.erase(peer);
            continue;
        }
        MonotonicTime since = m_unneededSince.try_emplace(peer, now).first->second;
        if (now - since > unneededLinkLifetime)
            unneeded.push_back(peer);
    }
    for (const std::string& peer : unneeded) {
        BW_LOG(INFO, "peers") << "the link to " << peer << " is not needed any longer; closing it";
        closePeer(peer);
    }
}

void PeerMesh::dial(const std::string& peer, MonotonicTime now)
{
    auto member = m_membership.members().find(peer);
    if (m_links.count(peer) || member == m_membership.members().end())
        return;
    Dial& dial = m_dials[peer];
    if (dial.link || now < dial.nextAttempt)
        return;
    dial.delay = std::clamp(dial.delay * 2, minDialDelay, maxDialDelay);
    dial.nextAttempt = now + dial.delay;
    auto link = m_transport.connect(member->second.address);
    if (link)
        dial.link = link.value();
}

void PeerMesh::flush()
{
    for (auto& message : m_outbox.drain()) {
        auto link = m_links.find(message.peer);
        if (link == m_links.end())
            continue;
        PeerBody kind = message.body.type;
        std::string bytes = encodePeerFrame(m_membership.frame(std::move(message)));
        m_sentByKind[kind] += bytes.size();
        m_transport.sendEncoded(link->second, bytes);
    }
}

} // namespace briarwharf
