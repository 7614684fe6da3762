#include "process/testing/decoders.h"

// Bodies and headers of callers, and event streams of engines.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    briarwharf::testing::exerciseCaller({ reinterpret_cast<const char*>(data), size });
    return 0;
}
