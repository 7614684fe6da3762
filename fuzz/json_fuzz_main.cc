#include "base/testing/decoders.h"

// Fuzzes the parser of JSON text and the separation of its values.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    briarwharf::testing::exerciseJson({ reinterpret_cast<const char*>(data), size });
    return 0;
}
