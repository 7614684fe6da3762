#include "base/base.h"
#include "process/testing/fleet.h"
#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

constexpr std::string_view endMark = "data: [DONE]";

bool isComplete(const ClientAnswer& answer)
{
    return answer.result.end == ExchangeEnd::Complete && answer.body.find(endMark) != std::string::npos;
}

std::string errorType(const ClientAnswer& answer)
{
    auto body = parseJson(answer.body, "answer");
    if (!body || !body.value().contains("error"))
        return "";
    return stringField(body.value()["error"], "type").value_or("");
}

// Returns the number of the engine whose request count changed since `counts` was last updated, and updates
// `counts`. -1: none has changed.
int engineOfLastRequest(FleetFixture& fleet, std::vector<std::uint64_t>& counts)
{
    int found = -1;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        std::uint64_t now = fleet.submittedRequests(i);
        if (now != counts[i])
            found = static_cast<int>(i);
        counts[i] = now;
    }
    return found;
}

} // namespace

// Guards against a chat that loses its cached context when its next request arrives at another instance.
TEST_CASE("a chat that returns through another instance is placed on the same engine")
{
    FleetFixture fleet(2, 3);
    std::vector<std::uint64_t> counts(3, 0);
    auto first = fleet.call(fleet.callerPort(0), fleet.chatRequest("c1", true, 6));
    CHECK(isComplete(*first));
    CHECK(FleetFixture::streamText(*first) == "answer w1 w2 w3 w4 end");
    CHECK(first->body.find(": outcome completed") != std::string::npos);
    int engine = engineOfLastRequest(fleet, counts);
    auto request = fleet.chatRequest("c1", false, 6);
    request.headers.push_back({ header::residence, first->header(header::residence) });
    auto second = fleet.call(fleet.callerPort(1), request);
    CHECK(second->header(header::outcome) == "completed");
    CHECK(engineOfLastRequest(fleet, counts) == engine);
    auto body = parseJson(second->body, "answer").value();
    CHECK(body["usage"]["prompt_tokens_details"]["cached_tokens"].get<int>() > 0);
}

// Guards against errors from which a caller cannot see what to correct and that nothing ran.
TEST_CASE("requests that cannot run are refused with a typed error and the outcome not-run")
{
    FleetFixture fleet(1, 1);
    struct Case {
        std::string name;
        int status;
        std::function<void(UpstreamRequest&)> change;
    };
    const std::vector<Case> cases {
        { "unknown_key", 401, [](auto& request) { request.headers[0].value = "Bearer wrong"; } },
        { "unknown_key", 401, [](auto& request) { request.headers.erase(request.headers.begin()); } },
        { "invalid_json", 400, [](auto& request) { request.body = "{"; } },
        { "invalid_request", 400, [](auto& request) { request.body = R"({"model":"model-1"})"; } },
        { "invalid_request", 400,
            [](auto& request) {
                request.body
                    = R"({"model":"model-1","messages":[{"role":"user","content":"x"}],"max_tokens":0})";
            } },
        { "unknown_model", 404,
            [](auto& request) {
                request.body = R"({"model":"m","messages":[{"role":"user","content":"x"}]})";
            } },
        { "unknown_path", 404, [](auto& request) { request.target = "/v2"; } },
        { "unknown_pool", 404, [](auto& request) { request.target = "/v1/services/nowhere/x"; } },
        { "method_not_allowed", 405, [](auto& request) { request.method = "PUT"; } },
        { "body_too_large", 413, [](auto& request) { request.body.assign(5 * 1024 * 1024, ' '); } },
        { "headers_too_large", 431,
            [](auto& request) {
                for (int i = 0; i < 10; ++i)
                    request.headers.push_back({ "X-Filler", std::string(4000, 'x') });
            } },
        { "deadline_exceeded", 504,
            [](auto& request) {
                request.headers.push_back({ header::deadline, "0" });
            } },
        { "invalid_request", 400,
            [](auto& request) {
                request.headers.push_back({ header::deadline, "soon" });
            } },
        { "missing_idempotency_key", 400,
            [](auto& request) { request.target = "/v1/services/desk/bookings"; } },
    };
    for (const auto& entry : cases) {
        auto request = fleet.chatRequest("c1", false, 4);
        entry.change(request);
        auto answer = fleet.call(fleet.callerPort(0), request);
        CHECK_MESSAGE(answer->status == entry.status, entry.name);
        CHECK(errorType(*answer) == entry.name);
        CHECK(answer->header(header::outcome) == "not-run");
        CHECK(answer->body.find("\"remedy\":\"\"") == std::string::npos);
    }
    CHECK(fleet.submittedRequests(0) == 0);
}

