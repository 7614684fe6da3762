#include "connection/testing/loop.h"
#include "standins/answercheck.h"
#include "standins/engineserver.h"
#include "standins/httpclient.h"
#include "standins/loadrunner.h"
#include "standins/serviceserver.h"
#include <doctest/doctest.h>
#include <event2/event.h>

using namespace briarwharf;

namespace {

EngineOptions makeEngineOptions()
{
    EngineOptions options;
    options.streamTokensPerSecond = 1000;
    options.tokensPerSecond = 10000;
    return options;
}

// An engine, a service and a client on one event loop.
struct Harness {
    Harness()
    {
        engineAddress = "127.0.0.1:" + std::to_string(engineServer.listen(0).value());
        serviceAddress = "127.0.0.1:" + std::to_string(serviceServer.listen(0).value());
    }

    template <typename Condition> void runUntil(Condition condition)
    {
        briarwharf::runUntil(base.get(), condition);
    }

    ClientResponse call(ClientRequest request)
    {
        std::optional<ClientResponse> response;
        request.onDone = [&](const ClientResponse& answer) { response = answer; };
        client.start(std::move(request));
        runUntil([&] { return response.has_value(); });
        return *response;
    }

    ClientResponse post(const std::string& target, const std::string& path, const Json& body,
        const StandinHeaders& headers = {})
    {
        ClientRequest request;
        request.target = target;
        request.path = path;
        request.body = dumpJson(body);
        request.headers = headers;
        request.deadline = deadline;
        return call(std::move(request));
    }

    ClientResponse get(const std::string& target, const std::string& path)
    {
        ClientRequest request;
        request.target = target;
        request.method = "GET";
        request.path = path;
        return call(std::move(request));
    }

    ClientResponse chat(const std::string& id, bool stream, std::uint32_t tokens)
    {
        Json message = { { "role", "user" }, { "content", "nonce=" + id } };
        return post(engineAddress, "/v1/chat/completions",
            { { "stream", stream }, { "max_tokens", tokens }, { "messages", Json::array({ message }) } },
            { { "X-Request-Id", id } });
    }

    Base base = makeBase();
    EngineModel engine { makeEngineOptions() };
    EngineServer engineServer { base.get(), engine, { .resumeGrace = Milliseconds(200) } };
    ServiceModel service;
    ServiceServer serviceServer { base.get(), service, {} };
    HttpClient client { base.get() };
    std::string engineAddress;
    std::string serviceAddress;
    // Long, so that a slow machine changes no test result; tests of silent connections shorten it.
    Milliseconds deadline { 20000 };
};

constexpr Milliseconds shortDeadline { 200 };

// A stream with its own client, whose destruction closes the connection.
struct OpenStream {
    OpenStream(Harness& harness, const std::string& id, std::uint32_t tokens)
        : client(harness.base.get())
        , check({ "nonce=" + id, tokens, id })
    {
        Json message = { { "role", "user" }, { "content", "nonce=" + id } };
        ClientRequest request;
        request.target = harness.engineAddress;
        request.path = "/v1/chat/completions";
        request.headers = { { "X-Request-Id", id } };
        request.body = dumpJson(
            { { "stream", true }, { "max_tokens", tokens }, { "messages", Json::array({ message }) } });
        request.onData = [this](std::string_view bytes) { check.addStreamData(bytes); };
        request.onDone = [this](const ClientResponse&) { done = true; };
        client.start(std::move(request));
    }

    HttpClient client;
    AnswerCheck check;
    bool done = false;
};

AnswerCheck checkStream(const std::string& id, std::uint32_t tokens, const std::string& body)
{
    AnswerCheck check({ "nonce=" + id, tokens, id });
    check.addStreamData(body);
    return check;
}

} // namespace

TEST_CASE("whole and streamed answers are complete and carry the request's identifier")
{
    Harness harness;
    auto whole = harness.chat("a", false, 5);
    CHECK(whole.header("x-request-id") == "a");
    AnswerCheck check({ "nonce=a", 5, "a" });
    check.addWholeAnswer(whole.body);
    CHECK(check.textComplete());
    CHECK(check.identifierMatchesRequest());
    auto stream = checkStream("b", 20, harness.chat("b", true, 20).body);
    CHECK(stream.textComplete());
    CHECK(stream.endReceived());
    CHECK(stream.identifierMatchesRequest());
    CHECK(stream.promptTokens() > 0);
}

