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

// Run-time facts that the daemon adds to the configuration. Absent facts show as empty cells.

struct InstanceFacts {
    std::string name;
    std::string address;
    std::string failureDomain;
    std::string state; // alive, suspect, dead, leaving
    std::optional<std::uint64_t> revision; // in force there
    std::optional<bool> current; // the log's head was confirmed within the limit
    std::optional<Milliseconds> confirmedAgo;
};

struct UpstreamFacts {
    std::optional<std::uint64_t> tokensInProgress;
    std::optional<std::uint64_t> requestsInProgress;
    std::optional<std::uint64_t> residentChats;
    std::optional<Milliseconds> reportAge;
    std::optional<bool> reachable;
    std::string drainPhase; // from the drainer; empty where no drain runs
};

struct OrganisationFacts {
    std::optional<double> tokensPerSecond; // used, over all instances
};

struct RuntimeFacts {
    WallTime now {};
    std::vector<InstanceFacts> instances;
    std::map<std::string, UpstreamFacts> upstreams;
    std::map<std::string, OrganisationFacts> organisations;
};

// One typed value; monostate is an unknown or absent value.
using Cell = std::variant<std::monostate, bool, std::int64_t, double, std::string>;

struct Table {
    std::vector<std::string> columns;
    std::vector<std::vector<Cell>> rows; // each as long as columns

    bool operator==(const Table&) const = default;
};

// Rows for the command, filtered, ordered and cut. Errors: NotFound (no such column; the message lists the
// columns), InvalidArgument (a comparison that does not fit the column).
Result<Table> showTable(const ShowCommand&, const Config&, const RuntimeFacts&);

// Aligned columns with a header line; numbers to the right. Control characters are replaced.
std::string printTable(const Table&);

// What the operator interface answers; the daemon writes it and the command-line tool reads it.
struct OperatorAnswer {
    std::uint64_t revision = 0; // in force at the answering instance
    std::optional<Error> error;
    std::optional<Table> table; // of the last SHOW
};

// {"ok", "revision", "error": {"type", "message", "remedy"}, "columns", "rows"}. The remedy is the part of
// the message after the first ": ".
Json answerJson(const OperatorAnswer&);

// Errors: InvalidArgument.
Result<OperatorAnswer> parseAnswer(std::string_view text);

} // namespace briarwharf
