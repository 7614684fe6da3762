#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// Maximum number of children of an instance if all instances agree on the members.
constexpr std::size_t maxTreeChildren = 3;
// Maximum number of these children that are the heads of other failure domains.
constexpr std::size_t maxHeadChildren = 2;

struct TreeMember {
    std::string id;
    std::string failureDomain;
};

// Rank of an instance in the aggregation tree, which depends only on its id. A parent's rank is always lower
// than its child's, so that links chosen by instances with different views of the members never form a cycle.
std::uint64_t treeRank(std::string_view id);

// Computes the parent of each instance in a tree of low depth with at most maxTreeChildren children per node.
// Each failure domain forms a subtree below its head, the member with the lowest rank, so that only the links
// between heads cross domains. All instances that agree on the members get the same tree. Returns, for each
// index in `members`, the index of its parent, or `members.size()` for the root. Ids must be unique. Takes
// O(n^2) inexpensive hash operations.
std::vector<std::size_t> treeParents(const std::vector<TreeMember>& members);

} // namespace briarwharf
