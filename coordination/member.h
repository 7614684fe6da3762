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
        = 0; // start time in milliseconds since the epoch, so that a replacement is newer
};

// An entry of the platform's lagging list of instances.
struct ListedInstance {
    std::string id;
    std::string address;
    std::string failureDomain;
};

struct MembershipOptions {
    Milliseconds heartbeatInterval { 1000 };
    Milliseconds earlyHeartbeatGap { 200 }; // least time between two heartbeats on a link
    Milliseconds silentAfter { 3200 }; // three heartbeats and a margin
    Milliseconds substituteAfter { 1000 }; // without a parent in the aggregation tree, another is dialled
    Milliseconds probeTimeout { 1500 }; // for the answers to indirect probes
    Milliseconds suspicionTimeout { 4000 }; // for the suspect to refute
    Milliseconds isolatedSuspicionAfter { 15000 }; // suspicion without a peer that could be asked
    Milliseconds pauseThreshold { 1500 }; // a longer gap between ticks is a pause of this instance
    Milliseconds rescueInterval { 5000 }; // between attempts to reach a member believed dead
    Milliseconds forgetAfter { 60000 }; // dead members that the platform's list has dropped
    Milliseconds listLag {
        10000
    }; // for members that never were in the list; others are gone when it drops them
    std::size_t fullMeshLimit = 12; // up to this many instances, every pair holds a link
    std::size_t linksWithin = 1; // links chosen within the own failure domain in a partial mesh
    std::size_t linksAcross = 1; // links chosen to other failure domains
    std::size_t probeHelpers = 3;
    std::size_t changesPerHeartbeat = 24; // bound on piggybacked members
    std::size_t changeRepeats = 2; // heartbeats per link that carry each change
    std::size_t maxMembers = 4096; // further ids from peers are ignored
};

// What sections of a heartbeat need to know of the link that carries it.
struct LinkView {
    const std::string& peer;
    bool tree = false; // part of the aggregation tree
    bool parent = false; // the peer is this instance's parent in the tree
    // Upper bound of the time since the peer filled in the heartbeat; nullopt until it is known.
    std::optional<Milliseconds> transit;
    std::size_t treeLinks = 0; // links of this instance that are part of the tree
};

// A part of heartbeats, such as the load table. Sections are called in the order in which they were added.
class HeartbeatSection {
public:
    virtual ~HeartbeatSection() = default;
    virtual void fill(const LinkView&, HeartbeatT&, MonotonicTime now) = 0;
    virtual void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) = 0;
    // Whether the next heartbeat should not wait for its interval.
    virtual bool urgent(const LinkView&, MonotonicTime) const { return false; }
    virtual void linkUp(const std::string& /* peer */, MonotonicTime) { }
    virtual void linkDown(const std::string& /* peer */, MonotonicTime) { }
};

struct MemberView {
    std::string address;
    std::string failureDomain;
    std::uint64_t incarnation = 0; // 0: known from the platform's list only
    MemberState state = MemberState::Alive;
    std::uint64_t hash = 0; // of the id, for rendezvous
};

// Which instances exist and which of them this one holds links to.
//
// Every link carries a heartbeat per interval. A member whose heartbeats stop is asked for through other
// peers first; only when none of them reaches it, it is suspected, and declared dead when it does not refute
// the suspicion with a higher incarnation in time. A member believed dead that is still in the platform's
// list is contacted again from time to time, so that partitions heal.
//
// The class holds no socket. The owner reports link events, calls tick() about every 100 ms, keeps links to
// desiredPeers() and sends what the outbox holds:
//
//   membership.seed(list, now);
//   for (const std::string& peer : membership.desiredPeers()) dial(membership.members().at(peer).address);
//   membership.linkUp(peer, now);                       // emits a Hello
//   if (!membership.receive(frame, now)) closeLink();   // a frame of an earlier process of the same id
//   membership.tick(now);
//   for (const std::string& peer : membership.takeSilentLinks()) closeAndDialAgain(peer);
//   for (OutgoingMessage& message : outbox.drain()) write(message.peer, membership.frame(message));
class Membership {
public:
    Membership(InstanceIdentity, MembershipOptions, Outbox&, std::uint64_t seed);

    // Adds a part to the heartbeats; it must outlive the membership. Call before the first link event.
    void addSection(HeartbeatSection&);

    // Takes the platform's list. New ids become members; an id that is missing never removes a live member.
    void seed(const std::vector<ListedInstance>&, MonotonicTime now);

    void linkUp(const std::string& peer, MonotonicTime now);
    void linkDown(const std::string& peer, MonotonicTime now);

    // Handles Hello, Heartbeat, PingRequest and PingResponse; of other frames only the arrival counts.
    // False: the frame is from an earlier process of the sender's id; close the link.
    bool receive(const PeerFrameT&, MonotonicTime now);

    void tick(MonotonicTime now);

    // Announces that this instance leaves; it owns no keys from now on.
    void leave(MonotonicTime now);

    // The frame for a message from the outbox.
    PeerFrameT frame(OutgoingMessage) const;

    // Peers to dial and hold a link to, in order of id; links dialled by others are accepted as well. Of two
    // links between the same pair, both keep the one that the smaller id dialled.
    std::vector<std::string> desiredPeers() const;

    // Links that carried nothing for `silentAfter`, each reported once: close and dial again.
    std::vector<std::string> takeSilentLinks();

