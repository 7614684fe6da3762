#include "version/testing/decoders.h"

// Fuzzes the parser of command texts from the operator interface.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    briarwharf::testing::exerciseCommands({ reinterpret_cast<const char*>(data), size });
    return 0;
}
