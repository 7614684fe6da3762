#include "process/loadnotices.h"

#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    constexpr std::size_t largestFleet = 12; // instances
    constexpr std::int64_t smallestNotice = 4000; // tokens
    constexpr std::size_t maxNotices = 256; // in one message

} // namespace

LoadNoticeService::LoadNoticeService(PeerService& peers, Router& router)
    : m_peers(peers)
    , m_router(router)
{
}

void LoadNoticeService::changed(const UpstreamRuntime& upstream, std::int64_t tokens)
{
    bool isSmall = m_peers.membership().usable().size() <= largestFleet;
    if (isSmall && std::abs(tokens) >= smallestNotice && m_changes.size() < maxNotices)
        m_changes.push_back({ upstream.shortId, tokens, clockNow() });
}

void LoadNoticeService::flush()
{
    if (m_changes.empty())
        return;
    MonotonicTime now = clockNow();
    for (const auto& peer : m_peers.membership().linkedPeers()) {
        LoadNoticesT message;
        for (const auto& change : m_changes) {
            auto notice = std::make_unique<LoadNoticeT>();
            notice->upstream = change.upstream;
            notice->tokens = static_cast<std::int32_t>(change.tokens);
            notice->ageMs = static_cast<std::uint32_t>(toMilliseconds(now - change.at).count());
            message.notices.push_back(std::move(notice));
        }
        m_peers.send(peer, std::move(message));
    }
    m_changes.clear();
}

void LoadNoticeService::receive(const PeerFrameT& frame)
{
    const auto* message = frame.body.AsLoadNotices();
    if (!message)
        return;
    MonotonicTime now = clockNow();
    for (const auto& notice : message->notices) {
        for (const auto& [name, pool] : m_router.pools()) {
            const auto& members = pool->upstreams();
            auto found = std::find_if(members.begin(), members.end(),
                [&](const auto& upstream) { return upstream->shortId == notice->upstream; });
            if (found != members.end())
                pool->ledger().peerChanged((*found)->id, notice->tokens, now - Milliseconds(notice->ageMs));
        }
    }
}

} // namespace briarwharf
