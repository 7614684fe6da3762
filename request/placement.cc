#include "request/placement.h"

#include "base/hash.h"
#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace briarwharf {

namespace {

    // Weights and loads are summed as integers: floating-point sums would depend on the order of the input.
    constexpr double weightUnits = 1000;

    std::int64_t integerWeight(double weight)
    {
        constexpr double largest = 1e6;
        return std::max<std::int64_t>(1, std::llround(std::clamp(weight, 0.0, largest) * weightUnits));
    }

    bool carriesLoad(const UpstreamView& view)
    {
        return view.use == UpstreamUse::Serving || view.use == UpstreamUse::Avoided;
    }

    bool slotFree(const UpstreamView& view)
    {
        return view.localSlots == 0 || view.localRequests < view.localSlots;
    }

    bool open(const UpstreamView& view) { return view.use == UpstreamUse::Serving && slotFree(view); }

    // The pool's load at one decision.
    class PoolLoad {
    public:
        PoolLoad(const PlacementSettings& settings, std::int64_t tokens, std::span<const UpstreamView> views)
            : m_settings(settings)
            , m_tokens(std::max<std::int64_t>(1, tokens))
            , m_slack(static_cast<double>(std::max(settings.slackTokens, m_tokens)))
        {
            for (const UpstreamView& view : views) {
                if (!carriesLoad(view))
                    continue;
                std::int64_t weight = integerWeight(view.weight);
                m_weight += weight;
                m_localTokens += view.localTokens;
                if (!reported(view))
                    continue;
                m_reportedWeight += weight;
                m_reportedTokens += reportedEstimate(view);
            }
            if (m_weight == 0)
                return;
            double tokensForWeight = m_reportedWeight > 0
                ? static_cast<double>(m_reportedTokens) / static_cast<double>(m_reportedWeight)
                : static_cast<double>(m_localTokens) / static_cast<double>(m_weight);
            m_own = static_cast<double>(m_tokens) / static_cast<double>(m_weight);
            m_fair = tokensForWeight + m_own;
            m_localFair = static_cast<double>(m_localTokens) / static_cast<double>(m_weight) + m_own;
        }

        // Whether the load with this request stays within `threshold` times the mean.
        bool accepts(const UpstreamView& view, double threshold) const
        {
            double weight = static_cast<double>(integerWeight(view.weight));
            if (reported(view))
                return static_cast<double>(reportedEstimate(view) + m_tokens)
                    <= limit(m_fair * weight, threshold);
            // Without a report the instance bounds its own part. If all instances do, the sum is within the
            // bound (with one slack for each instance).
            return static_cast<double>(view.localTokens + m_tokens) <= limit(m_localFair * weight, threshold);
        }

        // Tokens left below the bound, negative above it.
        double headroom(const UpstreamView& view) const
        {
            double weight = static_cast<double>(integerWeight(view.weight));
            if (reported(view))
                return limit(m_fair * weight, m_settings.loadBound)
                    - static_cast<double>(reportedEstimate(view) + m_tokens);
            return limit(m_localFair * weight, m_settings.loadBound)
                - static_cast<double>(view.localTokens + m_tokens);
        }

        // Estimated load for each unit of weight, for comparisons.
        double relativeLoad(const UpstreamView& view) const
        {
            double weight = static_cast<double>(integerWeight(view.weight));
            if (reported(view))
                return static_cast<double>(reportedEstimate(view)) / weight;
            return std::max(m_fair - m_own, static_cast<double>(view.localTokens) / weight);
        }

    private:
        bool reported(const UpstreamView& view) const
        {
            return view.reportAge && *view.reportAge <= m_settings.reportLifetime;
        }

        static std::int64_t reportedEstimate(const UpstreamView& view)
        {
            std::int64_t estimate
                = view.reportedTokens + view.localTokensSinceReport + view.peerTokensSinceReport;
            return std::max(estimate, std::max<std::int64_t>(0, view.localTokens));
        }

        double limit(double fair, double threshold) const
        {
            return std::max(threshold * fair, threshold / m_settings.loadBound * (fair + m_slack));
        }

        const PlacementSettings& m_settings;
        std::int64_t m_tokens;
        double m_slack;
        std::int64_t m_weight = 0;
        std::int64_t m_localTokens = 0;
        std::int64_t m_reportedWeight = 0;
        std::int64_t m_reportedTokens = 0;
        double m_own = 0; // this request's part of the mean, for each unit of weight
        double m_fair = 0; // mean load with this request, for each unit of weight
        double m_localFair = 0;
    };

