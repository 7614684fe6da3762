// The soak test with injected faults. Exit status: 0 if no violation was found, 1 if one was found, 2 for
// wrong arguments.
//
//   briarwharf-soak --daemon build/bin/briarwharfd --work soak-work --seed 7 --cycles 2

#include "soak/soak.h"
#include "standins/program.h"
#include <iostream>

using namespace briarwharf;
namespace options = boost::program_options;

namespace {

constexpr int exitUsage = 2;

} // namespace

int main(int argc, char** argv)
{
    SoakOptions soakOptions;
    options::options_description description("briarwharf-soak");
    description.add_options()("help", "print this help")(
        "daemon", options::value(&soakOptions.daemon)->required(), "path of briarwharfd")(
        "work", options::value(&soakOptions.workFolder)->required(), "existing folder for settings and logs")(
        "seed", options::value(&soakOptions.seed)->default_value(1), "seed of faults and requests")("cycles",
        options::value(&soakOptions.cycles)->default_value(1),
        "number of cycles; each has a phase of faults and phases without")("instances",
        options::value(&soakOptions.instances)->default_value(3),
        "number of instances, 2 to 100")("hostile", options::bool_switch(&soakOptions.hostile),
        "add upstreams, callers and changes of a worse kind")("upstreams",
        options::value(&soakOptions.upstreams)->default_value(4), "number of upstreams, 1 to 100")("rate",
        options::value(&soakOptions.requestsPerSecond)->default_value(60), "requests per second, 1 to 1000");
    options::variables_map arguments;
    if (auto status = parseOptions(argc, argv, description, arguments))
        return *status;
    bool inRange = soakOptions.instances >= 2 && soakOptions.instances <= 100 && soakOptions.upstreams >= 1
        && soakOptions.upstreams <= 100 && soakOptions.requestsPerSecond >= 1
        && soakOptions.requestsPerSecond <= 1000 && soakOptions.cycles >= 1;
    if (!inRange) {
        std::cerr << "briarwharf-soak: an argument is out of range; see --help\n";
        return exitUsage;
    }
    ignoreBrokenPipes();
    configureLogging("error");
    event_base* base = event_base_new();
    Soak soakTest(base, soakOptions);
    auto problems = soakTest.run();
    std::cout << soakTest.summary() << "\n";
    for (const auto& problem : problems)
        std::cout << "BROKEN " << problem << "\n";
    return problems.empty() ? 0 : 1;
}
