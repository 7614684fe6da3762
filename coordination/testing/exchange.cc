#include "coordination/testing/exchange.h"

#include <algorithm>

namespace briarwharf::testing {

namespace {

    constexpr Milliseconds stepLength { 10 };
    constexpr std::uint64_t ticksEvery = 10; // steps
    constexpr Milliseconds listInterval { 5000 };
    constexpr Milliseconds pollInterval { 1000 };
    constexpr std::size_t recordBytes = 300;

} // namespace

Instance::Instance(const FleetSimulationOptions& options, InstanceIdentity identity, std::uint64_t seed)
    : membership(std::move(identity), options.membership, outbox, seed)
    , relay(membership, options.relay, outbox, seed + 1)
    , loads(membership, options.loads)
    , shares(membership, options.shares)
    , health(UpstreamHealthOptions {})
{
    membership.addSection(relay);
    membership.addSection(loads);
    membership.addSection(shares);
    membership.addSection(health);
}

FleetSimulation::FleetSimulation(const FleetSimulationOptions& given)
    : options(given)
    , m_random(given.seed)
{
    tokensOf = [](std::uint32_t, MonotonicTime) { return 1000U; };
    m_log.push_back(m_now);
    for (std::size_t i = 0; i < options.instances; ++i) {
        m_incarnations.push_back(1000000 + i);
        m_instances.push_back(start(i, m_incarnations[i]));
    }
    for (std::size_t i = 0; i < options.instances; ++i)
        at(i).membership.seed(list(), m_now);
}

InstanceIdentity FleetSimulation::identity(std::size_t index, std::size_t domains, std::uint64_t incarnation)
{
    std::string number = std::to_string(index);
    return { idOf(index), "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7400",
        "domain-" + std::to_string(index % domains), incarnation };
}

std::unique_ptr<Instance> FleetSimulation::start(std::size_t index, std::uint64_t incarnation)
{
    auto instance
        = std::make_unique<Instance>(options, identity(index, options.domains, incarnation), m_random.next());
    instance->loads.setUpstreams(upstreamHashes(options.upstreams));
    std::vector<RateLimit> limits;
    for (std::uint32_t organisation : organisationHashes(options.organisations))
        limits.push_back({ organisation, 100000, 1 });
    instance->shares.setLimits(limits, m_now);
    instance->started = m_now;
    instance->nextWatch = m_now + Milliseconds(m_random.below(1000));
    instance->nextPolls = m_now + Milliseconds(m_random.below(1000));
    instance->nextList = m_now + Milliseconds(m_random.below(5000));
    return instance;
}

std::vector<std::uint32_t> FleetSimulation::upstreamHashes(std::size_t count)
{
    std::vector<std::uint32_t> hashes;
    for (std::size_t i = 0; i < count; ++i)
        hashes.push_back(nameHash("upstream-" + std::to_string(i)));
    return hashes;
}

std::vector<std::uint32_t> FleetSimulation::organisationHashes(std::size_t count)
{
    std::vector<std::uint32_t> hashes;
    for (std::size_t i = 0; i < count; ++i)
        hashes.push_back(nameHash("organisation-" + std::to_string(i)));
    return hashes;
}

std::vector<ListedInstance> FleetSimulation::list() const
{
    std::vector<ListedInstance> listed;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        if (!m_instances[i]->running)
            continue;
        InstanceIdentity self = identity(i, options.domains, 0);
        listed.push_back({ self.id, self.address, self.failureDomain });
    }
    return listed;
}

std::vector<LogRecordT> FleetSimulation::records(std::uint64_t from) const
{
    std::vector<LogRecordT> records;
    for (std::uint64_t number = from; number <= m_log.size(); ++number) {
        LogRecordT record;
        record.number = number;
        record.token = "writer";
        record.payload.assign(recordBytes, 0);
        records.push_back(record);
    }
    return records;
}

void FleetSimulation::commit() { m_log.push_back(m_now); }

FleetSimulation::Connection& FleetSimulation::connection(std::size_t left, std::size_t right)
{
    return m_pairs[{ std::min(left, right), std::max(left, right) }];
}

bool FleetSimulation::reachable(std::size_t from, std::size_t to) const
{
    return m_instances[to]->running && m_instances[from]->partition == m_instances[to]->partition;
}

