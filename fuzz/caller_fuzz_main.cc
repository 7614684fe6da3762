#include "process/testing/decoders.h"

// Fuzzes the parsers of callers' bodies and header fields and of engines' event streams.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    briarwharf::testing::exerciseCaller({ reinterpret_cast<const char*>(data), size });
    return 0;
}
