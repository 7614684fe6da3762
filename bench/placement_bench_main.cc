#include "bench/placementdrive.h"
#include <boost/program_options.hpp>
#include <cstdio>
#include <ctime>
#include <iostream>

// Drives the placement policies with fixed seeds and prints one line for each run:
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

void steady(DriveSettings&) { }

void large(DriveSettings& drive)
{
    drive.engines = 200;
    drive.instances = 480;
    drive.requestsPerSecond = 2300;
    drive.longShare = 0.05;
    drive.longOutput = 1000;
    drive.warmup = 100;
    drive.duration = 60;
    drive.organisations.assign(46, 1);
    drive.organisations[0] = 4;
}

void churn(DriveSettings& drive)
{
    drive.engines = 13;
    drive.joining = 1;
    drive.events = {
        { 150, DriveEventKind::Crash, 3 },
        { 190, DriveEventKind::Join, 3 },
        { 220, DriveEventKind::Join, 12 },
        { 260, DriveEventKind::Unreachable, 5 },
        { 262, DriveEventKind::Reachable, 5 },
        { 268, DriveEventKind::Unreachable, 5 },
        { 270, DriveEventKind::Reachable, 5 },
        { 300, DriveEventKind::Crash, 7 },
        { 300.5, DriveEventKind::Unreachable, 8 },
        { 304, DriveEventKind::Reachable, 8 },
        { 340, DriveEventKind::Join, 7 },
        { 370, DriveEventKind::Crash, 12 },
    };
}

void largeChurn(DriveSettings& drive)
{
    large(drive);
    drive.joining = 2;
    drive.events = {
        { 105, DriveEventKind::Crash, 3 },
        { 110, DriveEventKind::Join, 198 },
        { 115, DriveEventKind::Unreachable, 5 },
        { 117, DriveEventKind::Reachable, 5 },
        { 125, DriveEventKind::Crash, 7 },
        { 125, DriveEventKind::Unreachable, 8 },
        { 130, DriveEventKind::Reachable, 8 },
        { 135, DriveEventKind::Join, 199 },
        { 140, DriveEventKind::Join, 3 },
    };
}

// The weekly drain of every engine, one after the other, compressed: 40 s out, 20 s between.
void drain(DriveSettings& drive)
{
    drive.duration = 12 * 60 + 30;
    for (std::size_t engine = 0; engine < drive.engines; ++engine) {
        double start = 125 + 60 * static_cast<double>(engine);
        drive.events.push_back({ start, DriveEventKind::Drain, engine });
        drive.events.push_back({ start + 40, DriveEventKind::Undrain, engine });
    }
}

void surge(DriveSettings& drive)
{
    drive.surgeStart = 180;
    drive.surgeEnd = 300;
    drive.engine.batch = 64;
    drive.duration = 240;
}

void surgeAdmission(DriveSettings& drive)
{
    surge(drive);
    drive.admission = true;
}

void largeSurge(DriveSettings& drive)
{
    large(drive);
    drive.surgeStart = 115;
    drive.surgeEnd = 145;
}

struct ScenarioRow {
    const char* name;
    void (*fill)(DriveSettings&);
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

double percent(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 100 : 100 * static_cast<double>(part) / static_cast<double>(whole);
}

void print(const std::string& label, DriveResult& result)
{
    std::printf("%-34s skew p50 %.3f p99 %.3f p99.9 %.3f peak %.3f | over %.4f%% settled %.4f%% worst %.3f | "
                "reuse %.2f%% of %llu",
        label.c_str(), result.skew.at(0.5), result.skew.at(0.99), result.skew.at(0.999), result.skew.at(1),
        100 * static_cast<double>(result.overBound)
            / static_cast<double>(std::max<std::uint64_t>(1, result.samples)),
        100 * static_cast<double>(result.overBoundSettled)
            / static_cast<double>(std::max<std::uint64_t>(1, result.samples)),
        result.worstOver, percent(result.reused, result.returning),
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
        result.shortWait.at(0.5), result.shortWait.at(0.99), result.quietShortWait.at(0.99),
        result.quietShortWait.at(1), result.shortTime.at(0.99), result.longWait.at(0.99));
    std::printf(" | requests %llu rejected %llu (short %llu, quiet %llu) lost %llu\n",
        static_cast<unsigned long long>(result.requests), static_cast<unsigned long long>(result.rejected),
        static_cast<unsigned long long>(result.shortRejected),
        static_cast<unsigned long long>(result.shortRejectedQuiet),
        static_cast<unsigned long long>(result.lost));
}

// Processor time of one decision with filling the views, without the cache misses of the drive's many
// instances. The median of batches, because other work on the machine disturbs single ones.
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
    DriveSettings defaults;
    options::options_description description("placement-bench");
    auto add = description.add_options();
    add("help", "this text");
    add("scenario", options::value(&scenario)->default_value("steady"),
        "scenario, decision (time of one decision) or all");
    add("policy", options::value(&policy)->default_value("all"), "policy or all");
    add("seed", options::value(&defaults.seed)->default_value(1), "seed");
    add("instances", options::value<std::size_t>(), "number of instances");
    add("trace", "prints every engine sample above the bound");
    add("notices", "instances tell each other what they send");
    add("notice-tokens", options::value(&defaults.noticeTokens), "smallest request that is noticed");
    add("slot-share", options::value(&defaults.slotShare), "share of the engines' slots that instances use");
    add("no-hints", "callers return no hint");
    add("no-feedback", "answers carry no load");
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
            DriveSettings drive = defaults;
            scenarioRow.fill(drive);
            drive.kind = policyRow.kind;
            drive.placement = placementSettings(policyRow.strategy).value();
            drive.trace = given.count("trace") > 0;
            drive.notices = given.count("notices") > 0;
            drive.hints = given.count("no-hints") == 0;
            drive.answerFeedback = given.count("no-feedback") == 0;
            if (given.count("instances") > 0)
                drive.instances = given["instances"].as<std::size_t>();
            if (given.count("lag") > 0)
                drive.lagMaximum = drive.lagMinimum = given["lag"].as<double>();
            if (!arriving.empty() && !readRange(arriving, drive.placement.arriving))
                return 2;
            if (!returning.empty() && !readRange(returning, drive.placement.returning))
                return 2;
            if (given.count("short-stay") > 0)
                drive.placement.shortOutputThreshold = given["short-stay"].as<double>();
            DriveResult result = PlacementDrive(drive).run();
            print(std::string(scenarioRow.name) + " " + policyRow.name, result);
        }
    }
    return 0;
}
