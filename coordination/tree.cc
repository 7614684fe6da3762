#include "coordination/tree.h"

#include "base/hash.h"
#include <algorithm>
#include <numeric>

namespace briarwharf {

namespace {

    // Makes ranks independent of the rendezvous hashes.
    constexpr std::uint64_t rankSeed = 0x7472656572616e6bULL;

    struct Node {
        std::uint64_t rank = 0;
        std::uint64_t hash = 0;
        std::size_t depth = 0;
        std::size_t children = 0;
    };

    // The node with the highest score among the nodes of minimum depth that accept another child.
    std::size_t chooseParentOf(
        const Node& child, const std::vector<Node>& nodes, const std::vector<std::size_t>& candidates)
    {
        std::size_t best = nodes.size();
        std::uint64_t bestScore = 0;
        for (std::size_t candidate : candidates) {
            const Node& node = nodes[candidate];
            if (node.children >= maxTreeChildren)
                continue;
            std::uint64_t score = combineHashes(child.hash, node.hash);
            bool shallower = best == nodes.size() || node.depth < nodes[best].depth;
            if (shallower || (node.depth == nodes[best].depth && score > bestScore)) {
                best = candidate;
                bestScore = score;
            }
        }
        return best;
    }

} // namespace

std::uint64_t treeRank(std::string_view id) { return hash64(id, rankSeed); }

std::vector<std::size_t> treeParents(const std::vector<std::string>& ids)
{
    std::vector<Node> nodes(ids.size());
    for (std::size_t i = 0; i < ids.size(); ++i) {
        nodes[i].rank = treeRank(ids[i]);
        nodes[i].hash = hash64(ids[i]);
    }
    std::vector<std::size_t> order(ids.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(),
        [&nodes](std::size_t left, std::size_t right) { return nodes[left].rank < nodes[right].rank; });

    std::vector<std::size_t> parents(ids.size(), ids.size());
    std::vector<std::size_t> available; // nodes that accept another child
    for (std::size_t current : order) {
        std::size_t parent = chooseParentOf(nodes[current], nodes, available);
        parents[current] = parent;
        if (parent < nodes.size()) {
            nodes[current].depth = nodes[parent].depth + 1;
            if (++nodes[parent].children == maxTreeChildren)
                available.erase(std::find(available.begin(), available.end(), parent));
        }
        available.push_back(current);
    }
    return parents;
}

} // namespace briarwharf
