#include "base/base.h"
#include "request/request.h"
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace briarwharf;

namespace {

constexpr MonotonicTime start { std::chrono::hours(1) };

MonotonicTime at(int milliseconds) { return start + Milliseconds(milliseconds); }

AdmissionRequest entry(AdmissionTicket ticket, const std::string& organisation,
    RequestClass requestClass = RequestClass::Short, std::int64_t tokens = 100)
{
    AdmissionRequest request;
    request.ticket = ticket;
    request.organisation = organisation;
    request.requestClass = requestClass;
    request.tokens = tokens;
    return request;
}

// Refuses the organisation "surging" and allows all others.
class BlockedOrganisation : public RateAllowance {
public:
    bool tryTake(std::string_view organisation, std::int64_t, MonotonicTime) override
    {
        return organisation != "surging";
    }

    Milliseconds retryAfter(std::string_view, std::int64_t, MonotonicTime) const override
    {
        return Milliseconds(7000);
    }
};

} // namespace

TEST_CASE("classification uses the estimated work")
{
    CHECK(classify(300, 212) == RequestClass::Short);
    CHECK(classify(300, 213) == RequestClass::Long);
    CHECK(classify(300, 213, 1000) == RequestClass::Short);
}

// Guards against head-of-line blocking, which occurs if long requests take the slots that are reserved for
// short ones.
TEST_CASE("a short request runs at once although long ones fill their slots and wait")
{
    Admission admission({ 4, 1 }, nullptr);
    for (AdmissionTicket ticket = 1; ticket <= 5; ++ticket) {
        auto events = admission.submit(entry(ticket, "saqib", RequestClass::Long, 5000), at(0));
        CHECK(events.front().outcome == (ticket <= 3 ? AdmissionOutcome::Run : AdmissionOutcome::Queued));
    }
    CHECK(admission.submit(entry(6, "saqib"), at(0)).front().outcome == AdmissionOutcome::Run);
    CHECK(admission.submit(entry(7, "saqib"), at(0)).front().outcome == AdmissionOutcome::Queued);
    admission.finished(1, at(10));
    auto events = admission.poll(at(10));
    REQUIRE(events.size() == 1);
    CHECK(events.front().ticket == 7);
}

// Guards against starvation of long requests by an endless sequence of short ones.
TEST_CASE("long requests get their share of the work while both classes wait")
{
    AdmissionSettings settings { 2, 0, 0.3, 1000, 1000, Milliseconds(1000000) };
    Admission admission(settings, nullptr);
    std::map<AdmissionTicket, RequestClass> classes;
    std::map<RequestClass, double> work;
    std::vector<AdmissionTicket> running;
    AdmissionTicket ticket = 0;
    auto handle = [&](const std::vector<AdmissionEvent>& events) {
        for (const AdmissionEvent& event : events) {
            if (event.outcome != AdmissionOutcome::Run)
                continue;
            running.push_back(event.ticket);
            work[classes[event.ticket]] += classes[event.ticket] == RequestClass::Long ? 3000 : 100;
        }
    };
    for (int round = 0; round < 3000; ++round) {
        while (admission.waiting(RequestClass::Short) < 10) {
            classes[++ticket] = RequestClass::Short;
            handle(admission.submit(entry(ticket, "a"), at(round)));
        }
        while (admission.waiting(RequestClass::Long) < 10) {
            classes[++ticket] = RequestClass::Long;
            handle(admission.submit(entry(ticket, "b", RequestClass::Long, 3000), at(round)));
        }
        admission.finished(running.front(), at(round));
        running.erase(running.begin());
        handle(admission.poll(at(round)));
    }
    double share = work[RequestClass::Long] / (work[RequestClass::Long] + work[RequestClass::Short]);
    CHECK(share > 0.25);
    CHECK(share < 0.4);
}

