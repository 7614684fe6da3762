#include "version/testing/decoders.h"
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace briarwharf;

namespace {

// The corpus, from the folder that the compiler was given for this file or from the working folder's parents.
std::filesystem::path corpusFolder(std::string_view name)
{
    std::filesystem::path relative = std::filesystem::path("fuzz") / "corpus" / name;
    std::filesystem::path source = std::filesystem::path(__FILE__).parent_path() / ".." / "..";
    for (const std::filesystem::path& root :
        { source, std::filesystem::path("."), std::filesystem::path("..") }) {
        if (std::filesystem::exists(root / relative))
            return root / relative;
    }
    return relative;
}

// Inputs replayed from fuzz/corpus/<name>.
std::size_t replay(std::string_view name, void (*exercise)(std::string_view))
{
    std::size_t count = 0;
    for (const auto& entry : std::filesystem::directory_iterator(corpusFolder(name))) {
        std::ifstream file(entry.path(), std::ios::binary);
        std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        exercise(bytes);
        // Every truncation too: payloads may be cut anywhere.
        for (std::size_t size = 0; size < bytes.size(); ++size)
            exercise(std::string_view(bytes).substr(0, size));
        ++count;
    }
    return count;
}

} // namespace

// Guards against a decoder that crashes or breaks a promise on an input that a fuzzer or a fault once found.
TEST_CASE("the fuzz corpus passes the decoders")
{
    CHECK(replay("command", testing::exerciseCommands) >= 7);
    CHECK(replay("record", testing::exerciseRecords) >= 6);
}
