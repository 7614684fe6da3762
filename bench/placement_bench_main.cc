#include "bench/placementdrive.h"
#include <boost/program_options.hpp>
#include <cstdio>
#include <ctime>
#include <iostream>

// Simulates the placement policies with fixed seeds and prints one line for each run:
//
//   placement-bench --scenario steady --policy all --seed 1
//
// --set arriving=0.8:1.1 and --set returning=1.05:1.2 override a strategy's thresholds, for experiments.

namespace options = boost::program_options;
using namespace briarwharf;

namespace {

struct PolicyRow {
    const char* name;
    PlacementKind kind;
    const char* strategy;
};

constexpr PolicyRow policyRows[] {
    { "rendezvous", PlacementKind::Rendezvous, "balanced" },
    { "bounded-ring", PlacementKind::BoundedRing, "balanced" },
    { "two-choices", PlacementKind::TwoChoices, "balanced" },
    { "least-loaded", PlacementKind::LeastLoaded, "balanced" },
    { "balanced", PlacementKind::BoundedRendezvous, "balanced" },
    { "skew", PlacementKind::BoundedRendezvous, "skew" },
    { "reuse", PlacementKind::BoundedRendezvous, "reuse" },
};

void steady(SimulationSettings&) { }

void large(SimulationSettings& settings)
{
    settings.engines = 200;
    settings.instances = 480;
    settings.requestsPerSecond = 2300;
    settings.longShare = 0.05;
    settings.longOutput = 1000;
    settings.warmup = 100;
    settings.duration = 60;
    settings.organisations.assign(46, 1);
    settings.organisations[0] = 4;
}

void churn(SimulationSettings& settings)
{
    settings.engines = 13;
    settings.joining = 1;
    settings.events = {
        { 150, SimulationEventKind::Crash, 3 },
        { 190, SimulationEventKind::Join, 3 },
        { 220, SimulationEventKind::Join, 12 },
        { 260, SimulationEventKind::Unreachable, 5 },
        { 262, SimulationEventKind::Reachable, 5 },
        { 268, SimulationEventKind::Unreachable, 5 },
        { 270, SimulationEventKind::Reachable, 5 },
        { 300, SimulationEventKind::Crash, 7 },
        { 300.5, SimulationEventKind::Unreachable, 8 },
        { 304, SimulationEventKind::Reachable, 8 },
        { 340, SimulationEventKind::Join, 7 },
        { 370, SimulationEventKind::Crash, 12 },
    };
}

void largeChurn(SimulationSettings& settings)
{
    large(settings);
    settings.joining = 2;
    settings.events = {
        { 105, SimulationEventKind::Crash, 3 },
        { 110, SimulationEventKind::Join, 198 },
        { 115, SimulationEventKind::Unreachable, 5 },
        { 117, SimulationEventKind::Reachable, 5 },
        { 125, SimulationEventKind::Crash, 7 },
        { 125, SimulationEventKind::Unreachable, 8 },
        { 130, SimulationEventKind::Reachable, 8 },
        { 135, SimulationEventKind::Join, 199 },
        { 140, SimulationEventKind::Join, 3 },
    };
}

// The weekly drain of every engine, one after the other, compressed in time: each
// engine drains for 40 s, and the next drain starts 20 s later.
void drain(SimulationSettings& settings)
{
    settings.duration = 12 * 60 + 30;
    for (std::size_t engine = 0; engine < settings.engines; ++engine) {
        double start = 125 + 60 * static_cast<double>(engine);
        settings.events.push_back({ start, SimulationEventKind::Drain, engine });
        settings.events.push_back({ start + 40, SimulationEventKind::Undrain, engine });
    }
}

void surge(SimulationSettings& settings)
{
    settings.surgeStart = 180;
    settings.surgeEnd = 300;
    settings.engine.batch = 64;
    settings.duration = 240;
}

void surgeAdmission(SimulationSettings& settings)
{
    surge(settings);
    settings.admission = true;
}

void largeSurge(SimulationSettings& settings)
{
    large(settings);
    settings.surgeStart = 115;
    settings.surgeEnd = 145;
}

struct ScenarioRow {
    const char* name;
    void (*fill)(SimulationSettings&);
};

constexpr ScenarioRow scenarioRows[] {
    { "steady", steady },
    { "churn", churn },
    { "drain", drain },
    { "surge", surge },
    { "surge-admission", surgeAdmission },
    { "large", large },
    { "large-churn", largeChurn },
    { "large-surge", largeSurge },
};

double percent(std::uint64_t count, std::uint64_t total)
{
    return total == 0 ? 100 : 100 * static_cast<double>(count) / static_cast<double>(total);
}

void print(const std::string& label, SimulationResult& result)
{
    std::printf("%-34s skew p50 %.3f p99 %.3f p99.9 %.3f peak %.3f | over %.4f%% settled %.4f%% worst %.3f | "
                "reuse %.2f%% of %llu",
        label.c_str(), result.skew.at(0.5), result.skew.at(0.99), result.skew.at(0.999), result.skew.at(1),
        100 * static_cast<double>(result.overBound)
            / static_cast<double>(std::max<std::uint64_t>(1, result.samples)),
        100 * static_cast<double>(result.overBoundSettled)
            / static_cast<double>(std::max<std::uint64_t>(1, result.samples)),
        result.maxLoadRatio, percent(result.reused, result.returning),
        static_cast<unsigned long long>(result.returning));
    std::printf(" | control %.0f B/s | decide %.2f us | mean %.0f", result.controlBytesPerSecond,
        result.decideNanoseconds / 1000, result.meanLoad);
    if (result.handedOver + result.handoverMissed > 0)
        std::printf(" | handover found %.2f%% of %llu, late %llu",
            percent(result.handoverFound, result.handedOver),
            static_cast<unsigned long long>(result.handedOver),
            static_cast<unsigned long long>(result.handoverMissed));
    if (result.sentToLeaving > 0)
        std::printf(" | to leaving %llu, last %.2f s", static_cast<unsigned long long>(result.sentToLeaving),
            result.lastSentToLeaving);
    std::printf(" | short wait p50 %.2f p99 %.2f quiet p99 %.2f max %.2f, time p99 %.1f | long wait p99 %.2f",
        result.shortWait.at(0.5), result.shortWait.at(0.99), result.nonSurgingShortWait.at(0.99),
        result.nonSurgingShortWait.at(1), result.shortTime.at(0.99), result.longWait.at(0.99));
    std::printf(" | requests %llu rejected %llu (short %llu, quiet %llu) lost %llu\n",
        static_cast<unsigned long long>(result.requests), static_cast<unsigned long long>(result.rejected),
        static_cast<unsigned long long>(result.shortRejected),
        static_cast<unsigned long long>(result.nonSurgingShortRejected),
        static_cast<unsigned long long>(result.lost));
}

// Measures the processor time of one decision, including LoadLedger::fill. A single instance is used, because
// the many instances of the simulation add cache misses. Prints the median and the minimum over batches,
// because other work on the machine disturbs single batches.
void measureDecisions(const PolicyRow& row, std::size_t engines, std::uint64_t seed)
{
    constexpr int batches = 15;
    constexpr int decisions = 2000;
    Random random(seed);
    LoadLedger ledger;
    std::vector<UpstreamView> views(engines);
    MonotonicTime now { std::chrono::hours(1) };
    for (std::size_t index = 0; index < engines; ++index) {
        views[index].id = upstreamId("engine-" + std::to_string(index));
        ledger.report(views[index].id, 100000 + static_cast<std::int64_t>(random.below(40000)), now);
    }
    auto placement = makePlacement(row.kind, placementSettings(row.strategy).value());
    std::uint64_t check = 0;
    Percentiles times;
    for (int batch = 0; batch < batches; ++batch) {
        std::clock_t begin = std::clock();
        for (int count = 0; count < decisions; ++count) {
            PlacementRequest request;
            request.chat = random.next();
            request.tokens = 1000;
            request.outputTokens = 200;
            request.typicalOutputTokens = 2000;
            request.returning = count % 8 != 0;
            if (request.returning)
                request.hint = views[random.below(engines)].id;
            ledger.fill(views, now + Milliseconds(700));
            check += placement->decide(request, views).upstream.value_or(0);
        }
        times.values.push_back(static_cast<double>(std::clock() - begin) * 1e6 / CLOCKS_PER_SEC / decisions);
    }
    std::printf("decision %-14s %3zu upstreams: median %.2f us, least %.2f us (check %016llx)\n", row.name,
        engines, times.at(0.5), times.at(0), static_cast<unsigned long long>(check));
}

bool readRange(const std::string& text, SpillRange& range)
{
    return std::sscanf(text.c_str(), "%lf:%lf", &range.lower, &range.upper) == 2;
}

} // namespace