// Guards against a stream that looks complete although it was truncated, became silent or carried the answer
// of another request, and against lost or repeated tokens after a resume.
TEST_CASE("a stream with an upstream fault arrives complete or ends with an error")
{
    struct Case {
        std::string faults;
        bool arrivesComplete;
    };
    const std::vector<Case> cases {
        { R"({"silent_after":3,"count":1})", true }, // resumed at the same engine
        { R"({"truncate_after":3,"count":1})", true },
        { R"({"truncate_after":0,"count":1})", true }, // nothing was sent to the caller: retried
        { R"({"crossed":true,"count":1})", true },
        { R"({"crossed_after":3,"count":1})", true }, // the rest of the stream belongs to another request
        { R"({"refuse":true,"count":1})", true },
        { R"({"close":true,"count":1})", true },
        { R"({"silent":true,"count":1})", true },
        { R"({"status":500,"count":1})", true },
        { R"({"delay_ms":100,"count":1})", true },
        { R"({"truncate_after":2})",
            true }, // the stand-in applies it to first attempts only, so the resume completes
        { R"({"silent":true})", false },
        { R"({"crossed":true})", false },
    };
    for (const auto& entry : cases) {
        FleetFixture fleet(1, 2);
        // A stream in progress, whose text an answer with the fault "crossed" carries.
        auto other = fleet.send(fleet.callerPort(0), fleet.chatRequest("other", true, 400));
        CHECK(fleet.runUntil([&] { return !other->body.empty(); }));
        for (std::size_t i = 0; i < 2; ++i)
            fleet.setFaults(fleet.engine(i).port, entry.faults);
        auto answer = fleet.call(fleet.callerPort(0), fleet.chatRequest("c1", true, 8));
        CHECK_MESSAGE(isComplete(*answer) == entry.arrivesComplete, entry.faults);
        std::string text = FleetFixture::streamText(*answer);
        if (entry.arrivesComplete)
            CHECK_MESSAGE(text == "answer w1 w2 w3 w4 w5 w6 end", entry.faults);
        else
            CHECK_MESSAGE(std::string("answer w1 w2 w3 w4 w5 w6 end").rfind(text, 0) == 0, entry.faults);
        if (!entry.arrivesComplete)
            CHECK_MESSAGE(answer->body.find("\"error\"") != std::string::npos, entry.faults);
    }
}

// Guards against a partial answer that looks complete when its engine has stopped and no resume is possible.
TEST_CASE("a stream whose engine stops ends with an error after the text so far")
{
    FleetFixture fleet(1, 1);
    auto answer = fleet.send(fleet.callerPort(0), fleet.chatRequest("c1", true, 1000));
    CHECK(fleet.runUntil([&] { return FleetFixture::streamText(*answer).size() > 20; }));
    fleet.stopEngine(0);
    CHECK(fleet.runUntil([&] { return answer->finished; }));
    CHECK_FALSE(isComplete(*answer));
    CHECK(answer->body.find("\"type\":\"answer_truncated\"") != std::string::npos);
    CHECK(answer->body.find(": outcome unknown") != std::string::npos);
    CHECK(FleetFixture::streamText(*answer).rfind("answer w1 w2 w3", 0) == 0);
}

// Guards against the head and the text of an engine's error in the middle of a stream.
TEST_CASE("a stream that its engine no longer has when it is resumed ends with an error event")
{
    FleetFixture fleet(1, 1);
    fleet.setFaults(fleet.engine(0).port, R"({"silent_after":3,"count":1})");
    auto answer = fleet.send(fleet.callerPort(0), fleet.chatRequest("c1", true, 8));
    CHECK(fleet.runUntil([&] { return !answer->body.empty(); }));
    UpstreamRequest cancel;
    cancel.target = "/v1/streams/" + answer->header(header::requestId) + "/cancel";
    CHECK(fleet.call(fleet.engine(0).port, cancel)->status == 200);
    CHECK(fleet.runUntil([&] { return answer->finished; }));
    CHECK(answer->result.end == ExchangeEnd::Complete);
    CHECK_FALSE(isComplete(*answer));
    CHECK(std::string("answer w1 w2 w3 w4 w5 w6 end").rfind(FleetFixture::streamText(*answer), 0) == 0);
    CHECK(answer->body.find("not_found") == std::string::npos);
    CHECK(answer->body.find("\"type\":\"answer_truncated\"") != std::string::npos);
}