    const InstanceIdentity& self() const { return m_self; }
    bool leaving() const { return m_leaving; }

    // All known members without this instance, dead ones included until forgotten.
    const std::map<std::string, MemberView, std::less<>>& members() const { return m_views; }

    // Rises whenever the set of usable members changes; owners of keys are stable in between.
    std::uint64_t epoch() const { return m_epoch; }

    // Alive and suspected members and this instance unless it leaves, in order of id.
    const std::vector<std::string>& usable() const { return m_usable; }

    // Instances of the last known membership with this one: all but those that are dead and that the
    // platform's list no longer names. Members beyond a partition count, so the number never shrinks by a
    // partition alone.
    std::size_t expectedInstances() const;
    std::vector<std::string> expectedPeers() const;
    // Sum of the hashes of their ids, modulo 2^64.
    std::uint64_t expectedDigest() const;
    std::uint64_t selfHash() const { return m_selfHash; }

    // Usable instance with the highest rendezvous score for the key; this instance when alone. Instances that
    // disagree on one member disagree on the keys of that member only.
    const std::string& owner(std::uint64_t keyHash) const;
    bool owns(std::uint64_t keyHash) const { return owner(keyHash) == m_self.id; }

    std::vector<std::string> linkedPeers() const;
    bool linked(const std::string& peer) const { return m_links.count(peer) > 0; }
    std::size_t treeLinkCount() const;
    // Whether the link to the peer is part of the aggregation tree now.
    bool inTree(const std::string& peer) const;
    // The linked parent in the aggregation tree; empty for the root or while there is none.
    const std::string& parent() const { return m_parent; }
    std::size_t memberChanges() const { return m_changes; }

    // Whether another process with this id and a newer incarnation runs at another address: this one must
    // stop.
    bool superseded() const { return m_superseded; }

    // Whether no peer has been heard for `silentAfter`. True for an instance that knows no other.
    bool isolated(MonotonicTime now) const;

private:
    struct Record {
        MonotonicTime lastHeard; // a frame from the member itself
        MonotonicTime lastReached; // a peer reached it for us
        MonotonicTime suspectedAt;
        MonotonicTime diedAt;
        std::optional<MonotonicTime> probeStarted;
        std::uint64_t probeNonce = 0;
        bool probeRepeated = false;
        bool confirmedGone = false;
        bool everListed = false; // in some list of the platform
    };
    struct Link {
        MonotonicTime lastHeard;
        MonotonicTime lastSent;
        std::uint64_t sent = 0; // sequence of the last heartbeat
        std::uint64_t received = 0;
        MonotonicTime upSince;
        bool reportedSilent = false;
        bool peerIsChild = false;
        bool urgent = false; // a change should not wait for the interval
        // Least (received - sent) of the peer's heartbeats in the present and the previous window.
        // Milliseconds modulo 2^32: the clocks of two instances have no common origin.
        std::optional<std::int32_t> leastDelay;
        std::optional<std::int32_t> previousLeastDelay;
        std::optional<std::int32_t> reverseLeastDelay; // as the peer reports it of our heartbeats
        MonotonicTime windowStarted;
        int digestMismatches = 0;
        std::map<std::string, std::size_t> pending; // member id to remaining repeats
    };
    struct PendingProbe { // a probe that this instance makes for another
        std::string requester;
        std::string target;
        std::uint64_t nonce = 0;
        MonotonicTime deadline;
    };

    void applyMember(const MemberT&, const std::string& source, MonotonicTime now);
    void heardOfSelf(const MemberT&);
    void setState(const std::string& id, MemberState, std::uint64_t incarnation, const std::string& source,
        MonotonicTime now);
    void spread(const std::string& id, const std::string& source);
    void updateUsable();
    void toggleDigest(const std::string& id, std::uint64_t incarnation, MemberState);
    void add(const std::string& id, MemberView, MonotonicTime now);
    void chooseLinks(MonotonicTime now);
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
    void forgetMembers(MonotonicTime now);
    void expireSuspicion(const std::string& id, MonotonicTime now);
    void expireProbes(MonotonicTime now);
    void rescue(MonotonicTime now);
    void sendDueHeartbeats(MonotonicTime now);
    void forgivePause(MonotonicTime now);
    bool heardWithin(const std::string& id, Milliseconds, MonotonicTime now) const;
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
    std::set<std::string> m_listed; // ids in the platform's latest list
    std::vector<PendingProbe> m_probes;
    std::vector<std::string> m_silent;
    std::vector<std::string> m_usable;
    std::vector<std::uint64_t> m_usableHashes;
    std::set<std::string> m_chosen; // links chosen by hash
    std::string m_designatedParent;
    std::string m_substituteParent; // dialled while the designated one does not answer and no other is linked
    std::optional<MonotonicTime> m_parentMissingSince;
    std::string m_parent; // linked parent in the tree, empty for none
    std::optional<std::string> m_rescued;
    MonotonicTime m_rescueStarted;
    std::optional<MonotonicTime> m_lastTick;
    MonotonicTime m_lastForgotten;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_nextNonce = 1;
    std::uint32_t m_digest = 0;
    std::size_t m_changes = 0;
    bool m_leaving = false;
    bool m_superseded = false;
    bool m_linksOutdated = true;
};

} // namespace briarwharf
