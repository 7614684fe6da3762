#include "version/testing/generators.h"

using namespace briarwharf;
using namespace briarwharf::testing;

namespace {

Result<Table> show(std::string_view text, const Config& config, const RuntimeFacts& facts = {})
{
    auto command = parseCommand(text);
    REQUIRE_MESSAGE(command.has_value(), command.error().message);
    return showTable(std::get<ShowCommand>(command.value().statement), config, facts);
}

RuntimeFacts sampleFacts()
{
    RuntimeFacts facts;
    facts.upstreams["e1"].tokensInProgress = 900;
    facts.upstreams["e2"].tokensInProgress = 40;
    facts.instances.push_back({ "entry-1", "10.1.0.1:7000", "pkc-a", "alive", 7, true, Milliseconds(120) });
    return facts;
}

} // namespace

// Guards against wrong, missing or misaligned rows in the answer to an operator.
TEST_CASE("SHOW filters, orders, limits and aligns rows")
{
    auto table = show("SHOW UPSTREAMS COLUMNS name, load, chats WHERE pool = estimators ORDER BY load DESC",
        sampleConfig(), sampleFacts());
    REQUIRE(table.has_value());
    CHECK(printTable(table.value())
        == "name  load  chats\n"
           "e1     900  -\n"
           "e2      40  -\n");
    CHECK(show("SHOW UPSTREAMS WHERE load > 100 AND name LIKE 'E%'", sampleConfig(), sampleFacts())
              .value()
              .rows.size()
        == 1);
    CHECK(show("SHOW UPSTREAMS LIMIT 1", sampleConfig()).value().rows.size() == 1);
    CHECK(
        show("SHOW INSTANCES WHERE current = true", sampleConfig(), sampleFacts()).value().rows.size() == 1);
    CHECK(show("SHOW POOLS WHERE serving >= 2", sampleConfig()).value().rows.size() == 1);
    // Unknown values pass no filter.
    CHECK(show("SHOW UPSTREAMS WHERE load != 5", sampleConfig()).value().rows.empty());
}

TEST_CASE("SHOW refuses unknown columns and comparisons that do not fit the column's type")
{
    CHECK(show("SHOW UPSTREAMS WHERE color = red", sampleConfig()).error().kind == ErrorKind::NotFound);
    CHECK(show("SHOW UPSTREAMS COLUMNS color", sampleConfig()).error().message.find("drain_phase")
        != std::string::npos);
    CHECK(
        show("SHOW UPSTREAMS WHERE slots = many", sampleConfig()).error().kind == ErrorKind::InvalidArgument);
    CHECK(show("SHOW UPSTREAMS WHERE empty LIKE tr%", sampleConfig()).error().kind
        == ErrorKind::InvalidArgument);
}

// Guards against a listing from which the configuration cannot be restored.
TEST_CASE("the commands of SHOW CONFIG rebuild the configuration")
{
    Config config = configAfter(sampleConfig(),
        "PLAN DRAIN UPSTREAM e2 EVERY SUN AT 23:30 FOR 2h WITHOUT HANDOVER; DRAIN UPSTREAM e1");
    auto table = show("SHOW CONFIG", config);
    REQUIRE(table.has_value());
    std::string text;
    for (const auto& row : table.value().rows)
        text += std::get<std::string>(row[2]) + ";\n";
    Config rebuilt = configAfter({}, text);
    CHECK(rebuilt.organisations == config.organisations);
    CHECK(rebuilt.pools == config.pools);
    CHECK(rebuilt.policies == config.policies);
    CHECK(rebuilt.drainPlans == config.drainPlans);
    CHECK(rebuilt.upstreams.at("e1").state == UpstreamState::Draining);
    CHECK(rebuilt.upstreams.at("e2") == config.upstreams.at("e2"));
}

// Guards against lost answers that leave an operator unable to find out whether the command took effect: the
// request's identifier must lead to the change.
TEST_CASE("SHOW REVISION shows the revision in force and the request of each change")
{
    Config config = sampleConfig();
    auto table = show("SHOW REVISION WHERE request = r1", config);
    REQUIRE(table.has_value());
    REQUIRE(table.value().rows.size() == 1);
    CHECK(std::get<bool>(table.value().rows[0][1]));
    ++config.revision; // as a refused record does
    CHECK(std::get<std::string>(show("SHOW REVISION", config).value().rows[0][5]) == "(changed nothing)");
}

// Guards against a daemon and a command-line tool that disagree about the format of answers.
TEST_CASE("encoding and decoding an operator answer as JSON keeps it")
{
    OperatorAnswer answer { 7, Error { ErrorKind::Conflict, "changed: read SHOW REVISION" },
        show("SHOW UPSTREAMS", sampleConfig(), sampleFacts()).value() };
    Json json = answerJson(answer);
    CHECK(json["error"]["remedy"] == "read SHOW REVISION");
    auto parsed = parseAnswer(dumpJson(json));
    REQUIRE(parsed.has_value());
    CHECK(parsed.value().revision == 7);
    CHECK(parsed.value().error->kind == ErrorKind::Conflict);
    // JSON does not distinguish 1.0 from 1, so cells may change their type. Only columns and row counts are
    // compared.
    CHECK(parsed.value().table->columns == answer.table->columns);
    CHECK(parsed.value().table->rows.size() == answer.table->rows.size());
    CHECK(parseAnswer("<html>").has_error());
    CHECK(parseAnswer(R"({"ok":true,"columns":["a"],"rows":[[1,2]]})").has_error());
}
