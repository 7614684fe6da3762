#include "request/upstreamavailability.h"

#include <doctest/doctest.h>
#include <vector>

using namespace briarwharf;

namespace {

constexpr MonotonicTime start { std::chrono::hours(1) };
constexpr std::uint32_t desk1 = 1;
constexpr std::uint32_t desk1Restarted = 2;
constexpr std::uint32_t desk2 = 3;

} // namespace

// Guards against a mark that ends early, or that another lifetime inherits.
TEST_CASE("one lifetime of an upstream leaves, whatever lists follow")
{
    UpstreamAvailability availability;
    CHECK_FALSE(availability.isLeaving(desk1));
    CHECK(availability.setLeaving(desk1));
    CHECK_FALSE(availability.setLeaving(desk1));
    CHECK(availability.isLeaving(desk1));
    CHECK_FALSE(availability.isLeaving(desk1Restarted));
    CHECK_FALSE(availability.isLeaving(desk2));
    availability.setUpstreams(std::vector<std::uint32_t> { desk1, desk2 }, start + std::chrono::hours(9));
    CHECK(availability.isLeaving(desk1));
    CHECK(availability.leavingUpstreams() == 1);
}

// Guards against use of an upstream that a store lists again after it came back from an older copy, and
// against marks that are kept for ever.
TEST_CASE("a lifetime that disappeared from the list is remembered for the retention time")
{
    UpstreamAvailability availability({ Milliseconds(10000) });
    availability.setLeaving(desk1);
    std::vector<std::uint32_t> with { desk1, desk2 };
    std::vector<std::uint32_t> without { desk2 };
    availability.setUpstreams(without, start);
    CHECK(availability.leavingUpstreams() == 0);
    availability.setUpstreams(with, start + Milliseconds(9000));
    CHECK(availability.isLeaving(desk1));
    CHECK(availability.leavingUpstreams() == 1);
    availability.setUpstreams(without, start + Milliseconds(20000));
    availability.setUpstreams(without, start + Milliseconds(29000));
    CHECK(availability.isLeaving(desk1));
    availability.setUpstreams(with, start + Milliseconds(30000));
    CHECK_FALSE(availability.isLeaving(desk1));
}

// Guards against requests before the end of a pause, and against upstreams that stay out of use after it.
TEST_CASE("a pause lasts to its end, and the latest end of several counts")
{
    UpstreamAvailability availability;
    CHECK(availability.pause(desk1, Milliseconds(2000), start));
    CHECK(availability.isPaused(desk1, start));
    CHECK_FALSE(availability.isPaused(desk1Restarted, start));
    CHECK_FALSE(availability.isLeaving(desk1));
    CHECK(availability.pauseLeft(desk1, start + Milliseconds(500)) == Milliseconds(1500));
    CHECK(availability.pausedUpstreams(start) == 1);
    CHECK_FALSE(availability.pause(desk1, Milliseconds(100), start + Milliseconds(500)));
    CHECK(availability.pauseLeft(desk1, start + Milliseconds(500)) == Milliseconds(1500));
    CHECK_FALSE(availability.pause(desk1, Milliseconds(2000), start + Milliseconds(10)));
    CHECK(availability.isPaused(desk1, start + Milliseconds(2009)));
    CHECK(availability.pause(desk1, Milliseconds(2000), start + Milliseconds(1000)));
    CHECK(availability.isPaused(desk1, start + Milliseconds(2999)));
    CHECK_FALSE(availability.isPaused(desk1, start + Milliseconds(3000)));
    CHECK(availability.pausedUpstreams(start + Milliseconds(3000)) == 0);
    CHECK(availability.pause(desk1, Milliseconds(100), start + Milliseconds(3000)));
}

// Guards against overflow of the time at which a pause ends.
TEST_CASE("no pause is longer than the maximum, and none is shorter than nothing")
{
    UpstreamAvailability availability;
    CHECK_FALSE(availability.pause(desk1, Milliseconds(0), start));
    CHECK_FALSE(availability.pause(desk1, Milliseconds(-5), start));
    CHECK(availability.pausedUpstreams(start) == 0);
    CHECK(availability.pause(desk1, Milliseconds::max(), start));
    CHECK(availability.isPaused(desk1, start + std::chrono::hours(24)));
    CHECK(availability.pauseLeft(desk1, start) == UpstreamAvailabilityOptions {}.maxPause);
}

// Guards against a pause that takes an upstream out of use for good, and the reverse.
TEST_CASE("an upstream that pauses may leave meanwhile")
{
    UpstreamAvailability availability;
    availability.pause(desk1, Milliseconds(1000), start);
    CHECK(availability.setLeaving(desk1));
    CHECK(availability.isPaused(desk1, start));
    CHECK(availability.isLeaving(desk1));
    CHECK_FALSE(availability.isPaused(desk1, start + Milliseconds(1000)));
}

// Guards against a mark that follows an upstream without a start time through its restarts.
TEST_CASE("a lifetime can be forgotten")
{
    UpstreamAvailability availability;
    availability.setLeaving(desk1);
    availability.setLeaving(desk2);
    availability.forget(desk1);
    CHECK_FALSE(availability.isLeaving(desk1));
    CHECK(availability.isLeaving(desk2));
}

// Guards against use of an entry at whose address another upstream answers, and against a mark that outlives
// the entry.
TEST_CASE("a stale entry stays unused until the directory shows another lifetime or address")
{
    UpstreamAvailability availability;
    CHECK_FALSE(availability.isStale(desk1));
    CHECK(availability.setStale(desk1));
    CHECK_FALSE(availability.setStale(desk1));
    availability.setUpstreams(std::vector<std::uint32_t> { desk1, desk2 }, start + std::chrono::hours(9));
    CHECK(availability.isStale(desk1));
    CHECK(availability.staleUpstreams() == 1);
    CHECK_FALSE(availability.isLeaving(desk1));
    CHECK_FALSE(availability.isStale(desk1Restarted));
    availability.setMoved(desk1);
    CHECK_FALSE(availability.isStale(desk1));
}
