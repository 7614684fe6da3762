#include "base/base.h"
#include "coordination/coordination.h"
#include "coordination/directorymessage.h"

#include <algorithm>
#include <array>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <vector>

using namespace briarwharf;

namespace {

const std::string domain = "a";

// One instance's relay and directory, with updates applied as the daemon applies them.
struct Node {
    explicit Node(const std::string& id = "self")
        : membership({ id, "10.0.0.1:1", "a", 1 }, {}, outbox, 1)
    {
    }

    Outbox outbox;
    Membership membership;
    DirectoryRelay relay { {}, membership, outbox };
    UpstreamDirectory directory { {} };
    EvacuatedDomains evacuated { {} };

    void applyEvacuations(const EvacuationChanges& changes, MonotonicTime now)
    {
        evacuated.apply(changes, now);
        relay.setEvacuations(evacuated.list());
    }
    void applyUpdate(const DirectoryUpdate& update, MonotonicTime now)
    {
        evacuated.learn(update.evacuations, now);
        relay.setEvacuations(evacuated.list());
        if (update.changes) {
            directory.apply(*update.changes, now);
            relay.setDirectoryRevision(directory.revision());
        }
        if (update.routingVersion > relay.routingVersion())
            relay.setRouting(update.routingVersion, update.routingDocument);
    }
    void load(std::uint64_t version, std::uint64_t revision, MonotonicTime now)
    {
        UpstreamEntry entry;
        entry.id = "engine";
        entry.pool = "models";
        entry.endpoint = { "10.0.0.9", 8000 };
        entry.revision = revision;
        directory.apply({ 0, revision, { entry }, {} }, now);
        relay.setDirectoryRevision(revision);
        relay.setRouting(version, "document " + std::to_string(version));
    }
};

// Delivers heartbeats and messages between nodes directly, without a network.
class FakeNetwork {
public:
    Node& at(const std::string& name) { return m_nodes[name]; }

    void heartbeat(const std::string& from, const std::string& to)
    {
        HeartbeatT heartbeat;
        LinkView sender { to };
        m_nodes[from].relay.fill(sender, heartbeat, now);
        LinkView receiver { from };
        m_nodes[to].relay.accept(receiver, heartbeat, now);
    }

    void step(Milliseconds duration)
    {
        now += duration;
        for (auto& [name, node] : m_nodes)
            node.relay.tick(now);
        for (int round = 0; round < 4; ++round) {
            for (auto& [name, node] : m_nodes)
                deliver(name, node);
        }
    }

    void dropMessagesTo(const std::string& name) { m_dropped = name; }

    MonotonicTime now { std::chrono::hours(1) };

private:
    void deliver(const std::string& from, Node& node)
    {
        for (auto& message : node.outbox.drain()) {
            if (message.peer == m_dropped)
                continue;
            Node& target = m_nodes[message.peer];
            if (const auto* fetch = message.body.AsDirectoryFetch())
                target.relay.receive(from, *fetch, target.directory, now);
            else if (const auto* push = message.body.AsDirectoryPush())
                target.applyUpdate(target.relay.receive(from, *push).value(), now);
        }
    }

    std::map<std::string, Node> m_nodes;
    std::string m_dropped;
};

// A failure domain of instances with slow links: each frame, heartbeats included, occupies its sender's link
// for its transmission time and queues behind earlier frames.
class SlowDomain {
public:
    static constexpr std::size_t instances = 13;
    static constexpr double bytesPerMillisecond = 1250; // 10 Mbit/s
    static constexpr Milliseconds tickInterval { 100 };

    // All instances have the same configuration and list; none if not `loaded`.
    explicit SlowDomain(bool loaded = true)
    {
        for (std::size_t i = 0; i < instances; ++i)
            m_nodes.push_back(std::make_unique<Node>(nameOf(i)));
        for (auto& node : m_nodes) {
            if (loaded)
                node->load(1, 10, m_now);
        }
    }

    MonotonicTime now() const { return m_now; }

    Node& at(std::size_t index) { return *m_nodes[index]; }

