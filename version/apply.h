#pragma once

#include "base/error.h"
#include "version/command.h"
#include "version/config.h"
#include <span>

namespace briarwharf {

// The time, author and request of a change. The history keeps them for accepted changes.
struct ChangeOrigin {
    WallTime time {};
    std::string author;
    std::string requestId;
};

// Maximum number of accepted changes in Config::history. It covers commands that race within minutes, whose
// conflict errors list what changed.
constexpr std::size_t maxHistory = 64;

// Maximum number of retired names; the oldest are removed first. At 2,500 changes a day this covers weeks.
constexpr std::size_t maxRetiredNames = 10000;

// Returns the configuration at revision + 1 with all commands applied; on an error none is applied. The
// result depends only on the arguments, so every instance computes the same result from the same record.
//
// Errors: NotFound, AlreadyExists, InvalidArgument (the message names the remedy), Conflict (the
// configuration changed after the expected revision; the message lists the changes), TooLarge.
Result<Config> applyCommands(const Config&, std::span<const Command>, const ChangeOrigin& = {});

// As applyCommands, for one command and without an origin.
Result<Config> applyCommand(const Config&, const Command&);

// Checks a whole configuration, such as one decoded from a snapshot. Errors: InvalidArgument; NotFound for a
// reference to an object that does not exist; AlreadyExists for an API key, address or model used twice.
Status validateConfig(const Config&);

// True for a valid object name: 1 to 64 of the characters A-Z a-z 0-9 . _ -, the first a letter or digit.
// Names are limited to these because they occur in store keys, paths and headers.
bool isValidName(std::string_view);

} // namespace briarwharf