int main(int argc, char** argv)
{
    std::string scenario;
    std::string policy;
    std::string arriving;
    std::string returning;
    SimulationSettings defaults;
    options::options_description description("placement-bench");
    auto add = description.add_options();
    add("help", "print this help");
    add("scenario", options::value(&scenario)->default_value("steady"),
        "scenario, decision (time of one decision) or all");
    add("policy", options::value(&policy)->default_value("all"), "policy or all");
    add("seed", options::value(&defaults.seed)->default_value(1), "seed");
    add("instances", options::value<std::size_t>(), "number of instances");
    add("trace", "prints every engine sample above the bound");
    add("notices", "instances notify each other of the requests that they send");
    add("notice-tokens", options::value(&defaults.minNoticeTokens),
        "minimum tokens of a request that causes a notice");
    add("slot-share", options::value(&defaults.slotShare), "share of the engines' slots that instances use");
    add("no-hints", "callers return no hint");
    add("no-feedback", "answers do not report the engine's load");
    add("interval", options::value(&defaults.reportInterval), "seconds between reports");
    add("lag", options::value<double>(), "lag of every report, seconds");
    add("arriving", options::value(&arriving), "lower:upper, overrides the strategy");
    add("short-stay", options::value<double>(), "overrides the strategy");
    add("returning", options::value(&returning), "lower:upper, overrides the strategy");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, description), given);
    options::notify(given);
    if (given.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    if (scenario == "decision" || scenario == "all")
        for (const PolicyRow& row : policyRows)
            for (std::size_t engines : { 12, 200 })
                if (policy == "all" || policy == row.name)
                    measureDecisions(row, engines, defaults.seed);
    for (const ScenarioRow& scenarioRow : scenarioRows) {
        if (scenario != "all" && scenario != scenarioRow.name)
            continue;
        for (const PolicyRow& policyRow : policyRows) {
            if (policy != "all" && policy != policyRow.name)
                continue;
            SimulationSettings settings = defaults;
            scenarioRow.fill(settings);
            settings.kind = policyRow.kind;
            settings.placement = placementSettings(policyRow.strategy).value();
            settings.trace = given.count("trace") > 0;
            settings.notices = given.count("notices") > 0;
            settings.hints = given.count("no-hints") == 0;
            settings.answerFeedback = given.count("no-feedback") == 0;
            if (given.count("instances") > 0)
                settings.instances = given["instances"].as<std::size_t>();
            if (given.count("lag") > 0)
                settings.maxLag = settings.minLag = given["lag"].as<double>();
            if (!arriving.empty() && !readRange(arriving, settings.placement.arriving))
                return 2;
            if (!returning.empty() && !readRange(returning, settings.placement.returning))
                return 2;
            if (given.count("short-stay") > 0)
                settings.placement.shortOutputThreshold = given["short-stay"].as<double>();
            SimulationResult result = PlacementSimulation(settings).run();
            print(std::string(scenarioRow.name) + " " + policyRow.name, result);
        }
    }
    return 0;
}
