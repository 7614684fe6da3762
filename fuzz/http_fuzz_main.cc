#include "process/testing/decoders.h"

// Fuzzes the parsers of HTTP messages from callers and upstreams and of event streams.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    briarwharf::testing::exerciseHttp({ reinterpret_cast<const char*>(data), size });
    return 0;
}
