#pragma once

#include "coordination/coordination.h"
#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace briarwharf::testing {

// Memberships that know each other, with the links that the tree or the full mesh requires. Each has a table
// of work in progress, a quarantine, the upstreams' limits and the pools' shares. Frames arrive within the
// round in which they are sent.
struct ProgressFleet {
    struct Node {
        Outbox outbox;
        std::unique_ptr<Membership> membership;
        std::unique_ptr<InProgressTable> work;
        std::unique_ptr<SegmentQuarantine> quarantine;
        std::unique_ptr<UpstreamLimits> limits;
        std::unique_ptr<PoolShares> shares;
        std::uint64_t bytesSent = 0; // of frames, without the overhead of TCP and IP
    };
    std::map<std::string, Node> nodes;
    MonotonicTime now { std::chrono::hours(1) };

    // Instances are numbered from 1.
    static std::string idOf(int number)
    {
        return "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":1";
    }

    explicit ProgressFleet(int size, int domains = 1)
    {
        for (int number = 1; number <= size; ++number)
            all.push_back(
                { idOf(number), idOf(number), std::string(1, static_cast<char>('a' + number % domains)) });
        for (const auto& self : all)
            start(self, 1, all);
    }

    // Starts an instance that knows the listed ones.
    void start(
        const ListedInstance& self, std::uint64_t incarnation, const std::vector<ListedInstance>& known)
    {
        Node& node = nodes[self.id];
        node.membership = std::make_unique<Membership>(
            InstanceIdentity { self.id, self.address, self.failureDomain, incarnation }, MembershipOptions {},
            node.outbox, incarnation);
        node.work = std::make_unique<InProgressTable>(*node.membership, InProgressOptions {});
        node.quarantine = std::make_unique<SegmentQuarantine>(*node.membership);
        node.membership->addSection(*node.work);
        node.limits = std::make_unique<UpstreamLimits>(*node.membership);
        node.membership->addSection(*node.quarantine);
        node.membership->addSection(*node.limits);
        node.shares = std::make_unique<PoolShares>(*node.membership);
        node.membership->addSection(*node.shares);
        node.membership->seed(known, now);
    }

    // Replaces an instance by a new process, which knows only the first three instances by their addresses.
    void restart(const ListedInstance& self, std::uint64_t incarnation)
    {
        for (auto& [id, node] : nodes)
            node.membership->linkDown(self.id, now);
        nodes.erase(self.id);
        std::vector<ListedInstance> seeds = all;
        seeds.resize(std::min<std::size_t>(seeds.size(), 3));
        for (ListedInstance& seed : seeds)
            seed.failureDomain.clear();
        start(self, incarnation, seeds);
    }

    std::vector<ListedInstance> all;
    std::set<std::string> cutOff; // run, but their frames are lost in both directions
    std::set<std::string> frozen; // neither run nor receive anything

    // One round of links, ticks and messages.
    void step(Milliseconds duration = Milliseconds(250))
    {
        now += duration;
        openLinks();
        for (auto& [id, node] : nodes) {
            if (frozen.count(id) > 0)
                continue;
            node.membership->tick(now);
            node.quarantine->tick(now);
            node.limits->tick(now);
            node.shares->tick(now);
        }
        deliver();
        for (auto& [id, node] : nodes)
            node.work->refresh(now);
        closeSilentLinks();
    }

private:
    bool isReachable(const std::string& id) const { return cutOff.count(id) + frozen.count(id) == 0; }

    void closeSilentLinks()
    {
        for (auto& [id, node] : nodes) {
            for (const std::string& peer : node.membership->takeSilentLinks()) {
                node.membership->linkDown(peer, now);
                auto other = nodes.find(peer);
                if (other != nodes.end())
                    other->second.membership->linkDown(id, now);
            }
        }
    }

    void openLinks()
    {
        for (auto& [id, node] : nodes) {
            if (!isReachable(id))
                continue;
            for (const auto& peer : node.membership->desiredPeers()) {
                if (node.membership->linked(peer) || nodes.count(peer) == 0 || !isReachable(peer))
                    continue;
                node.membership->linkUp(peer, now);
                nodes[peer].membership->linkUp(id, now);
            }
        }
    }

    void deliver()
    {
        for (auto& [id, node] : nodes) {
            for (auto& message : node.outbox.drain()) {
                auto to = nodes.find(message.peer);
                if (to == nodes.end() || !isReachable(id) || !isReachable(message.peer))
                    continue;
                PeerFrameT frame = node.membership->frame(std::move(message));
                node.bytesSent += encodePeerFrame(frame).size();
                to->second.membership->receive(frame, now);
            }
        }
    }
};

} // namespace briarwharf::testing
