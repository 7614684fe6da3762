#pragma once

#include "coordination/member.h"
#include <unordered_map>

namespace briarwharf {

enum class UpstreamFailure {
    ConnectionRefused,
    Error, // a response that indicates a fault of the upstream, such as HTTP 500 or a malformed response
    Timeout,
    SilentConnection,
    Broken, // the connection broke after the request was sent
    Misdirected, // another upstream answered at the address
};

struct UpstreamHealthOptions {
    double refusedPenalty = 1.5;
    double errorPenalty = 1;
    double timeoutPenalty = 1.5;
    double silentPenalty = 2;
    double brokenPenalty = 2;
    double misdirectedPenalty = 16; // bad at once: every further request would be misdirected too
    double successFactor = 0.8; // factor on the penalty for each success while the upstream is usable
    double badAbove = 4; // an upstream becomes bad at this penalty
    double goodBelow = 1; // and usable again below this one; the gap to badAbove damps flapping
    double maxPenalty = 16; // bounds the time out of use: from 16, four half-lives down to goodBelow
    Milliseconds halfLife { 5000 };
    // This many peers that report an upstream as bad outweigh missing own evidence.
    std::size_t minPeersForBad = 2;
    Milliseconds peerEvidenceTtl { 10000 };
    Milliseconds ownSuccessTtl { 5000 }; // an own success that is no older outweighs the peers' evidence
    // An upstream that stays bad is reported again after this time.
    Milliseconds evidenceRepeatInterval { 4000 };
    std::size_t maxUpstreams = 16384;
};

// Decides which upstreams to use, from this instance's own evidence and that of linked peers. Each failure
// adds to a penalty that decays exponentially with a half-life. An upstream becomes bad when the penalty
// reaches one threshold and is usable again when it falls below a lower one, so that a flapping upstream
// stays out of use longer the more often it fails. Health is advisory: when all upstreams are bad, all are
// used.
class UpstreamHealth : public HeartbeatSection {
public:
    explicit UpstreamHealth(UpstreamHealthOptions);

    void succeeded(std::uint32_t upstream, MonotonicTime now);
    void failed(std::uint32_t upstream, UpstreamFailure, MonotonicTime now);

    // Forgets this instance's own evidence: the directory shows a new lifetime of the upstream.
    void restarted(std::uint32_t upstream);

    // Whether new chats may go to the upstream. Unknown upstreams are usable.
    bool usable(std::uint32_t upstream, MonotonicTime now) const;

    // The usable upstreams of a pool, in the given order; all of them if none is usable.
    std::vector<std::uint32_t> select(const std::vector<std::uint32_t>& pool, MonotonicTime now) const;

    double penalty(std::uint32_t upstream, MonotonicTime now) const;

    // Removes upstreams that are not in the configuration in force.
    void setUpstreams(const std::vector<std::uint32_t>&);

    void fill(const LinkView&, HeartbeatT&, MonotonicTime now) override;
    void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) override;
    bool urgent(const LinkView&, MonotonicTime now) const override;
    void linkDown(const std::string& peer, MonotonicTime now) override;

private:
    struct PeerEvidence {
        MonotonicTime at;
        bool bad = false;
    };
    struct Upstream {
        double penalty = 0;
        MonotonicTime updated;
        bool bad = false;
        std::optional<MonotonicTime> lastSuccess;
        std::map<std::string, PeerEvidence, std::less<>> peers;
    };
    struct Sent {
        bool bad = false;
        MonotonicTime at;
    };

    double decayedPenalty(const Upstream&, MonotonicTime now) const;
    bool isBadByOwnEvidence(const Upstream&, MonotonicTime now) const;
    Upstream* findOrAdd(std::uint32_t upstream);
    void addPenalty(std::uint32_t upstream, double penalty, MonotonicTime now);

    UpstreamHealthOptions m_options;
    std::unordered_map<std::uint32_t, Upstream> m_upstreams;
    std::map<std::string, std::unordered_map<std::uint32_t, Sent>, std::less<>> m_sent;
};

} // namespace briarwharf
