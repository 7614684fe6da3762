#include "process/testing/decoders.h"

// Messages of callers and upstreams, and streams of events.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    briarwharf::testing::exerciseHttp({ reinterpret_cast<const char*>(data), size });
    return 0;
}
