#include "coordination/coordination.h"
#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

using Segments = std::vector<std::uint64_t>;

constexpr std::uint64_t bad = 100;

struct EvidenceFixture {
    CrashEvidence evidence;
    MonotonicTime now { std::chrono::hours(1) };
    std::uint32_t crashes = 0;

    void crash(const Segments& segments)
    {
        ++crashes;
        for (std::uint64_t segment : segments)
            evidence.add(SegmentCrash { segment, crashes, now });
    }

    void answer(const Segments& segments)
    {
        for (std::uint64_t segment : segments)
            evidence.add(SegmentAnswer { segment, now });
    }

    // Upstreams that end together, the segment waits at the first ones.
    void outage(std::uint64_t segment, std::size_t with, std::size_t all)
    {
        for (std::size_t upstream = 0; upstream < all; ++upstream)
            crash({ upstream < with ? segment : noSegment });
    }

    void pass(Milliseconds duration) { now += duration; }

    std::vector<Segments> suspects() const
    {
        std::vector<Segments> result;
        for (const SuspectGroup& group : evidence.suspects(now))
            result.push_back(group.segments);
        return result;
    }
};

} // namespace

// Guards against refusing sound prompts: those that waited at the same upstreams or share a segment with the
// one that crashes them.
TEST_CASE_FIXTURE(
    EvidenceFixture, "of all segments at three crashes only the one without an answer is suspect")
{
    for (std::uint64_t round = 0; round < 3; ++round) {
        crash({ 1, bad, 50 + round }); // 1 is shared with sound prompts, the others waited there
        pass(Milliseconds(400));
        answer({ 1, 60 + round });
        pass(Milliseconds(400));
    }
    CHECK(suspects() == std::vector<Segments> { { bad } });
    answer({ bad });
    CHECK(suspects().empty());
}

// Guards against blaming a popular segment for a failure of many upstreams at once.
TEST_CASE_FIXTURE(
    EvidenceFixture, "upstreams that crash together accuse a segment only if it stays unanswered")
{
    for (int upstream = 0; upstream < 8; ++upstream) {
        crash({ bad });
        pass(Milliseconds(10));
    }
    CHECK(suspects().empty());
    pass(Milliseconds(1200));
    CHECK(suspects() == std::vector<Segments> { { bad } });

    EvidenceFixture sound;
    for (int upstream = 0; upstream < 8; ++upstream)
        sound.crash({ 7 });
    sound.pass(Milliseconds(900));
    sound.answer({ 7 });
    sound.pass(Milliseconds(900));
    CHECK(sound.suspects().empty());
}

// Guards against a sound segment that stays refused because it has only occurred beside the bad one.
TEST_CASE_FIXTURE(
    EvidenceFixture, "segments that always crash together are refused together, until one is cleared")
{
    for (int round = 0; round < 3; ++round) {
        crash({ 1, bad });
        pass(Milliseconds(500));
    }
    CHECK(suspects() == std::vector<Segments> { { 1, bad } });
    crash({ 2, bad }); // a prompt without 1 is admitted
    CHECK(suspects() == std::vector<Segments> { { bad } });
}

// Guards against evidence that reaches the instances in another order and then counts twice or not at all.
TEST_CASE_FIXTURE(EvidenceFixture, "a crash counts once, and not if an answer began after it")
{
    SegmentCrash early { bad, 1, now };
    CHECK(evidence.add(early));
    CHECK_FALSE(evidence.add(early));
    pass(Milliseconds(1000));
    answer({ bad });
    CHECK_FALSE(evidence.add(SegmentCrash { bad, 2, now - Milliseconds(500) }));
    CHECK(evidence.add(SegmentCrash { bad, 3, now + Milliseconds(500) }));
}

// Guards against memory that grows with the number of segments, and against a suspect that is forgotten while
// its requests may still come.
TEST_CASE_FIXTURE(
    EvidenceFixture, "the number of segments is bounded, those with the least evidence go first")
{
    for (int round = 0; round < 3; ++round) {
        crash({ bad });
        pass(Milliseconds(500));
    }
    for (std::uint64_t segment = 1000; segment < 11000; ++segment)
        crash({ segment });
    CHECK(evidence.size() == CrashEvidenceOptions {}.maxSegments);
    CHECK(suspects() == std::vector<Segments> { { bad } });
    pass(std::chrono::hours(1));
    evidence.expire(now);
    CHECK(evidence.size() == 1);
    pass(std::chrono::hours(24));
    evidence.expire(now);
    CHECK(evidence.empty());
}

