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

// Records which upstream caches the context of a chat, but only for chats that spilled or were handed over
// and so are not at their rendezvous first choice. It is used for callers that send no hint. Bounded in
// bytes: the least recently used entry is evicted first, which costs its chat one cache miss.
class ResidenceDirectory {
public:
    explicit ResidenceDirectory(std::size_t maxBytes, std::chrono::seconds lifetime = std::chrono::hours(6));

    void put(ChatKey, UpstreamId, MonotonicTime now);
    std::optional<UpstreamId> find(ChatKey, MonotonicTime now);

    // Must be called when the chat is at its first choice again.
    void erase(ChatKey);

    // Must be called when the upstream has left: its entries would direct chats to a cache that no longer
    // exists.
    void removeUpstream(UpstreamId);

    std::size_t size() const { return m_index.size(); }
    std::size_t bytes() const { return m_index.size() * entryBytes; }

    // Estimated heap bytes of an entry: list node, hash node and bucket.
    static constexpr std::size_t entryBytes = 96;

private:
    struct Entry {
        ChatKey chat = 0;
        UpstreamId upstream = 0;
        MonotonicTime lastUsed;
    };

    std::size_t m_maxEntries;
    std::chrono::seconds m_lifetime;
    std::list<Entry> m_entries; // most recently used first
    std::unordered_map<ChatKey, std::list<Entry>::iterator> m_index;
};

// A chat whose context an upstream caches, with the data that a handover needs.
struct ResidentChat {
    std::string organisation;
    std::string chat;
    std::int64_t tokens = 0; // size of the context
    MonotonicTime lastTurn;
};

// Records which chats have their context on an upstream and when each had its last turn, from the requests
// that this instance has carried. Gives the order of a handover: most chats that return do so within minutes,
// so the chat with the latest turn is expected back first. Bounded in bytes: the chat whose last turn is the
// oldest is evicted first.
class ResidentChats {
public:
    explicit ResidentChats(std::size_t maxBytes);

    // Records that a turn of the chat completed on the upstream. The chat's entry for a former upstream, if
    // any, is removed.
    void recordTurn(std::string_view organisation, std::string_view chat, UpstreamId, std::int64_t tokens,
        MonotonicTime now);
    void remove(std::string_view organisation, std::string_view chat);
    void removeUpstream(UpstreamId);

    // Returns at most `limit` chats of the upstream that had a turn since `since`, in the order in which they
    // are expected back.
    std::vector<ResidentChat> handoverOrder(UpstreamId, MonotonicTime since, std::size_t limit) const;

    // Returns the number of chats of one upstream. Iterates over the chats of all upstreams.
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
    std::list<Entry> m_entries; // latest turn first
    std::unordered_map<ChatKey, std::list<Entry>::iterator> m_index;
};

} // namespace briarwharf
