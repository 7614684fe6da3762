#include "platform/testing/decoders.h"

// Objects of the platform's store: registrations, the operator's document, instances.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    briarwharf::testing::exercisePlatform({ reinterpret_cast<const char*>(data), size });
    return 0;
}
