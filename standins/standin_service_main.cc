// Stand-in for a plain service.
#include "standins/program.h"
#include "standins/serviceserver.h"
#include <event2/event.h>

namespace po = boost::program_options;

int main(int argc, char** argv)
{
    std::uint16_t port = 0;
    std::int64_t workMs = 0;
    briarwharf::ServiceServerOptions settings;
    po::options_description options("standin-service: a plain service that counts its runs");
    auto add = options.add_options();
    add("help", "print the options");
    add("port", po::value(&port)->default_value(0), "port on 127.0.0.1; 0: a free one");
    add("name", po::value(&settings.name)->default_value(settings.name),
        "name of the service in its answers");
    add("work-ms", po::value(&workMs)->default_value(settings.workTime.count()),
        "time from the run of a call to its answer, ms");
    po::variables_map values;
    if (auto status = briarwharf::parseOptions(argc, argv, options, values))
        return *status;
    settings.workTime = briarwharf::Milliseconds(workMs);

    event_base* base = event_base_new();
    int status = 0;
    {
        briarwharf::ServiceModel model;
        briarwharf::ServiceServer server(base, model, settings);
        status = briarwharf::announceAndRun(base, server.listen(port));
    }
    event_base_free(base);
    return status;
}
