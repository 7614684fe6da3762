#pragma once

#include "base/error.h"
#include "base/json.h"
#include "version/command.h"
#include "version/config.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace briarwharf {

// Run-time state that the daemon supplies for SHOW in addition to the configuration. Absent values give empty
// cells.

struct InstanceFacts {
    std::string name;
    std::string address;
    std::string failureDomain;
    std::string state; // alive, suspect, dead, leaving
    std::optional<std::uint64_t> revision; // in force at that instance
    std::optional<bool> current; // the head of its log was confirmed within the freshness limit
    std::optional<Milliseconds> confirmedAgo;
};

struct UpstreamFacts {
    std::optional<std::uint64_t> tokensInProgress;
    std::optional<std::uint64_t> requestsInProgress;
    std::optional<std::uint64_t> residentChats;
    std::optional<Milliseconds> reportAge;
    std::optional<bool> reachable;
    std::string drainPhase; // as the drainer reports it; empty if no drain is in progress
};

struct OrganisationFacts {
    std::optional<double> tokensPerSecond; // consumed, as the sum over all instances
};

struct RuntimeFacts {
    WallTime now {};
    std::vector<InstanceFacts> instances;
    std::map<std::string, UpstreamFacts> upstreams;
    std::map<std::string, OrganisationFacts> organisations;
};

// A typed value; monostate stands for an unknown or absent value.
using Cell = std::variant<std::monostate, bool, std::int64_t, double, std::string>;

struct Table {
    std::vector<std::string> columns;
    std::vector<std::vector<Cell>> rows; // each with one cell for each column

    bool operator==(const Table&) const = default;
};

// Executes a SHOW command: filters and orders the rows, applies the limit and selects the columns. Errors:
// NotFound (no such column; the message lists the columns), InvalidArgument (the comparison or its value does
// not fit the type of the column).
Result<Table> showTable(const ShowCommand&, const Config&, const RuntimeFacts&);

// Prints a header line and the rows in aligned columns, with numbers aligned to the right. Control characters
// are replaced by spaces, so that a value cannot break the layout.
std::string printTable(const Table&);

// An answer of the operator interface. The daemon writes it and the command-line tool reads it.
struct OperatorAnswer {
    std::uint64_t revision = 0; // in force at the answering instance
    std::optional<Error> error;
    std::optional<Table> table; // result of the last SHOW command
};

// {"ok", "revision", "error": {"type", "message", "remedy"}, "columns", "rows"}. The remedy is the
// text of the message after the first ": ".
Json answerJson(const OperatorAnswer&);

// Reads what answerJson wrote. Errors: InvalidArgument.
Result<OperatorAnswer> parseAnswer(std::string_view text);

} // namespace briarwharf