    // Longest time so far between the sending of a frame and its arrival.
    Milliseconds longestQueue() const { return m_longestQueue; }
    std::size_t withoutList() const
    {
        return static_cast<std::size_t>(std::count_if(
            m_nodes.begin(), m_nodes.end(), [](const auto& node) { return !node->directory.loaded(); }));
    }
    std::size_t behind(std::uint64_t version) const
    {
        return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(),
            [version](const auto& node) { return node->relay.routingVersion() < version; }));
    }

    void run(Milliseconds duration)
    {
        for (MonotonicTime end = m_now + duration; m_now < end; m_now += Milliseconds(1)) {
            for (std::size_t i = 0; i < instances; ++i)
                step(i);
        }
    }

private:
    struct Frame {
        MonotonicTime arrival;
        std::size_t from;
        std::size_t to;
        OutgoingMessage message;
        std::optional<HeartbeatT> heartbeat;
    };

    static std::string nameOf(std::size_t index) { return std::to_string(100 + index); }

    void step(std::size_t index)
    {
        Node& node = at(index);
        if (m_now.time_since_epoch() % tickInterval == Milliseconds(index * 7))
            node.relay.tick(m_now);
        for (std::size_t other = 0; other < instances; ++other) {
            std::string name = nameOf(other);
            LinkView link { name };
            if (other == index || !node.relay.urgent(link, m_now))
                continue;
            Frame frame;
            frame.to = other;
            frame.heartbeat.emplace();
            node.relay.fill(link, *frame.heartbeat, m_now);
            send(index, std::move(frame), 100);
        }
        for (auto& message : node.outbox.drain()) {
            Frame frame;
            frame.to = std::stoul(message.peer) - 100;
            PeerFrameT encoded;
            encoded.body = message.body;
            std::size_t bytes = encodePeerFrame(encoded).size();
            frame.message = std::move(message);
            send(index, std::move(frame), bytes);
        }
        while (!m_links[index].empty() && m_links[index].front().arrival <= m_now) {
            Frame frame = std::move(m_links[index].front());
            m_links[index].pop_front();
            deliver(frame);
        }
    }

    void send(std::size_t from, Frame frame, std::size_t bytes)
    {
        auto duration = Milliseconds(1 + static_cast<int>(static_cast<double>(bytes) / bytesPerMillisecond));
        MonotonicTime free = m_links[from].empty() ? m_now : m_links[from].back().arrival;
        frame.from = from;
        frame.arrival = std::max(free, m_now) + duration;
        m_longestQueue = std::max(m_longestQueue, toMilliseconds(frame.arrival - m_now));
        m_links[from].push_back(std::move(frame));
    }

    void deliver(const Frame& frame)
    {
        std::string from = nameOf(frame.from);
        Node& target = at(frame.to);
        if (frame.heartbeat) {
            LinkView link { from };
            target.relay.accept(link, *frame.heartbeat, m_now);
        } else if (const auto* fetch = frame.message.body.AsDirectoryFetch()) {
            target.relay.receive(from, *fetch, target.directory, m_now);
        } else if (const auto* push = frame.message.body.AsDirectoryPush()) {
            if (auto update = target.relay.receive(from, *push))
                target.applyUpdate(update.value(), m_now);
        }
    }

    std::vector<std::unique_ptr<Node>> m_nodes;
    std::array<std::deque<Frame>, instances> m_links;
    MonotonicTime m_now { std::chrono::hours(1) };
    Milliseconds m_longestQueue { 0 };
};

// Hexadecimal text of random bytes, which compression reduces to about half.
std::string hardToCompress(std::size_t bytes)
{
    Random random(1);
    std::string text;
    while (text.size() < bytes)
        text += toHex(std::string(1, static_cast<char>(random.below(256))));
    return text;
}

} // namespace

// Guards against an instance that the store refuses and that therefore keeps an old configuration or sends
// work to upstreams that have left.
TEST_CASE("an instance that the source does not serve catches up through a peer")
{
    FakeNetwork net;
    net.at("served").load(7, 70, net.now);
    net.at("refused").load(6, 60, net.now);
    net.heartbeat("served", "refused");
    net.step(Milliseconds(100));
    CHECK(net.at("refused").relay.routingVersion() == 6); // the instance still waits for its own source
    net.step(Milliseconds(200));
    CHECK(net.at("refused").relay.routingVersion() == 7);
    CHECK(net.at("refused").directory.revision() == 70);
}

