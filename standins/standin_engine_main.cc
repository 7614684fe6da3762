// Stand-in for a model engine.
#include "standins/engineserver.h"
#include "standins/program.h"
#include <event2/event.h>

namespace po = boost::program_options;

namespace {

// Command-line options in milliseconds, not yet converted to durations.
struct Durations {
    std::int64_t reportLag = 0;
    std::int64_t eventLag = 0;
    std::int64_t load = 0;
    std::int64_t tick = 0;
    std::int64_t resumeGrace = 0;
};

po::options_description describe(std::uint16_t& port, briarwharf::EngineOptions& engine, Durations& durations)
{
    const briarwharf::EngineServerOptions server;
    po::options_description options("standin-engine: a model server with a prompt-prefix cache");
    auto add = options.add_options();
    add("help", "print the options");
    add("port", po::value(&port)->default_value(0), "port on 127.0.0.1; 0: a free one");
    add("name", po::value(&engine.name)->default_value(engine.name), "name of the engine in its statistics");
    add("model", po::value(&engine.model)->default_value(engine.model),
        "name of the loaded model; empty: answers requests for any model");
    add("tokens-per-second", po::value(&engine.tokensPerSecond)->default_value(engine.tokensPerSecond),
        "generation rate, total of all requests");
    add("stream-tokens-per-second",
        po::value(&engine.streamTokensPerSecond)->default_value(engine.streamTokensPerSecond),
        "maximum generation rate of one request");
    add("prefill-tokens-per-second",
        po::value(&engine.prefillTokensPerSecond)->default_value(engine.prefillTokensPerSecond),
        "rate of reading uncached prompt tokens, total of all requests");
    add("max-batch", po::value(&engine.maxBatch)->default_value(engine.maxBatch),
        "maximum number of running requests");
    add("max-queue", po::value(&engine.maxQueue)->default_value(engine.maxQueue),
        "maximum number of waiting requests");
    add("cache-tokens", po::value(&engine.cacheTokens)->default_value(engine.cacheTokens),
        "capacity of the prefix cache");
    add("report-lag-ms", po::value(&durations.reportLag)->default_value(engine.reportLag.count()),
        "age of the load report");
    add("event-lag-ms", po::value(&durations.eventLag)->default_value(engine.eventLag.count()),
        "delay of cache events");
    add("event-gap", po::value(&engine.eventGap)->default_value(engine.eventGap),
        "share of cache events that are dropped");
    add("load-ms", po::value(&durations.load)->default_value(engine.loadTime.count()),
        "time from a load order until the version is served");
    add("tick-ms", po::value(&durations.tick)->default_value(server.tick.count()),
        "interval at which the batch advances");
    add("resume-grace-ms", po::value(&durations.resumeGrace)->default_value(server.resumeGrace.count()),
        "time that a stream runs on after its caller disconnected");
    add("ignore-fence", po::bool_switch(&engine.ignoreFence), "accept orders with a stale fencing number");
    add("seed", po::value(&engine.seed)->default_value(engine.seed),
        "seed of the choice of dropped cache events");
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    std::uint16_t port = 0;
    briarwharf::EngineOptions engine;
    Durations durations;
    auto options = describe(port, engine, durations);
    po::variables_map values;
    if (auto status = briarwharf::parseOptions(argc, argv, options, values))
        return *status;
    engine.reportLag = briarwharf::Milliseconds(durations.reportLag);
    engine.eventLag = briarwharf::Milliseconds(durations.eventLag);
    engine.loadTime = briarwharf::Milliseconds(durations.load);
    briarwharf::EngineServerOptions server;
    server.tick = briarwharf::Milliseconds(std::max<std::int64_t>(1, durations.tick));
    server.resumeGrace = briarwharf::Milliseconds(durations.resumeGrace);

    event_base* base = event_base_new();
    int status = 0;
    {
        briarwharf::EngineModel model(engine);
        briarwharf::EngineServer engineServer(base, model, server);
        status = briarwharf::announceAndRun(base, engineServer.listen(port));
    }
    event_base_free(base);
    return status;
}
