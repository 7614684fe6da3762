#include "base/testing/corpus.h"
#include "version/testing/decoders.h"
#include <doctest/doctest.h>
#include <fstream>

using namespace briarwharf;

// Guards against a decoder that crashes or violates an invariant on an input that once exposed a fault, in
// fuzzing or elsewhere.
TEST_CASE("the fuzz corpus passes the decoders")
{
    CHECK(testing::replayCorpus("command", testing::exerciseCommands) >= 7);
    CHECK(testing::replayCorpus("record", testing::exerciseRecords) >= 6);
}

// Guards against documentation with examples that the parser refuses.
TEST_CASE("the examples of docs/commands.md are commands")
{
    std::ifstream page(testing::sourcePath("docs/commands.md"));
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