// Guards against refusing every request of a route after an outage of its upstreams: nearly all share a
// segment, which waited at each of these.
TEST_CASE_FIXTURE(EvidenceFixture, "a segment that was answered before is not suspect after outages of all")
{
    crash({ 7 });
    pass(Milliseconds(500));
    answer({ 7 });
    for (int round = 0; round < 4; ++round) {
        pass(Milliseconds(1500));
        outage(7, 6, 6);
        pass(Milliseconds(1300));
        CHECK(suspects().empty());
    }
}

// Guards against such a segment being refused for minutes if it is suspected nonetheless.
TEST_CASE_FIXTURE(
    EvidenceFixture, "the term grows from seconds with the incidents that only the segment explains")
{
    outage(bad, 3, 3);
    pass(Milliseconds(1200));
    REQUIRE(suspects().size() == 1);
    auto termAfterLastCrash = [&] {
        SuspectGroup group = evidence.suspects(now).at(0);
        return toMilliseconds(group.termEnd - group.lastCrash);
    };
    CHECK(termAfterLastCrash() == Milliseconds(1500));
    pass(Milliseconds(2000));
    crash({ bad });
    CHECK(termAfterLastCrash() == Milliseconds(1500));
    pass(Milliseconds(2000));
    crash({ bad });
    CHECK(termAfterLastCrash() == std::chrono::minutes(1));
    pass(std::chrono::minutes(1));
    crash({ bad });
    CHECK(termAfterLastCrash() == std::chrono::minutes(5));
    for (int round = 0; round < 10; ++round) {
        pass(std::chrono::minutes(1));
        crash({ bad });
    }
    CHECK(termAfterLastCrash() == std::chrono::hours(6));
}

// Guards against blaming a segment for upstreams that end with others at which it did not wait.
TEST_CASE_FIXTURE(
    EvidenceFixture, "an incident counts for the share of its upstreams at which the segment waited")
{
    for (int round = 0; round < 3; ++round) {
        outage(7, 1, 6);
        pass(Milliseconds(1000));
    }
    CHECK(suspects().empty());
    for (int round = 0; round < 3; ++round) {
        crash({ bad });
        pass(Milliseconds(500));
    }
    CHECK(suspects() == std::vector<Segments> { { bad } });
}

// Guards against a segment that crashes upstreams in quick succession and counts as an outage, although
// others are answered between the crashes.
TEST_CASE_FIXTURE(EvidenceFixture, "crashes with an answer between them are separate incidents")
{
    for (int round = 0; round < 3; ++round) {
        crash({ 1, bad });
        pass(Milliseconds(15));
        answer({ 1 });
        pass(Milliseconds(15));
    }
    REQUIRE(suspects() == std::vector<Segments> { { bad } });
    CHECK(evidence.suspects(now)[0].isStrong);
}

// Guards against evidence that grows when the ends of the other upstreams are forgotten first.
TEST_CASE_FIXTURE(EvidenceFixture, "old crashes of a segment without a strong suspicion are forgotten")
{
    for (int round = 0; round < 6; ++round) {
        outage(7, 1, 4);
        pass(std::chrono::minutes(4));
        evidence.expire(now);
        CHECK(suspects().empty());
    }
}

// Guards against memory that grows with the segments that are answered.
TEST_CASE("recent answers are bounded in number and in time")
{
    RecentAnswersOptions options;
    options.maxSegments = 100;
    RecentAnswers answers(options);
    MonotonicTime start { std::chrono::hours(1) };
    for (std::uint64_t segment = 0; segment < 1000; ++segment) {
        answers.add(1, start + Milliseconds(segment));
        answers.add(2000 + segment, start + Milliseconds(segment));
    }
    CHECK(answers.size() == 100);
    CHECK(answers.latest(1) == start + Milliseconds(999));
    CHECK(answers.latest(2999));
    CHECK_FALSE(answers.latest(2000));
    answers.expire(start + std::chrono::seconds(40));
    CHECK(answers.size() == 0);
}
