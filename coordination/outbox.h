#pragma once

#include "coordination/peer_generated.h"
#include <string>
#include <utility>
#include <vector>

namespace briarwharf {

struct OutgoingMessage {
    std::string peer; // id of the receiving instance
    PeerBodyUnion body;
};

// Queue of the messages that the protocol objects (Membership, the relays) send to peers. The caller drains
// it after each call to such an object and drops messages to peers without a link. The queue is unbounded;
// each object bounds the number of messages that it adds per call.
class Outbox {
public:
    template <typename Message> void send(std::string peer, Message message)
    {
        OutgoingMessage outgoing;
        outgoing.peer = std::move(peer);
        outgoing.body.Set(std::move(message));
        m_messages.push_back(std::move(outgoing));
    }

    std::vector<OutgoingMessage> drain() { return std::exchange(m_messages, {}); }

private:
    std::vector<OutgoingMessage> m_messages;
};

} // namespace briarwharf