// Guards against an organisation that fills the queue and so delays or displaces the requests of others.
TEST_CASE("an organisation that surges delays its own requests, and they are displaced first")
{
    AdmissionSettings settings { 1, 0, 0.3, 8, 8 };
    Admission admission(settings, nullptr);
    admission.submit(entry(100, "surging"), at(0));
    for (AdmissionTicket ticket = 1; ticket <= 8; ++ticket)
        CHECK(admission.submit(entry(ticket, "surging"), at(0)).front().outcome == AdmissionOutcome::Queued);
    AdmissionEvent refused = admission.submit(entry(9, "surging"), at(0)).front();
    CHECK(refused.outcome == AdmissionOutcome::QueueFull);
    CHECK(refused.retryAfter >= Milliseconds(1000));

    auto events = admission.submit(entry(10, "quiet"), at(1));
    REQUIRE(events.size() == 2);
    CHECK(events[0].outcome == AdmissionOutcome::Queued);
    CHECK(events[1].ticket == 8);
    CHECK(events[1].outcome == AdmissionOutcome::QueueFull);

    admission.finished(100, at(2));
    auto next = admission.poll(at(2));
    REQUIRE(next.size() == 1);
    CHECK(next.front().ticket == 10);
}

TEST_CASE("organisations share in proportion to their weights")
{
    AdmissionSettings settings { 1, 0, 0.3, 1000, 500, Milliseconds(1000000) };
    Admission admission(settings, nullptr);
    for (AdmissionTicket ticket = 1; ticket <= 400; ++ticket) {
        AdmissionRequest request = entry(ticket, ticket % 2 == 0 ? "heavy" : "light");
        request.weight = ticket % 2 == 0 ? 3 : 1;
        admission.submit(request, at(0));
    }
    int heavy = 0;
    AdmissionTicket running = 1;
    for (int round = 0; round < 200; ++round) {
        admission.finished(running, at(round));
        running = admission.poll(at(round)).front().ticket;
        heavy += running % 2 == 0 ? 1 : 0;
    }
    CHECK(heavy >= 148);
    CHECK(heavy <= 152);
}

TEST_CASE("waiting requests are rejected at their deadline, requests over the allowance at once")
{
    Admission admission({ 1, 0 }, nullptr);
    admission.submit(entry(1, "a"), at(0));
    AdmissionRequest urgent = entry(2, "a");
    urgent.deadline = at(300);
    admission.submit(urgent, at(0));
    admission.submit(entry(3, "a"), at(0));
    CHECK(admission.nextDeadline() == at(300));
    auto events = admission.poll(at(300));
    REQUIRE(events.size() == 1);
    CHECK(events.front().ticket == 2);
    CHECK(events.front().outcome == AdmissionOutcome::DeadlinePassed);
    CHECK(admission.poll(at(5000)).front().ticket == 3);
    CHECK(admission.submit(urgent, at(301)).front().outcome == AdmissionOutcome::DeadlinePassed);

    BlockedOrganisation allowance;
    Admission limited({ 1, 0 }, &allowance);
    AdmissionEvent refused = limited.submit(entry(1, "surging"), at(0)).front();
    CHECK(refused.outcome == AdmissionOutcome::OverRate);
    CHECK(refused.retryAfter == Milliseconds(7000));
    CHECK(limited.submit(entry(2, "quiet"), at(0)).front().outcome == AdmissionOutcome::Run);
}

TEST_CASE("a request that found no upstream returns to the head of its queue")
{
    Admission admission({ 1, 0 }, nullptr);
    admission.submit(entry(1, "a"), at(0));
    admission.submit(entry(2, "a"), at(0));
    admission.requeue(1, at(10));
    CHECK(admission.running(RequestClass::Short) == 0);
    CHECK(admission.poll(at(10)).front().ticket == 1);
    admission.cancel(2);
    CHECK(admission.waiting(RequestClass::Short) == 0);
    admission.submit(entry(3, "a"), at(20));
    CHECK(admission.rejectAll(at(21)).front().ticket == 3);
}