// Guards against forwarding an unstreamed answer that belongs to another request, is truncated, or is
// delimited only by the end of the connection.
TEST_CASE("an invalid unstreamed answer is retried on another engine or ends with an error")
{
    for (const std::string faults : { R"({"crossed":true})", R"({"truncate_after":0})",
             R"({"unframed":true})", R"({"close":true})", R"({"refuse":true})" }) {
        FleetFixture fleet(1, 2);
        auto other = fleet.send(fleet.callerPort(0), fleet.chatRequest("other", true, 400));
        CHECK(fleet.runUntil([&] { return !other->body.empty(); }));
        for (std::size_t i = 0; i < 2; ++i)
            fleet.setFaults(fleet.engine(i).port, faults);
        auto refused = fleet.call(fleet.callerPort(0), fleet.chatRequest("c1", false, 4));
        CHECK_MESSAGE(refused->status >= 500, faults);
        CHECK_MESSAGE(!errorType(*refused).empty(), faults);
        bool ran = faults.find("refuse") == std::string::npos;
        CHECK_MESSAGE(refused->header(header::outcome) == (ran ? "unknown" : "not-run"), faults);
        for (std::size_t i = 0; i < 2; ++i)
            fleet.setFaults(fleet.engine(i).port, "{}");
        auto answer = fleet.call(fleet.callerPort(0), fleet.chatRequest("c1", false, 4));
        CHECK_MESSAGE(answer->status == 200, faults);
        CHECK(answer->body.find("answer w1 w2 end") != std::string::npos);
    }
}

// Guards against a second run of a call that must run at most once, such as a payment.
TEST_CASE("a booking runs at most once, whichever instance receives the repeated request")
{
    FleetFixture fleet(3, 1);
    std::vector<ClientAnswerPointer> answers;
    for (std::size_t i = 0; i < 9; ++i)
        answers.push_back(fleet.send(fleet.callerPort(i % 3), fleet.bookingRequest("key-1", "{\"job\":1}")));
    CHECK(fleet.runUntil([&] {
        return std::all_of(
            answers.begin(), answers.end(), [](const auto& answer) { return answer->finished; });
    }));
    CHECK(fleet.bookingsRun() == 1);
    for (std::size_t i = 0; i < 3; ++i) {
        auto repeat = fleet.call(fleet.callerPort(i), fleet.bookingRequest("key-1", "{\"job\":1}"));
        CHECK(repeat->status == 200);
        CHECK(repeat->header(header::outcome) == "completed");
    }
    auto different = fleet.call(fleet.callerPort(0), fleet.bookingRequest("key-1", "{\"job\":2}"));
    CHECK(errorType(*different) == "idempotency_key_reused");
    CHECK(fleet.bookingsRun() == 1);
}

// Guards against repeating a call whose answer was lost, and against the outcome "not-run" for a call that
// ran.
TEST_CASE("a booking whose answer is lost ends with the outcome unknown and is not run again")
{
    for (const std::string faults : { R"({"close":true,"count":1})", R"({"silent":true,"count":1})",
             R"({"truncate_after":0,"count":1})" }) {
        FleetFixture fleet(2, 1);
        fleet.setFaults(fleet.servicePort(), faults);
        auto lost = fleet.call(fleet.callerPort(0), fleet.bookingRequest("key-1", "{}"));
        CHECK_MESSAGE(lost->header(header::outcome) == "unknown", faults);
        auto repeat = fleet.call(fleet.callerPort(1), fleet.bookingRequest("key-1", "{}"));
        CHECK_MESSAGE(repeat->header(header::outcome) == "unknown", faults);
        CHECK(errorType(*repeat) == "outcome_unknown");
        CHECK(fleet.bookingsRun() == 1);
    }
}