// Guards against faults that have no effect: tests of the router would pass without having met a fault.
TEST_CASE("each fault of the engine affects its caller, and ends after its count of calls")
{
    using End = ClientResponse::End;
    Harness harness;
    auto fault = [&](Json faults) {
        faults["count"] = 1;
        CHECK(harness.post(harness.engineAddress, "/faults", faults).status == 200);
    };
    fault({ { "refuse", true } });
    CHECK(harness.chat("a", true, 5).header("X-Not-Run") == "true");
    fault({ { "truncate_after", 3 } });
    auto cut = harness.chat("b", true, 5);
    CHECK(cut.end == End::Closed);
    CHECK(checkStream("b", 5, cut.body).text() == "nonce=b w1 w2 ");
    fault({ { "truncate_after", 3 } });
    CHECK(harness.chat("c", false, 5).end == End::Closed);
    fault({ { "unframed", true } });
    CHECK(harness.chat("d", false, 5).end == End::Unframed);
    fault({ { "close", true } });
    CHECK(harness.chat("e", false, 5).end == End::Closed);
    fault({ { "silent_after", 2 } });
    OpenStream silent(harness, "f", 5);
    harness.runUntil([&] { return silent.check.text() == "nonce=f w1 "; });
    fault({ { "silent", true } });
    harness.deadline = shortDeadline;
    CHECK(harness.chat("g", false, 5).end == End::TimedOut);
    harness.deadline = Milliseconds(20000);
    CHECK(harness.engine.job(*harness.engine.findJob("f"))->state == JobState::Done);
    CHECK(silent.check.text() == "nonce=f w1 ");
    CHECK_FALSE(silent.done);
    fault({ { "crossed", true } });
    CHECK_FALSE(checkStream("h", 5, harness.chat("h", true, 5).body).identifierMatchesRequest());
    fault({ { "crossed_after", 2 } });
    auto late = checkStream("k", 5, harness.chat("k", true, 5).body);
    CHECK_FALSE(late.identifierMatchesRequest());
    CHECK(late.textMatchesRequest());
    fault({ { "crossed_after", 0 } });
    auto body = harness.chat("l", false, 5);
    CHECK(body.header("X-Request-Id") == "l");
    CHECK(parseJson(body.body, "answer").value()["id"] == "crossed-" + std::to_string(hash64("l")));
    fault({ { "status", 500 } });
    CHECK(harness.chat("i", true, 5).status == 500);
    CHECK(checkStream("j", 5, harness.chat("j", true, 5).body).textComplete());
}

// Guards against a resumed stream that misses or repeats a word.
TEST_CASE("a stream resumes from its offset, and is cancelled on request or when its caller disconnects")
{
    Harness harness;
    harness.post(harness.engineAddress, "/faults", { { "truncate_after", 4 }, { "count", 1 } });
    auto before = checkStream("a", 10, harness.chat("a", true, 10).body);
    auto after = harness.get(harness.engineAddress, "/v1/streams/a?offset=4");
    auto joined = checkStream("a", 10, after.body);
    CHECK(joined.endReceived());
    CHECK(before.text() + joined.text() == EngineModel::text(*harness.engine.job(1), 10));
    CHECK(harness.get(harness.engineAddress, "/v1/streams/unknown?offset=0").status == 404);

    OpenStream stopped(harness, "long", 50000);
    harness.runUntil([&] { return !stopped.check.text().empty(); });
    auto cancelled = harness.post(harness.engineAddress, "/v1/streams/long/cancel", Json::object());
    CHECK(cancelled.body == R"({"cancelled":true})");
    CHECK(harness.get(harness.engineAddress, "/v1/streams/long?offset=0").status == 404);
    harness.runUntil([&] { return stopped.done; });
    CHECK_FALSE(stopped.check.endReceived());
    {
        OpenStream abandoned(harness, "abandoned", 50000);
        harness.runUntil([&] { return !abandoned.check.text().empty(); });
    }
    CHECK(harness.engine.state().requestsInProgress == 1);
    harness.runUntil([&] { return harness.engine.state().requestsInProgress == 0; });
}

