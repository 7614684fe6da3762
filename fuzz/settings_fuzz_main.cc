#include "process/testing/decoders.h"

// Fuzzes the parser of settings files.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    briarwharf::testing::exerciseSettings({ reinterpret_cast<const char*>(data), size });
    return 0;
}
