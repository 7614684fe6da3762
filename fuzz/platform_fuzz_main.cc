#include "platform/testing/decoders.h"

// Fuzzes the decoders of objects from the platform's store: upstream registrations, the operator's
// configuration document, instances and quarantines.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    briarwharf::testing::exercisePlatform({ reinterpret_cast<const char*>(data), size });
    return 0;
}
