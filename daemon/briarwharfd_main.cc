// The router daemon. Exit status: 0 after a graceful shutdown, 1 if it cannot start, 2 for invalid arguments
// or settings.

#include "base/base.h"
#include "platform/platform.h"
#include "process/process.h"
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace briarwharf;
namespace options = boost::program_options;

constexpr int exitCannotStart = 1;
constexpr int exitUsage = 2;

struct BaseDeleter {
    void operator()(event_base* base) const { event_base_free(base); }
};

void handleReload(evutil_socket_t, short, void* daemon) { static_cast<ForwardDaemon*>(daemon)->reload(); }

template <typename AnyDaemon> void handleStop(evutil_socket_t, short, void* daemon)
{
    static_cast<AnyDaemon*>(daemon)->shutDown();
}

using SignalEvent = std::unique_ptr<event, EventDeleter>;

SignalEvent onSignal(event_base* base, int signal, event_callback_fn function, void* daemon)
{
    SignalEvent result(evsignal_new(base, signal, function, daemon));
    event_add(result.get(), nullptr);
    return result;
}

// Starts the daemon and runs the event loop until the daemon has shut down.
template <typename AnyDaemon> int runLoop(event_base* base, AnyDaemon& daemon)
{
    Status started = daemon.start();
    if (!started) {
        std::cerr << "briarwharfd: " << started.error().message << "\n";
        return exitCannotStart;
    }
    SignalEvent terminate = onSignal(base, SIGTERM, &handleStop<AnyDaemon>, &daemon);
    SignalEvent interrupt = onSignal(base, SIGINT, &handleStop<AnyDaemon>, &daemon);
    event_base_dispatch(base);
    blockStops();
    return 0;
}

int runForwarding(event_base* base, const Settings& settings, const SettingsSource& source)
{
    platform::SourceOptions options;
    options.store = settings.store.endpoint;
    options.instanceName = settings.instance.id;
    options.started = std::chrono::system_clock::now();
    options.evacuations = settings.directory.evacuations;
    std::string peers = printEndpoint(settings.listen.peers);
    options.self = { peers, peers, settings.instance.failureDomain };
    ForwardDaemon daemon(base, settings, source, std::make_unique<platform::PlatformSource>(base, options));
    SignalEvent reload = onSignal(base, SIGHUP, &handleReload, &daemon);
    return runLoop(base, daemon);
}

int run(const Settings& settings, const SettingsSource& source)
{
    unblockSignals();
    ignoreBrokenPipes();
    configureAllocator();
    installCrashReport();
    std::unique_ptr<event_base, BaseDeleter> base(event_base_new());
    if (!base) {
        std::cerr << "briarwharfd: cannot create an event loop: raise the limits of memory and open files\n";
        return exitCannotStart;
    }
    if (settings.directory.source == "platform") {
        configureLogging(settings.log.level, LogFlush::Buffered);
        return runForwarding(base.get(), settings, source);
    }
    configureLogging(settings.log.level);
    auto hints = HintSigner::create({ settings.hint.key, settings.hint.previousKey });
    if (!hints) {
        std::cerr << "briarwharfd: " << hints.error().message << "\n";
        return exitUsage;
    }
    Daemon daemon(base.get(), settings, std::move(hints.value()));
    return runLoop(base.get(), daemon);
}

Result<SettingsSource> settingsSource(const options::variables_map& arguments)
{
    SettingsSource source;
    source.file = arguments["settings"].as<std::string>();
    if (!arguments.count("set"))
        return source;
    for (const std::string& text : arguments["set"].as<std::vector<std::string>>()) {
        auto parsed = parseOverride(text);
        if (!parsed)
            return parsed.error();
        source.overrides.push_back(std::move(parsed.value()));
    }
    return source;
}

int runWithArguments(int argc, char** argv)
{
    options::options_description description(
        "briarwharfd [--check] [--set SECTION.KEY=VALUE]... SETTINGS.ini");
    description.add_options()("help", "print this help")("version", "print the version")("check",
        "check the settings and exit")("print-example", "print a settings file with every key")("set",
        options::value<std::vector<std::string>>(),
        "SECTION.KEY=VALUE: goes before the settings file, unless VALUE is empty; may be repeated")(
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
        std::cout << "briarwharfd " << BRIARWHARF_VERSION << "\n";
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
    auto source = settingsSource(arguments);
    if (!source) {
        std::cerr << "briarwharfd: " << source.error().message << "\n";
        return exitUsage;
    }
    auto settings = loadSettings(source.value());
    if (!settings) {
        std::cerr << "briarwharfd: " << settings.error().message << "\n";
        return exitUsage;
    }
    if (arguments.count("check")) {
        for (const std::string& value : settings.value().unrendered)
            std::cerr << "briarwharfd: left unrendered, keeps its default: " << value << "\n";
        std::cout << "settings are valid\n";
        return 0;
    }
    return run(settings.value(), source.value());
}

} // namespace

int main(int argc, char** argv)
{
    ignoreReloads();
    openClosedStandardStreams();
    try {
        return runWithArguments(argc, argv);
    } catch (const options::error& error) {
        std::cerr << "briarwharfd: " << error.what() << ": see --help\n";
        return exitUsage;
    }
}
