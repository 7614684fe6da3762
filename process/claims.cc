#include "process/claims.h"

#include "base/base.h"
#include <charconv>
#include <utility>

namespace briarwharf {

namespace {

    // After this uptime an instance knows every live member, so a claimant that it does not know has ended.
    constexpr Milliseconds membershipSettleTime { 60000 };

    constexpr char incarnationSeparator = '@';

    std::string incarnationName(const InstanceIdentity& identity)
    {
        return identity.id + incarnationSeparator + std::to_string(identity.incarnation);
    }

    ClaimCollectorOptions collectorOptions(const std::string& keyPrefix)
    {
        ClaimCollectorOptions options;
        options.logPrefix = keyPrefix + "-";
        options.writer = randomToken();
        return options;
    }

    ClaimClientOptions clientOptions(const PeerService& peers)
    {
        ClaimClientOptions options;
        options.instance = incarnationName(peers.membership().self());
        return options;
    }

    std::uint64_t shardKey(std::uint32_t shard) { return hash64("claim-shard-" + std::to_string(shard)); }

} // namespace

ClaimGateway::ClaimGateway(
    Store& store, PeerService& peers, const std::string& keyPrefix, const MonotonicClock& clock)
    : m_store(store)
    , m_peers(peers)
    , m_clock(clock)
    , m_startedAt(clock())
    , m_service(
          collectorOptions(keyPrefix), store, clock, [] { return std::chrono::system_clock::now(); },
          [this](std::uint32_t shard) { return collectorOf(shard) == m_peers.membership().self().id; },
          [this](const std::string& instance) { return isDead(instance); })
    , m_client(
          clientOptions(peers), clock, [this](const ClaimRequestT& request) { sendClaim(request); },
          [this](const SettleRequestT& request) { sendSettle(request); })
{
}

const std::string& ClaimGateway::collectorOf(std::uint32_t shard) const
{
    return m_peers.membership().owner(shardKey(shard));
}

void ClaimGateway::sendClaim(const ClaimRequestT& request)
{
    const std::string& collector = collectorOf(request.shard);
    if (collector == m_peers.membership().self().id)
        m_service.claim(request, [this](const ClaimResponseT& response) { m_client.response(response); });
    else
        m_peers.send(collector, ClaimRequestT(request));
}

void ClaimGateway::sendSettle(const SettleRequestT& request)
{
    const std::string& collector = collectorOf(request.shard);
    if (collector == m_peers.membership().self().id)
        m_service.settle(request, [this](const SettleResponseT& response) { m_client.response(response); });
    else
        m_peers.send(collector, SettleRequestT(request));
}

void ClaimGateway::receive(const std::string& peer, const PeerFrameT& frame)
{
    if (const auto* claim = frame.body.AsClaimRequest())
        m_service.claim(
            *claim, [this, peer](ClaimResponseT response) { m_peers.send(peer, std::move(response)); });
    else if (const auto* settle = frame.body.AsSettleRequest())
        m_service.settle(*settle, [this, peer](SettleResponseT response) { m_peers.send(peer, response); });
    else if (const auto* claimed = frame.body.AsClaimResponse())
        m_client.response(*claimed);
    else if (const auto* settled = frame.body.AsSettleResponse())
        m_client.response(*settled);
}

void ClaimGateway::tick()
{
    m_service.tick();
    if (m_era != m_store.era()) {
        m_era = m_store.era();
        m_client.storeRestored();
    }
    m_client.tick();
}

bool ClaimGateway::isDead(const std::string& instance) const
{
    std::size_t separator = instance.rfind(incarnationSeparator);
    if (separator == std::string::npos)
        return false;
    std::string id = instance.substr(0, separator);
    std::uint64_t incarnation = 0;
    std::from_chars(instance.data() + separator + 1, instance.data() + instance.size(), incarnation);
    const InstanceIdentity& self = m_peers.membership().self();
    if (id == self.id)
        return incarnation < self.incarnation;
    auto member = m_peers.membership().members().find(id);
    if (member == m_peers.membership().members().end())
        return m_clock() - m_startedAt > membershipSettleTime;
    if (member->second.incarnation > incarnation)
        return true;
    return member->second.state == MemberState::Dead && member->second.incarnation == incarnation;
}

} // namespace briarwharf
