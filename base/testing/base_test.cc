#include "base/base.h"
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

TEST_CASE("constant-time comparison distinguishes equal from unequal strings")
{
    CHECK(equalConstantTime("abc", "abc"));
    CHECK_FALSE(equalConstantTime("abc", "abd"));
    CHECK_FALSE(equalConstantTime("abc", "ab"));
}
