#pragma once

#include "base/random.h"
#include "base/time.h"
#include "coordination/outbox.h"
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

struct InstanceIdentity {
    std::string id;
    std::string address; // IP number and peer port
    std::string failureDomain;
    std::uint64_t incarnation
        = 0; // start time in milliseconds since the epoch, so that a replacement has a higher one
};

// An entry of the platform's list of instances, which lags behind the instances that run.
struct ListedInstance {
    std::string id;
    std::string address;
    std::string failureDomain;
};

struct MembershipOptions {
    Milliseconds heartbeatInterval { 1000 };
    // Minimum time between two heartbeats on a link, also when the next one is urgent.
    Milliseconds minHeartbeatInterval { 200 };
    // The same for news that a section calls urgent at once, since the delays of all hops of a tree add up.
    Milliseconds minImmediateInterval { 100 };
    Milliseconds silenceTimeout { 3200 }; // three heartbeat intervals and a margin
    // Time without a linked parent in the aggregation tree after which a substitute parent is dialled.
    Milliseconds substituteParentDelay { 1000 };
    Milliseconds probeTimeout { 1500 }; // for the responses to indirect probes
    Milliseconds suspicionTimeout { 4000 }; // for the suspected member to refute the suspicion
    // While this instance is isolated: time without evidence until a member is suspected, and minimum
    // time from the suspicion until it is declared dead.
    Milliseconds isolatedSuspicionTimeout { 15000 };
    Milliseconds pauseThreshold { 1500 }; // a longer gap between ticks means that this process was paused
    // Between attempts to reach a dead member that may still run.
    Milliseconds deadMemberRetryInterval { 5000 };
    Milliseconds deadMemberRetention { 60000 }; // of dead members that the platform's list no longer contains
    // Maximum lag of the platform's list: a dead member that never was in the list counts as removed only
    // this long after it was declared dead; one that was listed counts as removed as soon as a list omits it.
    Milliseconds listLag { 10000 };
    std::size_t fullMeshLimit = 12; // with up to this many instances, every pair keeps a link
    std::size_t linksWithinDomain = 1; // in a partial mesh: links chosen within the own failure domain
    std::size_t linksAcrossDomains = 1; // in a partial mesh: links chosen to other failure domains
    std::size_t probeHelpers = 3; // peers that receive each indirect probe request
    std::size_t maxChangesPerHeartbeat = 24; // members piggybacked on one heartbeat
    // Heartbeats per link that carry each change. A link loses none while it is up, and differing digests
    // lead to a transfer of all members.
    std::size_t changeRepeats = 1;
    std::size_t maxMembers = 4096; // further ids from peers are ignored
};

// The properties of a link that the sections of its heartbeats depend on.
struct LinkView {
    const std::string& peer;
    bool isTreeLink = false; // the link is part of the aggregation tree
    bool peerIsParent = false; // the peer is this instance's parent in the tree
    // Upper bound of the time since the peer filled in the received heartbeat; nullopt until it is known.
    std::optional<Milliseconds> maxTransit;
    std::size_t treeLinks = 0; // links of this instance that are part of the tree
};

// Fills in and evaluates one section of the heartbeats, such as the load table. Sections are called in the
// order in which they were added.
class HeartbeatSection {
public:
    virtual ~HeartbeatSection() = default;
    virtual void fill(const LinkView&, HeartbeatT&, MonotonicTime now) = 0;
    virtual void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) = 0;
    // Whether the next heartbeat should be sent before its interval ends.
    virtual bool urgent(const LinkView&, MonotonicTime) const { return false; }
    // Whether it should be sent even before minHeartbeatInterval.
    virtual bool urgentAtOnce(const LinkView&, MonotonicTime) const { return false; }
    virtual void linkUp(const std::string& /* peer */, MonotonicTime) { }
    virtual void linkDown(const std::string& /* peer */, MonotonicTime) { }
};

struct MemberView {
    std::string address;
    std::string failureDomain;
    std::uint64_t incarnation = 0; // 0: known from the platform's list only
    MemberState state = MemberState::Alive;
    std::uint64_t hash = 0; // of the id, for rendezvous hashing
};

// Tracks which instances exist and decides which of them this instance keeps links to.
//
// Every link carries one heartbeat per interval. A member whose heartbeats stop is first probed through other
// peers; only if none of them reaches it is it suspected, and it is declared dead if it does not refute the
// suspicion with a higher incarnation before the suspicion timeout. Dead members that have not been confirmed
// as removed by the platform's list are contacted again periodically, so that the two sides of a partition
// find each other when it ends.
//
// The class holds no socket. The owner reports link events, calls tick() about every 100 ms, keeps links to
// desiredPeers() and sends what the outbox holds:
//
//   membership.seed(list, now);
//   for (const std::string& peer : membership.desiredPeers()) dial(membership.members().at(peer).address);
//   membership.linkUp(peer, now);                       // queues a Hello
//   if (!membership.receive(frame, now)) closeLink();   // a frame of an earlier process with the same id
//   membership.tick(now);
//   for (const std::string& peer : membership.takeSilentLinks()) closeAndDialAgain(peer);
//   for (OutgoingMessage& message : outbox.drain()) write(message.peer, membership.frame(message));
class Membership {
public:
    Membership(InstanceIdentity, MembershipOptions, Outbox&, std::uint64_t seed);

