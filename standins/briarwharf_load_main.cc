// Load and experiment tool: chats, service calls and open streams against instances of the router, or against
// an engine for a baseline.
#include "standins/loadrunner.h"
#include "standins/program.h"
#include <csignal>
#include <event2/event.h>
#include <fstream>
#include <iostream>

namespace po = boost::program_options;

namespace {

using namespace briarwharf;

struct Settings {
    LoadOptions load;
    RunnerOptions runner;
    std::vector<std::string> organisations;
    std::int64_t deadlineMs = 0;
    std::string jsonPath;
    bool quiet = false;
};

template <typename Value> auto defaulted(Value& value) { return po::value(&value)->default_value(value); }

void describeLoad(po::options_description_easy_init add, LoadOptions& load)
{
    add("model", defaulted(load.model), "model that is asked for");
    add("run-id", po::value(&load.runId), "part of chat names and idempotency keys; random if absent");
    add("seed", defaulted(load.seed), "of arrivals and contents");
    add("chats", defaulted(load.chats), "chats of each organisation at a time");
    add("turns", defaulted(load.turns), "turns of a chat");
    add("pause-s", defaulted(load.pauseSeconds), "mean pause before a chat returns");
    add("hint-share", defaulted(load.hintShare), "share of chats that send the residence hint back");
    add("stream-share", defaulted(load.streamShare), "share of streamed answers");
    add("long-share", defaulted(load.longShare), "share of long requests");
    add("short-prompt-tokens", defaulted(load.shortPromptTokens), "added by a short turn");
    add("long-prompt-tokens", defaulted(load.longPromptTokens), "added by a long turn");
    add("short-answer-tokens", defaulted(load.shortAnswerTokens), "of a short answer");
    add("long-answer-tokens", defaulted(load.longAnswerTokens), "of a long answer");
}

void describeRunner(po::options_description_easy_init add, RunnerOptions& runner)
{
    add("target", po::value(&runner.targets)->composing()->required(), "IP:PORT; repeat for more instances");
    add("direct", po::bool_switch(&runner.direct), "targets are engines or services, not the router");
    add("duration-s", defaulted(runner.durationSeconds), "arrivals end after this");
    add("max-requests", defaulted(runner.maxRequests), "arrivals end after these");
    add("max-in-flight", defaulted(runner.maxInFlight), "arrivals beyond are skipped");
    add("service-pool", defaulted(runner.servicePool), "pool of at-most-once calls; empty: none");
    add("service-path", defaulted(runner.servicePath), "path of these calls");
    add("service-rate", defaulted(runner.serviceRate), "first calls per second");
    add("repeat-share", defaulted(runner.repeatShare), "share of calls that are repeated with their key");
    add("engine", po::value(&runner.engines)->composing(), "IP:PORT of an engine to sample for skew; repeat");
    add("load-bound", defaulted(runner.loadBound), "bound for the excess in the skew figures");
    add("skew-floor", defaulted(runner.skewFloor), "mean tokens in progress below which samples don't count");
    add("open-streams", defaulted(runner.openStreams), "only hold so many streams open for the duration");
    add("open-rate", defaulted(runner.openRate), "streams opened per second");
    add("open-stream-tokens", defaulted(runner.openStreamTokens), "asked for on each open stream");
}

po::options_description describe(Settings& settings)
{
    settings.deadlineMs = settings.runner.deadline.count();
    po::options_description options("briarwharf-load: load for the router or an engine, on loopback");
    auto add = options.add_options();
    add("help", "print the options");
    add("organisation", po::value(&settings.organisations)->composing(),
        "name=N,key=K,rate=R,surge=FACTOR@START+LENGTH (requests and seconds); repeat for more");
    add("deadline-ms", defaulted(settings.deadlineMs), "of each request");
    add("json", po::value(&settings.jsonPath), "file for the JSON form; - for standard output");
    add("quiet", po::bool_switch(&settings.quiet), "leave out the table");
    describeLoad(add, settings.load);
    describeRunner(add, settings.runner);
    return options;
}

// Completes the settings; false if one is wrong.
bool complete(Settings& settings, bool hasRunId)
{
    if (settings.organisations.empty())
        settings.organisations.emplace_back("name=any,rate=10");
    for (const auto& text : settings.organisations) {
        auto organisation = parseOrganisation(text);
        if (!organisation) {
            std::cerr << organisation.error().message << '\n';
            return false;
        }
        settings.load.organisations.push_back(organisation.value());
    }
    constexpr std::size_t runIdLength = 8;
    if (!hasRunId)
        settings.load.runId = randomToken().substr(0, runIdLength);
    settings.runner.deadline = Milliseconds(settings.deadlineMs);
    return true;
}

Json describeRun(const Settings& settings)
{
    const auto& load = settings.load;
    const auto& runner = settings.runner;
    return { { "seed", load.seed }, { "run_id", load.runId }, { "targets", runner.targets },
        { "direct", runner.direct }, { "duration_s", runner.durationSeconds },
        { "organisations", settings.organisations }, { "chats", load.chats }, { "turns", load.turns },
        { "pause_s", load.pauseSeconds }, { "hint_share", load.hintShare },
        { "stream_share", load.streamShare }, { "long_share", load.longShare },
        { "deadline_ms", settings.deadlineMs } };
}

int print(const Settings& settings, const LoadRunReport& report)
{
    if (!settings.quiet)
        std::cout << report.toTable();
    if (settings.jsonPath.empty())
        return 0;
    auto text = dumpJson(report.toJson());
    if (settings.jsonPath == "-") {
        std::cout << text << '\n';
        return 0;
    }
    std::ofstream file(settings.jsonPath);
    file << text << '\n';
    if (file.good())
        return 0;
    std::cerr << settings.jsonPath << " cannot be written: check the path\n";
    return 1;
}

} // namespace

int main(int argc, char** argv)
{
    Settings settings;
    auto options = describe(settings);
    po::variables_map values;
    if (auto status = parseOptions(argc, argv, options, values))
        return *status;
    constexpr int usageStatus = 2;
    if (!complete(settings, values.count("run-id") > 0))
        return usageStatus;

    // A target that closes early must not end the run.
    std::signal(SIGPIPE, SIG_IGN);
    event_base* base = event_base_new();
    LoadRunReport report;
    report.settings = describeRun(settings);
    {
        LoadPlan plan(settings.load);
        LoadRunner runner(base, settings.runner, plan, report);
        runner.start([base] { event_base_loopbreak(base); });
        event_base_dispatch(base);
    }
    event_base_free(base);
    return print(settings, report);
}