    // Keeps the best candidate; equal scores are decided by the identifier, so the order has no effect.
    class Best {
    public:
        void offer(const UpstreamView& view, double score)
        {
            if (m_view && (score < m_score || (score == m_score && view.id < m_view->id)))
                return;
            m_view = &view;
            m_score = score;
        }

        const UpstreamView* view() const { return m_view; }

    private:
        const UpstreamView* m_view = nullptr;
        double m_score = 0;
    };

    PlacementDecision chosen(const UpstreamView& view, PlacementReason reason, const UpstreamView* first)
    {
        return { view.id, reason, first && first->id != view.id };
    }

    PlacementDecision none(std::span<const UpstreamView> views)
    {
        bool usable = std::any_of(views.begin(), views.end(),
            [](const UpstreamView& view) { return view.use == UpstreamUse::Serving; });
        return { std::nullopt, usable ? PlacementReason::Saturated : PlacementReason::NoUpstream, false };
    }

    // The policy in use. The first upstream of the chat's weighted rendezvous order that accepts the chat is
    // the one with the highest score among those that accept it, so one pass finds it without sorting.
    class BoundedRendezvous : public Placement {
    public:
        explicit BoundedRendezvous(const PlacementSettings& settings)
            : m_settings(settings)
        {
        }

        PlacementDecision decide(
            const PlacementRequest& request, std::span<const UpstreamView> views) const override
        {
            PoolLoad load(m_settings, request.tokens, views);
            const UpstreamView* resident = residence(request, views);
            if (resident && slotFree(*resident)
                && load.accepts(*resident, stayThreshold(request, resident->id)))
                return atResidence(request, *resident, views);

            Best first;
            Best accepting;
            for (const UpstreamView& view : views) {
                if (view.use != UpstreamUse::Serving)
                    continue;
                double score = rendezvousScore(request.chat, view.id, view.weight);
                first.offer(view, score);
                if (slotFree(view) && &view != resident
                    && load.accepts(view, threshold(m_settings.arriving, request.chat, view.id)))
                    accepting.offer(view, score);
            }
            if (!first.view())
                return none(views);
            if (!resident && request.returning && slotFree(*first.view())
                && load.accepts(*first.view(), stayThreshold(request, first.view()->id)))
                return chosen(*first.view(), PlacementReason::FirstChoice, first.view());
            if (accepting.view())
                return chosen(*accepting.view(),
                    accepting.view() == first.view() ? PlacementReason::FirstChoice
                                                     : PlacementReason::Spilled,
                    first.view());
            return leastBad(request, load, views, first.view());
        }

    private:
        // The upstream that caches the context according to the hint, else to the directory.
        static const UpstreamView* residence(
            const PlacementRequest& request, std::span<const UpstreamView> views)
        {
            const UpstreamView* fromDirectory = nullptr;
            for (const UpstreamView& view : views) {
                if (!carriesLoad(view))
                    continue;
                if (request.hint && view.id == *request.hint)
                    return &view;
                if (request.directory && view.id == *request.directory)
                    fromDirectory = &view;
            }
            return fromDirectory;
        }

        static PlacementDecision atResidence(const PlacementRequest& request, const UpstreamView& resident,
            std::span<const UpstreamView> views)
        {
            Best first;
            for (const UpstreamView& view : views)
                if (view.use == UpstreamUse::Serving)
                    first.offer(view, rendezvousScore(request.chat, view.id, view.weight));
            bool hinted = request.hint && *request.hint == resident.id;
            return chosen(
                resident, hinted ? PlacementReason::Hint : PlacementReason::Directory, first.view());
        }

        // Where the chat is in the range, from 0 to 1.
        static double position(ChatKey chat, UpstreamId upstream)
        {
            constexpr std::uint64_t jitterSalt = 0x5b1d6f3a9c27e481ULL; // independent of the rendezvous score
            return unitInterval(combineHashes(chat ^ jitterSalt, upstream));
        }

        static double threshold(const SpillRange& range, ChatKey chat, UpstreamId upstream)
        {
            return range.lower + (range.upper - range.lower) * position(chat, upstream);
        }

