#pragma once

#include "base/endpoint.h"
#include "base/error.h"
#include "version/config.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarwharf {

// The operators' command language. The grammar is in docs/commands.md.
//
//   auto commands = parseCommands("ADD UPSTREAM e1 POOL estimators ADDRESS 10.0.0.1:8080; SHOW UPSTREAMS");
//   if (!commands)
//       reply(commands.error().message); // position, excerpt with a caret, and what was expected

// Maximum length of a command text in bytes and maximum number of commands in one text. They limit the cost
// of one operator request.
constexpr std::size_t maxCommandTextBytes = 64 * 1024;
constexpr std::size_t maxCommandsPerText = 500;

enum class ObjectKind {
    Organisation,
    Pool,
    Upstream,
    Policy,
};

// Properties that a command does not give get their defaults with Create and keep their values with Alter.
enum class Verb {
    Create,
    Alter,
};

// SHA-256 of an API key as 64 lower-case hex digits. The key itself occurs only in the command text.
struct KeyHash {
    std::string hex;

    bool operator==(const KeyHash&) const = default;
};

struct OrganisationCommand {
    Verb verb = Verb::Create;
    std::string name;
    std::optional<KeyHash> key;
    std::optional<double> weight;
    std::optional<double> tokensPerSecond;

    bool operator==(const OrganisationCommand&) const = default;
};

struct PoolCommand {
    Verb verb = Verb::Create;
    std::string name;
    std::optional<PoolKind> kind;
    std::optional<std::string> model;
    std::optional<std::string> policy; // empty: resets the pool to the default policy
    std::optional<std::vector<Operation>> operations;

    bool operator==(const PoolCommand&) const = default;
};

struct UpstreamCommand {
    Verb verb = Verb::Create;
    std::string name;
    std::optional<std::string> pool;
    std::optional<Endpoint> endpoint;
    std::optional<std::string> failureDomain;
    std::optional<double> weight;
    std::optional<std::uint32_t> slots;
    std::optional<bool> reportsState;
    std::optional<bool> checksFence;

    bool operator==(const UpstreamCommand&) const = default;
};

struct PolicyCommand {
    Verb verb = Verb::Create;
    std::string name;
    std::optional<Strategy> strategy;
    std::optional<double> loadBound;
    std::optional<std::uint32_t> shortTokens;
    std::optional<Milliseconds> queueDeadline;

    bool operator==(const PolicyCommand&) const = default;
};

struct RetireCommand {
    ObjectKind kind = ObjectKind::Organisation;
    std::string name;

    bool operator==(const RetireCommand&) const = default;
};

// With a window, the drain belongs to the window of a drain plan that starts at this time. The drainer writes
// such commands.
struct DrainCommand {
    std::string upstream;
    std::optional<WallTime> window;

    bool operator==(const DrainCommand&) const = default;
};

// With a window, ends only the drain that belongs to that planned window. It is refused after an operator's
// DRAIN has taken over the drain.
struct UndrainCommand {
    std::string upstream;
    std::optional<WallTime> window;

    bool operator==(const UndrainCommand&) const = default;
};

// Written by the drainer when an upstream has no requests left. Refused unless the drain that began at the
// given revision is still in progress, so that a late report of an earlier drain has no effect on a later
// one.
struct MarkEmptyCommand {
    std::string upstream;
    std::uint64_t drainRevision = 0;

    bool operator==(const MarkEmptyCommand&) const = default;
};

struct PlanDrainCommand {
    DrainPlan plan;

    bool operator==(const PlanDrainCommand&) const = default;
};

struct CancelPlanCommand {
    std::string upstream;

    bool operator==(const CancelPlanCommand&) const = default;
};

enum class ShowTopic {
    Organisations,
    Pools,
    Upstreams,
    Policies,
    Plans,
    Instances,
    Config,
    Revision,
};

enum class Comparison {
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
    Like, // pattern: % matches any text, _ matches one character
};

struct Filter {
    std::string column;
    Comparison comparison = Comparison::Equal;
    std::string value; // compared as a number if the cell holds a number

    bool operator==(const Filter&) const = default;
};

enum class ShowFormat {
    Table,
    Json,
};

struct ShowCommand {
    ShowTopic topic = ShowTopic::Revision;
    std::vector<std::string> columns; // empty: all
    std::vector<Filter> filters; // a row must pass all of them
    std::string orderBy; // empty: the topic's own order, which is by name for configuration objects
    bool descending = false;
    std::optional<std::uint32_t> limit;
    std::optional<ShowFormat> format;

    bool operator==(const ShowCommand&) const = default;
};

using Statement
    = std::variant<OrganisationCommand, PoolCommand, UpstreamCommand, PolicyCommand, RetireCommand,
        DrainCommand, UndrainCommand, MarkEmptyCommand, PlanDrainCommand, CancelPlanCommand, ShowCommand>;

struct Command {
    Statement statement;
    // If set, the command is refused if the configuration changed after this revision.
    std::optional<std::uint64_t> expectedRevision;

    bool operator==(const Command&) const = default;
};

// Parses exactly one command; a final ';' is allowed. Errors: InvalidArgument, TooLarge. Messages never
// contain quoted texts, because they may be API keys.
Result<Command> parseCommand(std::string_view text);

// Parses one or more commands separated by ';'. Errors as for parseCommand.
Result<std::vector<Command>> parseCommands(std::string_view text);

// The canonical text of a command: parseCommand(printCommand(c)) == c for each c that parseCommand returned.
std::string printCommand(const Command&);

// The command without its properties: "ALTER POOL estimators".
std::string summarizeCommand(const Command&);

// True for SHOW, which only reads the configuration and is not written to the log.
bool isQuery(const Command&);

// The words of the command language, for example "UPSTREAM".
std::string_view objectKindName(ObjectKind);
std::string_view strategyName(Strategy); // "skew"
std::string_view poolKindName(PoolKind); // "engine"
std::string_view upstreamStateName(UpstreamState); // "draining"
std::string_view weekdayName(int weekday); // 0: "MONDAY"

// The time in UTC, cut to the minute: "2026-12-07T02:00Z". Minutes suffice, because planned windows start at
// whole minutes.
std::string printMinute(WallTime);
// nullopt if the text has another form or gives a date or time that does not exist or is not in 1970 to 2200.
std::optional<WallTime> parseMinute(std::string_view text);

} // namespace briarwharf
