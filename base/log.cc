#include "base/log.h"

#include <array>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace briarwharf {

namespace {

    // In rising order of severity; a level enables itself and all that follow.
    constexpr std::array<std::pair<std::string_view, el::Level>, 4> levels { {
        { "debug", el::Level::Debug },
        { "info", el::Level::Info },
        { "warning", el::Level::Warning },
        { "error", el::Level::Error },
    } };

} // namespace

bool configureLogging(std::string_view level)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    bool enabled = false;
    for (const auto& [name, value] : levels) {
        enabled = enabled || name == level;
        configuration.set(value, el::ConfigurationType::Enabled, enabled ? "true" : "false");
    }
    el::Loggers::reconfigureAllLoggers(configuration);
    return enabled;
}

} // namespace briarwharf
