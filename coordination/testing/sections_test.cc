// Load table, rate shares, upstream health and the aggregation tree.

#include "base/hash.h"
#include "coordination/coordination.h"
#include <doctest/doctest.h>
#include <set>

using namespace briarwharf;

namespace {

std::vector<std::string> instanceIds(std::size_t count)
{
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < count; ++i)
        ids.push_back("entry-" + std::to_string(i));
    return ids;
}

struct SingleInstance {
    Outbox outbox;
    Membership membership { { "a", "10.0.0.1:1", "x", 1 }, {}, outbox, 1 };
    MonotonicTime now { std::chrono::hours(1) };
    std::string peer = "b";
    LinkView treeLink { peer, true, false, Milliseconds(0), 1 };

    void seedOthers(std::size_t count)
    {
        std::vector<ListedInstance> list;
        for (const std::string& id : instanceIds(count))
            list.push_back({ id, "10.0.0.2:1", "x" });
        membership.seed(list, now);
    }
};

LoadReport loadReport(std::uint32_t upstream, std::uint16_t tokens, std::uint8_t sequence)
{
    constexpr std::uint8_t servingAndReachable = 3;
    return { upstream, tokens, sequence, servingAndReachable };
}

} // namespace

// Guards against cycles, in which sums would grow without bound, against nodes with many children, and
// against sums that cross between failure domains on most links.
TEST_CASE("the aggregation tree is one tree of bounded degree and low depth, with few links between domains")
{
    constexpr std::size_t domains = 8;
    for (std::size_t count : { 1U, 2U, 9U, 100U, 480U }) {
        std::vector<std::string> ids = instanceIds(count);
        std::vector<TreeMember> members;
        for (std::size_t i = 0; i < count; ++i)
            members.push_back({ ids[i], "domain-" + std::to_string(i % domains) });
        auto parents = treeParents(members);
        std::size_t linksBetweenDomains = 0;
        std::vector<std::size_t> children(count + 1);
        for (std::size_t i = 0; i < count; ++i) {
            ++children[parents[i]];
            bool crosses = parents[i] < count && parents[i] % domains != i % domains;
            linksBetweenDomains += crosses ? 1 : 0;
            std::size_t depth = 0;
            for (std::size_t node = i; parents[node] < count; node = parents[node]) {
                CHECK(treeRank(ids[parents[node]]) < treeRank(ids[node]));
                REQUIRE(++depth <= 8);
            }
        }
        CHECK(linksBetweenDomains == std::min(count, domains) - 1);
        CHECK(children[count] == 1);
        children[count] = 0;
        CHECK(*std::max_element(children.begin(), children.end()) <= maxTreeChildren);
    }
}

// Guards against seeds whose failure domain stays unknown, here and at all instances that learn of them here:
// the first frame already raised the incarnation, so its contents did not count as news.
TEST_CASE_FIXTURE(
    SingleInstance, "the failure domain of a seed is learned from its first message and passed on")
{
    membership.seed({ { "10.0.0.2:1", "10.0.0.2:1", "" } }, now);
    membership.linkUp("10.0.0.2:1", now);
    membership.linkUp("c", now);
    auto hello = [](const std::string& id, const std::string& failureDomain) {
        HelloT hello;
        hello.member = std::make_unique<MemberT>();
        hello.member->id = hello.member->address = id;
        hello.member->failureDomain = failureDomain;
        hello.member->incarnation = 5;
        PeerFrameT frame;
        frame.sender = id;
        frame.incarnation = 5;
        frame.body.Set(std::move(hello));
        return frame;
    };
    CHECK(membership.receive(hello("10.0.0.2:1", "y"), now));
    CHECK(membership.members().at("10.0.0.2:1").failureDomain == "y");
    outbox.drain();
    membership.tick(now + Milliseconds(1000));
    std::string passedOn;
    for (const OutgoingMessage& message : outbox.drain()) {
        const HeartbeatT* heartbeat = message.body.AsHeartbeat();
        if (message.peer != "c" || !heartbeat)
            continue;
        for (const auto& member : heartbeat->members)
            passedOn = member->id == "10.0.0.2:1" ? member->failureDomain : passedOn;
    }
    CHECK(passedOn == "y");
}