// Guards against a request that gets no final outcome, two of them, or a slot beyond the limit, in any
// sequence of calls.
TEST_CASE("every request gets one final outcome and the slots are never exceeded")
{
    CHECK(rc::check("conservation", [](const std::vector<std::uint8_t>& steps) {
        Admission admission({ 3, 1, 0.3, 4, 3, Milliseconds(50) }, nullptr);
        std::set<AdmissionTicket> waiting;
        std::set<AdmissionTicket> running;
        auto handle = [&](const std::vector<AdmissionEvent>& events) {
            for (const AdmissionEvent& event : events) {
                if (event.outcome == AdmissionOutcome::Queued)
                    continue;
                RC_ASSERT(waiting.erase(event.ticket) == 1);
                if (event.outcome == AdmissionOutcome::Run)
                    running.insert(event.ticket);
            }
        };
        AdmissionTicket ticket = 0;
        int time = 0;
        for (std::uint8_t step : steps) {
            time += step % 16;
            if (step < 160) {
                waiting.insert(++ticket);
                handle(admission.submit(entry(ticket, std::string(1, static_cast<char>('a' + step % 3)),
                                            step % 2 == 0 ? RequestClass::Short : RequestClass::Long),
                    at(time)));
            } else if (!running.empty()) {
                AdmissionTicket done = *running.begin();
                running.erase(done);
                if (step % 4 == 0) {
                    waiting.insert(done);
                    admission.requeue(done, at(time));
                } else {
                    admission.finished(done, at(time));
                }
                handle(admission.poll(at(time)));
            }
            RC_ASSERT(running.size() <= 3);
            RC_ASSERT(admission.running(RequestClass::Long) <= 2);
        }
        handle(admission.rejectAll(at(time)));
        RC_ASSERT(waiting.empty());
    }));
}

TEST_CASE("retries stay within the budget's ratio to live traffic")
{
    RetryBudget budget({ 0.1, 1, std::chrono::seconds(10) }, at(0));
    RetrySituation situation { true, Outcome::Unknown, false, at(100000000) };
    int retries = 0;
    for (int request = 0; request < 10000; ++request) {
        budget.requestStarted(at(request * 10));
        retries += budget.tryRetry(situation, at(request * 10)) == RetryVerdict::Allowed ? 1 : 0;
    }
    CHECK(retries > 1000); // a tenth of 10,000 requests, plus one per second over 100 s
    CHECK(retries < 1150);
    CHECK(budget.tryRetry(situation, at(100000)) == RetryVerdict::BudgetSpent);
    CHECK(budget.tryRetry(situation, at(102000)) == RetryVerdict::Allowed);
}

// Guards against a second run of a call that is not repeatable, and against a second answer to a caller who
// has received the first byte of another.
TEST_CASE("a retry needs a repeatable request or one not run, no byte sent to the caller, and time left")
{
    RetryBudget budget({}, at(0));
    MonotonicTime far = at(60000);
    CHECK(budget.tryRetry({ false, Outcome::Unknown, false, far }, at(0)) == RetryVerdict::NotRepeatable);
    CHECK(budget.tryRetry({ true, Outcome::Unknown, true, far }, at(0)) == RetryVerdict::BytesSentToCaller);
    CHECK(
        budget.tryRetry({ true, Outcome::Unknown, false, at(10) }, at(0)) == RetryVerdict::DeadlineTooClose);
    CHECK(budget.tryRetry({ false, Outcome::NotRun, false, far }, at(0)) == RetryVerdict::Allowed);
}

// Guards against reporting "not run" for a call of which the upstream may have received a byte (G3).
TEST_CASE("the outcome follows from the facts about the attempts")
{
    CHECK(deriveOutcome({ 0, false, false, false }) == Outcome::NotRun);
    CHECK(deriveOutcome({ 1, false, false, false }) == Outcome::Unknown);
    CHECK(deriveOutcome({ 90, true, false, false }) == Outcome::Completed);
    CHECK(deriveOutcome({ 90, true, true, false }) == Outcome::NotRun);
    CHECK(deriveOutcome({ 90, false, true, false }) == Outcome::Unknown); // truncated answer
    CHECK(deriveOutcome({ 0, false, false, true }) == Outcome::Unknown);
    CHECK(deriveOutcome({ 90, true, true, true }) == Outcome::Unknown);
    CHECK(deriveOutcome({ 90, true, false, true }) == Outcome::Completed);
    CHECK(outcomeName(Outcome::NotRun) == "not-run");
}
