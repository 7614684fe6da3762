#include "version/testing/decoders.h"

// Fuzzes the decoders of configuration records and snapshots, which come from the store and from peers.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    briarwharf::testing::exerciseRecords({ reinterpret_cast<const char*>(data), size });
    return 0;
}
