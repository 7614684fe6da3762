#include "process/settings.h"
#include <doctest/doctest.h>
#include <initializer_list>
#include <string>

using namespace briarwharf;

// Guards against an example settings file that the daemon does not accept.
TEST_CASE("the example settings are valid and hold the defaults")
{
    auto parsed = parseSettings(exampleSettings(), { "example.ini", {} });
    REQUIRE_MESSAGE(parsed.has_value(), parsed.error().message);
    CHECK(parsed.value().instance.id == "entry-1");
    CHECK(parsed.value().limits.maxBodyBytes == Settings().limits.maxBodyBytes);
    CHECK(parsed.value().limits.requestDeadline == Settings().limits.requestDeadline);
    CHECK(parsed.value().limits.upstreamSilence == Settings().limits.upstreamSilence);
}

// Guards against error messages that do not show the location of the mistake and how to correct it.
TEST_CASE("settings errors name file, line, key and remedy")
{
    std::string text = exampleSettings() + "\n[log]\nlevle = info\n";
    auto unknown = parseSettings(text, { "node.ini", {} });
    REQUIRE(unknown.has_error());
    CHECK(unknown.error().message.find("unknown key [log] levle: remove it") != std::string::npos);
    CHECK(unknown.error().message.rfind("node.ini:", 0) == 0);

    auto range = parseSettings("[store]\ntimeout_ms = 5\n", { "node.ini", {} });
    REQUIRE(range.has_error());
    CHECK(range.error().message.find(
              "node.ini:2: [store] timeout_ms = \"5\" is not allowed: give milliseconds from 50 to 10000")
        != std::string::npos);
    CHECK(range.error().message.find("[instance] id is missing") != std::string::npos);
}

// Guards against a machine whose description lacks a value: the daemon would not start.
TEST_CASE("memory and descriptors that are not stated leave the defaults")
{
    std::string text = exampleSettings();
    for (const char* line : { "memory_mb = 256", "max_fds = 0" }) {
        std::size_t value = text.find(line) + std::string(line).find('=') + 1;
        text.erase(value, text.find('\n', value) - value);
    }
    auto parsed = parseSettings(text, { "node.ini", {} });
    REQUIRE_MESSAGE(parsed.has_value(), parsed.error().message);
    CHECK(parsed.value().limits.memoryMb == Settings().limits.memoryMb);
    CHECK(parsed.value().limits.maxFds == 0);
    CHECK(parseSettings("[limits]\nmemory_mb = -5\n", { "node.ini", {} })
              .error()
              .message.find("node.ini:2: [limits]")
        != std::string::npos);
}

namespace {

SettingsSource withOverrides(std::initializer_list<const char*> texts)
{
    SettingsSource source { "node.ini", {} };
    for (const char* text : texts) {
        auto parsed = parseOverride(text);
        REQUIRE(parsed);
        source.overrides.push_back(parsed.value());
    }
    return source;
}

} // namespace

TEST_CASE("a value from the command line goes before that of the file, unless it is empty")
{
    auto parsed = parseSettings(exampleSettings(),
        withOverrides({ "limits.memory_mb=112", "directory.evacuations=true",
            "fleet.cold_burst_ratio=", "fleet.seeds=10.0.0.1:80,10.0.0.2:80", "log.level=" }));
    REQUIRE_MESSAGE(parsed.has_value(), parsed.error().message);
    CHECK(parsed.value().limits.memoryMb == 112);
    CHECK(parsed.value().directory.evacuations);
    CHECK(parsed.value().fleet.coldBurstRatio == Settings().fleet.coldBurstRatio);
    CHECK(parsed.value().fleet.seeds.size() == 2);
    CHECK(parsed.value().log.level == "info");
}

// Guards against errors that do not say which argument is wrong.
TEST_CASE("a wrong value on the command line is an error that names it")
{
    for (const char* text : { "", "limits", "limits=5", ".memory_mb=5", "limits.=5", "=a.b", "a.b" })
        CHECK_FALSE(parseOverride(text));
    auto unknown = parseSettings(exampleSettings(), withOverrides({ "limits.memory=5" }));
    REQUIRE(unknown.has_error());
    CHECK(unknown.error().message.find("unknown key --set [limits] memory: remove it") != std::string::npos);
    auto range = parseSettings(exampleSettings(), withOverrides({ "limits.memory_mb=5" }));
    REQUIRE(range.has_error());
    CHECK(range.error().message.find("--set [limits] memory_mb = \"5\" is not allowed: give a whole number")
        != std::string::npos);
}
