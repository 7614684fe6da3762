#include "base/testing/corpus.h"
#include "process/testing/decoders.h"
#include <doctest/doctest.h>

using namespace briarwharf;

// Guards against decoders that crash or violate a property on an input that a fuzzer or an earlier fault
// produced.
TEST_CASE("the decoders of untrusted bytes accept the fuzz corpus without a violated property")
{
    CHECK(testing::replayCorpus("peerframe", testing::exercisePeerFrame) >= 5);
    CHECK(testing::replayCorpus("directorylist", testing::exerciseDirectoryList) >= 3);
    CHECK(testing::replayCorpus("settings", testing::exerciseSettings) >= 2);
    CHECK(testing::replayCorpus("caller", testing::exerciseCaller) >= 4);
    CHECK(testing::replayCorpus("claims", testing::exerciseClaims) >= 1);
    CHECK(testing::replayCorpus("http", testing::exerciseHttp) >= 21);
}
