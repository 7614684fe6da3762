// Stand-in for the platform's object API.
#include "standins/program.h"
#include "standins/storeserver.h"
#include <event2/event.h>
#include <fstream>
#include <iostream>
#include <iterator>

namespace {

namespace po = boost::program_options;

// Loads the list of instances from a JSON file; false if the file is not valid JSON or cannot be read.
bool loadInstances(briarwharf::StoreModel& model, const std::string& path)
{
    std::ifstream file(path);
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    auto list = briarwharf::parseJson(text, path);
    if (!list) {
        std::cerr << list.error().message << '\n';
        return false;
    }
    model.setInstances(
        std::move(list.value()), std::chrono::steady_clock::now(), briarwharf::Milliseconds(0));
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    std::uint16_t port = 0;
    std::string instances;
    po::options_description options("standin-store: the platform's object API, kept in memory");
    options.add_options()("help", "print the options");
    options.add_options()("port", po::value(&port)->default_value(0), "port on 127.0.0.1; 0: a free one");
    options.add_options()("instances", po::value(&instances), "JSON file with the list of instances");
    po::variables_map values;
    if (auto status = briarwharf::parseOptions(argc, argv, options, values))
        return *status;

    event_base* base = event_base_new();
    int status = 0;
    {
        briarwharf::StoreModel model;
        if (!instances.empty() && !loadInstances(model, instances))
            return 1;
        briarwharf::StoreServer server(base, model);
        status = briarwharf::announceAndRun(base, server.listen(port));
    }
    event_base_free(base);
    return status;
}