// Guards against seeds that keep a link to every instance of the fleet and send every change on all of them.
TEST_CASE("in a large fleet most instances do not need their links to the seeds once they know the others")
{
    constexpr std::size_t instances = 300;
    constexpr std::size_t seeds = 3;
    MonotonicTime now { std::chrono::hours(1) };
    std::vector<ListedInstance> all;
    for (const std::string& id : instanceIds(instances))
        all.push_back({ id, "10.0.0.2:1", "domain-" + std::to_string(all.size() % 6) });
    std::size_t needed = 0;
    for (std::size_t i = seeds; i < instances; ++i) {
        Outbox outbox;
        Membership membership({ all[i].id, all[i].address, all[i].failureDomain, 1 }, {}, outbox, 1);
        membership.seed({ all.begin(), all.begin() + seeds }, now);
        membership.tick(now);
        for (std::size_t seed = 0; seed < seeds; ++seed) {
            CHECK(membership.needsLink(all[seed].id));
            membership.linkUp(all[seed].id, now);
        }
        membership.seed(all, now);
        membership.tick(now);
        for (const std::string& peer : membership.desiredPeers()) {
            if (!membership.linked(peer))
                membership.linkUp(peer, now);
        }
        membership.tick(now); // the parent in the tree is among them
        for (std::size_t seed = 0; seed < seeds; ++seed)
            needed += membership.needsLink(all[seed].id) ? 1 : 0;
    }
    // Each instance needs the few links of the mesh and the tree, spread over all others.
    CHECK(needed <= 10 * seeds);
}

// Guards against keys that move between live instances when another one fails.
TEST_CASE_FIXTURE(SingleInstance, "only the keys of a dead instance change their owner")
{
    seedOthers(8);
    std::map<std::uint64_t, std::string> ownersBefore;
    for (std::uint64_t key = 0; key < 500; ++key)
        ownersBefore[key] = membership.owner(hash64(std::to_string(key)));
    MemberT dead;
    dead.id = "entry-3";
    dead.state = MemberState::Dead;
    HeartbeatT heartbeat;
    heartbeat.sequence = 1;
    heartbeat.members.push_back(std::make_unique<MemberT>(dead));
    PeerFrameT frame;
    frame.sender = "entry-0";
    frame.body.Set(std::move(heartbeat));
    membership.linkUp("entry-0", now);
    CHECK(membership.receive(frame, now));
    for (const auto& [key, owner] : ownersBefore) {
        const std::string& after = membership.owner(hash64(std::to_string(key)));
        CHECK(after != "entry-3");
        if (owner != "entry-3")
            CHECK(after == owner);
    }
}

// Guards against entries that are never sent because others change all the time, and against heartbeats that
// exceed the byte budget.
TEST_CASE_FIXTURE(SingleInstance, "no entry starves within the byte budget")
{
    constexpr std::size_t count = 200;
    LoadTableOptions options;
    options.bytesPerSecond = 80; // ten entries
    LoadTable table(membership, options);
    std::vector<std::uint32_t> upstreams;
    for (std::uint32_t i = 0; i < count; ++i)
        upstreams.push_back(i * 1000003U + 17U);
    table.setUpstreams(upstreams);
    CHECK(table.owned().size() == count);
    std::map<std::uint32_t, int> sent;
    constexpr int rounds = 300;
    for (int round = 0; round < rounds; ++round) {
        now += Milliseconds(1000);
        for (std::uint32_t i = 0; i < count; ++i)
            table.report(upstreams[i], i < 100 && round % 2 == 0 ? 50000 : 1000 + round, true, true, now);
        HeartbeatT heartbeat;
        table.fill(treeLink, heartbeat, now);
        CHECK(heartbeat.loadReports.size() <= 15);
        for (const LoadReport& report : heartbeat.loadReports)
            ++sent[report.upstream()];
    }
    for (std::uint32_t upstream : upstreams)
        CHECK(sent[upstream] >= 5);
}

// Guards against an older report that replaces a newer one, also when the sequence number wraps around, and
// against a new owner whose reports are ignored because its sequence starts low.
TEST_CASE_FIXTURE(SingleInstance, "the newest sequence wins and a new owner continues it")
{
    LoadTable table(membership, {});
    table.setUpstreams({ 1 });
    HeartbeatT heartbeat;
    for (auto [sequence, tokens] : { std::pair { 250, 100 }, { 3, 200 }, { 251, 300 } }) {
        heartbeat.loadReports
            = { loadReport(1, static_cast<std::uint16_t>(tokens), static_cast<std::uint8_t>(sequence)) };
        table.accept(treeLink, heartbeat, now);
    }
    CHECK(table.load(1, now)->tokens == 200);
    table.report(1, 4000, true, true, now + Milliseconds(1000));
    HeartbeatT answer;
    table.fill(treeLink, answer, now + Milliseconds(1000));
    REQUIRE(answer.loadReports.size() == 1);
    CHECK(answer.loadReports[0].sequence() == 4);
    CHECK(!table.load(1, now + Milliseconds(62000)));
}

