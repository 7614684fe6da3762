// Crowds of callers that nobody controls, against the daemon as a process of its own. No case checks a time
// or a share of served requests.

#include "hostile/testing/rig.h"
#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;
constexpr std::size_t maxBodyBytes = 4 * mebibyte;

// The smallest machine states 112 MB. An eighth of it is left to what is no memory of the process: the system
// itself and the buffers of its sockets.
constexpr int smallestMachineMb = 112;
constexpr std::size_t memoryBound = smallestMachineMb * mebibyte * 7 / 8;

constexpr int maxConnections = 300;
// Each connection of a caller may need one to an upstream; 100 for all other kinds in this small deployment.
constexpr std::size_t descriptorBound = 2 * maxConnections + 100;

std::string chunk(std::size_t bytes)
{
    std::string out;
    appendChunk(out, std::string(bytes, 'x'));
    return out;
}

// A chunked body that stops short of its end and stays open.
CallerScript unfinishedBody(HostileRig& rig, std::size_t chunkBytes, std::size_t bodyBytes)
{
    CallerScript script;
    script.opening = rig.requestHead("POST", "/ordinary/") + "Transfer-Encoding: chunked\r\n\r\n";
    // Small chunks are sent many at once, so that the rig's own writes do not limit the rate.
    std::size_t chunksPerPiece = std::max<std::size_t>(1, 16 * 1024 / chunkBytes);
    for (std::size_t i = 0; i < chunksPerPiece; ++i)
        script.piece += chunk(chunkBytes);
    script.pieces = (bodyBytes - 10) / (chunkBytes * chunksPerPiece);
    std::size_t rest = bodyBytes - 10 - script.pieces * chunkBytes * chunksPerPiece;
    if (rest > 0)
        script.closing = chunk(rest);
    return script;
}

void checkHealthy(HostileRig& rig)
{
    REQUIRE(rig.isAlive());
    MESSAGE("peak ", rig.peakMemoryBytes() / mebibyte, " MB, descriptors ", rig.openDescriptors());
#ifndef __SANITIZE_ADDRESS__ // with which the daemon holds shadow memory and what it has freed
    CHECK(rig.peakMemoryBytes() < memoryBound);
#endif
    CHECK(rig.openDescriptors() < descriptorBound);
    CHECK(rig.call("POST", "/ordinary/", std::string(1000, 'x')) == 200);
    CHECK(rig.checkHealth() == 200);
}

HostileRig::Options smallest() { return { smallestMachineMb, maxConnections }; }

} // namespace

// Guards against a process that runs out of memory because many bodies stop just short of their end.
TEST_CASE("bodies in large chunks that stop short of their end")
{
    HostileRig rig(smallest());
    rig.runCrowd(200, unfinishedBody(rig, 64 * 1024, maxBodyBytes));
    checkHealthy(rig);
}

// The same with few callers, which hold more each than the buffers' sum says.
TEST_CASE("few bodies in large chunks that stop short of their end")
{
    HostileRig rig(smallest());
    rig.runCrowd(40, unfinishedBody(rig, 64 * 1024, maxBodyBytes));
    checkHealthy(rig);
}

TEST_CASE("bodies in small chunks that stop short of their end")
{
    HostileRig rig(smallest());
    rig.runCrowd(100, unfinishedBody(rig, 4 * 1024, maxBodyBytes));
    checkHealthy(rig);
}

// Guards against state of the parser or the connection that grows with the number of chunks.
TEST_CASE("bodies in chunks of one byte that stop short of their end")
{
    HostileRig rig(smallest());
    rig.runCrowd(250, unfinishedBody(rig, 1, 200 * 1024));
    checkHealthy(rig);
}

// Guards against bodies over the limit that are kept while they arrive.
TEST_CASE("bodies far over the limit, announced or just sent")
{
    HostileRig rig(smallest());
    CallerScript announced;
    announced.opening = rig.requestHead("POST", "/ordinary/") + "Content-Length: 67108864\r\n\r\n";
    announced.piece = std::string(64 * 1024, 'x');
    announced.pieces = 200;
    rig.runCrowd(60, announced);
    rig.runCrowd(60, unfinishedBody(rig, 64 * 1024, 3 * maxBodyBytes));
    checkHealthy(rig);
}

// Guards against heads that hold memory, and against slow senders that keep all connections.
TEST_CASE("heads that do not end")
{
    HostileRig rig(smallest());
    CallerScript script;
    script.opening = rig.requestHead("GET", "/ordinary/");
    script.piece = "a: b\r\n";
    script.pieces = 2500; // each line takes more memory than it has bytes
    rig.runCrowd(maxConnections, script);
    checkHealthy(rig);
}

// Guards against silent connections that take every connection for as long as an idle one is kept.
TEST_CASE("connections that never send")
{
    HostileRig rig(smallest());
    rig.runCrowd(maxConnections + 100, CallerScript {});
    checkHealthy(rig);
}

// Guards against pipelined input that is kept without bound behind a request that waits for its answer.
TEST_CASE("many pipelined requests")
{
    HostileRig rig(smallest());
    CallerScript script;
    script.opening = rig.requestHead("POST", "/silent/") + "Content-Length: 0\r\n\r\n";
    for (int i = 0; i < 100; ++i)
        script.piece += rig.requestHead("POST", "/silent/") + "Content-Length: 0\r\n\r\n";
    script.pieces = 100;
    rig.runCrowd(200, script);
    checkHealthy(rig);
}

// Guards against answers that stay in memory because their callers do not read them.
TEST_CASE("callers that do not read their answers")
{
    HostileRig rig(smallest());
    CallerScript script;
    script.reads = false;
    for (int i = 0; i < 20; ++i)
        script.opening += rig.requestHead("POST", "/large/") + "Content-Length: 0\r\n\r\n";
    rig.runCrowd(80, script);
    checkHealthy(rig);
}

// Guards against limits that ordinary requests run into: in calm the largest body is served, also several at
// once.
TEST_CASE("the largest body is served on the smallest machine")
{
    HostileRig rig(smallest());
    CHECK(rig.call("POST", "/ordinary/", std::string(maxBodyBytes, 'x')) == 200);
    CHECK(rig.callTogether(6, std::string(maxBodyBytes, 'x')) == 6);
    checkHealthy(rig);
}
