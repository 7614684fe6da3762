#pragma once

#include "base/time.h"
#include "request/placement.h"
#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarwharf {

// Remembers where the context of a chat is, for the exceptions only: chats that spilled or were handed over
// and so are not at their rendezvous first choice. Serves callers without a hint. Bounded in bytes; the
// entry that was used least recently is dropped first, and costs its chat one cache miss.
class ResidenceDirectory {
public:
    explicit ResidenceDirectory(std::size_t maxBytes, std::chrono::seconds lifetime = std::chrono::hours(6));

    void put(ChatKey, UpstreamId, MonotonicTime now);
    std::optional<UpstreamId> find(ChatKey, MonotonicTime now);

    // The chat is at its first choice again.
    void erase(ChatKey);

    // The upstream left: its entries would only mislead.
    void removeUpstream(UpstreamId);

    std::size_t size() const { return m_index.size(); }
    std::size_t bytes() const { return m_index.size() * entryBytes; }

    // Estimated heap bytes of an entry: list node, hash node and bucket.
    static constexpr std::size_t entryBytes = 96;

private:
    struct Entry {
        ChatKey chat = 0;
        UpstreamId upstream = 0;
        MonotonicTime usedAt;
    };

    std::size_t m_maxEntries;
    std::chrono::seconds m_lifetime;
    std::list<Entry> m_entries; // most recently used first
    std::unordered_map<ChatKey, std::list<Entry>::iterator> m_index;
};

// A chat whose context an upstream holds, as handover needs it.
struct ResidentChat {
    std::string organisation;
    std::string chat;
    std::int64_t tokens = 0; // context size
    MonotonicTime lastTurn;
};

// Which chats live on an upstream and when each last spoke, from the requests that this instance has
// carried. Gives the order of a handover: most chats that return do so within minutes, so the chat that
// spoke last is expected back first. Bounded in bytes; the chat that spoke longest ago is dropped first.
class ResidentChats {
public:
    explicit ResidentChats(std::size_t maxBytes);

    // A turn of the chat completed on the upstream; leaves its former upstream, if any.
    void recordTurn(std::string_view organisation, std::string_view chat, UpstreamId, std::int64_t tokens,
        MonotonicTime now);
    void remove(std::string_view organisation, std::string_view chat);
    void removeUpstream(UpstreamId);

    // At most `limit` chats of the upstream that spoke since `since`, expected soonest first.
    std::vector<ResidentChat> handoverOrder(UpstreamId, MonotonicTime since, std::size_t limit) const;

    // Chats of one upstream; looks at all of them.
    std::size_t count(UpstreamId) const;

    std::size_t size() const { return m_index.size(); }
    std::size_t bytes() const { return m_bytes; }

private:
    struct Entry {
        ChatKey key = 0;
        UpstreamId upstream = 0;
        ResidentChat resident;
    };

    static std::size_t entryBytes(const Entry&);
    void erase(std::list<Entry>::iterator);

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::list<Entry> m_entries; // spoke last first
    std::unordered_map<ChatKey, std::list<Entry>::iterator> m_index;
};

} // namespace briarwharf
