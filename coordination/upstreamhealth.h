#pragma once

#include "coordination/member.h"
#include <unordered_map>

namespace briarwharf {

enum class UpstreamFailure {
    ConnectionRefused,
    Error, // a response that blames the upstream, such as HTTP 500 or a broken one
    Timeout,
    SilentConnection,
    Broken, // the connection broke after the request was sent
};

struct UpstreamHealthOptions {
    double refusedPenalty = 1.5;
    double errorPenalty = 1;
    double timeoutPenalty = 1.5;
    double silentPenalty = 2;
    double brokenPenalty = 2;
    double successFactor = 0.8; // applied to the penalty by each success while the upstream is in use
    double badAbove = 4; // becomes bad
    double goodBelow = 1; // becomes usable again; the gap to badAbove damps flapping
    double maxPenalty = 16; // bounds the time out of use: four half-lives down to goodBelow
    Milliseconds halfLife { 5000 };
    std::size_t peersForBad = 2; // peers that call an upstream bad outweigh missing own evidence
    Milliseconds peerEvidenceTtl { 10000 };
    Milliseconds ownSuccessTtl { 5000 }; // an own success this recent outweighs peers
    Milliseconds repeatEvidence { 4000 };
    std::size_t maxUpstreams = 16384;
};

// Which upstreams to use, from own evidence and that of linked peers. Each failure adds to a penalty that
// decays with a half-life; an upstream is bad from one threshold until the penalty is below a lower one, so
// that one that flaps stays out longer the more often it fails. Health is advice: when all are bad, all are
// used.
class UpstreamHealth : public HeartbeatSection {
public:
    explicit UpstreamHealth(UpstreamHealthOptions);

    void succeeded(std::uint32_t upstream, MonotonicTime now);
    void failed(std::uint32_t upstream, UpstreamFailure, MonotonicTime now);

    // Whether new chats may go to the upstream. Unknown upstreams are usable.
    bool usable(std::uint32_t upstream, MonotonicTime now) const;

    // The usable ones of a pool, in the order given; all of them when none is usable.
    std::vector<std::uint32_t> select(const std::vector<std::uint32_t>& pool, MonotonicTime now) const;

    double penalty(std::uint32_t upstream, MonotonicTime now) const;

    // Forgets upstreams that are not in the configuration in force.
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

    double decayed(const Upstream&, MonotonicTime now) const;
    bool ownBad(const Upstream&, MonotonicTime now) const;
    Upstream* find(std::uint32_t upstream);
    void add(std::uint32_t upstream, double penalty, MonotonicTime now);

    UpstreamHealthOptions m_options;
    std::unordered_map<std::uint32_t, Upstream> m_upstreams;
    std::map<std::string, std::unordered_map<std::uint32_t, Sent>, std::less<>> m_sent;
};

} // namespace briarwharf
