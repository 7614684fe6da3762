#pragma once

#include "coordination/budget.h"
#include "coordination/member.h"
#include <unordered_map>

namespace briarwharf {

struct LoadTableOptions {
    double significantChange = 0.1; // relative change that is worth a report
    std::uint32_t significantTokens = 200; // and the least absolute one
    Milliseconds refreshAfter { 10000 }; // unchanged entries are repeated
    Milliseconds expireAfter { 60000 }; // entries without news are dropped
    double bytesPerSecond = 12000; // of entries, over all links
    double ownerBound = 1.25; // no instance polls more than this times the mean number of upstreams
};

struct UpstreamLoad {
    std::uint32_t tokens = 0; // tokens in progress
    Milliseconds age { 0 }; // since the owner's poll
    bool serving = false;
    bool reachable = false; // for the owner
};

// 32-bit hash that stands for an upstream or organisation in messages between instances.
std::uint32_t nameHash(std::string_view name);

// The load of every upstream, polled by one owner each and relayed along the aggregation tree, so that each
// entry crosses each tree link once. Bytes per second of an instance depend on the number of upstreams, not
// on the number of instances, and are bounded; when they do not suffice, entries that changed most go first,
// and the priority of a waiting entry rises with time without bound, so that none starves.
class LoadTable : public HeartbeatSection {
public:
    LoadTable(const Membership&, LoadTableOptions);

    // The upstreams of the configuration in force, as nameHash of their names. Others are not relayed.
    void setUpstreams(const std::vector<std::uint32_t>&);

    // Upstreams that this instance polls, by rendezvous hash with a bound on each instance's number. Changes
    // with the members' epoch.
    const std::vector<std::uint32_t>& owned() const;

    // Result of an own poll. Ignored for upstreams that another instance owns: a sequence number has one
    // writer.
    void report(
        std::uint32_t upstream, std::uint32_t tokens, bool serving, bool reachable, MonotonicTime now);

    // nullopt: nothing known, or expired.
    std::optional<UpstreamLoad> load(std::uint32_t upstream, MonotonicTime now) const;

    std::size_t size() const { return m_entries.size(); }

    void fill(const LinkView&, HeartbeatT&, MonotonicTime now) override;
    void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) override;
    bool urgent(const LinkView&, MonotonicTime now) const override;
    void linkUp(const std::string& peer, MonotonicTime now) override;
    void linkDown(const std::string& peer, MonotonicTime now) override;

private:
    struct Entry {
        MonotonicTime polled; // at the owner
        std::uint32_t tokens = 0;
        std::uint8_t sequence = 0;
        std::uint8_t flags = 0;
        bool known = false;
    };
    struct Sent { // per link and entry
        std::uint32_t tokens = 0;
        std::uint8_t sequence = 0;
        std::uint8_t flags = 0;
        bool any = false;
        MonotonicTime at;
    };
    struct LinkState {
        std::vector<Sent> sent; // what the peer knows, by index of the upstream
        bool flagsChanged = false;
        ByteBudget budget;
    };

    bool newer(const Entry&, std::uint8_t sequence, MonotonicTime now) const;
    double priority(const Entry&, const Sent&, MonotonicTime now) const;
    void flagsChanged(const std::string& source);
    void updateOwned() const;
    LoadReport toReport(std::size_t index, MonotonicTime now) const;

    const Membership& m_membership;
    LoadTableOptions m_options;
    std::unordered_map<std::uint32_t, std::size_t> m_indexes;
    std::vector<std::uint32_t> m_upstreams;
    std::vector<Entry> m_entries;
    std::map<std::string, LinkState, std::less<>> m_links;
    mutable std::vector<std::uint32_t> m_owned;
    mutable std::vector<bool> m_isOwned;
    mutable std::uint64_t m_ownedEpoch = ~std::uint64_t { 0 };
};

} // namespace briarwharf
