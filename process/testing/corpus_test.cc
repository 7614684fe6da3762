#include "process/testing/decoders.h"
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>

using namespace briarwharf;

namespace {

// Replays each input of fuzz/corpus/<name> at every truncated length. Returns the number of inputs.
std::size_t replay(const std::string& name, void (*exercise)(std::string_view))
{
    // __FILE__ may be a path relative to the build folder.
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

// Guards against decoders that crash or violate a property on an input that a fuzzer or an earlier fault
// produced.
TEST_CASE("the decoders of untrusted bytes accept the fuzz corpus without a violated property")
{
    CHECK(replay("peerframe", testing::exercisePeerFrame) >= 5);
    CHECK(replay("settings", testing::exerciseSettings) >= 2);
    CHECK(replay("caller", testing::exerciseCaller) >= 4);
    CHECK(replay("claims", testing::exerciseClaims) >= 1);
    CHECK(replay("http", testing::exerciseHttp) >= 4);
}
