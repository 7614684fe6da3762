#include "process/loadnotices.h"

#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    constexpr std::size_t maxFleetInstances = 12; // no notices in a larger fleet
    constexpr std::int64_t minNoticeTokens = 4000; // smaller changes are not sent
    constexpr std::size_t maxNoticesPerMessage = 256; // further changes before the next flush() are dropped

} // namespace

LoadNoticeService::LoadNoticeService(PeerService& peers, Router& router)
    : m_peers(peers)
    , m_router(router)
{
}

void LoadNoticeService::loadChanged(const UpstreamRuntime& upstream, std::int64_t tokens)
{
    bool isSmallFleet = m_peers.membership().usable().size() <= maxFleetInstances;
    if (isSmallFleet && std::abs(tokens) >= minNoticeTokens && m_changes.size() < maxNoticesPerMessage)
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
            notice->ageMs = static_cast<std::uint32_t>(toMilliseconds(now - change.changedAt).count());
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