TEST_CASE("a new instance queries a peer at once")
{
    FakeNetwork net;
    net.at("old").load(7, 70, net.now);
    net.at("new");
    net.heartbeat("old", "new");
    net.step(Milliseconds(1));
    CHECK(net.at("new").relay.routingVersion() == 7);
    CHECK(net.at("new").directory.upstreams().count("engine") == 1);
}

TEST_CASE("versions never decrease, whatever a peer reports")
{
    FakeNetwork net;
    net.at("behind").load(6, 60, net.now);
    net.at("ahead").load(7, 70, net.now);
    net.heartbeat("behind", "ahead");
    net.step(Milliseconds(500));
    CHECK(net.at("ahead").relay.routingVersion() == 7);
    CHECK(net.at("ahead").directory.revision() == 70);
}

// Guards against an evacuation that only the instances obey which read the registry, against one that stays
// in force after its end, and against an instance that starts without it while the registry is unavailable.
TEST_CASE("instances that do not read the registry learn of an evacuation and of its end from a peer")
{
    FakeNetwork net;
    Node& reading = net.at("reading");
    reading.load(7, 70, net.now);
    net.at("other").load(7, 70, net.now);
    for (const char* name : { "other", "started" }) {
        CAPTURE(name);
        reading.applyEvacuations({ 0, 100, { "z0" }, {}, true }, net.now);
        CHECK(reading.relay.urgent({ name }, net.now));
        net.heartbeat("reading", name);
        net.step(Milliseconds(300));
        net.step(Milliseconds(300));
        CHECK(net.at(name).evacuated.inForce() == std::set<std::string> { "z0" });
    }
    reading.applyEvacuations({ 100, 110, {}, { "z0" }, true }, net.now);
    net.heartbeat("reading", "other");
    net.step(Milliseconds(300));
    net.step(Milliseconds(300));
    CHECK(net.at("other").evacuated.inForce().empty());
}

TEST_CASE("a peer that does not answer is skipped")
{
    FakeNetwork net;
    net.at("one").load(7, 70, net.now);
    net.at("two").load(7, 70, net.now);
    net.at("asker").load(6, 60, net.now);
    net.heartbeat("one", "asker");
    net.heartbeat("two", "asker");
    net.dropMessagesTo("one");
    net.step(Milliseconds(300));
    net.step(Milliseconds(1100));
    CHECK(net.at("asker").relay.routingVersion() == 7);
}

TEST_CASE("a heartbeat is urgent until the peer knows the versions")
{
    FakeNetwork net;
    Node& node = net.at("a");
    LinkView link { "b" };
    node.load(7, 70, net.now);
    CHECK(node.relay.urgent(link, net.now));
    net.heartbeat("a", "b");
    CHECK_FALSE(node.relay.urgent(link, net.now));
    node.relay.setRouting(8, "next");
    CHECK(node.relay.urgent(link, net.now));
}

// Guards against a number of store calls that grows with the fleet: 160 were made for each of 87 instances on
// an uneventful day.
TEST_CASE("in a large fleet few instances watch, and one without recent confirmations watches by itself")
{
    MonotonicTime now { std::chrono::hours(1) };
    int watchers = 0;
    for (int self = 0; self < 40; ++self) {
        Outbox outbox;
        auto id = [](int number) { return "10.0.0." + std::to_string(number) + ":1"; };
        auto domainOf = [](int number) { return std::string(1, static_cast<char>('a' + number % 4)); };
        Membership membership({ id(self), id(self), domainOf(self), 1 }, {}, outbox, 1);
        std::vector<ListedInstance> others;
        for (int other = 0; other < 40; ++other) {
            if (other != self)
                others.push_back({ id(other), id(other), domainOf(other) });
        }
        membership.seed(others, now);
        DirectoryRelay relay({}, membership, outbox);
        relay.confirm(now);
        relay.tick(now);
        watchers += relay.duty() == WatchDuty::ForOthers ? 1 : 0;
        // A change must be in force within 3 s, with the read of the store.
        relay.tick(now + Milliseconds(2600));
        CHECK(relay.duty() == WatchDuty::ForOthers);
        std::string peer = id((self + 1) % 40);
        LinkView link { peer };
        link.maxTransit = Milliseconds(5);
        HeartbeatT heartbeat;
        heartbeat.headConfirmedMs = 101;
        for (int second = 3; second < 12; ++second) {
            relay.accept(link, heartbeat, now + std::chrono::seconds(second));
            relay.tick(now + std::chrono::seconds(second));
        }
        bool elected = WatchElection(membership, 1).isElected();
        CHECK((relay.duty() == WatchDuty::ForOthers) == elected);
        CHECK(relay.confirmedAge(now + std::chrono::seconds(11)) == Milliseconds(105));
    }
    CHECK(watchers == 4);
}

