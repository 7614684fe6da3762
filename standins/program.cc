#include "standins/program.h"
#include <csignal>
#include <event2/event.h>
#include <iostream>

namespace briarwharf {

namespace {

    constexpr int usageStatus = 2;

} // namespace

std::optional<int> parseOptions(int argc, char** argv,
    const boost::program_options::options_description& options, boost::program_options::variables_map& values)
{
    // Boost reports invalid options only by exceptions; they are caught here and go no further.
    try {
        boost::program_options::store(
            boost::program_options::parse_command_line(argc, argv, options), values);
        if (values.count("help") == 0)
            boost::program_options::notify(values);
    } catch (const boost::program_options::error& error) {
        std::cerr << error.what() << ": see --help\n";
        return usageStatus;
    }
    if (values.count("help") == 0)
        return std::nullopt;
    std::cout << options << '\n';
    return 0;
}

int announceAndRun(event_base* base, const Result<std::uint16_t>& port)
{
    if (!port) {
        std::cerr << port.error().message << '\n';
        return 1;
    }
    std::signal(SIGPIPE, SIG_IGN);
    auto stop = [](evutil_socket_t, short, void* argument) {
        event_base_loopbreak(static_cast<event_base*>(argument));
    };
    event* terminate = evsignal_new(base, SIGTERM, stop, base);
    event* interrupt = evsignal_new(base, SIGINT, stop, base);
    event_add(terminate, nullptr);
    event_add(interrupt, nullptr);
    std::cout << "listening 127.0.0.1:" << port.value() << std::endl;
    event_base_dispatch(base);
    event_free(terminate);
    event_free(interrupt);
    return 0;
}

} // namespace briarwharf
