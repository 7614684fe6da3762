#include "standins/loadreport.h"
#include <algorithm>
#include <iomanip>
#include <sstream>

namespace briarwharf {

namespace {

    constexpr std::size_t maxSamples = 4000000;
    constexpr double median = 0.5;
    constexpr double highPercentile = 0.99;

    double ratio(std::uint64_t part, std::uint64_t whole)
    {
        return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
    }

    // The value below which this fraction of the sorted values lies.
    template <typename Value> double percentile(const std::vector<Value>& sorted, double part)
    {
        auto index = static_cast<std::size_t>(part * static_cast<double>(sorted.size()));
        return sorted[std::min(index, sorted.size() - 1)];
    }

    Json summarizeSkew(const LoadRunReport::Skew& skew)
    {
        auto largest = static_cast<double>(skew.largestRequestTokens);
        Json summary = { { "samples", skew.samples }, { "most_excess_tokens", skew.maxExcessTokens },
            { "largest_request_tokens", skew.largestRequestTokens },
            { "most_excess_requests", largest > 0 ? skew.maxExcessTokens / largest : 0 } };
        if (skew.ratios.empty())
            return summary;
        auto sorted = skew.ratios;
        std::sort(sorted.begin(), sorted.end());
        summary["median"] = percentile(sorted, median);
        summary["p99"] = percentile(sorted, highPercentile);
        summary["max"] = sorted.back();
        return summary;
    }

    void printSamples(std::ostream& out, const std::string& name, const Json& summary)
    {
        out << std::left << std::setw(24) << name << std::right << std::setw(9) << summary["count"].dump();
        for (const char* column : { "median", "p99", "mean", "max" }) {
            out << std::setw(11) << std::fixed << std::setprecision(2);
            if (summary.contains(column))
                out << summary[column].get<double>();
            else
                out << "-";
        }
        out << '\n';
    }

    void printCounts(std::ostream& out, const std::string& title, const Json& counts)
    {
        out << title << ':';
        for (const auto& [name, count] : counts.items())
            out << "  " << name << ' ' << count.dump();
        out << '\n';
    }

} // namespace

void Samples::add(std::chrono::nanoseconds duration)
{
    double milliseconds = std::chrono::duration<double, std::milli>(duration).count();
    ++m_count;
    m_sum += milliseconds;
    m_max = std::max(m_max, milliseconds);
    if (m_milliseconds.size() < maxSamples)
        m_milliseconds.push_back(static_cast<float>(milliseconds));
}

Json Samples::summary() const
{
    if (m_count == 0)
        return { { "count", 0 } };
    auto sorted = m_milliseconds;
    std::sort(sorted.begin(), sorted.end());
    return { { "count", m_count }, { "median", percentile(sorted, median) },
        { "p99", percentile(sorted, highPercentile) }, { "mean", m_sum / static_cast<double>(m_count) },
        { "max", m_max } };
}

Json ReuseCount::summary() const
{
    return { { "returning", returning }, { "reused", reused }, { "share", ratio(reused, returning) } };
}

Json LoadRunReport::toJson() const
{
    Json perOrganisation = Json::object();
    for (const auto& [name, organisation] : organisations) {
        perOrganisation[name]
            = { { "requests", organisation.requests }, { "outcomes", organisation.outcomes },
                  { "short_latency_ms", organisation.shortLatency.summary() },
                  { "long_latency_ms", organisation.longLatency.summary() } };
    }
    ReuseCount all { withHint.returning + withoutHint.returning, withHint.reused + withoutHint.reused };
    Json reuse = all.summary();
    reuse["with_hint"] = withHint.summary();
    reuse["without_hint"] = withoutHint.summary();
    reuse["cached_token_share"] = ratio(cachedTokens, promptTokens);
    Json serviceSummary = { { "calls", services.calls }, { "repeats", services.repeats },
        { "same_answer", services.sameAnswers }, { "different_answer", services.differentAnswers },
        { "ran_twice", services.ranTwice }, { "outcomes", services.outcomes },
        { "latency_ms", services.latency.summary() } };
    return { { "settings", settings }, { "duration_s", seconds }, { "requests", requests },
        { "completed", completed }, { "skipped_arrivals", skippedArrivals },
        { "throughput_rps", seconds > 0 ? static_cast<double>(completed) / seconds : 0 },
        { "tokens_per_s", seconds > 0 ? static_cast<double>(generatedTokens) / seconds : 0 },
        { "outcomes", outcomes }, { "error_types", errorTypes }, { "latency_ms", latency.summary() },
        { "short_latency_ms", shortLatency.summary() }, { "long_latency_ms", longLatency.summary() },
        { "first_token_ms", firstToken.summary() }, { "short_first_token_ms", shortFirstToken.summary() },
        { "between_tokens_ms", betweenTokens.summary() },
        { "checks",
            { { "foreign_text", foreignText }, { "foreign_identifier", foreignIdentifier },
                { "truncated_as_complete", truncatedAsComplete }, { "missing_outcome", missingOutcome } } },
        { "reuse", reuse }, { "organisations", perOrganisation }, { "services", serviceSummary },
        { "open_streams",
            { { "wanted", openStreams.wanted }, { "started", openStreams.started },
                { "most_open", openStreams.maxOpen }, { "chunks", openStreams.chunks } } },
        { "skew", summarizeSkew(skew) } };
}

std::string LoadRunReport::toTable() const
{
    Json json = toJson();
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << "requests " << requests << "  completed " << completed
        << "  in " << seconds << " s  " << json["throughput_rps"].get<double>() << " requests/s  "
        << json["tokens_per_s"].get<double>() << " tokens/s\n\n";
    out << std::left << std::setw(24) << "milliseconds" << std::right << std::setw(9) << "count"
        << std::setw(11) << "median" << std::setw(11) << "p99" << std::setw(11) << "mean" << std::setw(11)
        << "max" << '\n';
    for (const char* name : { "latency_ms", "short_latency_ms", "long_latency_ms", "first_token_ms",
             "short_first_token_ms", "between_tokens_ms" })
        printSamples(out, name, json[name]);
    for (const auto& [name, organisation] : json["organisations"].items())
        printSamples(out, name + " short", organisation["short_latency_ms"]);
    if (services.calls > 0)
        printSamples(out, "services", json["services"]["latency_ms"]);
    out << '\n';
    printCounts(out, "outcomes", json["outcomes"]);
    if (!errorTypes.empty())
        printCounts(out, "error types", json["error_types"]);
    printCounts(out, "checks", json["checks"]);
    for (const char* kind : { "with_hint", "without_hint" })
        printCounts(out, std::string("reuse ") + kind, json["reuse"][kind]);
    out << "cached token share: " << json["reuse"]["cached_token_share"].get<double>() << '\n';
    if (services.calls > 0) {
        printCounts(out, "service outcomes", json["services"]["outcomes"]);
        out << "service repeats: " << services.repeats << "  same answer " << services.sameAnswers
            << "  different answer " << services.differentAnswers << "  ran twice " << services.ranTwice
            << '\n';
    }
    if (openStreams.wanted > 0)
        printCounts(out, "open streams", json["open_streams"]);
    if (skew.samples > 0)
        printCounts(out, "skew", json["skew"]);
    return out.str();
}

} // namespace briarwharf
