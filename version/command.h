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

// The operators' command language. docs/commands.md has the grammar.
//
//   auto commands = parseCommands("ADD UPSTREAM e1 POOL estimators ADDRESS 10.0.0.1:8080; SHOW UPSTREAMS");
//   if (!commands)
//       reply(commands.error().message); // line, column, caret line and what was expected

// Longest command text in bytes, and most commands in one text: bounds what one operator request costs.
constexpr std::size_t maxCommandTextBytes = 64 * 1024;
constexpr std::size_t maxCommandsPerText = 500;

enum class ObjectKind {
    Organisation,
    Pool,
    Upstream,
    Policy,
};

// Create fills absent properties with defaults; Alter leaves them as they are.
enum class Verb {
    Create,
    Alter,
};

// SHA-256 of an API key as 64 lower-case hex digits. The plain key exists only in the command text.
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
    std::optional<std::string> policy; // empty: back to the defaults
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

// With a window, the drain belongs to a planned window that starts then; the drainer writes such commands.
struct DrainCommand {
    std::string upstream;
    std::optional<WallTime> window;

    bool operator==(const DrainCommand&) const = default;
};

// With a window, ends only the drain of that planned window, and is refused after an operator took it over.
struct UndrainCommand {
    std::string upstream;
    std::optional<WallTime> window;

    bool operator==(const UndrainCommand&) const = default;
};

// Written by the drainer when an upstream holds no request any more. Refused unless the drain that began at
// the revision still goes on, so that a late report never passes for one of a later drain.
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
    Like, // % stands for any text, _ for one character
};

struct Filter {
    std::string column;
    Comparison comparison = Comparison::Equal;
    std::string value; // compared as a number where the cell is one

    bool operator==(const Filter&) const = default;
};

enum class ShowFormat {
    Table,
    Json,
};

struct ShowCommand {
    ShowTopic topic = ShowTopic::Revision;
    std::vector<std::string> columns; // empty: all
    std::vector<Filter> filters; // all must hold
    std::string orderBy; // empty: by name
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
    // The command is refused if the configuration changed after this revision.
    std::optional<std::uint64_t> expectedRevision;

    bool operator==(const Command&) const = default;
};

// Exactly one command; a final ';' is allowed. Errors: InvalidArgument, TooLarge. The message never shows
// quoted text, which may be an API key.
Result<Command> parseCommand(std::string_view text);

// One or more commands separated by ';'. Errors as for parseCommand.
Result<std::vector<Command>> parseCommands(std::string_view text);

// The canonical text: parseCommand(printCommand(c)) == c for each command that parseCommand returned.
std::string printCommand(const Command&);

// Verb, kind and name only: "ALTER POOL estimators".
std::string summarizeCommand(const Command&);

// True for SHOW, which reads and needs no record.
bool isQuery(const Command&);

// "UPSTREAM" and so on, as in the language.
std::string_view objectKindName(ObjectKind);
std::string_view strategyName(Strategy); // "skew"
std::string_view poolKindName(PoolKind); // "engine"
std::string_view upstreamStateName(UpstreamState); // "draining"
std::string_view weekdayName(int weekday); // 0: "MONDAY"

// "2026-12-07T02:00Z"; planned windows start at whole minutes.
std::string printMinute(WallTime);
// nullopt unless the text is of that form and a real date.
std::optional<WallTime> parseMinute(std::string_view text);

} // namespace briarwharf
