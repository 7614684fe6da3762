#include "process/testing/decoders.h"

// Fuzzes the decoder of frames from other instances.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    briarwharf::testing::exercisePeerFrame({ reinterpret_cast<const char*>(data), size });
    return 0;
}
