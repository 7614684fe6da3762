#include "coordination/tree.h"

#include "base/hash.h"
#include <algorithm>
#include <map>
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

    // The node with the highest score among the nodes of minimum depth.
    std::size_t chooseParentOf(
        const Node& child, const std::vector<Node>& nodes, const std::vector<std::size_t>& candidates)
    {
        std::size_t best = nodes.size();
        std::uint64_t bestScore = 0;
        for (std::size_t candidate : candidates) {
            const Node& node = nodes[candidate];
            std::uint64_t score = combineHashes(child.hash, node.hash);
            bool shallower = best == nodes.size() || node.depth < nodes[best].depth;
            if (shallower || (node.depth == nodes[best].depth && score > bestScore)) {
                best = candidate;
                bestScore = score;
            }
        }
        return best;
    }

    // Adds the nodes to the tree in the given order, as children of `available` or of each other. Nodes that
    // have `maxChildren` children accept no others.
    void addNodes(const std::vector<std::size_t>& added, std::vector<std::size_t> available,
        std::size_t maxChildren, std::vector<Node>& nodes, std::vector<std::size_t>& parents)
    {
        for (std::size_t current : added) {
            std::size_t parent = chooseParentOf(nodes[current], nodes, available);
            parents[current] = parent;
            if (parent < nodes.size()) {
                nodes[current].depth = nodes[parent].depth + 1;
                if (++nodes[parent].children == maxChildren)
                    available.erase(std::find(available.begin(), available.end(), parent));
            }
            available.push_back(current);
        }
    }

} // namespace

std::uint64_t treeRank(std::string_view id) { return hash64(id, rankSeed); }

std::vector<std::size_t> treeParents(const std::vector<TreeMember>& members)
{
    std::vector<Node> nodes(members.size());
    for (std::size_t i = 0; i < members.size(); ++i) {
        nodes[i].rank = treeRank(members[i].id);
        nodes[i].hash = hash64(members[i].id);
    }
    std::vector<std::size_t> order(members.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(),
        [&nodes](std::size_t left, std::size_t right) { return nodes[left].rank < nodes[right].rank; });

    std::vector<std::size_t> heads;
    std::map<std::string_view, std::vector<std::size_t>> domains; // by name, in order of rank
    for (std::size_t i : order) {
        std::vector<std::size_t>& domain = domains[members[i].failureDomain];
        if (domain.empty())
            heads.push_back(i);
        domain.push_back(i);
    }
    std::vector<std::size_t> parents(members.size(), members.size());
    addNodes(heads, {}, maxHeadChildren, nodes, parents);
    for (const auto& [name, domain] : domains) {
        std::vector<std::size_t> others(domain.begin() + 1, domain.end());
        addNodes(others, { domain.front() }, maxTreeChildren, nodes, parents);
    }
    return parents;
}

} // namespace briarwharf
