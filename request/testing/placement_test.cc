#include "base/base.h"
#include "request/request.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <vector>

using namespace briarwharf;

namespace {

constexpr PlacementKind kinds[] { PlacementKind::BoundedRendezvous, PlacementKind::Rendezvous,
    PlacementKind::BoundedRing, PlacementKind::TwoChoices, PlacementKind::LeastLoaded };

PlacementSettings balanced() { return placementSettings("balanced").value(); }

std::vector<UpstreamView> evenPool(std::size_t size, std::int64_t tokens)
{
    std::vector<UpstreamView> views(size);
    for (std::size_t index = 0; index < size; ++index) {
        views[index].id = upstreamId("engine-" + std::to_string(index));
        views[index].reportAge = Milliseconds(500);
        views[index].reportedTokens = tokens;
    }
    return views;
}

UpstreamView randomView(std::size_t index)
{
    UpstreamView view;
    view.id = upstreamId("engine-" + std::to_string(index));
    view.weight = *rc::gen::element(0.5, 1.0, 2.0);
    view.use = *rc::gen::element(UpstreamUse::Serving, UpstreamUse::Serving, UpstreamUse::Avoided,
        UpstreamUse::Draining, UpstreamUse::Unusable);
    if (*rc::gen::inRange(0, 4) > 0)
        view.reportAge = Milliseconds(*rc::gen::inRange(0, 12000));
    view.reportedTokens = *rc::gen::inRange(-1000, 400000);
    view.localTokens = *rc::gen::inRange(0, 50000);
    view.localTokensSinceReport = *rc::gen::inRange(-20000, 20000);
    view.peerTokensSinceReport = *rc::gen::inRange(-20000, 20000);
    view.localRequests = static_cast<std::uint32_t>(*rc::gen::inRange(0, 10));
    view.localSlots = *rc::gen::element(0U, 8U);
    return view;
}

std::vector<UpstreamView> randomPool()
{
    auto size = static_cast<std::size_t>(*rc::gen::inRange(0, 14));
    std::vector<UpstreamView> views;
    for (std::size_t index = 0; index < size; ++index)
        views.push_back(randomView(index));
    return views;
}

PlacementRequest randomRequest(const std::vector<UpstreamView>& views)
{
    PlacementRequest request;
    request.chat = *rc::gen::arbitrary<ChatKey>();
    request.tokens = *rc::gen::inRange(1, 30000);
    request.returning = *rc::gen::arbitrary<bool>();
    request.nonce = *rc::gen::arbitrary<std::uint64_t>();
    auto pick = [&views]() -> std::optional<UpstreamId> {
        auto index = static_cast<std::size_t>(*rc::gen::inRange(0, 16));
        return index < views.size() ? std::optional(views[index].id) : std::nullopt;
    };
    request.hint = pick();
    request.directory = pick();
    return request;
}

const UpstreamView* viewOf(const std::vector<UpstreamView>& views, UpstreamId id)
{
    auto found
        = std::find_if(views.begin(), views.end(), [id](const UpstreamView& view) { return view.id == id; });
    return found == views.end() ? nullptr : &*found;
}

} // namespace

// Guards against new work for an upstream that is leaving or unreachable (G5), whichever upstream the hint
// names, and against exceeding the local slots.
TEST_CASE("no kind of placement chooses an upstream that is draining, unusable or full")
{
    CHECK(rc::check("usable upstreams only", [] {
        std::vector<UpstreamView> views = randomPool();
        PlacementRequest request = randomRequest(views);
        for (PlacementKind kind : kinds) {
            PlacementDecision decision = makePlacement(kind, balanced())->decide(request, views);
            if (!decision.upstream)
                continue;
            const UpstreamView* view = viewOf(views, *decision.upstream);
            RC_ASSERT(view);
            bool resident = request.hint == view->id || request.directory == view->id;
            RC_ASSERT(view->use == UpstreamUse::Serving || (view->use == UpstreamUse::Avoided && resident));
            RC_ASSERT(view->localSlots == 0 || view->localRequests < view->localSlots);
        }
    }));
}

