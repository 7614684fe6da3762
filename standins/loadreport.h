#pragma once

#include "base/base.h"
#include <map>
#include <string>
#include <vector>

namespace briarwharf {

// Durations, kept whole up to a bound, for percentiles.
class Samples {
public:
    void add(std::chrono::nanoseconds);
    // {"count", "median", "p99", "mean", "max"} in milliseconds; only "count" if there are none.
    Json summary() const;

private:
    std::vector<float> m_milliseconds;
    std::uint64_t m_count = 0;
    double m_sum = 0;
    double m_max = 0;
};

struct ReuseCount {
    std::uint64_t returning = 0; // turns after a chat's first answer
    std::uint64_t reused = 0; // of these, with the whole earlier prompt cached

    Json summary() const;
};

// Everything that a run measures. The keys of the JSON form are stable; scripts read them.
struct LoadRunReport {
    struct Organisation {
        std::uint64_t requests = 0;
        std::map<std::string, std::uint64_t> outcomes;
        Samples shortLatency;
        Samples longLatency;
    };

    struct Services {
        std::uint64_t calls = 0;
        std::uint64_t repeats = 0; // calls whose key was used before
        std::uint64_t sameAnswer = 0; // repeats with the first answer's body
        std::uint64_t differentAnswer = 0;
        std::uint64_t ranTwice = 0; // answers that tell of a second run
        std::map<std::string, std::uint64_t> outcomes;
        Samples latency;
    };

    struct OpenStreams {
        std::uint64_t wanted = 0;
        std::uint64_t started = 0; // first chunk came
        std::uint64_t mostOpen = 0;
        std::uint64_t chunks = 0;
    };

    // Load of the engines, sampled: the busiest one against the mean.
    struct Skew {
        std::uint64_t samples = 0; // with a mean of at least the floor
        std::vector<double> ratios;
        double mostExcessTokens = 0; // of the busiest engine over the bound times the mean
        std::uint64_t largestRequestTokens = 0; // prompt and answer; one request cannot be split
    };

    Json toJson() const;
    // For people; the same figures.
    std::string toTable() const;

    Json settings = Json::object();
    double seconds = 0; // from the first request to the last answer
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t generatedTokens = 0; // of completed answers
    std::uint64_t skippedArrivals = 0; // too many requests were in flight
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> errorTypes; // of the typed errors, services included
    Samples latency;
    Samples shortLatency;
    Samples longLatency;
    Samples firstToken;
    Samples shortFirstToken;
    Samples betweenTokens;
    std::uint64_t foreignText = 0;
    std::uint64_t foreignIdentifier = 0;
    std::uint64_t truncatedAsComplete = 0; // end mark or whole answer, but words are missing
    std::uint64_t missingOutcome = 0; // answers of the router without X-Briarwharf-Outcome
    ReuseCount withHint;
    ReuseCount withoutHint;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::map<std::string, Organisation> organisations;
    Services services;
    OpenStreams openStreams;
    Skew skew;
};

} // namespace briarwharf