// Guards against applying a peer's confirmation to versions that this instance does not have.
TEST_CASE("a peer's confirmation of other versions does not confirm the own state")
{
    FakeNetwork net;
    Node& node = net.at("a");
    node.load(7, 70, net.now);
    LinkView link { "b" };
    link.maxTransit = Milliseconds(0);
    HeartbeatT heartbeat;
    heartbeat.headConfirmedMs = 1;
    heartbeat.routingVersion = 8;
    heartbeat.directoryRevision = 70;
    node.relay.accept(link, heartbeat, net.now);
    CHECK_FALSE(node.relay.confirmedAge(net.now));
    heartbeat.routingVersion = 7;
    node.relay.accept(link, heartbeat, net.now);
    CHECK(node.relay.confirmedAge(net.now) == Milliseconds(0));
}

// Guards against a watcher that sends a long document to its whole failure domain at once. That occupied its
// network link for seconds, so that its own watch timed out and its peers detected it as silent.
TEST_CASE("a long configuration reaches a failure domain with slow links within a second")
{
    struct Row {
        std::string document;
        Milliseconds bound; // time until all instances have the document
    };
    std::string routes;
    for (int route = 0; route < 1800; ++route)
        routes += R"({"name":"route-)" + std::to_string(route) + R"(","host":"service-)"
            + std::to_string(route % 40) + R"(.example","prefix":"/v1/)" + std::to_string(route * 7)
            + R"(","attempts":3,"timeout_ms":30000,"priority":2,"kind":"repeatable","pool":"pool-)"
            + std::to_string(route % 40) + R"("},)";
    const std::vector<Row> rows = {
        // The users' requirement.
        { routes, Milliseconds(600) },
        { hardToCompress(500000), Milliseconds(3000) },
    };
    for (const auto& row : rows) {
        SlowDomain domain;
        domain.at(0).relay.setRouting(2, row.document);
        domain.run(row.bound);
        CHECK(domain.behind(2) == 0);
        // Three documents and a margin of 60 ms for short frames.
        double queued
            = 3 * static_cast<double>(compress(row.document).size()) / SlowDomain::bytesPerMillisecond;
        CHECK(domain.longestQueue() <= Milliseconds(static_cast<int>(queued) + 60));
    }
}