// Guards against a claim that is kept after the service refused the call, which would block its repeats.
TEST_CASE("a booking that the service refused did not run and may be repeated with its key")
{
    FleetFixture fleet(1, 1);
    fleet.setFaults(fleet.servicePort(), R"({"refuse":true,"count":1})");
    auto refused = fleet.call(fleet.callerPort(0), fleet.bookingRequest("key-1", "{}"));
    CHECK(refused->header(header::outcome) == "not-run");
    CHECK(fleet.bookingsRun() == 0);
    CHECK(fleet.runUntil(
        [&] { return fleet.call(fleet.callerPort(0), fleet.bookingRequest("key-1", "{}"))->status == 200; }));
    CHECK(fleet.bookingsRun() == 1);
}

// Guards against bookings that run without a durable claim, and against chats that fail without the store.
TEST_CASE("while the store is down, bookings are refused as not run and chats continue")
{
    FleetFixture fleet(2, 1);
    fleet.setFaults(fleet.storePort(), R"({"down":true})");
    auto booking = fleet.call(fleet.callerPort(0), fleet.bookingRequest("key-1", "{}"));
    CHECK(errorType(*booking) == "store_unavailable");
    CHECK(booking->header(header::outcome) == "not-run");
    CHECK(fleet.bookingsRun() == 0);
    CHECK(fleet.call(fleet.callerPort(1), fleet.chatRequest("c1", false, 4))->status == 200);
    CHECK(fleet.command(0, "DRAIN UPSTREAM engine-0")->status == 503);
}

// Guards against an engine that continues to generate an answer whose caller has disconnected.
TEST_CASE("when a caller disconnects, its engine stops generating")
{
    FleetFixture fleet(1, 1);
    auto request = fleet.chatRequest("c1", true, 100000);
    UpstreamClient client(fleet.base(), "127.0.0.1", fleet.callerPort(0));
    bool started = false;
    request.deadline = Milliseconds(30000);
    request.silenceTimeout = Milliseconds(30000);
    auto exchange = client.start(request, { nullptr, [&](std::string_view) { started = true; }, nullptr });
    CHECK(fleet.runUntil([&] { return started; }));
    exchange->cancel();
    CHECK(fleet.runUntil([&] { return fleet.engine(0).model.state().requestsInProgress == 0; }));
    CHECK(fleet.runUntil([&] { return fleet.daemon(0).openRequests() == 0; }));
}

// Guards against new requests to a draining upstream, and against interrupting its requests in progress.
TEST_CASE("a draining engine finishes its stream and gets no new requests")
{
    FleetFixture fleet(2, 2);
    std::vector<std::uint64_t> counts(2, 0);
    auto stream = fleet.send(fleet.callerPort(0), fleet.chatRequest("c1", true, 100));
    CHECK(fleet.runUntil([&] { return !stream->body.empty(); }));
    int engine = engineOfLastRequest(fleet, counts);
    CHECK(fleet.command(1, "DRAIN UPSTREAM engine-" + std::to_string(engine))->status == 200);
    CHECK(fleet.runUntil([&] {
        return fleet.command(0, "SHOW UPSTREAMS WHERE state = draining")->body.find("engine-")
            != std::string::npos;
    }));
    for (int i = 0; i < 10; ++i)
        CHECK(
            fleet.call(fleet.callerPort(i % 2), fleet.chatRequest("d" + std::to_string(i), false, 2))->status
            == 200);
    CHECK(fleet.submittedRequests(static_cast<std::size_t>(engine))
        == counts[static_cast<std::size_t>(engine)]);
    CHECK(fleet.runUntil([&] { return stream->finished; }));
    CHECK(isComplete(*stream));
}

