// The daemon. Exit status: 0 after a graceful shutdown, 1 when it cannot start, 2 for wrong arguments or
// settings.

#include "base/base.h"
#include "process/process.h"
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

namespace {

using namespace briarwharf;
namespace options = boost::program_options;

constexpr int exitCannotStart = 1;
constexpr int exitUsage = 2;
constexpr const char* version = "0.1.0";

struct BaseDeleter {
    void operator()(event_base* base) const { event_base_free(base); }
};

void handleSignal(evutil_socket_t, short, void* daemon) { static_cast<Daemon*>(daemon)->shutDown(); }

int run(const Settings& settings)
{
    auto hints = HintSigner::create({ settings.hint.key, settings.hint.previousKey });
    if (!hints) {
        std::cerr << "briarwharfd: " << hints.error().message << "\n";
        return exitUsage;
    }
    ignoreBrokenPipes();
    configureLogging(settings.log.level);
    std::unique_ptr<event_base, BaseDeleter> base(event_base_new());
    Daemon daemon(base.get(), settings, std::move(hints.value()));
    Status started = daemon.start();
    if (!started) {
        std::cerr << "briarwharfd: " << started.error().message << "\n";
        return exitCannotStart;
    }
    std::unique_ptr<event, EventDeleter> terminate(evsignal_new(base.get(), SIGTERM, &handleSignal, &daemon));
    std::unique_ptr<event, EventDeleter> interrupt(evsignal_new(base.get(), SIGINT, &handleSignal, &daemon));
    event_add(terminate.get(), nullptr);
    event_add(interrupt.get(), nullptr);
    event_base_dispatch(base.get());
    return 0;
}

int runWithArguments(int argc, char** argv)
{
    options::options_description description("briarwharfd [--check] SETTINGS.ini");
    description.add_options()("help", "print this help")("version", "print the version")(
        "check", "check the settings and exit")("print-example", "print a settings file with every key")(
        "settings", options::value<std::string>(), "settings file");
    options::positional_options_description positional;
    positional.add("settings", 1);
    options::variables_map arguments;
    options::store(options::command_line_parser(argc, argv).options(description).positional(positional).run(),
        arguments);
    if (arguments.count("help")) {
        std::cout << description;
        return 0;
    }
    if (arguments.count("version")) {
        std::cout << "briarwharfd " << version << "\n";
        return 0;
    }
    if (arguments.count("print-example")) {
        std::cout << exampleSettings();
        return 0;
    }
    if (!arguments.count("settings")) {
        std::cerr << "briarwharfd: no settings file: name one, or see --help\n";
        return exitUsage;
    }
    auto settings = loadSettings(arguments["settings"].as<std::string>());
    if (!settings) {
        std::cerr << "briarwharfd: " << settings.error().message << "\n";
        return exitUsage;
    }
    if (arguments.count("check")) {
        std::cout << "settings are valid\n";
        return 0;
    }
    return run(settings.value());
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return runWithArguments(argc, argv);
    } catch (const options::error& error) {
        std::cerr << "briarwharfd: " << error.what() << ": see --help\n";
        return exitUsage;
    }
}