        double stayThreshold(const PlacementRequest& request, UpstreamId upstream) const
        {
            double size = 1;
            if (request.outputTokens > 0 && request.typicalOutputTokens > 0)
                size = std::min(1.0,
                    static_cast<double>(request.outputTokens)
                        / static_cast<double>(request.typicalOutputTokens));
            double longStay = threshold(m_settings.returning, request.chat, upstream);
            return m_settings.shortOutputThreshold - (m_settings.shortOutputThreshold - longStay) * size;
        }

        // No upstream accepts the chat at its threshold: any below the bound, in proportion to the room left,
        // because all instances choosing the one with the most room would overload it.
        static PlacementDecision leastBad(const PlacementRequest& request, const PoolLoad& load,
            std::span<const UpstreamView> views, const UpstreamView* first)
        {
            Best best;
            for (const UpstreamView& view : views) {
                double headroom = open(view) ? load.headroom(view) : 0;
                if (headroom > 0)
                    best.offer(view, rendezvousScore(request.chat, view.id, headroom));
            }
            return best.view() ? chosen(*best.view(), PlacementReason::Spilled, first) : none(views);
        }

        PlacementSettings m_settings;
    };

    class PlainRendezvous : public Placement {
    public:
        PlacementDecision decide(
            const PlacementRequest& request, std::span<const UpstreamView> views) const override
        {
            Best best;
            for (const UpstreamView& view : views)
                if (open(view))
                    best.offer(view, rendezvousScore(request.chat, view.id, view.weight));
            return best.view() ? chosen(*best.view(), PlacementReason::FirstChoice, best.view())
                               : none(views);
        }
    };

    class BoundedRing : public Placement {
    public:
        explicit BoundedRing(const PlacementSettings& settings)
            : m_settings(settings)
        {
        }

        PlacementDecision decide(
            const PlacementRequest& request, std::span<const UpstreamView> views) const override
        {
            rebuild(views);
            if (m_points.empty())
                return none(views);
            PoolLoad load(m_settings, request.tokens, views);
            auto start = static_cast<std::size_t>(
                std::lower_bound(m_points.begin(), m_points.end(), Point { request.chat, 0 })
                - m_points.begin());
            const UpstreamView* first = nullptr;
            for (std::size_t step = 0; step < m_points.size(); ++step) {
                const UpstreamView* view = find(views, m_points[(start + step) % m_points.size()].upstream);
                if (!view || !open(*view))
                    continue;
                if (!first)
                    first = view;
                if (load.headroom(*view) >= 0)
                    return chosen(*view,
                        view == first ? PlacementReason::FirstChoice : PlacementReason::Spilled, first);
            }
            return none(views);
        }

    private:
        static constexpr std::uint64_t pointsForUnitWeight = 64;

        struct Point {
            std::uint64_t position = 0;
            UpstreamId upstream = 0;
            bool operator<(const Point& other) const
            {
                return position != other.position ? position < other.position : upstream < other.upstream;
            }
        };

        void rebuild(std::span<const UpstreamView> views) const
        {
            std::uint64_t members = 0;
            for (const UpstreamView& view : views)
                if (view.use == UpstreamUse::Serving)
                    members += combineHashes(view.id, static_cast<std::uint64_t>(integerWeight(view.weight)));
            if (members == m_members)
                return;
            m_members = members;
            m_points.clear();
            for (const UpstreamView& view : views) {
                if (view.use != UpstreamUse::Serving)
                    continue;
                auto count = std::max<std::uint64_t>(
                    1, static_cast<std::uint64_t>(view.weight * static_cast<double>(pointsForUnitWeight)));
                for (std::uint64_t index = 0; index < count; ++index)
                    m_points.push_back({ combineHashes(view.id, index), view.id });
            }
            std::sort(m_points.begin(), m_points.end());
        }

        static const UpstreamView* find(std::span<const UpstreamView> views, UpstreamId id)
        {
            auto found = std::find_if(
                views.begin(), views.end(), [id](const UpstreamView& view) { return view.id == id; });
            return found == views.end() ? nullptr : &*found;
        }

        PlacementSettings m_settings;
        mutable std::uint64_t m_members = 0; // of the ring in m_points
        mutable std::vector<Point> m_points;
    };

    class TwoChoices : public Placement {
    public:
        explicit TwoChoices(const PlacementSettings& settings)
            : m_settings(settings)
        {
        }

