#include "process/testing/decoders.h"
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>

using namespace briarwharf;

namespace {

// Inputs replayed from fuzz/corpus/<name>, each with every truncation.
std::size_t replay(const std::string& name, void (*exercise)(std::string_view))
{
    // The compiler may have been given a relative path, from the build folder.
    auto root = std::filesystem::path(__FILE__).parent_path() / ".." / "..";
    if (!std::filesystem::exists(root / "fuzz"))
        root = std::filesystem::exists("fuzz") ? "." : "..";
    std::size_t count = 0;
    for (const auto& entry : std::filesystem::directory_iterator(root / "fuzz" / "corpus" / name)) {
        std::ifstream file(entry.path(), std::ios::binary);
        std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        for (std::size_t size = 0; size <= bytes.size(); ++size)
            exercise(std::string_view(bytes).substr(0, size));
        ++count;
    }
    return count;
}

} // namespace

// Guards against a decoder that crashes or breaks a promise on an input that a fuzzer or a fault once found.
TEST_CASE("the fuzz corpus passes the decoders of outside bytes")
{
    CHECK(replay("peerframe", testing::exercisePeerFrame) >= 5);
    CHECK(replay("settings", testing::exerciseSettings) >= 2);
    CHECK(replay("caller", testing::exerciseCaller) >= 4);
    CHECK(replay("claims", testing::exerciseClaims) >= 1);
    CHECK(replay("http", testing::exerciseHttp) >= 4);
}