// Guards against an instance that uses the whole limit while it receives from no peer.
TEST_CASE_FIXTURE(SingleInstance, "an instance that receives from no peer uses its proportion of the limit")
{
    seedOthers(9);
    RateShare shares(membership, {});
    shares.setLimits({ { 5, 10000, 1 } }, now);
    double admitted = 0;
    constexpr int seconds = 60;
    for (int i = 0; i < seconds * 100; ++i) {
        now += Milliseconds(10);
        if (i % 10 == 0)
            shares.tick(now);
        admitted += shares.admit(5, 50, now) ? 50 : 0;
    }
    CHECK(admitted <= 1.05 * seconds * 1000);
    CHECK(admitted >= 0.9 * seconds * 1000);
    CHECK(!shares.admit(6, 1, now));
}

// Guards against a large fleet in which each instance admits its next request when a limit comes into force,
// which are as many requests as there are instances.
TEST_CASE("the instances of a large fleet together admit their ratio of the first requests, too")
{
    constexpr int instances = 200;
    constexpr std::uint32_t subject = 7;
    constexpr double ratio = 0.25;
    constexpr std::uint32_t demandOfOthers = 40000;
    int admitted = 0;
    for (int number = 0; number < instances; ++number) {
        Outbox outbox;
        std::string parent = "entry-0";
        std::string self = "entry-" + std::to_string(1000 + number);
        if (treeRank(self) < treeRank(parent))
            std::swap(self, parent);
        Membership membership({ self, "10.0.0.1:1", "x", 1 }, {}, outbox, 1);
        MonotonicTime now { std::chrono::hours(1) };
        membership.seed({ { parent, "10.0.0.2:1", "x" } }, now);
        membership.linkUp(parent, now);
        membership.tick(now);
        REQUIRE(membership.inTree(parent));
        RateShareOptions options;
        options.requestTokens = 1000;
        RateShare shares(membership, options);
        shares.setLimits({ { subject, ratio * demandOfOthers, 1 } }, now);
        HeartbeatT heartbeat;
        heartbeat.usageCovered = 1;
        heartbeat.usageSums.emplace_back(subject, demandOfOthers);
        shares.accept({ parent, true, true }, heartbeat, now);
        shares.tick(now);
        shares.tick(now + Milliseconds(100));
        admitted += shares.admit(subject, 1000, now + Milliseconds(100)) ? 1 : 0;
    }
    CHECK(admitted >= 0.15 * instances);
    CHECK(admitted <= 0.35 * instances);
}

// Guards against shares that ignore weights when the capacity is scarce, and against unused capacity.
TEST_CASE_FIXTURE(SingleInstance, "a scarce capacity is shared by weight and used fully")
{
    RateShareOptions options;
    options.capacity = 1000;
    RateShare shares(membership, options);
    shares.setLimits({ { 1, 10000, 3 }, { 2, 10000, 1 }, { 3, 10000, 4 } }, now);
    std::map<std::uint32_t, double> admitted;
    constexpr int seconds = 120;
    for (int i = 0; i < seconds * 100; ++i) {
        now += Milliseconds(10);
        if (i % 10 == 0)
            shares.tick(now);
        for (std::uint32_t organisation : { 1U, 2U, 3U }) {
            double tokens = organisation == 3 ? 2 : 20; // 200 and 2,000 tokens per second
            admitted[organisation] += shares.admit(organisation, tokens, now) ? tokens : 0;
        }
    }
    CHECK(admitted[1] / seconds == doctest::Approx(600).epsilon(0.05));
    CHECK(admitted[2] / seconds == doctest::Approx(200).epsilon(0.05));
    CHECK(admitted[3] / seconds == doctest::Approx(200).epsilon(0.05));
}

