#pragma once

#include "base/base.h"
#include <map>
#include <string>
#include <vector>

namespace briarwharf {

// Durations for percentiles. Every value is stored up to a maximum number; later values count only in the
// count, the mean and the maximum.
class Samples {
public:
    void add(std::chrono::nanoseconds);
    // {"count", "median", "p99", "mean", "max"} in milliseconds; only "count" if there are no values.
    Json summary() const;

private:
    std::vector<float> m_milliseconds;
    std::uint64_t m_count = 0;
    double m_sum = 0;
    double m_max = 0;
};

struct ReuseCount {
    std::uint64_t returning = 0; // turns of chats that already had an answer
    std::uint64_t reused = 0; // returning turns whose earlier prompt was wholly cached, within a tolerance

    Json summary() const;
};

// All results of a load run. The keys of the JSON form are stable, because scripts read them.
struct LoadRunReport {
    struct Organisation {
        std::uint64_t requests = 0;
        std::map<std::string, std::uint64_t> outcomes;
        Samples shortLatency;
        Samples longLatency;
    };

    struct Services {
        std::uint64_t calls = 0;
        std::uint64_t repeats = 0; // calls with an idempotency key that was used before
        std::uint64_t sameAnswers = 0; // later answers of a key whose body equals that of its first answer
        std::uint64_t differentAnswers = 0;
        std::uint64_t ranTwice = 0; // answers that show that the call ran more than once
        std::map<std::string, std::uint64_t> outcomes;
        Samples latency;
    };

    struct OpenStreams {
        std::uint64_t wanted = 0;
        std::uint64_t started = 0; // streams whose first chunk arrived
        std::uint64_t maxOpen = 0; // maximum number of streams open at the same time
        std::uint64_t chunks = 0;
    };

    // Sampled load of the engines, in tokens in progress: the busiest engine compared with the mean.
    struct Skew {
        std::uint64_t samples = 0; // samples whose mean is at least the floor
        std::vector<double> ratios; // busiest engine divided by the mean, for each sample
        double maxExcessTokens = 0; // tokens of the busiest engine above the load bound times the mean
        std::uint64_t largestRequestTokens = 0; // prompt and answer; a single request cannot be split
    };

    Json toJson() const;
    // The main figures of the JSON form as a table for people to read.
    std::string toTable() const;

    Json settings = Json::object();
    double seconds = 0; // from the first request to the last answer
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t generatedTokens = 0; // of completed answers
    std::uint64_t skippedArrivals = 0; // arrivals skipped because too many requests were in flight
    std::map<std::string, std::uint64_t> outcomes;
    // Types of typed errors, including those of service calls.
    std::map<std::string, std::uint64_t> errorTypes;
    Samples latency;
    Samples shortLatency;
    Samples longLatency;
    Samples firstToken;
    Samples shortFirstToken;
    Samples betweenTokens;
    std::uint64_t foreignText = 0;
    std::uint64_t foreignIdentifier = 0;
    std::uint64_t truncatedAsComplete = 0; // end marker or whole answer received, but words are missing
    std::uint64_t missingOutcome = 0; // router answers without the header X-Briarwharf-Outcome
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
