#pragma once

#include "base/error.h"
#include "version/command.h"
#include "version/config.h"
#include <span>

namespace briarwharf {

// Where an accepted change comes from; kept in the history.
struct ChangeOrigin {
    WallTime time {};
    std::string author;
    std::string requestId;
};

// Accepted changes kept in Config::history, enough for the commands that race within minutes.
constexpr std::size_t maxHistory = 64;

// Retired names kept; the oldest are forgotten first. At 2,500 changes a day this covers weeks.
constexpr std::size_t maxRetiredNames = 10000;

// The next configuration: all commands applied at revision + 1, or none. Pure and deterministic, so every
// instance computes the same result from the same record.
//
// Errors: NotFound, AlreadyExists, InvalidArgument (the message names the remedy), Conflict (the
// configuration changed after the expected revision; the message lists the changes), TooLarge.
Result<Config> applyCommands(const Config&, std::span<const Command>, const ChangeOrigin& = {});

// The same for one command.
Result<Config> applyCommand(const Config&, const Command&);

// Checks a whole configuration, for snapshots from outside. Errors: InvalidArgument.
Status validateConfig(const Config&);

// Names of objects: 1 to 64 characters of A-Z a-z 0-9 . _ -, the first a letter or digit. They are parts of
// store keys, paths and headers.
bool isValidName(std::string_view);

} // namespace briarwharf
