#pragma once

#include "base/error.h"
#include "base/time.h"
#include "version/version.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// The contents of the settings file; docs/settings.md lists every key.
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
        Milliseconds timeout { 1000 }; // for one call to the store
    } store;

    // The source of the configuration and the list of upstreams; see docs/platform.md.
    struct Directory {
        std::string source = "log"; // or "platform"
        // For this long, an upstream that lapsed (its entry disappeared from the list without a drain) is
        // chosen only if no other one is available.
        Milliseconds lapseHold { 1700 };
        bool evacuations = false; // send nothing to upstreams of failure domains that the operator evacuates
    } directory;

    struct Fleet {
        // Other instances. Only the IP numbers are used; the port is that of this instance's `listen.peers`.
        std::vector<Endpoint> seeds;
        double retryRatio = 0.2; // retries for each request, over the window and all instances
        Milliseconds retryWindow { 10000 }; // time over which retries are counted
        // In any second, a cold upstream gets at most this many times its rate, and this many requests more,
        // from all instances together.
        double coldBurstRatio = 1.5;
        double coldBurstRequests = 5;
        double retrySlack = 50; // retries in a window that all instances together may add to the ratio
        // Whether organisations share a pool of plain services that cannot serve the whole demand.
        bool fairShares = false;
        // Hedges for each request to a pool, over the retry window and all instances; 0: none are sent.
        double hedgeRatio = 0;
        // A hedge is sent after this quantile of the times to the first byte of its route at its pool.
        double hedgeQuantile = 0.95;
    } fleet;

    struct Operator {
        std::string tokenHash; // SHA-256 of the operators' token in hexadecimal
    } operators;

    struct Limits {
        std::int64_t maxBodyBytes = 4 * 1024 * 1024;
        std::int64_t maxHeaderBytes = 32 * 1024;
        std::int64_t maxConnections = 10000;
        std::int64_t memoryMb = 256; // of the machine
        std::int64_t maxFds = 0; // that the machine allows the process; 0: not stated
        std::int64_t maxAnswerBytes = 16 * 1024 * 1024; // of an answer that is buffered, not streamed
        // Unsent bytes of one stream, whose caller is slow, at which reading from the upstream pauses.
        std::int64_t streamBufferBytes = 256 * 1024;
        Milliseconds requestDeadline { 120000 }; // of a request whose caller sets none
        Milliseconds maxRequestDeadline { 900000 }; // that a caller may set
        Milliseconds upstreamSilence { 15000 }; // maximum time without a byte from an upstream's stream
        Milliseconds slowCallerTimeout { 60000 }; // maximum time for which a caller reads no byte
        Milliseconds shutdownGrace { 30000 }; // time that requests in progress get at shutdown
        std::int64_t maxResumes = 3; // of one interrupted stream
    } limits;

    struct Hint {
        std::string key; // signs residence hints; the same on all instances
        std::string previousKey; // hints signed with it are still accepted during a key change
    } hint;

    struct Trace {
        std::string collector; // IP:PORT of an OTLP/HTTP collector; empty: no spans are sent
        double sampleRatio = 1; // share of the traces started by this instance that are sent
    } trace;

    struct Log {
        std::string level = "info";
    } log;

    // Values and sections of the template that were left unrendered and keep their defaults, one text each.
    std::vector<std::string> unrendered;
};

// A value from the command line, which goes before that of the file.
struct SettingsOverride {
    std::string section;
    std::string key;
    std::string value; // empty: the file's value, or the default, stays
};

// Parses "SECTION.KEY=VALUE". Errors: InvalidArgument.
Result<SettingsOverride> parseOverride(std::string_view text);

// Where the settings of a process come from.
struct SettingsSource {
    std::string file;
    std::vector<SettingsOverride> overrides;
};

// Parses INI text. `source.file` is the name that errors show. Errors: InvalidArgument; the message has one
// line for each problem, with file, line number, key, allowed range and remedy.
Result<Settings> parseSettings(std::string_view text, const SettingsSource&);

// Errors: NotFound if the file cannot be read, otherwise as parseSettings().
Result<Settings> loadSettings(const SettingsSource&);

// An INI file with every key, its default and its range; --print-example prints it.
std::string exampleSettings();

} // namespace briarwharf
