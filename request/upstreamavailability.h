#pragma once

#include "base/time.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

namespace briarwharf {

struct UpstreamAvailabilityOptions {
    // A lifetime that has disappeared from the list is remembered for this long: a store that comes back from
    // an older copy lists it again.
    Milliseconds retention { 600000 };
    // Longer pauses are cut to this.
    Milliseconds maxPause { std::chrono::hours(365 * 24) };
    // A pause that ends later than the one before by less than this is no news.
    Milliseconds significantChange { 500 };
};

// What upstreams have stated in their answers to this instance, whatever the directory lists. A statement
// holds for one lifetime of an upstream, which is identified by the hash of the upstream's id and start time.
//
//   availability.setLeaving(upstream);              // it takes no new request from now on
//   availability.pause(upstream, duration, now);    // it takes none for this time
//   if (!availability.isLeaving(upstream) && !availability.isPaused(upstream, now)) ... it may be chosen
class UpstreamAvailability {
public:
    explicit UpstreamAvailability(UpstreamAvailabilityOptions options = {});

    // Returns whether the upstream had not stated it before.
    bool setLeaving(std::uint32_t upstream);
    bool isLeaving(std::uint32_t upstream) const;

    // Another upstream answered at the address: the directory's entry is out of date. Returns whether this
    // was not known before.
    bool setStale(std::uint32_t upstream);
    bool isStale(std::uint32_t upstream) const;
    // The directory lists the same lifetime with another address.
    void setMoved(std::uint32_t upstream);

    // The upstream takes no request from this instance until the latest end of its pauses. Returns whether
    // that end changed significantly.
    bool pause(std::uint32_t upstream, Milliseconds duration, MonotonicTime now);
    bool isPaused(std::uint32_t upstream, MonotonicTime now) const;
    // Rounded up; 0: it is not paused.
    Milliseconds pauseLeft(std::uint32_t upstream, MonotonicTime now) const;

    // The lifetimes that the directory lists now.
    void setUpstreams(std::span<const std::uint32_t>, MonotonicTime now);
    void forget(std::uint32_t upstream) { m_statements.erase(upstream); }

    // Only those that are listed.
    std::size_t leavingUpstreams() const;
    std::size_t staleUpstreams() const;
    std::size_t pausedUpstreams(MonotonicTime now) const;

private:
    struct Statement {
        bool leaving = false;
        bool stale = false;
        MonotonicTime pausedUntil;
        std::optional<MonotonicTime> unlistedSince; // empty: the directory lists the upstream
    };

    UpstreamAvailabilityOptions m_options;
    std::unordered_map<std::uint32_t, Statement> m_statements;
};

} // namespace briarwharf
