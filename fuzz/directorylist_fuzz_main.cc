#include "process/testing/decoders.h"

// Fuzzes the decoder of lists of upstreams from other instances.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    briarwharf::testing::exerciseDirectoryList({ reinterpret_cast<const char*>(data), size });
    return 0;
}
