#pragma once

#include "process/peers.h"
#include "request/request.h"
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace briarwharf {

// A directory of the chats whose context is cached at another upstream than their rendezvous first choice. It
// serves requests without a usable hint. The entries are sharded over the instances: each is stored by the
// owner of the chat's key among the usable members. If the owner does not answer in time, the only
// consequence is a cache miss.
class ResidenceService {
public:
    using FindCallback = std::function<void(std::optional<UpstreamId>)>;

    explicit ResidenceService(PeerService&);

    // Calls back exactly once: before it returns if this instance owns the entry or the owner has no link,
    // otherwise with the owner's answer, or with nullopt after answerTimeout.
    void find(ChatKey, FindCallback);

    // Records the upstream that caches the context of the chat. An empty name removes the entry: the context
    // is at the rendezvous first choice again.
    void update(ChatKey, const std::string& upstream);

    void receive(const std::string& peer, const PeerFrameT&);
    void tick();

    void removeUpstream(UpstreamId id) { m_directory.removeUpstream(id); }

    std::size_t entries() const { return m_directory.size(); }

private:
    struct PendingQuery {
        FindCallback callback;
        MonotonicTime deadline;
    };

    const std::string& ownerOf(ChatKey) const;
    void storeEntry(ChatKey, const std::string& upstream);

    PeerService& m_peers;
    ResidenceDirectory m_directory;
    std::map<std::uint64_t, PendingQuery> m_pendingQueries; // by nonce
    std::uint64_t m_lastNonce = 0;
};

} // namespace briarwharf