void FleetSimulation::dial(std::size_t from, std::size_t to)
{
    Connection& current = connection(from, to);
    std::size_t own = from < to ? 0 : 1;
    if (current.up[own] || !reachable(from, to) || (options.loss > 0 && m_random.chance(options.loss)))
        return;
    if (current.up[1 - own])
        at(to).membership.linkDown(idOf(from), m_now);
    current = {};
    current.number = ++m_connections;
    current.up[0] = current.up[1] = true;
    at(from).membership.linkUp(idOf(to), m_now);
    std::uint64_t number = current.number;
    auto accept = [this, from, to, number] {
        if (connection(from, to).number == number)
            at(to).membership.linkUp(idOf(from), m_now);
    };
    if (m_now < at(to).pausedUntil)
        at(to).deferred.emplace_back(accept);
    else
        accept();
}

void FleetSimulation::close(std::size_t from, std::size_t to)
{
    Connection& current = connection(from, to);
    current.up[from < to ? 0 : 1] = false;
    at(from).membership.linkDown(idOf(to), m_now);
    bool otherSeesIt = reachable(from, to) && !current.silent && current.up[from < to ? 1 : 0];
    if (!otherSeesIt)
        return;
    current.up[from < to ? 1 : 0] = false;
    at(to).membership.linkDown(idOf(from), m_now);
}

void FleetSimulation::dropLinks(std::size_t index)
{
    for (auto& [pair, current] : m_pairs) {
        if (pair.first == index)
            current.up[0] = false;
        if (pair.second == index)
            current.up[1] = false;
    }
}

void FleetSimulation::kill(std::size_t index)
{
    at(index).running = false;
    dropLinks(index);
}

void FleetSimulation::replace(std::size_t index, std::int64_t clockStepMs)
{
    dropLinks(index);
    m_incarnations[index]
        = static_cast<std::uint64_t>(static_cast<std::int64_t>(m_incarnations[index]) + clockStepMs);
    m_instances[index] = start(index, m_incarnations[index]);
    at(index).membership.seed(list(), m_now);
}

void FleetSimulation::pause(std::size_t index, Milliseconds duration)
{
    at(index).pausedUntil = m_now + duration;
}

void FleetSimulation::makeHalfOpen(std::size_t left, std::size_t right)
{
    connection(left, right).silent = true;
}

void FleetSimulation::breakLinks(double probability)
{
    for (auto& [pair, current] : m_pairs)
        if (current.up[0] && current.up[1] && m_random.chance(probability))
            current.silent = true;
}

void FleetSimulation::run(Milliseconds duration, const std::function<void()>& onStep)
{
    MonotonicTime end = m_now + duration;
    while (m_now < end) {
        step();
        if (onStep)
            onStep();
    }
}

void FleetSimulation::step()
{
    m_now += stepLength;
    ++m_step;
    while (!m_messages.empty() && m_messages.top().at <= m_now) {
        Message message = m_messages.top();
        m_messages.pop();
        deliver(message);
    }
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        Instance& instance = at(i);
        if (!instance.running || m_now < instance.pausedUntil)
            continue;
        for (const auto& action : std::exchange(instance.deferred, {}))
            action();
        callStore(i);
        if ((m_step + i) % ticksEvery == 0)
            tick(i);
        flush(i);
    }
}

void FleetSimulation::tick(std::size_t index)
{
    Instance& instance = at(index);
    if (m_now >= instance.nextList && instance.receivesList && instance.storeReachable && storeUp) {
        instance.nextList = m_now + listInterval;
        instance.membership.seed(list(), m_now);
        ++instance.traffic.storeCalls;
    }
    if (m_now >= instance.nextPolls) {
        instance.nextPolls = m_now + pollInterval;
        std::vector<std::uint32_t> owned = instance.loads.owned();
        for (std::uint32_t upstream : owned)
            instance.loads.report(upstream, tokensOf(upstream, m_now), true, true, m_now);
        instance.traffic.polls += owned.size();
    }
    instance.shares.tick(m_now);
    instance.relay.tick(m_now);
    instance.membership.tick(m_now);
    for (const std::string& peer : instance.membership.takeSilentLinks())
        close(index, indexOf(peer));
    for (const std::string& peer : instance.membership.desiredPeers())
        dial(index, indexOf(peer));
}