    // Adds a section to the heartbeats; it must outlive the membership. Call before the first link event.
    void addSection(HeartbeatSection&);

    // Applies the platform's list of instances. New ids become members; a missing id never removes a live
    // member.
    void seed(const std::vector<ListedInstance>&, MonotonicTime now);

    void linkUp(const std::string& peer, MonotonicTime now);
    void linkDown(const std::string& peer, MonotonicTime now);

    // Handles Hello, Heartbeat, PingRequest and PingResponse; any other frame only proves that its sender is
    // alive. False: the frame is from an earlier process with the sender's id; close the link.
    bool receive(const PeerFrameT&, MonotonicTime now);

    void tick(MonotonicTime now);

    // Announces that this instance leaves. It owns no keys from then on, unless no other member is usable.
    void leave(MonotonicTime now);

    // Wraps a message from the outbox in a frame.
    PeerFrameT frame(OutgoingMessage) const;

    // Peers to dial and keep a link to, in order of id; links dialled by others are accepted as well. If a
    // pair has two links, both sides keep the one that the smaller id dialled.
    std::vector<std::string> desiredPeers() const;

    // Whether this instance needs its link to the peer: the peer is desired or part of the tree here. The
    // owner closes links that it opened and that are not needed any longer.
    bool needsLink(const std::string& peer) const;

    // Links without a received frame for `silenceTimeout`, each returned once: close and dial again.
    std::vector<std::string> takeSilentLinks();

    const InstanceIdentity& self() const { return m_self; }
    bool leaving() const { return m_leaving; }

    // All known members except this instance, including dead ones until they are removed.
    const std::map<std::string, MemberView, std::less<>>& members() const { return m_views; }

    // Increases whenever the set of usable members changes; owners of keys are stable in between.
    std::uint64_t epoch() const { return m_epoch; }

    // Alive and suspected members and, unless it leaves, this instance, in order of id. Never empty.
    const std::vector<std::string>& usable() const { return m_usable; }

    // Number of instances in the last known membership, including this one: all except dead ones that the
    // platform's list no longer contains. Members on the other side of a partition count, so a partition
    // alone never reduces the number.
    std::size_t expectedInstances() const;
    std::vector<std::string> expectedPeers() const;
    // Sum of the hashes of the ids of all expected instances, modulo 2^64.
    std::uint64_t expectedDigest() const;
    std::uint64_t selfHash() const { return m_selfHash; }

    // Usable instance with the highest rendezvous score for the key; this instance if there is no other.
    // Instances that disagree on one member disagree on the keys of that member only.
    const std::string& owner(std::uint64_t keyHash) const;
    bool owns(std::uint64_t keyHash) const { return owner(keyHash) == m_self.id; }

    std::vector<std::string> linkedPeers() const;
    bool linked(const std::string& peer) const { return m_links.count(peer) > 0; }
    std::size_t treeLinkCount() const;
    // Whether the link to the peer is part of the aggregation tree now.
    bool inTree(const std::string& peer) const;
    // The linked parent in the aggregation tree; empty for the root and while no parent is linked.
    const std::string& parent() const { return m_parent; }
    std::size_t memberChanges() const { return m_memberChanges; }

    // Whether another process with this id and a newer incarnation runs at another address; this process must
    // then stop.
    bool superseded() const { return m_superseded; }

    // Whether no linked peer has sent anything for `silenceTimeout`. True for an instance without links.
    bool isolated(MonotonicTime now) const;

private:
    struct Record {
        MonotonicTime lastReceived; // arrival of the latest frame from the member itself
        // Latest evidence by other means that the member is alive: a peer reached it, the member announced a
        // state, or this instance has just started to monitor it.
        MonotonicTime lastKnownReachable;
        MonotonicTime suspectedAt;
        MonotonicTime declaredDeadAt;
        std::optional<MonotonicTime> probeStarted;
        std::uint64_t probeNonce = 0;
        bool probeRepeated = false;
        bool confirmedRemoved = false; // dead and, according to the platform's list, no longer running
        bool everListed = false; // in any list of the platform so far
    };
    struct Link {
        MonotonicTime lastReceived;
        MonotonicTime lastSent;
        std::uint64_t lastSentSequence = 0;
        std::uint64_t lastReceivedSequence = 0;
        MonotonicTime upSince;
        bool reportedSilent = false;
        bool peerIsChild = false;
        bool urgent = false; // a change is pending that should not wait for the interval
        // Minimum of (receive time - send time) of the peer's heartbeats in the current and the previous
        // window, in milliseconds modulo 2^32: the clocks of two instances have no common origin.
        std::optional<std::int32_t> minDelay;
        std::optional<std::int32_t> previousMinDelay;
        // The minimum that the peer reports for this instance's heartbeats; not used.
        std::optional<std::int32_t> reverseMinDelay;
        MonotonicTime delayWindowStart;
        int digestMismatches = 0;
        // Member id -> heartbeats that are still to carry the change.
        std::map<std::string, std::size_t> pendingChanges;
    };
    struct PendingProbe { // a probe that this instance makes on behalf of another
        std::string requester;
        std::string target;
        std::uint64_t nonce = 0;
        MonotonicTime deadline;
    };

