#pragma once

#include "base/error.h"
#include "version/apply.h"
#include "version/command.h"
#include "version/config.h"
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// One record of the configuration log. Either all of its commands take effect or none.
//
//   ConfigRecord record { parseCommands(text).value(), { now, "operator", requestId } };
//   log.append(encodeRecord(record), ...);           // becomes record n
//   auto applied = applyRecord(config, n, payload);  // on every instance, the writer included
//   if (applied && applied.value().refusal)
//       reply(*applied.value().refusal);             // only on the instance that wrote the record
struct ConfigRecord {
    std::vector<Command> commands;
    ChangeOrigin origin;
};

// Maximum size of an encoded record in bytes; well under the store's limit for one object.
constexpr std::size_t maxRecordBytes = 256 * 1024;

// Maximum size of an encoded snapshot in bytes. A snapshot must fit into one frame between peers.
constexpr std::size_t maxSnapshotBytes = 2 * 1024 * 1024 - 4096;

std::string encodeRecord(const ConfigRecord&);

// Errors: Corrupt; Unavailable for a format version that is newer than this program can read (the remedy is
// to update the program).
Result<ConfigRecord> decodeRecord(std::string_view payload);

std::string encodeSnapshot(const Config&);

// Errors as for decodeRecord. The result has passed validateConfig.
Result<Config> decodeSnapshot(std::string_view payload);

struct AppliedRecord {
    Config config; // its revision is the record's number
    std::optional<Error> refusal; // if set, only the revision changed; the writer answers with this error
};

// One step of the replicated state machine that each instance runs: the record with the number
// config.revision + 1 takes effect or is refused, with the same result on every instance. A corrupt record is
// refused like an invalid one.
//
// On an error the caller keeps the configuration in force. Errors: InvalidArgument for a number that is not
// the next one (the caller fetches the missing records); Unavailable for a newer format version, because
// skipping a record that newer instances apply would make the configurations diverge.
Result<AppliedRecord> applyRecord(const Config&, std::uint64_t number, std::string_view payload);

} // namespace briarwharf
