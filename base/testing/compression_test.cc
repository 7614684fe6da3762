#include "base/base.h"

#include <doctest/doctest.h>

using namespace briarwharf;

TEST_CASE("decompression restores the data, also when it is empty or incompressible")
{
    Random random(1);
    std::string noise;
    for (int i = 0; i < 100000; ++i)
        noise += static_cast<char>(random.below(256));
    for (const std::string& bytes : { std::string(), std::string("a"), std::string(300000, 'x'), noise }) {
        auto read = decompress(compress(bytes), bytes.size());
        REQUIRE(read);
        CHECK(read.value() == bytes);
    }
    CHECK(compress(std::string(300000, 'x')).size() < 1000);
}

// Guards against a short message that decompresses to gigabytes and exhausts the memory.
TEST_CASE("decompression stops at the size limit")
{
    auto read = decompress(compress(std::string(10 * 1000 * 1000, 'x')), 1000 * 1000);
    REQUIRE_FALSE(read);
    CHECK(read.error().kind == ErrorKind::TooLarge);
}

TEST_CASE("corrupt, truncated and extended data is rejected")
{
    std::string bytes = compress("a document of several words, several words");
    std::string damaged = bytes;
    damaged[damaged.size() / 2] = static_cast<char>(damaged[damaged.size() / 2] ^ 0x55);
    for (const std::string& wrong : { damaged, bytes.substr(0, bytes.size() - 1), bytes + "x", std::string(),
             std::string("no such format") }) {
        auto read = decompress(wrong, 1000);
        REQUIRE_FALSE(read);
        CHECK(read.error().kind == ErrorKind::Corrupt);
    }
}
