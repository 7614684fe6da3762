// Load and experiment tool: sends chats and service calls to instances of the router or holds streams open
// there; for a baseline, it sends them directly to an engine or a service.
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

template <typename Value> auto valueWithDefault(Value& value)
{
    return po::value(&value)->default_value(value);
}

void describeLoad(po::options_description_easy_init add, LoadOptions& load)
{
    add("model", valueWithDefault(load.model), "model named in the requests");
    add("run-id", po::value(&load.runId), "prefix of chat names and idempotency keys; random if absent");
    add("seed", valueWithDefault(load.seed), "seed of arrivals and contents");
    add("chats", valueWithDefault(load.chats), "chats of each organisation that exist at a time");
    add("turns", valueWithDefault(load.turns), "turns until a chat ends");
    add("pause-s", valueWithDefault(load.pauseSeconds), "mean pause before a chat returns");
    add("hint-share", valueWithDefault(load.hintShare), "share of chats that return the residence hint");
    add("stream-share", valueWithDefault(load.streamShare), "share of streamed answers");
    add("long-share", valueWithDefault(load.longShare), "share of long requests");
    add("short-prompt-tokens", valueWithDefault(load.shortPromptTokens),
        "prompt tokens that a short turn adds");
    add("long-prompt-tokens", valueWithDefault(load.longPromptTokens), "prompt tokens that a long turn adds");
    add("short-answer-tokens", valueWithDefault(load.shortAnswerTokens), "tokens of a short answer");
    add("long-answer-tokens", valueWithDefault(load.longAnswerTokens), "tokens of a long answer");
}

void describeRunner(po::options_description_easy_init add, RunnerOptions& runner)
{
    add("target", po::value(&runner.targets)->composing()->required(), "IP:PORT; repeat for more instances");
    add("direct", po::bool_switch(&runner.direct), "the targets are engines or services, not the router");
    add("duration-s", valueWithDefault(runner.durationSeconds), "arrivals end after this time");
    add("max-requests", valueWithDefault(runner.maxRequests), "arrivals end after this number of requests");
    add("max-in-flight", valueWithDefault(runner.maxInFlight),
        "arrivals above this number of open requests are skipped");
    add("service-pool", valueWithDefault(runner.servicePool), "pool of at-most-once calls; empty: none");
    add("service-path", valueWithDefault(runner.servicePath), "path of these calls");
    add("service-rate", valueWithDefault(runner.serviceRate), "calls with a new key per second");
    add("repeat-share", valueWithDefault(runner.repeatShare),
        "share of calls that are repeated with their key");
    add("engine", po::value(&runner.engines)->composing(), "IP:PORT of an engine to sample for skew; repeat");
    add("load-bound", valueWithDefault(runner.loadBound),
        "multiple of the mean load above which the skew figures count excess");
    add("skew-floor", valueWithDefault(runner.skewFloor),
        "mean tokens in progress below which a sample is ignored");
    add("open-streams", valueWithDefault(runner.openStreams),
        "only hold this number of streams open for the duration");
    add("open-rate", valueWithDefault(runner.openRate), "streams opened per second");
    add("open-stream-tokens", valueWithDefault(runner.openStreamTokens),
        "maximum answer tokens requested for each open stream");
}

po::options_description describe(Settings& settings)
{
    settings.deadlineMs = settings.runner.deadline.count();
    po::options_description options("briarwharf-load: load for the router or an engine, on loopback");
    auto add = options.add_options();
    add("help", "print the options");
    add("organisation", po::value(&settings.organisations)->composing(),
        "name=N,key=K,rate=R,surge=FACTOR@START+LENGTH (requests and seconds); repeat for more");
    add("deadline-ms", valueWithDefault(settings.deadlineMs), "deadline of each request");
    add("json", po::value(&settings.jsonPath), "file for the JSON report; - for standard output");
    add("quiet", po::bool_switch(&settings.quiet), "do not print the table");
    describeLoad(add, settings.load);
    describeRunner(add, settings.runner);
    return options;
}

// Parses the organisations and fills in what is not set; false if an organisation is invalid.
bool completeSettings(Settings& settings, bool hasRunId)
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

int writeReport(const Settings& settings, const LoadRunReport& report)
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
    std::cerr << settings.jsonPath << ": writing the report failed; check the path\n";
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
    if (!completeSettings(settings, values.count("run-id") > 0))
        return usageStatus;

    // A write to a connection that the target closed early must not end the process.
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
    return writeReport(settings, report);
}
