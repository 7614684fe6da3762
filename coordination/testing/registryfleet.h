#pragma once

#include "base/base.h"
#include "coordination/coordination.h"
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace briarwharf {

constexpr Milliseconds registryStepTime { 100 };

// A registry that can be restored from an older copy; a revision is then given out again.
struct Registry {
    std::uint64_t generation = 1;
    std::uint64_t revision = 1;
    std::map<std::string, UpstreamEntry> entries; // with revisions in their generation

    void put(UpstreamEntry changed)
    {
        changed.revision = ++revision;
        entries[changed.id] = changed;
    }
    void remove(const std::string& id) { revision += entries.erase(id); }
    DirectoryChanges list() const
    {
        DirectoryChanges changes { 0, registryRevision(generation, revision), {}, {} };
        for (const auto& [id, listed] : entries) {
            changes.entries.push_back(listed);
            changes.entries.back().revision = registryRevision(generation, listed.revision);
        }
        return changes;
    }
};

// Instances in a tree of links. Those that watch read the registry, at random moments; the others hear from
// their peers only.
class RegistryFleet {
public:
    RegistryFleet(std::size_t size, std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t index = 0; index < size; ++index)
            m_nodes.push_back(std::make_unique<Node>(std::to_string(index)));
    }

    Registry registry;
    std::set<std::size_t> cutOff; // from the registry and the peers
    bool registryServes = true; // whether it answers

    std::size_t size() const { return m_nodes.size(); }
    const std::map<std::string, UpstreamEntry>& upstreams(std::size_t index) const
    {
        return m_nodes[index]->directory.upstreams();
    }
    // Whether the instance places work on the upstream as on any other.
    bool uses(std::size_t index, const std::string& id) const
    {
        auto found = upstreams(index).find(id);
        return found != upstreams(index).end() && !found->second.draining && !found->second.lapsed;
    }
    std::size_t users(const std::string& id) const
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < size(); ++index)
            count += uses(index, id) ? 1 : 0;
        return count;
    }

    // The instance loses its memory and its links.
    void restart(std::size_t index)
    {
        std::string id = std::to_string(index);
        m_nodes[index] = std::make_unique<Node>(id);
        for (auto& node : m_nodes)
            node->relay.linkDown(id, m_now);
    }

    template <typename Check> void run(Milliseconds duration, Check check)
    {
        for (Milliseconds passed { 0 }; passed < duration; passed += registryStepTime) {
            m_now += registryStepTime;
            for (std::size_t index = 0; index < size(); ++index)
                step(index);
            check();
        }
    }
    void run(Milliseconds duration)
    {
        run(duration, [] {});
    }

private:
    static constexpr std::size_t children = 4; // in the tree of links
    struct Node {
        explicit Node(const std::string& id)
            : membership({ id, "10.0.0.1:1", "a", 1 }, {}, outbox, 1)
        {
        }
        Outbox outbox;
        Membership membership;
        DirectoryRelay relay { {}, membership, outbox };
        UpstreamDirectory directory { {} };
    };

    bool watches(std::size_t index) const { return size() <= 12 || index % 20 == 0; }

    void apply(Node& node, const DirectoryChanges& changes)
    {
        node.directory.apply(changes, m_now);
        node.relay.setDirectoryRevision(node.directory.revision());
    }

    void step(std::size_t index)
    {
        if (cutOff.count(index))
            return;
        Node& node = *m_nodes[index];
        if (registryServes && watches(index) && m_random.below(2) == 0)
            apply(node, registry.list());
        for (const auto& departure : node.relay.takeDepartures())
            node.directory.learn(departure, m_now);
        node.relay.spread(node.directory.takeContradicted(), m_now);
        if (!registryServes)
            node.directory.extendDoubts(m_now);
        node.directory.expire(m_now);
        node.relay.tick(m_now);
        for (auto& message : node.outbox.drain()) {
            std::size_t to = std::stoul(message.peer);
            if (cutOff.count(to))
                continue;
            if (const auto* fetch = message.body.AsDirectoryFetch())
                m_nodes[to]->relay.receive(std::to_string(index), *fetch, m_nodes[to]->directory, m_now);
            else if (const auto* push = message.body.AsDirectoryPush())
                apply(*m_nodes[to],
                    m_nodes[to]
                        ->relay.receive(std::to_string(index), *push)
                        .value()
                        .changes.value_or(DirectoryChanges {}));
        }
        if (index > 0)
            exchangeHeartbeats(index, (index - 1) / children);
    }

    void exchangeHeartbeats(std::size_t one, std::size_t other)
    {
        if (cutOff.count(other))
            return;
        for (auto [from, to] : { std::pair(one, other), std::pair(other, one) }) {
            std::string fromId = std::to_string(from);
            std::string toId = std::to_string(to);
            HeartbeatT heartbeat;
            m_nodes[from]->relay.fill(LinkView { toId }, heartbeat, m_now);
            m_nodes[to]->relay.accept(LinkView { fromId }, heartbeat, m_now);
        }
    }

    Random m_random;
    MonotonicTime m_now { std::chrono::hours(1) };
    std::vector<std::unique_ptr<Node>> m_nodes;
};

} // namespace briarwharf
