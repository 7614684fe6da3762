#pragma once

#include "base/base.h"
#include "version/version.h"
#include <cstdlib>
#include <doctest/doctest.h>
#include <limits>
#include <rapidcheck.h>

// Generators of commands for property tests, and helpers that apply commands. The seed is fixed so that each
// run has the same result; RC_PARAMS="seed=..." in the environment sets another one.

namespace briarwharf::testing {

inline const bool seedIsFixed = setenv("RC_PARAMS", "seed=20261204", 0) == 0;

inline rc::Gen<std::string> anyText()
{
    return rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange(' ', '\x7f')));
}

inline rc::Gen<double> anyNumber()
{
    return rc::gen::map(rc::gen::arbitrary<std::int64_t>(), [](std::int64_t n) { return n / 1e5; });
}

inline rc::Gen<Milliseconds> anyDuration()
{
    return rc::gen::map(
        rc::gen::inRange<std::int64_t>(0, 1000000000), [](auto n) { return Milliseconds(n); });
}

inline rc::Gen<WallTime> anyMinute()
{
    return rc::gen::map(rc::gen::inRange<std::int64_t>(0, 100000000),
        [](auto n) { return WallTime(std::chrono::minutes(n)); });
}

inline rc::Gen<Endpoint> anyEndpoint()
{
    return rc::gen::map(rc::gen::inRange<int>(1, 65536), [](int port) {
        return Endpoint { port % 2 == 0 ? "10.0.0." + std::to_string(port % 256) : "2001:db8::7",
            static_cast<std::uint16_t>(port) };
    });
}

inline rc::Gen<std::vector<Operation>> anyOperations()
{
    return rc::gen::container<std::vector<Operation>>(rc::gen::build<Operation>(
        rc::gen::set(&Operation::method, rc::gen::element<std::string>("GET", "POST")),
        rc::gen::set(&Operation::pathPrefix, anyText()), rc::gen::set(&Operation::repeatable)));
}

// A value or nullopt, with equal probability; rapidcheck has no generator for std::optional.
template <typename Value> std::optional<Value> maybe(const rc::Gen<Value>& generator)
{
    return *rc::gen::arbitrary<bool>() ? std::optional<Value>(*generator) : std::nullopt;
}

template <typename Value> std::optional<Value> maybeAny() { return maybe(rc::gen::arbitrary<Value>()); }

inline Verb anyVerb() { return *rc::gen::element(Verb::Create, Verb::Alter); }

inline Statement anyDefinition(int kind)
{
    switch (kind) {
    case 0:
        return OrganisationCommand { anyVerb(), *anyText(),
            maybe(rc::gen::just(KeyHash { sha256Hex("key") })), maybe(anyNumber()), maybe(anyNumber()) };
    case 1:
        return PoolCommand { anyVerb(), *anyText(),
            maybe(rc::gen::element(PoolKind::Engine, PoolKind::Service)), maybe(anyText()), maybe(anyText()),
            maybe(anyOperations()) };
    case 2:
        return UpstreamCommand { anyVerb(), *anyText(), maybe(anyText()), maybe(anyEndpoint()),
            maybe(anyText()), maybe(anyNumber()), maybeAny<std::uint32_t>(), maybeAny<bool>(),
            maybeAny<bool>() };
    default:
        return PolicyCommand { anyVerb(), *anyText(),
            maybe(rc::gen::element(Strategy::Balanced, Strategy::Skew, Strategy::Reuse)), maybe(anyNumber()),
            maybeAny<std::uint32_t>(), maybe(anyDuration()) };
    }
}

inline Statement anyShow()
{
    ShowCommand show;
    show.topic = static_cast<ShowTopic>(*rc::gen::inRange(0, 8));
    auto column = rc::gen::element<std::string>("name", "load", "pool");
    show.columns = *rc::gen::container<std::vector<std::string>>(column);
    if (*rc::gen::arbitrary<bool>())
        show.filters.push_back({ *column, static_cast<Comparison>(*rc::gen::inRange(0, 7)), *anyText() });
    show.orderBy = maybe(column).value_or("");
    show.descending = !show.orderBy.empty() && *rc::gen::arbitrary<bool>();
    show.limit = maybeAny<std::uint32_t>();
    show.format = maybe(rc::gen::element(ShowFormat::Table, ShowFormat::Json));
    return show;
}

inline Command anyCommand()
{
    int kind = *rc::gen::inRange(0, 11);
    auto revision = maybeAny<std::uint64_t>();
    switch (kind) {
    case 4:
        return { RetireCommand { static_cast<ObjectKind>(*rc::gen::inRange(0, 4)), *anyText() }, revision };
    case 5:
        return { DrainCommand { *anyText(), maybe(anyMinute()) }, revision };
    case 6:
        return { UndrainCommand { *anyText(), maybe(anyMinute()) }, revision };
    case 7:
        return { MarkEmptyCommand { *anyText(), *rc::gen::arbitrary<std::uint64_t>() }, revision };
    case 8:
        return { PlanDrainCommand {
                     { *anyText(), *rc::gen::inRange(0, 7), std::chrono::minutes(*rc::gen::inRange(0, 1440)),
                         std::chrono::minutes(*rc::gen::inRange(1, 3000)), *rc::gen::arbitrary<bool>() } },
            revision };
    case 9:
        return { CancelPlanCommand { *anyText() }, revision };
    case 10:
        return { anyShow(), std::nullopt };
    default:
        return { anyDefinition(kind), revision };
    }
}

// A configuration with one engine pool, one service pool, two upstreams and one organisation.
inline Config sampleConfig()
{
    auto commands
        = parseCommands("CREATE POLICY steady STRATEGY skew LOAD_BOUND 1.2;"
                        "CREATE POOL estimators MODEL terrazzo-1 POLICY steady;"
                        "CREATE POOL booking KIND service OPERATIONS (POST /jobs, GET /slots REPEATABLE);"
                        "ADD UPSTREAM e1 POOL estimators ADDRESS 10.0.0.1:8080 DOMAIN pkc-a;"
                        "ADD UPSTREAM e2 POOL estimators ADDRESS 10.0.0.2:8080 DOMAIN pkc-b;"
                        "CREATE ORGANISATION saqib KEY 'sample-key-of-saqib' WEIGHT 2");
    REQUIRE_MESSAGE(commands.has_value(), commands.error().message);
    auto config = applyCommands({}, commands.value(), { {}, "setup", "r1" });
    REQUIRE_MESSAGE(config.has_value(), config.error().message);
    return config.value();
}

// Applies the commands, which must be accepted, and returns the resulting configuration.
inline Config configAfter(const Config& config, std::string_view text)
{
    auto commands = parseCommands(text);
    REQUIRE_MESSAGE(commands.has_value(), commands.error().message);
    auto next = applyCommands(config, commands.value(), { {}, "op", "" });
    REQUIRE_MESSAGE(next.has_value(), next.error().message);
    return next.value();
}

// Returns the error of commands that must be refused, by the parser or when they are applied.
inline Error refusalError(const Config& config, std::string_view text)
{
    auto commands = parseCommands(text);
    if (!commands)
        return commands.error();
    auto next = applyCommands(config, commands.value(), {});
    REQUIRE_MESSAGE(next.has_error(), text);
    return next.error();
}

} // namespace briarwharf::testing
