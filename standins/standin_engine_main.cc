// Stand-in for a model engine.
#include "standins/engineserver.h"
#include "standins/program.h"
#include <event2/event.h>

namespace po = boost::program_options;

namespace {

// Options in milliseconds, as the command line has them.
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
    add("name", po::value(&engine.name)->default_value(engine.name), "name in its statistics");
    add("model", po::value(&engine.model)->default_value(engine.model), "model; empty: answers for any");
    add("tokens-per-second", po::value(&engine.tokensPerSecond)->default_value(engine.tokensPerSecond),
        "generated, over all streams");
    add("stream-tokens-per-second",
        po::value(&engine.streamTokensPerSecond)->default_value(engine.streamTokensPerSecond),
        "generated, at most for one stream");
    add("prefill-tokens-per-second",
        po::value(&engine.prefillTokensPerSecond)->default_value(engine.prefillTokensPerSecond),
        "of prompts that are not cached");
    add("max-batch", po::value(&engine.maxBatch)->default_value(engine.maxBatch), "requests at once");
    add("max-queue", po::value(&engine.maxQueue)->default_value(engine.maxQueue), "requests waiting");
    add("cache-tokens", po::value(&engine.cacheTokens)->default_value(engine.cacheTokens), "cache size");
    add("report-lag-ms", po::value(&durations.reportLag)->default_value(engine.reportLag.count()),
        "age of the load report");
    add("event-lag-ms", po::value(&durations.eventLag)->default_value(engine.eventLag.count()),
        "delay of cache events");
    add("event-gap", po::value(&engine.eventGap)->default_value(engine.eventGap), "share of events lost");
    add("load-ms", po::value(&durations.load)->default_value(engine.loadTime.count()),
        "from an order to load to its effect");
    add("tick-ms", po::value(&durations.tick)->default_value(server.tick.count()), "step of the batch");
    add("resume-grace-ms", po::value(&durations.resumeGrace)->default_value(server.resumeGrace.count()),
        "a stream without a caller runs on for this long");
    add("ignore-fence", po::bool_switch(&engine.ignoreFence), "accept orders with a stale fencing number");
    add("seed", po::value(&engine.seed)->default_value(engine.seed), "of the event gaps");
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
