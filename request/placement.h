#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace briarwharf {

// An upstream or chat as placement sees it: a hash that is equal on every instance.
using UpstreamId = std::uint64_t;
using ChatKey = std::uint64_t;

UpstreamId upstreamId(std::string_view upstreamName);

// Includes the organisation, so equal chat names of two organisations are different chats.
ChatKey chatKey(std::string_view organisation, std::string_view chat);

enum class UpstreamUse {
    Serving,
    Avoided, // flapping or joining slowly: keeps its resident chats, gets no others
    Draining, // no new work
    Unusable, // unreachable, or already tried for this request
};

// What an instance knows about one upstream at the time of a decision. `LoadLedger::fill` sets the load
// fields. Work is in tokens (prompt plus the most that may be generated), from dispatch to the answer's end.
struct UpstreamView {
    UpstreamId id = 0;
    double weight = 1;
    UpstreamUse use = UpstreamUse::Serving;
    std::optional<std::chrono::milliseconds> reportAge; // empty: no report
    std::int64_t reportedTokens = 0; // all instances' tokens in progress when the report was measured
    std::int64_t localTokens = 0; // in progress from this instance
    std::int64_t localTokensSinceReport = 0; // change of localTokens since the report; may be negative
    std::int64_t peerTokensSinceReport = 0; // predicted change of the peers' part; may be negative
    std::uint32_t localRequests = 0; // in progress from this instance
    std::uint32_t localSlots = 0; // most requests in progress from this instance; 0: no limit
};

struct PlacementRequest {
    ChatKey chat = 0;
    std::int64_t tokens = 0; // estimated work
    std::optional<UpstreamId> hint; // from a verified residence hint only
    std::optional<UpstreamId> directory; // from the exceptions directory
    std::int64_t outputTokens = 0; // the part of the work that may be generated
    std::int64_t typicalOutputTokens = 0; // LoadLedger::typicalOutputTokens(); 0: not known
    bool returning = false; // has earlier turns, so some upstream may hold its context
    std::uint64_t nonce = 0; // differs between requests of a chat; only the randomised baselines use it
};

enum class PlacementReason {
    Hint,
    Directory,
    FirstChoice, // head of the rendezvous order
    Spilled, // later in the order: those before it are above their threshold
    Saturated, // every usable upstream is above the bound or out of local slots: queue or reject
    NoUpstream, // none is usable
};

std::string_view placementReasonName(PlacementReason);

struct PlacementDecision {
    std::optional<UpstreamId> upstream; // empty for Saturated and NoUpstream
    PlacementReason reason = PlacementReason::NoUpstream;
    bool notFirstChoice = false; // not the rendezvous first choice: record it in the directory
};

// Thresholds are multiples of the pool's mean load. Between `lower` and `upper` the share of chats that an
// upstream accepts falls linearly from all to none. The position of each chat in this range is a hash of the
// chat and the upstream, so routers that read the same stale report do not all move at once.
struct SpillRange {
    double lower = 1;
    double upper = 1.25;
};

struct PlacementSettings {
    double loadBound = 1.25;
    SpillRange arriving { 0.85, 1.0 }; // chats without cached context
    SpillRange returning { 1.0, 1.12 }; // chats at the upstream that caches their context, long requests

    // The threshold that returning chats approach as their output gets shorter than the typical one. A short
    // request is over soon, so moving it relieves the upstream little, and its chat's context is lost all the
    // same; most of the load, but few of the requests, are long ones.
    double shortOutputThreshold = 1.18;

    // Requests are indivisible: an upstream may exceed the mean by the larger of this and the request's own
    // tokens, whatever the bound. This decides only where the mean is below slack / (loadBound - 1).
    std::int64_t slackTokens = 8192;

    // Older reports are treated as missing.
    std::chrono::milliseconds reportLifetime { 10000 };
};

// Settings by name: "balanced", "skew" (spills early, even load), "reuse" (stays until close to the bound).
// `loadBound` scales them. Empty for an unknown name.
std::optional<PlacementSettings> placementSettings(std::string_view strategy, double loadBound = 1.25);

// Chooses the upstream of one request. A decision depends only on the arguments, not on their order, and
// never names an upstream that is draining or unusable.
class Placement {
public:
    Placement() = default;
    Placement(const Placement&) = delete;
    Placement& operator=(const Placement&) = delete;
    virtual ~Placement() = default;

    virtual PlacementDecision decide(const PlacementRequest&, std::span<const UpstreamView>) const = 0;
};

enum class PlacementKind {
    BoundedRendezvous, // the policy in use
    Rendezvous, // baselines for comparison
    BoundedRing,
    TwoChoices,
    LeastLoaded,
};

std::string_view placementKindName(PlacementKind);

std::unique_ptr<Placement> makePlacement(PlacementKind, const PlacementSettings&);

} // namespace briarwharf
