#pragma once

#include "process/peers.h"
#include "request/request.h"
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace briarwharf {

// Where the context of chats is that are not at their rendezvous first choice, for callers without a hint.
// The entries are sharded over the instances: the owner of a chat's key among the usable members keeps it.
// A directory that does not answer in time costs a cache miss and nothing else.
class ResidenceService {
public:
    using FindCallback = std::function<void(std::optional<UpstreamId>)>;

    explicit ResidenceService(PeerService&);

    // Calls back once: at once if this instance owns the entry, else with the owner's answer or after
    // answerTimeout.
    void find(ChatKey, FindCallback);

    // The chat's context is at the upstream; an empty name: at its first choice again.
    void update(ChatKey, const std::string& upstream);

    void receive(const std::string& peer, const PeerFrameT&);
    void tick();

    void removeUpstream(UpstreamId id) { m_directory.removeUpstream(id); }

    std::size_t entries() const { return m_directory.size(); }

private:
    struct Waiting {
        FindCallback callback;
        MonotonicTime deadline;
    };

    const std::string& ownerOf(ChatKey) const;
    void store(ChatKey, const std::string& upstream);

    PeerService& m_peers;
    ResidenceDirectory m_directory;
    std::map<std::uint64_t, Waiting> m_waiting; // by nonce
    std::uint64_t m_lastNonce = 0;
};

} // namespace briarwharf
