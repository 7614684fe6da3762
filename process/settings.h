#pragma once

#include "base/error.h"
#include "base/time.h"
#include "version/version.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// What a process learns from its settings file; docs/settings.md lists every key.
struct Settings {
    struct Instance {
        std::string id;
        std::string region = "local";
        std::string failureDomain = "a";
    } instance;

    struct Listen {
        Endpoint callers { "127.0.0.1", 8080 };
        Endpoint admin { "127.0.0.1", 8081 };
        Endpoint peers { "127.0.0.1", 8082 };
    } listen;

    struct StoreSettings {
        Endpoint endpoint { "127.0.0.1", 8090 };
        std::string prefix = "briarwharf";
        Milliseconds timeout { 1000 }; // for one call
    } store;

    // Where configuration and upstreams come from; docs/platform.md.
    struct Directory {
        std::string source = "log"; // or "platform"
        Milliseconds lapseHold { 1700 }; // an upstream whose entry vanished is the last choice for this long
    } directory;

    struct Fleet {
        std::vector<Endpoint> seeds; // addresses of other instances; their port is this instance's peer port
        double retryRatio = 0.2; // repeats for each request, over the window and all instances
        Milliseconds retryWindow { 10000 };
        double retrySlack = 50; // repeats in a window that the fleet may make beside the ratio
    } fleet;

    struct Operator {
        std::string tokenHash; // SHA-256 of the operators' token, hex
    } operators;

    struct Limits {
        std::int64_t maxBodyBytes = 4 * 1024 * 1024;
        std::int64_t maxHeaderBytes = 32 * 1024;
        std::int64_t maxConnections = 10000;
        std::int64_t maxAnswerBytes = 16 * 1024 * 1024; // for one whole answer held in memory
        std::int64_t streamBufferBytes = 256 * 1024; // for one slow caller before reading upstream pauses
        Milliseconds requestDeadline { 120000 }; // for one request when the caller sets none
        Milliseconds maxRequestDeadline { 900000 };
        Milliseconds upstreamSilence { 15000 }; // longest time without a byte from an upstream's stream
        Milliseconds slowCallerTimeout { 60000 }; // longest time that a caller may take no byte
        Milliseconds shutdownGrace { 30000 }; // for requests in progress at shutdown
        std::int64_t maxResumes = 3; // of one silent stream
    } limits;

    struct Hint {
        std::string key; // signs residence hints; equal on all instances
        std::string previousKey; // still accepted, for a change of keys
    } hint;

    struct Trace {
        std::string collector; // IP:PORT of an OTLP/HTTP collector; empty: off
        double sampleRatio = 1; // of the traces that this instance starts
    } trace;

    struct Log {
        std::string level = "info";
    } log;
};

// Reads INI text; `file` is named in errors. Errors: InvalidArgument with file, line, key, allowed range and
// remedy; all problems are listed, one a line.
Result<Settings> parseSettings(std::string_view text, const std::string& file);

// Errors: NotFound if the file cannot be read, otherwise as parseSettings().
Result<Settings> loadSettings(const std::string& file);

// An INI file with every key, its default and its range, as written by --print-example.
std::string exampleSettings();

} // namespace briarwharf
