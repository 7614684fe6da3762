#pragma once

#include <algorithm>
#include <cstdint>

namespace briarwharf {

// The order of the revisions of a registry that may be restored from an older copy: it then gives out
// revisions again for other changes. Each restore starts a generation. A registry revision has the generation
// in its upper bits, so that all instances agree which of two is newer. 0 stands for no revision.
constexpr int revisionBits = 40;
constexpr std::uint64_t maxRevisionInGeneration = (std::uint64_t { 1 } << revisionBits) - 1;
constexpr std::uint64_t maxGeneration = (std::uint64_t { 1 } << (64 - revisionBits)) - 1;

constexpr std::uint64_t registryRevision(std::uint64_t generation, std::uint64_t revision)
{
    if (revision == 0)
        return 0;
    return std::min(generation, maxGeneration) << revisionBits | std::min(revision, maxRevisionInGeneration);
}

constexpr std::uint64_t generationOf(std::uint64_t revision) { return revision >> revisionBits; }

constexpr std::uint64_t revisionInGeneration(std::uint64_t revision)
{
    return revision & maxRevisionInGeneration;
}

} // namespace briarwharf
