#pragma once

#include "base/error.h"
#include "coordination/directory.h"
#include "coordination/peerframe.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarwharf {

// Conversion of changes to the list of upstreams to and from the messages between instances. Entries without
// an id or with an address that cannot be parsed are left out.

// The number of a report in a message, where 0 stands for one that is not stated.
std::uint64_t sequenceField(std::optional<std::uint64_t>);
std::optional<std::uint64_t> sequenceOf(std::uint64_t field);

// Sets from, revision, upstreams and removed.
void addChanges(const DirectoryChanges&, DirectoryPushT&);

// Reverses addChanges(). Revision 0: the message has no changes.
DirectoryChanges changesOf(const DirectoryPushT&);

// The contents of DirectoryPushT::compressedList.
std::string compressChanges(const DirectoryChanges&);

// Reverses compressChanges(). Errors: Corrupt, TooLarge.
Result<DirectoryChanges> decompressChanges(std::string_view compressed);

} // namespace briarwharf