TEST_CASE("a draining engine refuses new work and reports that it did not run")
{
    Harness harness;
    auto order = [&](const char* name, int fence) {
        return harness.post(harness.engineAddress, "/orders", { { "order", name }, { "fence", fence } })
            .status;
    };
    CHECK(order("drain", 3) == 200);
    CHECK(order("undrain", 2) == 409);
    auto refused = harness.chat("a", true, 5);
    CHECK(refused.status == 503);
    CHECK(refused.header("X-Not-Run") == "true");
    CHECK(order("undrain", 3) == 200);
    CHECK(harness.chat("b", false, 5).status == 200);
}

// Guards against a silence fault that also affects new connections, or that does not affect open ones.
TEST_CASE("open connections become silent while new ones work")
{
    Harness harness;
    CHECK(harness.chat("a", false, 5).status == 200);
    HttpClient other(harness.base.get());
    ClientRequest request;
    request.target = harness.engineAddress;
    request.path = "/faults";
    request.body = R"({"silence_open": true})";
    bool set = false;
    request.onDone = [&](const ClientResponse& response) { set = response.status == 200; };
    other.start(std::move(request));
    harness.runUntil([&] { return set; });
    harness.deadline = shortDeadline;
    CHECK(harness.chat("b", false, 5).end == ClientResponse::End::TimedOut);
    harness.deadline = Milliseconds(20000);
    CHECK(harness.chat("c", false, 5).status == 200);
}

TEST_CASE("the service counts the runs of each key, whether or not its answer arrives")
{
    Harness harness;
    StandinHeaders key { { "Idempotency-Key", "k" } };
    CHECK(harness.post(harness.serviceAddress, "/book", Json::object(), key).status == 200);
    harness.post(harness.serviceAddress, "/faults", { { "close", true }, { "count", 1 } });
    CHECK(harness.post(harness.serviceAddress, "/book", Json::object(), key).end
        == ClientResponse::End::Closed);
    harness.post(harness.serviceAddress, "/faults", { { "refuse", true }, { "count", 1 } });
    auto refused = harness.post(harness.serviceAddress, "/book", Json::object(), key);
    CHECK(refused.header("X-Not-Run") == "true");
    CHECK(harness.service.runs("k") == 2);
    auto runs = parseJson(harness.get(harness.serviceAddress, "/runs").body, "runs");
    CHECK(runs.value()["repeated"]["k"] == 2);
}

// Guards against a load report that omits failures which the callers of the run saw.
TEST_CASE("a load run reports every outcome")
{
    Harness harness;
    LoadOptions options;
    options.organisations = { { "a", "", 500 } };
    options.longShare = 0;
    options.pauseSeconds = 0.05;
    RunnerOptions runner;
    runner.targets = { harness.engineAddress };
    runner.direct = true;
    runner.maxRequests = 60;
    runner.durationSeconds = 1000;
    auto run = [&] {
        LoadPlan plan(options);
        LoadRunReport report;
        LoadRunner loadRunner(harness.base.get(), runner, plan, report);
        bool finished = false;
        loadRunner.start([&] { finished = true; });
        harness.runUntil([&] { return finished; });
        return report;
    };
    // One request at a time, so that answered chats return within the 60 requests however slow the machine
    // is.
    options.chats = 1;
    runner.maxInFlight = 1;
    auto good = run();
    runner.maxInFlight = 1000;
    CHECK(good.completed == 60);
    CHECK(good.foreignText + good.foreignIdentifier + good.truncatedAsComplete == 0);
    CHECK(good.withHint.returning + good.withoutHint.returning > 0);

    harness.post(harness.engineAddress, "/faults", { { "crossed", true }, { "count", 20 } });
    auto crossed = run();
    CHECK(crossed.foreignIdentifier == 20);
    harness.post(harness.engineAddress, "/faults", { { "truncate_after", 1 }, { "count", 20 } });
    auto truncated = run();
    CHECK(truncated.outcomes["closed"] == 20);
    CHECK(truncated.completed == 40);
    harness.post(harness.engineAddress, "/faults", { { "refuse", true }, { "count", 20 } });
    auto refused = run();
    CHECK(refused.outcomes["not_run"] == 20);
    CHECK(refused.errorTypes["overloaded"] == 20);
}