// Guards against a drain that loses the context of the engine's chats, or after which the engine is stopped
// before it is empty.
TEST_CASE("a drain hands chats over, sets the engine's role and reports it empty")
{
    FleetFixture fleet(3, 2);
    std::vector<std::uint64_t> counts(2, 0);
    fleet.call(fleet.callerPort(0), fleet.chatRequest("c1", false, 6));
    auto source = static_cast<std::size_t>(engineOfLastRequest(fleet, counts));
    CHECK(fleet.command(1, "DRAIN UPSTREAM engine-" + std::to_string(source))->status == 200);
    CHECK(fleet.runUntil([&] {
        return fleet.command(2, "SHOW UPSTREAMS WHERE empty = true")
                   ->body.find("engine-" + std::to_string(source))
            != std::string::npos;
    }));
    CHECK(fleet.engine(source).model.state().role == "draining");
    // The chat returns without a hint, through an instance that has not carried a request of it.
    auto request = fleet.chatRequest("c1", false, 6);
    auto body = parseJson(request.body, "request").value();
    body["messages"].push_back({ { "role", "assistant" }, { "content", "answer w1 w2 w3 w4 end" } });
    body["messages"].push_back({ { "role", "user" }, { "content", "and then" } });
    request.body = dumpJson(body);
    auto answer = fleet.call(fleet.callerPort(1), request);
    CHECK(answer->status == 200);
    auto usage = parseJson(answer->body, "answer").value()["usage"];
    CHECK(usage["prompt_tokens_details"]["cached_tokens"].get<int>() > 0);
    CHECK(fleet.command(0, "UNDRAIN UPSTREAM engine-" + std::to_string(source))->status == 200);
    CHECK(fleet.runUntil([&] { return fleet.engine(source).model.state().role == "serving"; }));
}

// Guards against a replaced instance that serves with an older configuration than was accepted before.
TEST_CASE("a replaced instance starts from the accepted configuration while the store is down")
{
    FleetFixture fleet(3, 1);
    CHECK(fleet.command(0, "CREATE ORGANISATION late KEY 'late-key-0123456789'")->status == 200);
    fleet.setFaults(fleet.storePort(), R"({"down":true})");
    auto showsLate = [&](std::size_t instance) {
        return fleet.command(instance, "SHOW ORGANISATIONS")->body.find("late") != std::string::npos;
    };
    CHECK(fleet.runUntil([&] { return showsLate(1); }));
    fleet.replaceDaemon(2);
    CHECK(fleet.runUntil([&] { return showsLate(2); }));
}

// Guards against memory that grows without limit for a caller that does not read, and against streams that
// such a caller keeps open indefinitely.
TEST_CASE("a stream whose caller reads no byte is ended")
{
    constexpr double tokensPerSecond = 200000; // fills the sockets' buffers quickly
    FleetFixture fleet(1, 1, tokensPerSecond);
    auto request = fleet.chatRequest("c1", true, 100000);
    UpstreamClient client(fleet.base(), "127.0.0.1", fleet.callerPort(0));
    request.deadline = Milliseconds(30000);
    request.silenceTimeout = Milliseconds(30000);
    std::shared_ptr<UpstreamExchange> exchange;
    bool started = false;
    auto pauseAtOnce = [&](std::string_view) {
        started = true;
        exchange->pauseReading();
    };
    exchange = client.start(request, { nullptr, pauseAtOnce, nullptr });
    CHECK(fleet.runUntil([&] { return started; }));
    CHECK(fleet.runUntil([&] { return fleet.daemon(0).openRequests() == 0; }));
    CHECK(fleet.runUntil([&] { return fleet.engine(0).model.state().requestsInProgress == 0; }));
    exchange->cancel();
}

// Guards against a shutdown that interrupts running requests, or that accepts requests which it will not run.
TEST_CASE("an instance that shuts down finishes its streams and refuses new work as not run")
{
    FleetFixture fleet(1, 1);
    auto stream = fleet.send(fleet.callerPort(0), fleet.chatRequest("c1", true, 60));
    CHECK(fleet.runUntil([&] { return !stream->body.empty(); }));
    fleet.daemon(0).shutDown();
    UpstreamRequest ready;
    ready.method = "GET";
    ready.target = "/readyz";
    CHECK(fleet.call(fleet.daemon(0).adminPort(), ready)->status == 503);
    ready.target = "/healthz";
    CHECK(fleet.call(fleet.daemon(0).adminPort(), ready)->status == 200);
    auto refused = fleet.call(fleet.callerPort(0), fleet.chatRequest("c2", false, 4));
    CHECK(errorType(*refused) == "not_ready");
    CHECK(refused->header(header::outcome) == "not-run");
    CHECK(fleet.runUntil([&] { return stream->finished; }));
    CHECK(isComplete(*stream));
}