// Guards against instances that have the same state and decide differently because their lists of upstreams
// are in a different order.
TEST_CASE("a decision is deterministic and does not depend on the order of the upstreams")
{
    CHECK(rc::check("order has no effect", [] {
        std::vector<UpstreamView> views = randomPool();
        PlacementRequest request = randomRequest(views);
        std::vector<UpstreamView> shuffled = views;
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        for (std::size_t index = shuffled.size(); index > 1; --index)
            std::swap(shuffled[index - 1], shuffled[random.below(index)]);
        for (PlacementKind kind : kinds) {
            PlacementDecision one = makePlacement(kind, balanced())->decide(request, views);
            PlacementDecision other = makePlacement(kind, balanced())->decide(request, shuffled);
            RC_ASSERT(one.upstream == other.upstream);
            RC_ASSERT(one.reason == other.reason);
            RC_ASSERT(one.notFirstChoice == other.notFirstChoice);
        }
    }));
}

// Guards against a hint that takes precedence over the load bound (G1).
TEST_CASE("a decision never exceeds the bound on the estimated load")
{
    CHECK(rc::check("bound", [] {
        std::vector<UpstreamView> views = randomPool();
        for (UpstreamView& view : views) {
            view.weight = 1;
            view.reportAge = Milliseconds(1000);
            view.use = view.use == UpstreamUse::Avoided ? UpstreamUse::Serving : view.use;
        }
        PlacementRequest request = randomRequest(views);
        auto estimate = [](const UpstreamView& view) {
            return std::max({ view.localTokens, std::int64_t { 0 },
                view.reportedTokens + view.localTokensSinceReport + view.peerTokensSinceReport });
        };
        double sum = static_cast<double>(request.tokens);
        double serving = 0;
        for (const UpstreamView& view : views) {
            if (view.use != UpstreamUse::Serving)
                continue;
            sum += static_cast<double>(estimate(view));
            ++serving;
        }
        for (const char* strategy : { "balanced", "skew", "reuse" }) {
            PlacementSettings settings = placementSettings(strategy).value();
            auto decision = makePlacement(PlacementKind::BoundedRendezvous, settings)->decide(request, views);
            if (!decision.upstream)
                continue;
            auto load = static_cast<double>(estimate(*viewOf(views, *decision.upstream)) + request.tokens);
            double mean = sum / serving;
            double slack = static_cast<double>(std::max(settings.slackTokens, request.tokens));
            RC_ASSERT(load <= std::max(1.25 * mean, mean + slack) * 1.000001);
        }
    }));
}

TEST_CASE("a hint keeps a chat at its upstream below the bound and has no effect above it")
{
    auto views = evenPool(12, 100000);
    auto placement = makePlacement(PlacementKind::BoundedRendezvous, balanced());
    PlacementRequest request { chatKey("saqib", "c1"), 1000 };
    request.hint = views[3].id;
    request.returning = true;
    PlacementDecision decision = placement->decide(request, views);
    CHECK(decision.upstream == views[3].id);
    CHECK(decision.reason == PlacementReason::Hint);

    views[3].reportedTokens = 140000;
    decision = placement->decide(request, views);
    CHECK(decision.upstream.has_value());
    CHECK(decision.upstream != views[3].id);
}

// Guards against concentration of load on an upstream without reports: without a report, the bound applies to
// the load from this instance.
TEST_CASE("an upstream without a report gets no more load from one instance than the bound on local load")
{
    auto views = evenPool(4, 100000);
    views[2].reportAge.reset();
    for (UpstreamView& view : views)
        view.localTokens = 50000;
    views[2].localTokens = 90000;
    auto placement = makePlacement(PlacementKind::BoundedRendezvous, balanced());
    PlacementRequest request { 7, 1000, views[2].id };
    CHECK(placement->decide(request, views).upstream != views[2].id);
    views[2].localTokens = 40000;
    CHECK(placement->decide(request, views).upstream == views[2].id);
}

