#include "standins/enginemodel.h"
#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

MonotonicTime at(int milliseconds) { return MonotonicTime(Milliseconds(1000 + milliseconds)); }

EngineRequest makeRequest(const std::string& id, std::uint32_t answerTokens, std::string content = "hello")
{
    EngineRequest request;
    request.id = id;
    request.chat = "chat of " + id;
    request.messages = { { "user", std::move(content) } };
    request.maxTokens = answerTokens;
    return request;
}

// A request that runs alone generates one token every 10 ms; prompts take no time.
EngineOptions quickOptions()
{
    EngineOptions options;
    options.tokensPerSecond = 200;
    options.streamTokensPerSecond = 100;
    options.prefillTokensPerSecond = 1e9;
    options.eventGap = 0;
    return options;
}

} // namespace

// Guards against a model in which every stream runs at its full rate whatever the batch size: tests would
// then never see an overloaded engine.
TEST_CASE("streams share the engine's token rate")
{
    EngineModel engine(quickOptions());
    auto alone = engine.submit(makeRequest("alone", 100), at(0)).value();
    engine.advance(at(510));
    auto before = engine.job(alone)->producedTokens();
    CHECK(before >= 48);
    CHECK(before <= 51);
    for (int i = 0; i < 3; ++i)
        REQUIRE(engine.submit(makeRequest("more" + std::to_string(i), 1000), at(510)));
    engine.advance(at(710));
    auto shared = engine.job(alone)->producedTokens() - before;
    CHECK(shared >= 8);
    CHECK(shared <= 11);
}

TEST_CASE("the batch is bounded, and a lower priority value runs first")
{
    auto options = quickOptions();
    options.maxBatch = 1;
    options.maxQueue = 2;
    EngineModel engine(options);
    REQUIRE(engine.submit(makeRequest("running", 10), at(0)));
    auto late = makeRequest("late", 10);
    late.priority = 5;
    auto lateJob = engine.submit(late, at(0)).value();
    auto urgentJob = engine.submit(makeRequest("urgent", 10), at(0)).value();
    CHECK(engine.submit(makeRequest("refused", 10), at(0)).error().kind == ErrorKind::Overloaded);
    engine.advance(at(150));
    CHECK(engine.job(urgentJob)->state == JobState::Decode);
    CHECK(engine.job(lateJob)->state == JobState::Queued);
    engine.advance(at(1000));
    CHECK(engine.job(lateJob)->state == JobState::Done);
    CHECK(engine.state().tokensInProgress == 0);
}

// Guards against answers that a caller cannot tell from the answer to another request or from a truncated
// one.
TEST_CASE("the text starts with the nonce and ends with the end word")
{
    EngineModel engine(quickOptions());
    auto job = engine.submit(makeRequest("r", 4, "please nonce=x-1 now"), at(0)).value();
    CHECK(EngineModel::text(*engine.job(job), 4) == "nonce=x-1 w1 w2 end");
}

TEST_CASE("the prefix of a returning chat is cached until it is evicted")
{
    auto options = quickOptions();
    options.cacheTokens = 300;
    EngineModel engine(options);
    auto first = makeRequest("first", 4, std::string(400, 'a'));
    auto job = engine.submit(first, at(0)).value();
    engine.advance(at(500));
    auto next = first;
    next.messages.push_back({ "assistant", EngineModel::text(*engine.job(job), 4) });
    next.messages.push_back({ "user", "more" });
    auto returning = engine.submit(next, at(500)).value();
    CHECK(
        engine.job(returning)->cachedTokens == engine.job(returning)->promptTokens - countTokens("more") - 4);
    engine.advance(at(1000));
    REQUIRE(engine.submit(makeRequest("large", 4, std::string(1100, 'b')), at(1000)));
    engine.advance(at(1500));
    auto evicted = engine.submit(next, at(1500)).value();
    CHECK(engine.job(evicted)->cachedTokens < engine.job(returning)->cachedTokens);
}

TEST_CASE("the load report lags behind the engine's state")
{
    auto options = quickOptions();
    options.reportLag = Milliseconds(200);
    EngineModel engine(options);
    REQUIRE(engine.submit(makeRequest("r", 50), at(0)));
    CHECK(engine.state().requestsInProgress == 1);
    CHECK(engine.report(at(199)).requestsInProgress == 0);
    CHECK(engine.report(at(200)).requestsInProgress == 1);
    CHECK(engine.report(at(200)).tokensInProgress == engine.state().tokensInProgress);
}

// Guards against orders of a former lease holder that take effect after another instance acquired the lease.
TEST_CASE("a stale fencing number is refused unless the engine ignores it")
{
    for (bool ignores : { false, true }) {
        auto options = quickOptions();
        options.ignoreFence = ignores;
        EngineModel engine(options);
        CHECK(engine.order({ "drain", 5, "" }, at(0)));
        CHECK(engine.submit(makeRequest("r", 1), at(1)).error().kind == ErrorKind::Overloaded);
        CHECK(engine.order({ "undrain", 4, "" }, at(2)).has_value() == ignores);
        CHECK(engine.state().role == (ignores ? "serving" : "draining"));
        CHECK(engine.order({ "load", 5, "m@2" }, at(3)));
        CHECK(engine.state().version == "m@2");
        CHECK(engine.order({ "explode", 9, "" }, at(4)).error().kind == ErrorKind::InvalidArgument);
    }
}

TEST_CASE("an exported context is cached at the engine that imports it")
{
    EngineModel from(quickOptions());
    EngineModel to(quickOptions());
    auto request = makeRequest("r", 4, std::string(200, 'k'));
    REQUIRE(from.submit(request, at(0)));
    from.advance(at(500));
    auto blob = from.exportContext(request.chat);
    REQUIRE(blob.has_value());
    CHECK(to.exportContext(request.chat).error().kind == ErrorKind::NotFound);
    CHECK(to.importContext(blob.value(), at(0)).has_value());
    auto job = to.submit(request, at(10)).value();
    CHECK(to.job(job)->cachedTokens == to.job(job)->promptTokens);
    CHECK(to.importContext(Json { { "chat", "c" }, { "segments", { "x" } } }, at(0)).has_error());
}

TEST_CASE("cache events are delayed, and a share of them is dropped if configured")
{
    auto options = quickOptions();
    options.eventLag = Milliseconds(100);
    options.eventGap = 0.5;
    EngineModel engine(options);
    constexpr int requests = 40;
    for (int i = 0; i < requests; ++i)
        REQUIRE(engine.submit(makeRequest("r" + std::to_string(i), 1), at(0)));
    engine.advance(at(1000));
    CHECK(engine.events(0, at(0), 100).empty());
    auto events = engine.events(0, at(2000), 100);
    CHECK(events.size() > 5);
    CHECK(events.size() < requests);
    CHECK(engine.events(events.back().sequence, at(2000), 100).empty());
}

TEST_CASE("a cancelled job ends at once and frees its place in the batch")
{
    auto options = quickOptions();
    options.maxBatch = 1;
    EngineModel engine(options);
    auto running = engine.submit(makeRequest("running", 1000), at(0)).value();
    auto waiting = engine.submit(makeRequest("waiting", 10), at(0)).value();
    CHECK(engine.cancel(running, at(100)));
    CHECK_FALSE(engine.cancel(running, at(100)));
    engine.advance(at(300));
    CHECK(engine.job(waiting)->state == JobState::Done);
    CHECK(engine.findJob("running") == running);
    engine.advance(at(120000));
    CHECK_FALSE(engine.findJob("running").has_value());
}
