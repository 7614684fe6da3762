#include "process/residence.h"

#include "base/base.h"
#include <utility>

namespace briarwharf {

namespace {

    constexpr std::size_t maxDirectoryBytes = 16 * 1024 * 1024;

    // Several round trips between failure domains, but short compared with the time to the first token.
    constexpr Milliseconds answerTimeout { 50 };

    // Hashes the chat in a key space of its own, so that the owner of a chat's directory entry is independent
    // of the chat's upstream.
    std::uint64_t directoryKey(ChatKey chat) { return combineHashes(hash64("residence"), chat); }

} // namespace

ResidenceService::ResidenceService(PeerService& peers)
    : m_peers(peers)
    , m_directory(maxDirectoryBytes)
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
    m_pendingQueries[nonce] = { std::move(callback), clockNow() + answerTimeout };
}

void ResidenceService::update(ChatKey chat, const std::string& upstream)
{
    const std::string& owner = ownerOf(chat);
    if (owner == m_peers.membership().self().id)
        return storeEntry(chat, upstream);
    ResidenceUpdateT message;
    message.chat = chat;
    message.upstream = upstream;
    m_peers.send(owner, std::move(message));
}

void ResidenceService::storeEntry(ChatKey chat, const std::string& upstream)
{
    if (upstream.empty())
        m_directory.erase(chat);
    else
        m_directory.put(chat, upstreamId(upstream), clockNow());
}

void ResidenceService::receive(const std::string& peer, const PeerFrameT& frame)
{
    if (const auto* changed = frame.body.AsResidenceUpdate())
        return storeEntry(changed->chat, changed->upstream);
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
    auto pending = answer ? m_pendingQueries.find(answer->nonce) : m_pendingQueries.end();
    if (pending == m_pendingQueries.end())
        return;
    auto callback = std::move(pending->second.callback);
    m_pendingQueries.erase(pending);
    callback(answer->upstream == 0 ? std::nullopt : std::optional<UpstreamId>(answer->upstream));
}

void ResidenceService::tick()
{
    MonotonicTime now = clockNow();
    std::vector<FindCallback> overdue;
    for (auto pending = m_pendingQueries.begin(); pending != m_pendingQueries.end();) {
        if (pending->second.deadline > now) {
            ++pending;
            continue;
        }
        overdue.push_back(std::move(pending->second.callback));
        pending = m_pendingQueries.erase(pending);
    }
    for (const auto& callback : overdue)
        callback(std::nullopt);
}

} // namespace briarwharf
