#include "standins/answercheck.h"
#include "standins/loadplan.h"
#include "standins/loadreport.h"
#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

std::string chunk(const std::string& id, const std::string& content)
{
    Json delta = { { "content", content } };
    Json body = { { "id", id }, { "choices", Json::array({ { { "delta", delta } } }) } };
    return "data: " + dumpJson(body) + "\n\n";
}

LoadOptions makeOptions()
{
    LoadOptions options;
    options.organisations = { { "small", "", 5 }, { "large", "", 10, 10, 20, 10 } };
    options.seed = 11;
    return options;
}

} // namespace

// Guards against a check that accepts truncated, foreign or mixed answers: the router's guarantees are tested
// with it.
TEST_CASE("a stream is checked for its text, identifier, length and end marker")
{
    AnswerCheck good({ "nonce=1", 3, "r1" });
    auto bytes = chunk("r1", "nonce=1 ") + ": outcome completed\n\n" + chunk("r1", "w1 ") + chunk("r1", "end")
        + "data: [DONE]\n\n";
    std::size_t chunks = 0;
    for (char byte : bytes)
        chunks += good.addStreamData(std::string(1, byte));
    CHECK(chunks == 3);
    CHECK(good.textMatchesRequest());
    CHECK(good.identifierMatchesRequest());
    CHECK(good.textComplete());
    CHECK(good.endReceived());
    CHECK_FALSE(good.malformed());

    AnswerCheck cut({ "nonce=1", 3, "r1" });
    cut.addStreamData(chunk("r1", "nonce=1 ") + chunk("r1", "w1 "));
    CHECK(cut.textMatchesRequest());
    CHECK_FALSE(cut.textComplete());
    CHECK_FALSE(cut.endReceived());

    AnswerCheck foreign({ "nonce=1", 3, "" });
    foreign.addStreamData(chunk("r1", "nonce=2 ") + chunk("r2", "w1 "));
    CHECK_FALSE(foreign.textMatchesRequest());
    CHECK_FALSE(foreign.identifierMatchesRequest());

    AnswerCheck failed({ "nonce=1", 3, "" });
    failed.addStreamData("data: {\"error\": {\"type\": \"x\"}}\n\n");
    CHECK(failed.errorEventReceived());
}

TEST_CASE("a whole answer is checked, and its token usage is read")
{
    AnswerCheck check({ "nonce=1", 2, "r1" });
    check.addWholeAnswer(R"({"id": "r1", "choices": [{"message": {"content": "nonce=1 end"}}],
        "usage": {"prompt_tokens": 10, "prompt_tokens_details": {"cached_tokens": 7}}})");
    CHECK(check.textComplete());
    CHECK(check.promptTokens() == 10);
    CHECK(check.cachedTokens() == 7);
    AnswerCheck broken({ "nonce=1", 2, "r1" });
    broken.addWholeAnswer(R"({"id": "r1", "choices")");
    CHECK(broken.malformed());
    CHECK_FALSE(broken.endReceived());
}

// Guards against load runs that cannot be repeated with the same seed, and against a surge that has no
// effect.
TEST_CASE("arrivals follow the rates and the seed")
{
    LoadPlan plan(makeOptions());
    LoadPlan same(makeOptions());
    std::map<std::string, int> counts;
    int surging = 0;
    while (plan.nextArrival() < std::chrono::seconds(40)) {
        CHECK(plan.nextArrival() == same.nextArrival());
        auto time = plan.nextArrival();
        auto turn = plan.takeArrival();
        CHECK(same.takeArrival().body == turn.body);
        bool large = turn.chat->organisation == 1;
        ++counts[large ? "large" : "small"];
        if (large && time >= std::chrono::seconds(20) && time < std::chrono::seconds(30))
            ++surging;
    }
    CHECK(counts["small"] > 150);
    CHECK(counts["small"] < 250);
    CHECK(surging > 900);
    CHECK(surging < 1100);
    CHECK(counts["large"] - surging < 400);
}

TEST_CASE("a chat returns after its pause with its history, and ends after its turns")
{
    auto options = makeOptions();
    options.organisations = { { "only", "", 100 } };
    options.chats = 1;
    options.turns = 2;
    LoadPlan plan(options);
    auto first = plan.takeArrival();
    plan.recordAnswer(first, "answer 1", 10, RunTime(0));
    auto second = plan.takeArrival();
    CHECK(second.chat == first.chat);
    CHECK(second.nonce != first.nonce);
    auto messages = parseJson(second.body, "body").value()["messages"];
    REQUIRE(messages.size() == 4);
    CHECK(messages[2]["content"] == "answer 1");
    plan.recordAnswer(second, "answer 2", 20, RunTime(0));
    CHECK(plan.takeArrival().chat != first.chat);
}

TEST_CASE("organisations are parsed from their command-line form")
{
    auto load = parseOrganisation("name=a,key=k,rate=5,surge=10@3+4");
    REQUIRE(load.has_value());
    CHECK(load.value().rateAt(std::chrono::seconds(2)) == 5);
    CHECK(load.value().rateAt(std::chrono::seconds(3)) == 50);
    CHECK(load.value().rateAt(std::chrono::seconds(7)) == 5);
    for (const char* wrong : { "rate=5", "name=a,rate=x", "name=a,surge=3", "name=a,rate=0", "name" })
        CHECK(parseOrganisation(wrong).has_error());
}

// Guards against renamed keys: scripts/measure.sh and the measurements page read them.
TEST_CASE("the report's keys are stable")
{
    LoadRunReport report;
    report.latency.add(std::chrono::milliseconds(5));
    report.organisations["a"].requests = 1;
    auto json = report.toJson();
    for (const char* key : { "settings", "duration_s", "requests", "completed", "skipped_arrivals",
             "throughput_rps", "tokens_per_s", "outcomes", "error_types", "latency_ms", "short_latency_ms",
             "long_latency_ms", "first_token_ms", "short_first_token_ms", "between_tokens_ms", "checks",
             "reuse", "organisations", "services", "open_streams", "skew" })
        CHECK(json.contains(key));
    CHECK(json["latency_ms"]["median"] == 5.0);
    CHECK(json["latency_ms"]["p99"] == 5.0);
    CHECK(json["reuse"]["with_hint"]["share"] == 0.0);
    CHECK(report.toTable().find("truncated_as_complete 0") != std::string::npos);
}
