#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace briarwharf {

// Identifiers of upstreams and chats in placement: hashes of their names, which are equal on every instance.
using UpstreamId = std::uint64_t;
using ChatKey = std::uint64_t;

UpstreamId upstreamId(std::string_view upstreamName);

// The key includes the organisation, so equal chat names of two organisations have different keys.
ChatKey chatKey(std::string_view organisation, std::string_view chat);

enum class UpstreamUse {
    Serving,
    Avoided, // flapping or slow to join: keeps its resident chats and gets no others
    Draining, // gets no new work
    Unusable, // unreachable, or already tried for this request
};

// What an instance knows about one upstream at the time of a decision. `LoadLedger::fill` sets the load
// fields. Work is counted in tokens (those of the prompt plus the maximum that may be generated) and is in
// progress from dispatch until the end of the answer.
struct UpstreamView {
    UpstreamId id = 0;
    double weight = 1;
    UpstreamUse use = UpstreamUse::Serving;
    std::optional<std::chrono::milliseconds> reportAge; // empty if there is no report
    std::int64_t reportedTokens = 0; // in progress from all instances when the report was measured
    std::int64_t localTokens = 0; // in progress from this instance
    std::int64_t localTokensSinceReport = 0; // change of localTokens since the report; may be negative
    std::int64_t peerTokensSinceReport = 0; // predicted change of the peers' tokens; may be negative
    std::uint32_t localRequests = 0; // in progress from this instance
    std::uint32_t localSlots = 0; // maximum of localRequests; 0: no limit
};

struct PlacementRequest {
    ChatKey chat = 0;
    std::int64_t tokens = 0; // estimated work
    std::optional<UpstreamId> hint; // set only from a verified residence hint
    std::optional<UpstreamId> directory; // from the residence directory
    std::int64_t outputTokens = 0; // of `tokens`, the maximum that may be generated
    std::int64_t typicalOutputTokens = 0; // LoadLedger::typicalOutputTokens(); 0: not known
    bool returning = false; // the chat has earlier turns, so an upstream may cache its context
    std::uint64_t nonce = 0; // differs between requests of a chat; used only by the randomised baselines
};

enum class PlacementReason {
    Hint,
    Directory,
    FirstChoice, // first in the rendezvous order
    Spilled, // later in the rendezvous order, since the upstreams before it are above their thresholds
    Saturated, // every usable upstream is above the bound or has no free local slot: queue or reject
    NoUpstream, // no upstream is usable
};

std::string_view placementReasonName(PlacementReason);

struct PlacementDecision {
    std::optional<UpstreamId> upstream; // empty for Saturated and NoUpstream
    PlacementReason reason = PlacementReason::NoUpstream;
    bool notFirstChoice = false; // not the rendezvous first choice: record it in the residence directory
};

// Load thresholds, as multiples of the pool's mean load. The share of chats that an upstream accepts falls
// linearly from all at `lower` to none at `upper`. The position of each chat in this range is a hash of the
// chat and the upstream, so that routers that read the same stale report do not move all chats together.
struct SpillRange {
    double lower = 1;
    double upper = 1.25;
};

struct PlacementSettings {
    double loadBound = 1.25;
    SpillRange arriving { 0.85, 1.0 }; // chats without cached context
    SpillRange returning { 1.0, 1.12 }; // long requests of chats at the upstream that caches their context

    // The threshold that returning chats approach as their output gets shorter than the typical output. A
    // short request ends soon, so moving it hardly relieves the upstream, although its chat loses the cached
    // context as with a long request. Long requests make up most of the load but are few.
    double shortOutputThreshold = 1.18;

    // Requests are indivisible, so an upstream may exceed the mean by the larger of this value and the
    // request's own tokens, whatever the bound. The slack takes effect only where the mean is below
    // slack / (loadBound - 1).
    std::int64_t slackTokens = 8192;

    // Older reports are treated as missing.
    std::chrono::milliseconds reportLifetime { 10000 };
};

// Returns the settings of a strategy: "balanced", "skew" (spills chats early, for an even load) or "reuse"
// (keeps chats at their upstream until its load is close to the bound). `loadBound` scales the thresholds.
// Empty for an unknown name.
std::optional<PlacementSettings> placementSettings(std::string_view strategy, double loadBound = 1.25);

// Chooses the upstream of one request. A decision depends only on the arguments, not on the order of the
// upstreams, and never names an upstream that is draining or unusable.
class Placement {
public:
    Placement() = default;
    Placement(const Placement&) = delete;
    Placement& operator=(const Placement&) = delete;
    virtual ~Placement() = default;

    virtual PlacementDecision decide(const PlacementRequest&, std::span<const UpstreamView>) const = 0;
};

enum class PlacementKind {
    BoundedRendezvous, // the policy that routers use
    Rendezvous, // this and the following are baselines for comparison
    BoundedRing,
    TwoChoices,
    LeastLoaded,
};

std::string_view placementKindName(PlacementKind);

std::unique_ptr<Placement> makePlacement(PlacementKind, const PlacementSettings&);

} // namespace briarwharf
