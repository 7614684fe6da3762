// Answers of forwarded routes that are no answers in the protocol, for each kind of route.

#include "connection/testing/brokenanswers.h"
#include "connection/testing/earlyanswerserver.h"
#include "process/testing/forwardfixture.h"
#include <doctest/doctest.h>
#include <string>

using namespace briarwharf;

namespace {

constexpr const char* targets[] { "/book/x", "/read/x", "/chat/x" }; // at most once, repeatable, stream

std::string signedFields(const std::string& identifier)
{
    return "X-Briarwharf-Request-Id: " + identifier + "\r\nX-Briarwharf-Signature: signed\r\n";
}

std::string eventFields(const std::string& target)
{
    return target == std::string("/chat/x") ? "Content-Type: text/event-stream\r\n" : "";
}

// Whether the caller got a failure of the daemon's own.
bool isOwnFailure(const CallerAnswer& answer)
{
    return answer.complete && answer.head.status == 502
        && answer.body.find("upstream_failed") != std::string::npos && !answer.head.fields.has("X-One")
        && !answer.head.fields.has("X-Briarwharf-Signature");
}

} // namespace

// Guards against bytes of an upstream in trouble that callers get as an answer, and requests that callers are
// told have not run.
TEST_CASE("MIXED: a caller never gets an answer that is broken in any part")
{
    ForwardFixture fixture;
    BrokenAnswer broken;
    std::string target;
    ScriptStep end = ScriptStep::close();
    fixture.addUpstream("desk-1", [&](const ScriptedRequest& request) {
        std::string identifier(request.head.fields.find("X-Briarwharf-Request-Id"));
        return Script { ScriptStep::send(broken.bytes(signedFields(identifier) + eventFields(target))), end };
    });
    ForwardDaemon& daemon = fixture.startDaemon();
    for (const BrokenAnswer& answer : brokenAnswers()) {
        for (const char* path : targets) {
            for (const ScriptStep& step : { ScriptStep::close(), ScriptStep::reset() }) {
                CAPTURE(answer.what);
                CAPTURE(path);
                broken = answer;
                target = path;
                end = step;
                CHECK(isOwnFailure(*fixture.call(daemon, path, "deposit")));
            }
        }
    }
}

// Guards against a part of an answer that callers get as the whole: the upstream answers a long upload at
// once, without a length, and gives up while the upload is being sent.
TEST_CASE("MIXED: a caller never gets a part of an answer that is reset during the upload")
{
    for (const char* target : targets) {
        for (EarlyEnd end : { EarlyEnd::Reset, EarlyEnd::CloseUnread, EarlyEnd::HalfCloseThenReset }) {
            CAPTURE(target);
            CAPTURE(static_cast<int>(end));
            EarlyAnswerServer server("HTTP/1.1 200 OK\r\n" + signedFields("request-1") + eventFields(target)
                    + "\r\nid: 1\ndata: a\n\n",
                end, 0);
            ForwardFixture fixture;
            fixture.addEntry("desk-1", server.endpoint());
            ForwardDaemon& daemon = fixture.startDaemon();
            auto answer = fixture.call(daemon, target, std::string(3000000, 'b'));
            bool looksWhole = answer->complete && answer->head.status == 200;
            CHECK_FALSE(looksWhole);
        }
    }
}

// Guards against the loss of an answer that is whole: the upstream ends its direction early and reads on.
TEST_CASE("a caller gets an answer without a length whose upstream reads the whole upload")
{
    for (EarlyEnd end : { EarlyEnd::HalfCloseThenRead, EarlyEnd::ReadThenClose }) {
        constexpr std::size_t bodyBytes = 3000000;
        EarlyAnswerServer server(
            "HTTP/1.1 200 OK\r\n" + signedFields("request-1") + "\r\nwhole", end, bodyBytes);
        ForwardFixture fixture;
        fixture.addEntry("desk-1", server.endpoint());
        ForwardDaemon& daemon = fixture.startDaemon();
        auto answer = fixture.call(daemon, "/book/x", std::string(bodyBytes, 'b'));
        CHECK(answer->complete);
        CHECK(answer->head.status == 200);
        CHECK(answer->body == "whole");
    }
}
