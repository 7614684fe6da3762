#include "base/base.h"
#include "base/testing/corpus.h"
#include "base/testing/decoders.h"
#include <doctest/doctest.h>

using namespace briarwharf;

// Guards against a changed hash function: instances of different versions must agree on placement.
TEST_CASE("hash64 and sha256Hex give their published values")
{
    CHECK(hash64("") == 0x2d06800538d394c2ULL);
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against weights that do not change the share of keys that a node wins.
TEST_CASE("rendezvous scores follow the weights")
{
    int heavyWins = 0;
    constexpr int keys = 10000;
    for (int i = 0; i < keys; ++i) {
        std::uint64_t key = hash64("key" + std::to_string(i));
        if (rendezvousScore(key, hash64("heavy"), 3) > rendezvousScore(key, hash64("light"), 1))
            ++heavyWins;
    }
    CHECK(heavyWins > keys * 72 / 100);
    CHECK(heavyWins < keys * 78 / 100);
}

// Guards against exceptions or values of the wrong type when JSON from outside is malformed.
TEST_CASE("JSON fields of the wrong type are absent")
{
    auto parsed = parseJson(R"({"a": "x", "b": 3})", "body");
    REQUIRE(parsed.has_value());
    CHECK(stringField(parsed.value(), "a") == "x");
    CHECK_FALSE(stringField(parsed.value(), "b").has_value());
    CHECK(integerField(parsed.value(), "b") == 3);
    auto broken = parseJson("{", "body");
    REQUIRE(broken.has_error());
    CHECK(broken.error().kind == ErrorKind::InvalidArgument);
}

namespace {

std::string repeat(std::string_view text, std::size_t times)
{
    std::string repeated;
    for (std::size_t time = 0; time < times; ++time)
        repeated += text;
    return repeated;
}

// Nested arrays, or objects.
std::string nestedJson(std::size_t levels, bool objects = false)
{
    return objects ? repeat("{\"a\":", levels) + "1" + repeat("}", levels)
                   : repeat("[", levels) + repeat("]", levels);
}

} // namespace

// Guards against text from outside that overflows the stack: a value of 300,000 levels was parsed, and ended
// the process when it was copied or printed.
TEST_CASE("JSON text that is nested too deeply is refused before it is parsed")
{
    for (bool objects : { false, true }) {
        CAPTURE(objects);
        auto deepest = parseJson(nestedJson(maxJsonDepth, objects), "body");
        REQUIRE(deepest.has_value());
        Json copy = deepest.value();
        CHECK(dumpJson(copy) == nestedJson(maxJsonDepth, objects));
        for (std::size_t levels : { maxJsonDepth + 1, std::size_t { 300000 }, std::size_t { 5000000 } }) {
            CAPTURE(levels);
            auto parsed = parseJson(nestedJson(levels, objects), "body");
            REQUIRE(parsed.has_error());
            CHECK(parsed.error().kind == ErrorKind::InvalidArgument);
            CHECK(parsed.error().message.find("deeper") != std::string::npos);
        }
    }
    CHECK_FALSE(parseJson(repeat("[", 300000), "body"));
    CHECK_FALSE(parseJson("{\"a\":" + repeat("[{\"b\":", 300000), "body"));
}

// Guards against text of which a part is ignored.
TEST_CASE("JSON text with a NUL byte is refused")
{
    using namespace std::string_literals;
    for (const std::string& text : { "{}\0"s, "{}\0{}"s, "5\0 6"s, "\0{}"s, "\"\0\""s })
        CHECK_FALSE(parseJson(text, "body"));
    CHECK(parseJson("\"\\u0000\"", "body").value() == "\0"s);
}

// Guards against a limit on the depth that counts brackets inside of strings, or levels that were closed.
TEST_CASE("brackets in strings and neighbouring values are no nesting")
{
    std::string brackets = "\"\\\"" + repeat("[{", 300) + "\\\\\"";
    REQUIRE(parseJson(brackets, "body"));
    CHECK(measureJson(brackets).depth == 0);
    std::string neighbours = "[" + repeat("[{}],", 300) + "[]]";
    REQUIRE(parseJson(neighbours, "body"));
    CHECK(measureJson(neighbours).depth == 3);
    CHECK(measureJson("]]]{\"").depth == 1);
    CHECK(measureJson("\"\\").depth == 0);
}

// Guards against short text whose values take a hundred times its memory.
TEST_CASE("JSON text with too many values is refused before it is parsed")
{
    auto parsed = parseJson("[" + repeat("[],", 3000000) + "[]]", "body");
    REQUIRE(parsed.has_error());
    CHECK(parsed.error().kind == ErrorKind::TooLarge);
    CHECK(parseJson("[" + repeat("0,", 100000) + "0]", "body").value().size() == 100001);
}

// Guards against one value that the parser refuses, which made all others of its list unreadable.
TEST_CASE("lists and objects are separated, whatever their values are")
{
    std::string deep = nestedJson(300000);
    std::string text
        = " [ 1e999 ,\"\\udcff\",\"\xff\",{\"a]\":\"[,\\\"\"}, NaN , " + deep + " ,, \"\", [1 ,2] x ] ";
    auto elements = splitJsonArray(text);
    REQUIRE(elements);
    CHECK(elements.value()
        == std::vector<std::string_view> {
            "1e999", "\"\\udcff\"", "\"\xff\"", "{\"a]\":\"[,\\\"\"}", "NaN", deep, "", "\"\"", "[1 ,2] x" });
    auto members = splitJsonObject(R"({"a":1e999,"b" : [1, 2] ,"\u0061":"last","c":,"":0})");
    REQUIRE(members);
    CHECK(members.value().size() == 5);
    CHECK(memberText(members.value(), "a") == "\"last\"");
    CHECK(memberText(members.value(), "b") == "[1, 2]");
    CHECK(memberText(members.value(), "c").empty());
    CHECK(memberText(members.value(), "d").empty());
    CHECK(splitJsonArray("[]").value().empty());
    CHECK(splitJsonObject(" { } ").value().empty());
}

// Guards against text that breaks off and is taken for a shorter list.
TEST_CASE("text that is no complete list or object is not separated")
{
    for (const char* text : { "", " ", "null", "5", "[", "[1", "[1,", "[1,\"a]", "[1,\"a\\", "[[1]", "[{]",
             "[1]]", "[1] 2", "{", "{\"a", "{\"a\"", "{\"a\":", "{\"a\":1", "{\"a\":1,", "{\"a\":1,}",
             "{a:1}", "{\"a\" 1}", "{1}", "{\"a\":{\"b\":1}", "\"[]\"" }) {
        CAPTURE(text);
        CHECK_FALSE(splitJsonArray(text));
        CHECK_FALSE(splitJsonObject(text));
    }
    CHECK(splitJsonArray("[" + repeat("0,", maxJsonValues + 1) + "0]").error().kind == ErrorKind::TooLarge);
}

// Guards against a separation that differs from what the parser reads.
TEST_CASE("the fuzz corpus of JSON texts is separated as it is parsed")
{
    CHECK(testing::replayCorpus("json", testing::exerciseJson) >= 4);
}

TEST_CASE("constant-time comparison distinguishes equal from unequal strings")
{
    CHECK(equalConstantTime("abc", "abc"));
    CHECK_FALSE(equalConstantTime("abc", "abd"));
    CHECK_FALSE(equalConstantTime("abc", "ab"));
}