// Guards against an upstream that alternates between usable and bad, and against a pool without any usable
// upstream.
TEST_CASE("health damps flapping and never excludes all upstreams")
{
    UpstreamHealth health({});
    MonotonicTime now { std::chrono::hours(1) };
    for (int i = 0; i < 4; ++i)
        health.failed(1, UpstreamFailure::Error, now);
    CHECK(!health.usable(1, now));
    health.succeeded(1, now);
    CHECK(!health.usable(1, now + Milliseconds(9000))); // below badAbove, but not below goodBelow
    CHECK(health.usable(1, now + Milliseconds(11000)));
    for (int i = 0; i < 100; ++i)
        health.failed(1, UpstreamFailure::SilentConnection, now);
    CHECK(!health.usable(1, now + Milliseconds(19000)));
    CHECK(health.usable(1, now + Milliseconds(21000)));
    CHECK(health.select({ 1, 2 }, now) == std::vector<std::uint32_t> { 2 });
    CHECK(health.select({ 1 }, now) == std::vector<std::uint32_t> { 1 });
}

// Guards against a single peer that can make an upstream unusable for all instances, and against evidence
// that never expires.
TEST_CASE("two peers' evidence counts unless own requests succeed")
{
    UpstreamHealth health({});
    MonotonicTime now { std::chrono::hours(1) };
    HeartbeatT heartbeat;
    heartbeat.evidence.emplace_back(1, 500, true);
    std::string b = "b";
    std::string c = "c";
    health.accept({ b }, heartbeat, now);
    CHECK(health.usable(1, now));
    health.accept({ c }, heartbeat, now);
    CHECK(!health.usable(1, now));
    health.succeeded(1, now);
    CHECK(health.usable(1, now));
    CHECK(!health.usable(1, now + Milliseconds(6000)));
    CHECK(health.usable(1, now + Milliseconds(11000)));
}

// Guards against a fleet whose instances all go on using an address that belongs to another upstream, and
// against evidence that outlives the lifetime which it is about.
TEST_CASE("a misdirected request makes an upstream bad at once, until it has restarted")
{
    UpstreamHealth first({});
    UpstreamHealth second({});
    UpstreamHealth other({});
    MonotonicTime now { std::chrono::hours(1) };
    std::string names[] { "first", "second", "other" };
    auto exchange = [&] {
        for (auto* sender : { &first, &second }) {
            HeartbeatT heartbeat;
            sender->fill({ names[2] }, heartbeat, now);
            other.accept({ sender == &first ? names[0] : names[1] }, heartbeat, now);
        }
    };
    first.failed(1, UpstreamFailure::Misdirected, now);
    second.failed(1, UpstreamFailure::Misdirected, now);
    CHECK(!first.usable(1, now));
    CHECK(first.urgent({ names[2] }, now));
    exchange();
    CHECK(!other.usable(1, now));
    first.restarted(1);
    second.restarted(1);
    CHECK(first.usable(1, now));
    exchange();
    CHECK(other.usable(1, now));
}

// Guards against sending a peer's own earlier demand back to it as the demand of other instances. Daemons
// sent such sums back and forth until they reached 2^32, and requests far below the limit were refused.
TEST_CASE_FIXTURE(SingleInstance, "a sum that falls between two ticks does not return to its sender")
{
    constexpr std::uint32_t organisation = 1;
    // A child of this instance has a higher rank.
    for (char name = 'b'; treeRank(peer) <= treeRank("a"); ++name)
        peer = std::string(1, name);
    membership.seed({ { peer, "10.0.0.2:1", "x" } }, now);
    membership.linkUp(peer, now);
    PeerFrameT frame;
    frame.sender = peer;
    frame.incarnation = 5;
    HeartbeatT greeting;
    greeting.sequence = 1;
    greeting.parent = true;
    frame.body.Set(std::move(greeting));
    REQUIRE(membership.receive(frame, now));
    REQUIRE(membership.inTree(peer));

    RateShare shares(membership, {});
    shares.setLimits({ { organisation, 100000, 1 } }, now);
    shares.linkUp(peer, now);
    auto acceptSum = [&](std::uint32_t sum) {
        HeartbeatT heartbeat;
        heartbeat.usageCovered = 1;
        heartbeat.usageSums.emplace_back(organisation, sum);
        shares.accept(treeLink, heartbeat, now);
    };
    acceptSum(900);
    shares.tick(now);
    shares.tick(now += Milliseconds(100));
    CHECK(shares.totalDemand(organisation) == 900);
    acceptSum(0);
    HeartbeatT reply;
    shares.fill(treeLink, reply, now + Milliseconds(1000));
    for (const UsageSum& sum : reply.usageSums)
        CHECK(sum.tokensPerSecond() == 0);
}
