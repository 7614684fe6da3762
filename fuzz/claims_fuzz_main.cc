#include "process/testing/decoders.h"

// Fuzzes the decoders of claim records and claim snapshots, which come from the store.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    briarwharf::testing::exerciseClaims({ reinterpret_cast<const char*>(data), size });
    return 0;
}
