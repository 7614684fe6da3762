#include "version/testing/decoders.h"

// Records and snapshots of the configuration, from the store and from peers.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    briarwharf::testing::exerciseRecords({ reinterpret_cast<const char*>(data), size });
    return 0;
}
