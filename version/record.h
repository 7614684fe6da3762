#pragma once

#include "base/error.h"
#include "version/apply.h"
#include "version/command.h"
#include "version/config.h"
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// One record of the configuration log. Its commands take effect together or not at all.
//
//   ConfigRecord record { parseCommands(text).value(), { now, "operator", requestId } };
//   log.append(encodeRecord(record), ...);           // becomes record n
//   auto applied = applyRecord(config, n, payload);  // on every instance, the writer included
//   if (applied && applied.value().refusal)
//       reply(*applied.value().refusal);             // on the writer
struct ConfigRecord {
    std::vector<Command> commands;
    ChangeOrigin origin;
};

// Longest encoded record in bytes; well under the store's limit for one object.
constexpr std::size_t maxRecordBytes = 256 * 1024;

// Longest snapshot in bytes; the peers' frames carry it whole.
constexpr std::size_t maxSnapshotBytes = 2 * 1024 * 1024 - 4096;

std::string encodeRecord(const ConfigRecord&);

// Errors: Corrupt; Unavailable for a format version newer than this program knows (update the program).
Result<ConfigRecord> decodeRecord(std::string_view payload);

std::string encodeSnapshot(const Config&);

// Errors as for decodeRecord. The result has passed validateConfig.
Result<Config> decodeSnapshot(std::string_view payload);

struct AppliedRecord {
    Config config; // at the record's number
    std::optional<Error> refusal; // set: nothing changed but the revision, and the writer is told this
};

// The state machine that each instance runs: the record with number config.revision + 1 takes effect or is
// refused, with the same result everywhere. A corrupt record is refused in the same way.
//
// Errors, on which the caller keeps the configuration in force: InvalidArgument for a number out of order
// (fetch the missing records); Unavailable for a newer format version, because skipping a record that newer
// instances apply would make the configurations diverge.
Result<AppliedRecord> applyRecord(const Config&, std::uint64_t number, std::string_view payload);

} // namespace briarwharf