        PlacementDecision decide(
            const PlacementRequest& request, std::span<const UpstreamView> views) const override
        {
            const UpstreamView* one = draw(request, views, 1, nullptr);
            if (!one)
                return none(views);
            const UpstreamView* other = draw(request, views, 2, one);
            PoolLoad load(m_settings, request.tokens, views);
            bool otherIsBetter = other && load.relativeLoad(*other) < load.relativeLoad(*one);
            return chosen(otherIsBetter ? *other : *one, PlacementReason::FirstChoice, nullptr);
        }

    private:
        static const UpstreamView* draw(const PlacementRequest& request, std::span<const UpstreamView> views,
            std::uint64_t round, const UpstreamView* except)
        {
            Best best;
            std::uint64_t key = combineHashes(combineHashes(request.chat, request.nonce), round);
            for (const UpstreamView& view : views)
                if (open(view) && &view != except)
                    best.offer(view, rendezvousScore(key, view.id, view.weight));
            return best.view();
        }

        PlacementSettings m_settings;
    };

    class LeastLoaded : public Placement {
    public:
        explicit LeastLoaded(const PlacementSettings& settings)
            : m_settings(settings)
        {
        }

        PlacementDecision decide(
            const PlacementRequest& request, std::span<const UpstreamView> views) const override
        {
            PoolLoad load(m_settings, request.tokens, views);
            Best best;
            for (const UpstreamView& view : views)
                if (open(view))
                    best.offer(view, -load.relativeLoad(view));
            return best.view() ? chosen(*best.view(), PlacementReason::FirstChoice, nullptr) : none(views);
        }

    private:
        PlacementSettings m_settings;
    };

    // Thresholds for a bound of 1.25, as parts of the distance from the mean to the bound.
    struct StrategyRow {
        std::string_view name;
        SpillRange arriving;
        SpillRange returning;
        double shortOutputThreshold;
    };

    constexpr std::array strategyRows {
        StrategyRow { "balanced", { -0.6, 0.0 }, { 0.0, 0.48 }, 0.72 },
        StrategyRow { "skew", { -0.6, 0.0 }, { -0.2, 0.4 }, 0.5 },
        StrategyRow { "reuse", { -0.6, 0.2 }, { 0.2, 0.7 }, 0.9 },
    };

    SpillRange scaled(const SpillRange& range, double loadBound)
    {
        return { 1 + range.lower * (loadBound - 1), 1 + range.upper * (loadBound - 1) };
    }

} // namespace

UpstreamId upstreamId(std::string_view upstreamName) { return hash64(upstreamName); }

ChatKey chatKey(std::string_view organisation, std::string_view chat)
{
    return combineHashes(hash64(organisation), hash64(chat));
}

std::string_view placementReasonName(PlacementReason reason)
{
    constexpr std::string_view names[] { "hint", "directory", "first_choice", "spilled", "saturated",
        "no_upstream" };
    return names[static_cast<std::size_t>(reason)];
}

std::string_view placementKindName(PlacementKind kind)
{
    constexpr std::string_view names[] { "bounded-rendezvous", "rendezvous", "bounded-ring", "two-choices",
        "least-loaded" };
    return names[static_cast<std::size_t>(kind)];
}

std::optional<PlacementSettings> placementSettings(std::string_view strategy, double loadBound)
{
    for (const StrategyRow& row : strategyRows) {
        if (row.name != strategy)
            continue;
        PlacementSettings settings;
        settings.loadBound = std::max(loadBound, 1.01);
        settings.arriving = scaled(row.arriving, settings.loadBound);
        settings.returning = scaled(row.returning, settings.loadBound);
        settings.shortOutputThreshold = 1 + row.shortOutputThreshold * (settings.loadBound - 1);
        return settings;
    }
    return std::nullopt;
}

std::unique_ptr<Placement> makePlacement(PlacementKind kind, const PlacementSettings& settings)
{
    switch (kind) {
    case PlacementKind::Rendezvous:
        return std::make_unique<PlainRendezvous>();
    case PlacementKind::BoundedRing:
        return std::make_unique<BoundedRing>(settings);
    case PlacementKind::TwoChoices:
        return std::make_unique<TwoChoices>(settings);
    case PlacementKind::LeastLoaded:
        return std::make_unique<LeastLoaded>(settings);
    case PlacementKind::BoundedRendezvous:
        break;
    }
    return std::make_unique<BoundedRendezvous>(settings);
}

} // namespace briarwharf
