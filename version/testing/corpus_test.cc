#include "version/testing/decoders.h"
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace briarwharf;

namespace {

// Finds a file or folder of the source tree, starting from the path that the compiler was given for this
// file, or from the working directory or its parent.
std::filesystem::path sourcePath(const std::filesystem::path& relative)
{
    std::filesystem::path source = std::filesystem::path(__FILE__).parent_path() / ".." / "..";
    for (const std::filesystem::path& root :
        { source, std::filesystem::path("."), std::filesystem::path("..") }) {
        if (std::filesystem::exists(root / relative))
            return root / relative;
    }
    return relative;
}

// Runs `exercise` on each input in fuzz/corpus/<name> and returns the number of inputs.
std::size_t replay(std::string_view name, void (*exercise)(std::string_view))
{
    std::size_t count = 0;
    for (const auto& entry :
        std::filesystem::directory_iterator(sourcePath(std::filesystem::path("fuzz") / "corpus" / name))) {
        std::ifstream file(entry.path(), std::ios::binary);
        std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        exercise(bytes);
        // Also runs on every truncation of the input, because payloads may be cut off at any byte.
        for (std::size_t size = 0; size < bytes.size(); ++size)
            exercise(std::string_view(bytes).substr(0, size));
        ++count;
    }
    return count;
}

} // namespace

// Guards against a decoder that crashes or violates an invariant on an input that once exposed a fault, in
// fuzzing or elsewhere.
TEST_CASE("the fuzz corpus passes the decoders")
{
    CHECK(replay("command", testing::exerciseCommands) >= 7);
    CHECK(replay("record", testing::exerciseRecords) >= 6);
}

// Guards against documentation with examples that the parser refuses.
TEST_CASE("the examples of docs/commands.md are commands")
{
    std::ifstream page(sourcePath("docs/commands.md"));
    int examples = 0;
    bool inStatements = false;
    bool inBlock = false;
    for (std::string line; std::getline(page, line);) {
        if (line.rfind("## ", 0) == 0)
            inStatements = line == "## Statements";
        if (line.rfind("```", 0) == 0) {
            inBlock = !inBlock;
        } else if (inStatements && inBlock) {
            auto command = parseCommand(line);
            CHECK_MESSAGE(command.has_value(), line);
            ++examples;
        }
    }
    CHECK(examples > 30);
}
