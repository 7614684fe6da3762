#include "base/hash.h"
#include "version/testing/generators.h"

using namespace briarwharf;
using namespace briarwharf::testing;

// Guards against a record that is read back as another command. Records contain the printed text of commands.
TEST_CASE("a printed command parses to the same command")
{
    CHECK(rc::check("parse(print(command)) == command", [] {
        Command command = anyCommand();
        auto parsed = parseCommand(printCommand(command));
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(parsed.value() == command);
    }));
}

// Guards against a parser that crashes on some text or returns an error without a message.
TEST_CASE("arbitrary text gives commands or an error with a message")
{
    CHECK(rc::check("no text breaks the parser", [](const std::string& text) {
        auto parsed = parseCommands(text);
        RC_ASSERT(parsed.has_value() || !parsed.error().message.empty());
    }));
}

// Guards against errors that do not show the operator the position and the remedy.
TEST_CASE("a syntax error shows the position and what was expected")
{
    auto parsed = parseCommands("SHOW POOLS;\nADD UPSTREAM e1 POOL p ADRESS 10.0.0.1:80");
    REQUIRE(parsed.has_error());
    CHECK(parsed.error().kind == ErrorKind::InvalidArgument);
    CHECK(parsed.error().message
        == "syntax error at line 2, column 24, found 'ADRESS': write one of POOL, ADDRESS, DOMAIN, WEIGHT, "
           "SLOTS, REPORTS_STATE, CHECKS_FENCE, IF REVISION, ';' or the end\n"
           "  ADD UPSTREAM e1 POOL p ADRESS 10.0.0.1:80\n"
           "                         ^");
}

// Guards against API keys in records, error messages and log lines, also when the command with the key is
// mistyped.
TEST_CASE("an API key never occurs in the parser's output")
{
    const std::string key = "very-secret-0123456789";
    auto command = parseCommand("CREATE ORGANISATION saqib KEY '" + key + "'");
    REQUIRE(command.has_value());
    CHECK(printCommand(command.value()) == "CREATE ORGANISATION saqib KEY HASH " + sha256Hex(key));
    for (const std::string& text : { "CREATE ORGANISATION o KEY '" + key + "' WEIGHTS 2",
             "CREATE ORGANISATION o KEY '" + key, "CREATE ORGANISATION o KEY " + key,
             "CREATE ORGANISATION o KEY HASH " + key, "CREATE ORGANISATION o KEY HASH '" + key + "'",
             "CREATE ORGANISATION o KEYS '" + key + "'", "CREATE ORGANISATION o KEY = \"" + key + "\"",
             "CREATE ORGANISATION '" + key + "' 'x", "ADD UPSTREAM e ADDRESS '" + key + "'" }) {
        auto parsed = parseCommands(text);
        REQUIRE_MESSAGE(parsed.has_error(), text);
        CHECK_MESSAGE(parsed.error().message.find("secret") == std::string::npos, parsed.error().message);
    }
}

// Guards against malformed values that are accepted with another meaning.
TEST_CASE("malformed values are refused")
{
    for (const char* text : { "ADD UPSTREAM e ADDRESS host:80", "ADD UPSTREAM e ADDRESS 10.0.0.1",
             "ADD UPSTREAM e ADDRESS 10.0.0.1:0", "ADD UPSTREAM e ADDRESS 10.0.0.1:70000",
             "ADD UPSTREAM e ADDRESS [10.0.0.1]:80", "ADD UPSTREAM e SLOTS -1", "ADD UPSTREAM e SLOTS 1.5",
             "ADD UPSTREAM e WEIGHT nan", "ADD UPSTREAM e WEIGHT 1 WEIGHT 2",
             "CREATE POLICY p QUEUE_DEADLINE 5", "CREATE ORGANISATION o KEY 'short'",
             "PLAN DRAIN UPSTREAM e EVERY MAY AT 02:00 FOR 1h",
             "PLAN DRAIN UPSTREAM e EVERY MON AT 24:00 FOR 1h",
             "PLAN DRAIN UPSTREAM e EVERY MON AT 02:00 FOR 30s",
             "DRAIN UPSTREAM e FOR WINDOW 2026-02-30T02:00Z", "SHOW UPSTREAMS IF REVISION 3", "SHOW", ";",
             "" })
        CHECK_MESSAGE(parseCommands(text).has_error(), text);
    CHECK(parseCommands(std::string(maxCommandTextBytes + 1, ' ')).error().kind == ErrorKind::TooLarge);
}

TEST_CASE("addresses are kept in their canonical form")
{
    auto endpoint = parseEndpoint("[2001:DB8:0::1]:443");
    REQUIRE(endpoint.has_value());
    CHECK(endpoint.value().address == "2001:db8::1");
    CHECK(printEndpoint(endpoint.value()) == "[2001:db8::1]:443");
}
