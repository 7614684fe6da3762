#pragma once

#include "coordination/budget.h"
#include "coordination/member.h"
#include <unordered_map>

namespace briarwharf {

struct LoadTableOptions {
    double significantChange = 0.1; // relative change from which an entry is sent before refreshInterval
    std::uint32_t significantTokens = 200; // and the minimum absolute change
    Milliseconds refreshInterval { 10000 }; // unchanged entries are sent again
    Milliseconds expireAfter { 60000 }; // entries without a newer report expire
    double bytesPerSecond = 12000; // for entries, over all links
    double maxOwnedRatio = 1.25; // no instance owns more than this times the mean number of upstreams
};

struct UpstreamLoad {
    std::uint32_t tokens = 0; // tokens in progress
    Milliseconds age { 0 }; // time since the owner's poll
    bool serving = false;
    bool reachable = false; // by the owner
};

// 32-bit hash that identifies an upstream or organisation in messages between instances.
std::uint32_t nameHash(std::string_view name);

// The load of every upstream. Each upstream is polled by one owner, and its load is relayed along the
// aggregation tree, so that each report crosses each tree link once. The bytes per second that an instance
// sends depend on the number of upstreams, not on the number of instances, and are bounded. When the budget
// does not suffice, entries that changed most are sent first; the priority of a waiting entry rises with time
// without bound, so that none starves.
class LoadTable : public HeartbeatSection {
public:
    LoadTable(const Membership&, LoadTableOptions);

    // Sets the upstreams of the configuration in force, as nameHash of their names. Reports about others are
    // ignored.
    void setUpstreams(const std::vector<std::uint32_t>&);

    // Upstreams that this instance polls, chosen by rendezvous hashing with a bound on the number per
    // instance. Changes with Membership::epoch().
    const std::vector<std::uint32_t>& owned() const;

    // Records the result of this instance's poll. Ignored for upstreams that another instance owns, so that
    // each sequence number has one writer.
    void report(
        std::uint32_t upstream, std::uint32_t tokens, bool serving, bool reachable, MonotonicTime now);

    // nullopt: no report yet, or the last one has expired.
    std::optional<UpstreamLoad> load(std::uint32_t upstream, MonotonicTime now) const;

    std::size_t size() const { return m_entries.size(); }

    void fill(const LinkView&, HeartbeatT&, MonotonicTime now) override;
    void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) override;
    bool urgent(const LinkView&, MonotonicTime now) const override;
    void linkUp(const std::string& peer, MonotonicTime now) override;
    void linkDown(const std::string& peer, MonotonicTime now) override;

private:
    struct Entry {
        MonotonicTime polledAt; // by the owner
        std::uint32_t tokens = 0;
        std::uint8_t sequence = 0;
        std::uint8_t flags = 0;
        bool known = false;
    };
    struct Sent { // the last report sent to or received from a peer, per link and entry
        std::uint32_t tokens = 0;
        std::uint8_t sequence = 0;
        std::uint8_t flags = 0;
        bool peerKnows = false;
        MonotonicTime at;
    };
    struct LinkState {
        std::vector<Sent> sent; // the reports that the peer has, by index of the upstream
        bool flagsChanged = false;
        ByteBudget budget;
    };

    bool isNewer(const Entry&, std::uint8_t sequence, MonotonicTime now) const;
    double priority(const Entry&, const Sent&, MonotonicTime now) const;
    void markFlagsChanged(const std::string& source);
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
