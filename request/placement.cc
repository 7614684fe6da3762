#include "request/placement.h"

#include "base/hash.h"
#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace briarwharf {

namespace {

    // Weights and loads are summed as integers, because floating-point sums depend on the order of summation.
    constexpr double integerWeightScale = 1000;

    std::int64_t integerWeight(double weight)
    {
        constexpr double maxWeight = 1e6;
        return std::max<std::int64_t>(
            1, std::llround(std::clamp(weight, 0.0, maxWeight) * integerWeightScale));
    }

    bool carriesLoad(const UpstreamView& view)
    {
        return view.use == UpstreamUse::Serving || view.use == UpstreamUse::Avoided;
    }

    bool hasFreeSlot(const UpstreamView& view)
    {
        return view.localSlots == 0 || view.localRequests < view.localSlots;
    }

    bool acceptsNewChats(const UpstreamView& view)
    {
        return view.use == UpstreamUse::Serving && hasFreeSlot(view);
    }

    // The load of the pool at the time of one decision, including the request to be placed.
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
                if (!hasRecentReport(view))
                    continue;
                m_reportedWeight += weight;
                m_reportedTokens += estimatedTokens(view);
            }
            if (m_weight == 0)
                return;
            double tokensPerWeight = m_reportedWeight > 0
                ? static_cast<double>(m_reportedTokens) / static_cast<double>(m_reportedWeight)
                : static_cast<double>(m_localTokens) / static_cast<double>(m_weight);
            m_requestMean = static_cast<double>(m_tokens) / static_cast<double>(m_weight);
            m_mean = tokensPerWeight + m_requestMean;
            m_localMean = static_cast<double>(m_localTokens) / static_cast<double>(m_weight) + m_requestMean;
        }

        // Whether the upstream's load including this request stays within `threshold` times the mean.
        bool accepts(const UpstreamView& view, double threshold) const
        {
            double weight = static_cast<double>(integerWeight(view.weight));
            if (hasRecentReport(view))
                return static_cast<double>(estimatedTokens(view) + m_tokens)
                    <= limit(m_mean * weight, threshold);
            // Without a report, the instance bounds only the load that it sends itself. If all instances do
            // so, the total stays within the bound plus one slack for each instance.
            return static_cast<double>(view.localTokens + m_tokens) <= limit(m_localMean * weight, threshold);
        }

        // Tokens left below the bound; negative above the bound.
        double headroom(const UpstreamView& view) const
        {
            double weight = static_cast<double>(integerWeight(view.weight));
            if (hasRecentReport(view))
                return limit(m_mean * weight, m_settings.loadBound)
                    - static_cast<double>(estimatedTokens(view) + m_tokens);
            return limit(m_localMean * weight, m_settings.loadBound)
                - static_cast<double>(view.localTokens + m_tokens);
        }

        // Estimated load per unit of weight, for comparisons between upstreams.
        double relativeLoad(const UpstreamView& view) const
        {
            double weight = static_cast<double>(integerWeight(view.weight));
            if (hasRecentReport(view))
                return static_cast<double>(estimatedTokens(view)) / weight;
            return std::max(m_mean - m_requestMean, static_cast<double>(view.localTokens) / weight);
        }

    private:
        bool hasRecentReport(const UpstreamView& view) const
        {
            return view.reportAge && *view.reportAge <= m_settings.reportLifetime;
        }

        static std::int64_t estimatedTokens(const UpstreamView& view)
        {
            std::int64_t estimate
                = view.reportedTokens + view.localTokensSinceReport + view.peerTokensSinceReport;
            return std::max(estimate, std::max<std::int64_t>(0, view.localTokens));
        }

        double limit(double mean, double threshold) const
        {
            return std::max(threshold * mean, threshold / m_settings.loadBound * (mean + m_slack));
        }

        const PlacementSettings& m_settings;
        std::int64_t m_tokens;
        double m_slack;
        std::int64_t m_weight = 0;
        std::int64_t m_localTokens = 0;
        std::int64_t m_reportedWeight = 0;
        std::int64_t m_reportedTokens = 0;
        double m_requestMean = 0; // this request's share of the mean, per unit of weight
        double m_mean = 0; // mean load including this request, per unit of weight
        double m_localMean = 0; // the same, for the load from this instance
    };

    // Keeps the candidate with the highest score. The identifier decides between equal scores, so that the
    // order of the upstreams has no effect.
    class BestCandidate {
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

    PlacementDecision decisionFor(
        const UpstreamView& view, PlacementReason reason, const UpstreamView* firstChoice)
    {
        return { view.id, reason, firstChoice && firstChoice->id != view.id };
    }

    PlacementDecision noDecision(std::span<const UpstreamView> views)
    {
        bool usable = std::any_of(views.begin(), views.end(),
            [](const UpstreamView& view) { return view.use == UpstreamUse::Serving; });
        return { std::nullopt, usable ? PlacementReason::Saturated : PlacementReason::NoUpstream, false };
    }

    // The policy that routers use. It chooses the first upstream in the chat's weighted rendezvous order that
    // accepts the chat. This is the one with the highest score among the upstreams that accept the chat, so
    // one pass finds it without sorting.
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
            const UpstreamView* resident = findResident(request, views);
            if (resident && hasFreeSlot(*resident)
                && load.accepts(*resident, returningThreshold(request, resident->id)))
                return residentDecision(request, *resident, views);

            BestCandidate firstChoice;
            BestCandidate accepting;
            for (const UpstreamView& view : views) {
                if (view.use != UpstreamUse::Serving)
                    continue;
                double score = rendezvousScore(request.chat, view.id, view.weight);
                firstChoice.offer(view, score);
                if (hasFreeSlot(view) && &view != resident
                    && load.accepts(view, threshold(m_settings.arriving, request.chat, view.id)))
                    accepting.offer(view, score);
            }
            if (!firstChoice.view())
                return noDecision(views);
            if (!resident && request.returning && hasFreeSlot(*firstChoice.view())
                && load.accepts(*firstChoice.view(), returningThreshold(request, firstChoice.view()->id)))
                return decisionFor(*firstChoice.view(), PlacementReason::FirstChoice, firstChoice.view());
            if (accepting.view())
                return decisionFor(*accepting.view(),
                    accepting.view() == firstChoice.view() ? PlacementReason::FirstChoice
                                                           : PlacementReason::Spilled,
                    firstChoice.view());
            return chooseByHeadroom(request, load, views, firstChoice.view());
        }

    private:
        // Returns the upstream that caches the chat's context according to the hint, or else the directory.
        static const UpstreamView* findResident(
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

        static PlacementDecision residentDecision(const PlacementRequest& request,
            const UpstreamView& resident, std::span<const UpstreamView> views)
        {
            BestCandidate firstChoice;
            for (const UpstreamView& view : views)
                if (view.use == UpstreamUse::Serving)
                    firstChoice.offer(view, rendezvousScore(request.chat, view.id, view.weight));
            bool hinted = request.hint && *request.hint == resident.id;
            return decisionFor(
                resident, hinted ? PlacementReason::Hint : PlacementReason::Directory, firstChoice.view());
        }

        // The chat's position between the two thresholds of a range, from 0 to 1.
        static double position(ChatKey chat, UpstreamId upstream)
        {
            // Makes the position independent of the rendezvous score.
            constexpr std::uint64_t jitterSalt = 0x5b1d6f3a9c27e481ULL;
            return unitInterval(combineHashes(chat ^ jitterSalt, upstream));
        }

        static double threshold(const SpillRange& range, ChatKey chat, UpstreamId upstream)
        {
            return range.lower + (range.upper - range.lower) * position(chat, upstream);
        }

        double returningThreshold(const PlacementRequest& request, UpstreamId upstream) const
        {
            double relativeOutput = 1;
            if (request.outputTokens > 0 && request.typicalOutputTokens > 0)
                relativeOutput = std::min(1.0,
                    static_cast<double>(request.outputTokens)
                        / static_cast<double>(request.typicalOutputTokens));
            double longOutputThreshold = threshold(m_settings.returning, request.chat, upstream);
            return m_settings.shortOutputThreshold
                - (m_settings.shortOutputThreshold - longOutputThreshold) * relativeOutput;
        }

        // For the case that no upstream accepts the chat at its threshold. Chooses among all upstreams below
        // the bound, each with a probability in proportion to its headroom: if all instances chose the
        // upstream with the most headroom, they would overload it.
        static PlacementDecision chooseByHeadroom(const PlacementRequest& request, const PoolLoad& load,
            std::span<const UpstreamView> views, const UpstreamView* firstChoice)
        {
            BestCandidate best;
            for (const UpstreamView& view : views) {
                double headroom = acceptsNewChats(view) ? load.headroom(view) : 0;
                if (headroom > 0)
                    best.offer(view, rendezvousScore(request.chat, view.id, headroom));
            }
            return best.view() ? decisionFor(*best.view(), PlacementReason::Spilled, firstChoice)
                               : noDecision(views);
        }

        PlacementSettings m_settings;
    };

    class PlainRendezvous : public Placement {
    public:
        PlacementDecision decide(
            const PlacementRequest& request, std::span<const UpstreamView> views) const override
        {
            BestCandidate best;
            for (const UpstreamView& view : views)
                if (acceptsNewChats(view))
                    best.offer(view, rendezvousScore(request.chat, view.id, view.weight));
            return best.view() ? decisionFor(*best.view(), PlacementReason::FirstChoice, best.view())
                               : noDecision(views);
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
                return noDecision(views);
            PoolLoad load(m_settings, request.tokens, views);
            auto start = static_cast<std::size_t>(
                std::lower_bound(m_points.begin(), m_points.end(), Point { request.chat, 0 })
                - m_points.begin());
            const UpstreamView* firstChoice = nullptr;
            for (std::size_t step = 0; step < m_points.size(); ++step) {
                const UpstreamView* view = find(views, m_points[(start + step) % m_points.size()].upstream);
                if (!view || !acceptsNewChats(*view))
                    continue;
                if (!firstChoice)
                    firstChoice = view;
                if (load.headroom(*view) >= 0)
                    return decisionFor(*view,
                        view == firstChoice ? PlacementReason::FirstChoice : PlacementReason::Spilled,
                        firstChoice);
            }
            return noDecision(views);
        }

    private:
        static constexpr std::uint64_t pointsPerUnitWeight = 64;

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
            std::uint64_t membersHash = 0;
            for (const UpstreamView& view : views)
                if (view.use == UpstreamUse::Serving)
                    membersHash
                        += combineHashes(view.id, static_cast<std::uint64_t>(integerWeight(view.weight)));
            if (membersHash == m_membersHash)
                return;
            m_membersHash = membersHash;
            m_points.clear();
            for (const UpstreamView& view : views) {
                if (view.use != UpstreamUse::Serving)
                    continue;
                auto count = std::max<std::uint64_t>(
                    1, static_cast<std::uint64_t>(view.weight * static_cast<double>(pointsPerUnitWeight)));
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
        mutable std::uint64_t m_membersHash = 0; // of the upstreams in m_points
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
                return noDecision(views);
            const UpstreamView* other = draw(request, views, 2, one);
            PoolLoad load(m_settings, request.tokens, views);
            bool otherIsBetter = other && load.relativeLoad(*other) < load.relativeLoad(*one);
            return decisionFor(otherIsBetter ? *other : *one, PlacementReason::FirstChoice, nullptr);
        }

    private:
        static const UpstreamView* draw(const PlacementRequest& request, std::span<const UpstreamView> views,
            std::uint64_t round, const UpstreamView* excluded)
        {
            BestCandidate best;
            std::uint64_t key = combineHashes(combineHashes(request.chat, request.nonce), round);
            for (const UpstreamView& view : views)
                if (acceptsNewChats(view) && &view != excluded)
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
            BestCandidate best;
            for (const UpstreamView& view : views)
                if (acceptsNewChats(view))
                    best.offer(view, -load.relativeLoad(view));
            return best.view() ? decisionFor(*best.view(), PlacementReason::FirstChoice, nullptr)
                               : noDecision(views);
        }

    private:
        PlacementSettings m_settings;
    };

    // Thresholds as fractions of the distance from the mean load to the bound; stated for a bound of 1.25.
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