    void applyMember(const MemberT&, const std::string& source, MonotonicTime now);
    bool learnFailureDomain(MemberView&, const std::string& failureDomain);
    void handleReportOfSelf(const MemberT&);
    void setState(const std::string& id, MemberState, std::uint64_t incarnation, const std::string& source,
        MonotonicTime now);
    void queueChange(const std::string& id, const std::string& source);
    void updateUsable();
    void toggleDigest(const std::string& id, std::uint64_t incarnation, MemberState);
    void add(const std::string& id, MemberView, MonotonicTime now);
    void chooseLinks(MonotonicTime now);
    void chooseDesignatedParent(const std::vector<std::string>& peers);
    void choosePartialMesh(const std::vector<std::string>& peers);
    void chooseParent(MonotonicTime now);
    std::string linkedParent(MonotonicTime now) const;
    void changeParent(const std::string& chosen);
    void chooseSubstitute(MonotonicTime now);
    void queueAllMembers(Link&);
    void handleBody(const PeerFrameT&, MonotonicTime now);
    void handleHello(const HelloT&, const std::string& sender, MonotonicTime now);
    void handleHeartbeat(const HeartbeatT&, const std::string& sender, MonotonicTime now);
    void handlePingRequest(const PingRequestT&, const std::string& sender, MonotonicTime now);
    void handlePingResponse(const PingResponseT&, MonotonicTime now);
    void answerProbes(const std::string& target, MonotonicTime now);
    void sendHeartbeat(const std::string& peer, Link&, MonotonicTime now);
    void addPendingMembers(Link&, HeartbeatT&);
    void checkSilentLinks(MonotonicTime now);
    void checkMembers(MonotonicTime now);
    void checkReachability(const std::string& id, MonotonicTime now);
    void sendProbes(const std::string& id, MonotonicTime now);
    void suspect(const std::string& id, MonotonicTime now);
    void removeDeadMembers(MonotonicTime now);
    void expireSuspicion(const std::string& id, MonotonicTime now);
    void expireProbes(MonotonicTime now);
    void retryDeadMember(MonotonicTime now);
    void sendDueHeartbeats(MonotonicTime now);
    bool isDue(const std::string& peer, const Link&, MonotonicTime now) const;
    void compensateForPause(MonotonicTime now);
    bool receivedWithin(const std::string& id, Milliseconds, MonotonicTime now) const;
    LinkView view(const std::string& peer, const Link&) const;
    std::optional<Milliseconds> transitBound(Link&, const HeartbeatT&, MonotonicTime now);
    MemberT toMessage(const std::string& id) const;

    InstanceIdentity m_self;
    std::uint64_t m_selfHash;
    MembershipOptions m_options;
    Outbox& m_outbox;
    Random m_random;
    std::vector<HeartbeatSection*> m_sections;
    std::map<std::string, MemberView, std::less<>> m_views;
    std::map<std::string, Record, std::less<>> m_records;
    std::map<std::string, Link, std::less<>> m_links;
    std::set<std::string> m_suspects;
    std::set<std::string> m_dead;
    std::set<std::string> m_listed; // ids in the platform's latest list, without this instance
    std::vector<PendingProbe> m_probes;
    std::vector<std::string> m_silentLinks;
    std::vector<std::string> m_usable;
    std::vector<std::uint64_t> m_usableHashes;
    // Peers that the full mesh, the partial mesh or the aggregation tree selects.
    std::set<std::string> m_chosenPeers;
    std::string m_designatedParent;
    // Dialled while the designated parent is silent and no other parent is linked.
    std::string m_substituteParent;
    std::optional<MonotonicTime> m_parentMissingSince;
    std::string m_parent; // linked parent in the tree, empty for none
    std::optional<std::string> m_retriedDeadMember;
    MonotonicTime m_retryStarted;
    std::optional<MonotonicTime> m_lastTick;
    MonotonicTime m_lastRemoval;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_nextNonce = 1;
    std::uint32_t m_digest = 0;
    std::size_t m_memberChanges = 0;
    bool m_leaving = false;
    bool m_superseded = false;
    bool m_linksOutdated = true;
};

} // namespace briarwharf
