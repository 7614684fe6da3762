#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// Most children that an instance accepts when all instances agree on the members.
constexpr std::size_t maxTreeChildren = 3;

// Position of an instance in the aggregation tree: a pure function of its id. A parent's rank is lower than
// its child's, so that links chosen under different views of the members never form a cycle.
std::uint64_t treeRank(std::string_view id);

// Parent of each instance in a tree of low depth with at most maxTreeChildren children each. Equal at all
// instances that agree on the ids. Returns, for each position in `ids`, the position of its parent, or
// `ids.size()` for the root. `ids` must be free of duplicates. Time: O(n^2) cheap hash operations.
std::vector<std::size_t> treeParents(const std::vector<std::string>& ids);

} // namespace briarwharf
