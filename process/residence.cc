#include "process/residence.h"

#include "base/base.h"
#include <utility>

namespace briarwharf {

namespace {

    constexpr std::size_t directoryBytes = 16 * 1024 * 1024;

    // Several times the round trip between failure domains; small against the time to the first token.
    constexpr Milliseconds answerTimeout { 50 };

    // Domain of the rendezvous keys, so that a chat's directory owner is independent of its upstream.
    std::uint64_t directoryKey(ChatKey chat) { return combineHashes(hash64("residence"), chat); }

} // namespace

ResidenceService::ResidenceService(PeerService& peers)
    : m_peers(peers)
    , m_directory(directoryBytes)
{
}

const std::string& ResidenceService::ownerOf(ChatKey chat) const
{
    return m_peers.membership().owner(directoryKey(chat));
}

void ResidenceService::find(ChatKey chat, FindCallback callback)
{
    const std::string& owner = ownerOf(chat);
    if (owner == m_peers.membership().self().id)
        return callback(m_directory.find(chat, clockNow()));
    std::uint64_t nonce = ++m_lastNonce;
    ResidenceQueryT query;
    query.nonce = nonce;
    query.chat = chat;
    if (!m_peers.send(owner, query))
        return callback(std::nullopt);
    m_waiting[nonce] = { std::move(callback), clockNow() + answerTimeout };
}

void ResidenceService::update(ChatKey chat, const std::string& upstream)
{
    const std::string& owner = ownerOf(chat);
    if (owner == m_peers.membership().self().id)
        return store(chat, upstream);
    ResidenceUpdateT message;
    message.chat = chat;
    message.upstream = upstream;
    m_peers.send(owner, std::move(message));
}

void ResidenceService::store(ChatKey chat, const std::string& upstream)
{
    if (upstream.empty())
        m_directory.erase(chat);
    else
        m_directory.put(chat, upstreamId(upstream), clockNow());
}

void ResidenceService::receive(const std::string& peer, const PeerFrameT& frame)
{
    if (const auto* changed = frame.body.AsResidenceUpdate())
        return store(changed->chat, changed->upstream);
    if (const auto* query = frame.body.AsResidenceQuery()) {
        auto found = m_directory.find(query->chat, clockNow());
        ResidenceAnswerT answer;
        answer.nonce = query->nonce;
        answer.chat = query->chat;
        answer.upstream = found.value_or(0);
        m_peers.send(peer, answer);
        return;
    }
    const auto* answer = frame.body.AsResidenceAnswer();
    auto waiting = answer ? m_waiting.find(answer->nonce) : m_waiting.end();
    if (waiting == m_waiting.end())
        return;
    auto callback = std::move(waiting->second.callback);
    m_waiting.erase(waiting);
    callback(answer->upstream == 0 ? std::nullopt : std::optional<UpstreamId>(answer->upstream));
}

void ResidenceService::tick()
{
    MonotonicTime now = clockNow();
    std::vector<FindCallback> overdue;
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        if (waiting->second.deadline > now) {
            ++waiting;
            continue;
        }
        overdue.push_back(std::move(waiting->second.callback));
        waiting = m_waiting.erase(waiting);
    }
    for (const auto& callback : overdue)
        callback(std::nullopt);
}

} // namespace briarwharf
