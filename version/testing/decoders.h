#pragma once

#include "base/base.h"
#include "base/testing/decoders.h"
#include "version/version.h"

namespace briarwharf::testing {

// Parsed commands must print and parse to themselves; an applied configuration must be valid.
inline void exerciseCommands(std::string_view bytes)
{
    auto commands = parseCommands(bytes);
    if (!commands)
        return;
    for (const Command& command : commands.value()) {
        auto again = parseCommand(printCommand(command));
        require(again.has_value() && again.value() == command);
    }
    auto config = applyCommands({}, commands.value());
    if (config)
        require(validateConfig(config.value()).has_value());
}

// Wraps the bytes as the body of a snapshot with a correct checksum. Without it the checksum test would
// reject almost every input before the body is decoded.
inline std::string wrapSnapshot(std::string_view bytes)
{
    auto body = parseJson(bytes, "body");
    if (!body)
        return std::string(bytes);
    std::string checksum = std::to_string(hash64(dumpJson(body.value())));
    return dumpJson({ { "v", 1 }, { "checksum", checksum }, { "config", body.value() } });
}

// Decoded records and snapshots must encode and decode to themselves.
inline void exerciseRecords(std::string_view bytes)
{
    auto record = decodeRecord(bytes);
    if (record) {
        auto again = decodeRecord(encodeRecord(record.value()));
        require(again.has_value() && again.value().commands == record.value().commands);
    }
    auto applied = applyRecord({}, 1, bytes);
    if (applied)
        require(applied.value().config.revision == 1);
    auto snapshot = decodeSnapshot(wrapSnapshot(bytes));
    if (snapshot) {
        auto again = decodeSnapshot(encodeSnapshot(snapshot.value()));
        require(again.has_value() && again.value() == snapshot.value());
    }
}

} // namespace briarwharf::testing