TEST_CASE("the decision distinguishes a saturated pool from one without a usable upstream")
{
    auto views = evenPool(2, 1000);
    for (UpstreamView& view : views) {
        view.localSlots = 1;
        view.localRequests = 1;
    }
    for (PlacementKind kind : kinds) {
        auto placement = makePlacement(kind, balanced());
        CHECK(placement->decide({ 1, 10 }, views).reason == PlacementReason::Saturated);
        CHECK(placement->decide({ 1, 10 }, {}).reason == PlacementReason::NoUpstream);
    }
}

// Guards against synchronised spilling. When all instances use one stale report, an upstream with a load
// within the spill range keeps a share of its chats instead of all or none.
TEST_CASE("the share of chats that spill grows smoothly with the load")
{
    auto placement = makePlacement(PlacementKind::BoundedRendezvous, balanced());
    double lastKept = 1;
    int partial = 0;
    for (std::int64_t load = 100000; load <= 130000; load += 5000) {
        auto views = evenPool(12, 100000);
        views[0].reportedTokens = load;
        int kept = 0;
        constexpr int chats = 1000;
        for (std::uint64_t chat = 0; chat < chats; ++chat) {
            PlacementRequest request { hash64("chat", chat), 100, views[0].id };
            kept += placement->decide(request, views).upstream == views[0].id ? 1 : 0;
        }
        double share = kept / static_cast<double>(chats);
        CHECK(share <= lastKept);
        partial += share > 0.05 && share < 0.95 ? 1 : 0;
        lastKept = share;
    }
    CHECK(partial >= 2);
    CHECK(lastKept < 0.02);
}

TEST_CASE("strategies are found by name and differ in the load up to which chats stay")
{
    CHECK_FALSE(placementSettings("fastest").has_value());
    PlacementSettings skew = placementSettings("skew").value();
    PlacementSettings reuse = placementSettings("reuse").value();
    CHECK(skew.returning.lower < reuse.returning.lower);
    CHECK(reuse.returning.upper <= reuse.loadBound);
    CHECK(placementSettings("reuse", 1.5)->returning.upper > reuse.returning.upper);
}

// Guards against counting work twice (in the report and locally), or not at all, while a report is in
// transit.
TEST_CASE("the ledger adds only what changed after the report was measured")
{
    LoadLedger ledger;
    MonotonicTime start { std::chrono::hours(1) };
    auto at = [start](int milliseconds) { return start + Milliseconds(milliseconds); };
    UpstreamId engine = upstreamId("engine-1");
    ledger.sent(engine, 1000, at(0));
    ledger.report(engine, 5000, at(500));
    ledger.sent(engine, 700, at(1000));
    ledger.report(engine, 1, at(400)); // older: ignored
    std::vector<UpstreamView> views(1);
    UpstreamView& view = views[0];
    view.id = engine;
    ledger.fill(views, at(1500));
    CHECK(view.reportedTokens == 5000);
    CHECK(view.reportAge == Milliseconds(1000));
    CHECK(view.localTokens == 1700);
    CHECK(view.localTokensSinceReport == 700);
    CHECK(view.localRequests == 2);
    ledger.finished(engine, 1000, at(1600));
    ledger.fill(views, at(1700));
    CHECK(view.localTokensSinceReport == -300);
    CHECK(view.localRequests == 1);
    ledger.removeUpstream(engine);
    ledger.fill(views, at(1800));
    CHECK_FALSE(view.reportAge.has_value());
}

// Guards against preferring the upstream with the oldest report while the load of the whole pool grows.
TEST_CASE("the ledger predicts the peers' load from the growth of the pool")
{
    LoadLedger ledger;
    MonotonicTime start { std::chrono::hours(1) };
    for (int second = 0; second <= 10; ++second)
        for (std::uint64_t engine = 1; engine <= 4; ++engine)
            ledger.report(engine, 10000 + second * 2000, start + std::chrono::seconds(second));
    std::vector<UpstreamView> views(1);
    UpstreamView& view = views[0];
    view.id = 2;
    ledger.fill(views, start + std::chrono::seconds(11));
    CHECK(view.peerTokensSinceReport > 1500);
    CHECK(view.peerTokensSinceReport <= 2000);
}
