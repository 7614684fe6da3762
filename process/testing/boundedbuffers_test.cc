// Answers without end, of many requests at once.

#include "base/base.h"
#include "process/testing/forwardfixture.h"
#include <algorithm>

#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

const std::string large(500 * 1024, 'x'); // less than what ends a single answer or event

// A part of an answer that is kept until it is whole; nothing follows.
Script unfinished(const ScriptedRequest& request)
{
    bool isStream = request.head.target.rfind("/ask/", 0) == 0;
    std::string out = isStream ? streamHead(request) : upstreamAnswer(request, 200, std::string(1, 'x'));
    if (isStream) {
        appendChunk(out, "data: " + large);
    } else {
        std::string field = "Content-Length: ";
        out.replace(out.find(field), field.size() + 1, field + std::to_string(2 * large.size()));
        out += large;
    }
    return { ScriptStep::send(out), ScriptStep::silence() };
}

} // namespace

// Guards against processes that run out of memory because faulty upstreams answer many requests without end,
// each below the limit of one answer (reported by another operator).
TEST_CASE("unfinished answers of all requests together stay within a bound, and sound requests are served")
{
    const std::size_t bound = ForwarderSettings {}.maxBufferedBytes;
    for (std::string target : { "/ask/x", "/once/x" }) {
        CAPTURE(target);
        ForwardFixture fixture;
        fixture.addUpstream("desk-1", [](const ScriptedRequest& request) {
            if (request.head.target == "/book/sound")
                return Script { ScriptStep::send(upstreamAnswer(request, 200, "ok")) };
            return unfinished(request);
        });
        ForwardDaemon& daemon = fixture.startDaemon();
        std::size_t requests = 2 * bound / large.size();
        std::vector<std::shared_ptr<CallerAnswer>> answers;
        while (answers.size() < requests)
            answers.push_back(fixture.send(daemon, target, "x"));
        std::size_t most = 0;
        auto ended = [&] {
            most = std::max(most, daemon.forwarder().bufferedBytes());
            return std::count_if(answers.begin(), answers.end(), [](const auto& a) { return a->done(); });
        };
        constexpr std::ptrdiff_t tolerance = 4;
        fixture.runUntil([&] { return ended() >= static_cast<std::ptrdiff_t>(requests / 2) - tolerance; });
        constexpr std::size_t smallAnswerBytes = 8 * 1024; // kept in any case
        CHECK(most <= bound + requests * smallAnswerBytes);
        CHECK(fixture.call(daemon, "/book/sound", "x")->body == "ok");
        for (const auto& answer : answers)
            CHECK((!answer->done() || answer->head.status == 502));
    }
}

// Guards against a sum that counts buffers of requests that have ended.
TEST_CASE("the sum of unfinished answers falls to zero with their requests")
{
    ForwardFixture fixture;
    fixture.addUpstream("desk-1", unfinished);
    ForwardDaemon& daemon = fixture.startDaemon();
    const std::string deadline = "X-Briarwharf-Deadline-Ms: 500\r\n";
    for (const char* target : { "/ask/x", "/once/x", "/chat/x", "/read/x" })
        fixture.call(daemon, target, "x", deadline);
    fixture.runUntil([&] { return daemon.forwarder().requestsInProgress() == 0; });
    CHECK(fixture.call(daemon, "/none", "x")->head.status == 404);
    CHECK(daemon.forwarder().bufferedBytes() == 0);
}