// Guards against a storm after all instances restarted: each requested the whole list from the few peers that
// had it and, since no answer came in time, from the next one, while the first answers still occupied the
// links.
TEST_CASE("a list of thousands of upstreams reaches instances that start together within two seconds")
{
    DirectoryChanges list { 0, 5000, {}, {} };
    for (int number = 0; number < 4840; ++number) {
        UpstreamEntry entry;
        entry.id = "i-" + toHex(std::to_string(number * 7919));
        entry.pool = "models";
        entry.endpoint
            = { "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250), 8000 };
        entry.failureDomain = domain;
        entry.slots = 64;
        entry.revision = 1 + static_cast<std::uint64_t>(number);
        list.entries.push_back(entry);
    }
    SlowDomain fleet(false);
    Node& first = fleet.at(0);
    first.relay.setRouting(1, "document 1");
    first.directory.apply(list, fleet.now());
    first.relay.setDirectoryRevision(list.revision);
    fleet.run(Milliseconds(2000));
    CHECK(fleet.withoutList() == 0);
    CHECK(fleet.at(5).directory.upstreams() == first.directory.upstreams());
    // Three lists and a margin of 60 ms for short frames.
    double queued = 3 * static_cast<double>(compressChanges(list).size()) / SlowDomain::bytesPerMillisecond;
    CHECK(fleet.longestQueue() <= Milliseconds(static_cast<int>(queued) + 60));
}

// Guards against instances without a list that query busy peers with each tick: hundreds that started
// together kept the few that had the list from doing anything else.
TEST_CASE("a busy peer is queried again after a delay, and sends the list when it can")
{
    FakeNetwork net;
    Node& source = net.at("source");
    source.load(7, 70, net.now);
    DirectoryChanges list { 0, 80, {}, {} };
    for (int number = 0; number < 1000; ++number) {
        UpstreamEntry entry { "i-" + std::to_string(number), "models", { "10.0.0.9", 8000 }, domain };
        entry.revision = 80;
        list.entries.push_back(entry);
    }
    source.directory.apply(list, net.now);
    source.relay.setDirectoryRevision(list.revision);
    DirectoryFetchT fetch;
    fetch.acceptsCompressedList = true;
    for (const std::string peer : { "one", "two", "three" })
        source.relay.receive(peer, fetch, source.directory, net.now);
    source.outbox.drain();

    net.at("asker");
    net.heartbeat("source", "asker");
    int queries = 0;
    for (int tick = 0; tick < 9; ++tick) {
        net.now += Milliseconds(100);
        net.at("asker").relay.tick(net.now);
        for (const auto& message : net.at("asker").outbox.drain()) {
            ++queries;
            source.relay.receive("asker", *message.body.AsDirectoryFetch(), source.directory, net.now);
        }
        for (const auto& message : source.outbox.drain()) {
            CHECK(message.body.AsDirectoryPush()->busy);
            CHECK(net.at("asker").relay.receive("source", *message.body.AsDirectoryPush()));
        }
    }
    CHECK(queries >= 2);
    CHECK(queries <= 5); // one in 200 ms
    net.step(Milliseconds(300)); // the other transfers have ended
    CHECK(net.at("asker").directory.upstreams().size() == 1000);
}

// Guards against bytes between failure domains that are not needed.
TEST_CASE("a peer of the own failure domain is queried before others, unless it does not answer")
{
    MonotonicTime now { std::chrono::hours(1) };
    Node asker;
    asker.membership.seed(
        { { "near", "10.0.0.2:1", domain }, { "far-1", "10.0.0.3:1", "b" }, { "far-2", "10.0.0.4:1", "c" } },
        now);
    HeartbeatT heartbeat;
    heartbeat.routingVersion = 7;
    heartbeat.directoryRevision = 70;
    for (const std::string peer : { "far-1", "far-2", "near" }) {
        asker.relay.linkUp(peer, now);
        asker.relay.accept(LinkView { peer }, heartbeat, now);
    }
    std::vector<std::string> queried;
    for (int second = 1; second <= 4; ++second) {
        asker.relay.tick(now + std::chrono::seconds(second * 2));
        for (const auto& message : asker.outbox.drain())
            queried.push_back(message.peer);
    }
    REQUIRE(queried.size() == 4);
    CHECK(queried[0] == "near");
    CHECK(queried[1] != "near");
    CHECK(queried[2] != "near");
    CHECK(queried[2] != queried[1]);
    CHECK(queried[3] == "near");
}

// Guards against never sending a usable document to an instance of a version that does not support
// compression.
TEST_CASE("a peer that does not report support for compression gets uncompressed documents")
{
    FakeNetwork net;
    Node& node = net.at("a");
    std::string document = hardToCompress(100000);
    node.load(7, 70, net.now);
    node.relay.setRouting(8, document);
    DirectoryFetchT fetch;
    fetch.directoryRevision = 70;
    node.relay.receive("older", fetch, node.directory, net.now);
    fetch.acceptsCompressed = true;
    node.relay.receive("newer", fetch, node.directory, net.now);
    auto messages = node.outbox.drain();
    REQUIRE(messages.size() == 2);
    const auto* plain = messages[0].body.AsDirectoryPush();
    const auto* compressed = messages[1].body.AsDirectoryPush();
    CHECK(std::string(plain->routingDocument.begin(), plain->routingDocument.end()) == document);
    CHECK(compressed->routingDocument.empty());
    CHECK(compressed->compressedDocument.size() < document.size() * 6 / 10);
    for (const auto* push : { plain, compressed }) {
        auto update = net.at("b").relay.receive("a", *push);
        REQUIRE(update);
        CHECK(update.value().routingDocument == document);
    }
}

TEST_CASE("a document that arrives damaged is refused and requested again")
{
    FakeNetwork net;
    net.at("one").load(8, 70, net.now);
    Node& asker = net.at("asker");
    asker.load(7, 70, net.now);
    net.heartbeat("one", "asker");
    DirectoryPushT push;
    push.routingVersion = 8;
    push.compressedDocument = { 1, 2, 3 };
    auto update = asker.relay.receive("one", push);
    REQUIRE_FALSE(update);
    CHECK(update.error().kind == ErrorKind::Corrupt);
    net.step(Milliseconds(300));
    CHECK(asker.relay.routingVersion() == 8);
}

// Guards against one bad entry in a peer's list that hides the others, or is used as an upstream.
TEST_CASE("a bad entry in the list of another instance costs that entry only")
{
    struct BadEntry {
        const char* id;
        const char* address;
    };
    const BadEntry badEntries[] { { "", "10.0.0.9:80" }, { "bad", "" }, { "bad", "somewhere:80" },
        { "bad", "10.0.0.9:0" }, { "bad", "10.0.0.9:65536" }, { "bad", "10.0.0.9:-1" },
        { "bad", "\xff\xfe" } };
    for (const BadEntry& bad : badEntries) {
        CAPTURE(bad.id);
        CAPTURE(bad.address);
        UpstreamEntry sound;
        sound.pool = "models";
        sound.endpoint = { "10.0.0.9", 8000 };
        sound.revision = 8;
        DirectoryPushT push;
        DirectoryChanges changes { 0, 9, {}, {} };
        for (const char* id : { "first", "second" }) {
            sound.id = id;
            changes.entries.push_back(sound);
        }
        addChanges(changes, push);
        auto entry = std::make_unique<DirectoryUpstreamT>(*push.upstreams.front());
        entry->id = bad.id;
        entry->address = bad.address;
        push.upstreams.insert(push.upstreams.begin() + 1, std::move(entry));
        PeerFrameT frame;
        frame.body.Set(std::move(push));
        auto received
            = decodePeerFrame(std::string_view(encodePeerFrame(frame)).substr(peerFrameHeaderBytes));
        REQUIRE(received);
        CHECK(changesOf(*received.value().body.AsDirectoryPush()).entries == changes.entries);
    }
}

// Guards against a number of slots that is no number of slots, such as -1, in the placement of requests.
TEST_CASE("the slots in the list of another instance are bounded")
{
    DirectoryPushT push;
    for (std::uint32_t slots : { 0U, 1U, 64U, 0x7fffffffU, 0xffffffffU }) {
        auto entry = std::make_unique<DirectoryUpstreamT>();
        entry->id = std::to_string(slots);
        entry->address = "10.0.0.9:80";
        entry->slots = slots;
        push.upstreams.push_back(std::move(entry));
    }
    std::vector<int> slots;
    for (const UpstreamEntry& entry : changesOf(push).entries)
        slots.push_back(entry.slots);
    CHECK(slots == std::vector<int> { 1, 1, 64, 100000, 100000 });
}

// Guards against a leak of push permits when peers fail while a document is being sent to them.
TEST_CASE("push permits for long documents are released after an answer, a closed link or a timeout")
{
    FakeNetwork net;
    Node& node = net.at("a");
    node.load(7, 70, net.now);
    node.relay.setRouting(8, hardToCompress(100000));
    DirectoryFetchT fetch;
    fetch.acceptsCompressed = true;
    fetch.directoryRevision = 70;
    auto isSent = [&](const std::string& peer) {
        node.relay.receive(peer, fetch, node.directory, net.now);
        auto messages = node.outbox.drain();
        const auto* push = messages.back().body.AsDirectoryPush();
        CHECK(push->busy == (push->routingVersion == 0));
        return push->routingVersion == 8;
    };
    int sent = 0;
    while (sent < 20 && isSent("peer " + std::to_string(sent)))
        ++sent;
    CHECK(sent >= 2);
    CHECK(sent <= 4);
    CHECK_FALSE(isSent("last"));

    HeartbeatT heartbeat;
    heartbeat.routingVersion = 8;
    std::string first = "peer 0";
    node.relay.accept(LinkView { first }, heartbeat, net.now);
    CHECK(isSent("last"));
    CHECK_FALSE(isSent("next"));
    node.relay.linkDown("peer 1", net.now);
    CHECK(isSent("next"));
    CHECK_FALSE(isSent("after"));
    net.now += Milliseconds(1100);
    CHECK(isSent("after"));
}