// A watch that ends by its timeout confirms that nothing changed before the timeout ended.
void FleetSimulation::callStore(std::size_t index)
{
    Instance& instance = at(index);
    if (!storeUp || !instance.storeReachable)
        return;
    bool watchEnded = instance.relay.watches()
        && (m_now >= instance.nextWatch || m_log.size() > instance.relay.revision());
    if (!watchEnded && !instance.relay.takeDuePoll(m_now))
        return;
    instance.nextWatch = m_now + options.watchTimeout;
    ++instance.traffic.storeCalls;
    instance.relay.confirm(m_log.size(), m_now - stepLength);
    apply(index, records(instance.relay.revision() + 1), {});
}

void FleetSimulation::apply(
    std::size_t index, const std::vector<LogRecordT>& records, const std::string& from)
{
    if (records.empty())
        return;
    Instance& instance = at(index);
    instance.relay.setInForce(records.back().number, records, m_now, from);
    instance.highestRevision = std::max(instance.highestRevision, instance.relay.revision());
}

void FleetSimulation::deliver(const Message& message)
{
    Connection& current = connection(message.from, message.to);
    Instance& receiver = at(message.to);
    bool carried = current.number == message.connection && current.up[message.from < message.to ? 1 : 0]
        && !current.silent && reachable(message.from, message.to);
    if (!carried)
        return;
    if (m_now < receiver.pausedUntil) {
        receiver.deferred.emplace_back([this, message] { deliver(message); });
        return;
    }
    receiver.traffic.acknowledgements += packetOverhead;
    auto frame = decodePeerFrame(std::string_view(message.bytes).substr(peerFrameHeaderBytes));
    if (!frame)
        return;
    if (!receiver.membership.receive(frame.value(), m_now)) {
        close(message.to, message.from);
        return;
    }
    const PeerBodyUnion& body = frame.value().body;
    if (const LogPushT* push = body.AsLogPush()) {
        auto update = receiver.relay.receive(frame.value().sender, *push, m_now);
        apply(message.to, update.records, frame.value().sender);
    } else if (const LogFetchT* fetch = body.AsLogFetch()) {
        receiver.relay.receive(frame.value().sender, *fetch, m_now);
        for (const SnapshotRequest& request : receiver.relay.takeSnapshotRequests()) {
            LogPushT answer;
            answer.log = "configuration";
            answer.nonce = request.nonce;
            for (const LogRecordT& record : records(fetch->from))
                if (record.number <= receiver.relay.revision())
                    answer.records.push_back(std::make_unique<LogRecordT>(record));
            receiver.outbox.send(request.peer, std::move(answer));
        }
    }
}

void FleetSimulation::flush(std::size_t index)
{
    Instance& instance = at(index);
    for (OutgoingMessage& outgoing : instance.outbox.drain()) {
        std::size_t to = indexOf(outgoing.peer);
        Connection& current = connection(index, to);
        std::size_t own = index < to ? 0 : 1;
        if (!current.up[own])
            continue;
        Message message;
        PeerFrameT frame = instance.membership.frame(std::move(outgoing));
        message.bytes = encodePeerFrame(frame);
        account(instance.traffic, frame, message.bytes.size());
        if (m_random.chance(options.loss))
            continue;
        auto jitter
            = static_cast<std::int64_t>(m_random.exponential(static_cast<double>(options.jitter.count())));
        message.at = m_now + options.delay + Milliseconds(jitter);
        if (!options.reorder)
            message.at = std::max(message.at, current.lastArrival[own]);
        current.lastArrival[own] = message.at;
        message.order = ++m_order;
        message.from = index;
        message.to = to;
        message.connection = current.number;
        m_messages.push(std::move(message));
    }
}

void FleetSimulation::account(Traffic& traffic, const PeerFrameT& frame, std::size_t bytes) const
{
    ++traffic.messages;
    traffic.bytes += bytes + packetOverhead;
    const HeartbeatT* heartbeat = frame.body.AsHeartbeat();
    if (!heartbeat)
        return;
    traffic.loadBytes += heartbeat->loadReports.size() * sizeof(LoadReport);
    traffic.usageBytes += heartbeat->usageSums.size() * sizeof(UsageSum);
    constexpr std::size_t memberBytes = 80; // a table with three short strings
    traffic.memberBytes += heartbeat->members.size() * memberBytes;
}

} // namespace briarwharf::testing
