#include "coordination/coordination.h"
#include "coordination/testing/faultmatrix.h"

namespace briarwharf {

Violations runLeaseCase(const std::vector<FaultPoint>&, SeededDefect);

namespace {

    constexpr Milliseconds tickInterval { 50 };
    constexpr Milliseconds orderTime { 200 };

    enum Step : std::size_t {
        Acquired,
        Renewed,
        OrderSent,
        OrderAnswered,
    };

    // An upstream that executes drain orders. `fence` is the highest fencing number received.
    struct Engine {
        bool checksFence = true;
        std::uint64_t fence = 0;
        UpstreamReport report;
    };

    struct Holder {
        std::string name;
        std::unique_ptr<FakeStore> store;
        std::unique_ptr<Lease> lease;
        std::vector<std::unique_ptr<OrderSequencer>> orders; // one for each engine
        std::uint64_t term = 0;
        bool everHeld = false;
        bool paused = false;
        std::vector<std::function<void()>> deferred;
    };

    // Simulates two instances that compete for the lease. The holder drains two engines, one that checks
    // fencing numbers and one that ignores them.
    class LeaseSimulation {
    public:
        LeaseSimulation(const std::vector<FaultPoint>& points, SeededDefect defect)
            : m_schedule(points, [this](MatrixFault fault) { apply(fault); })
            , m_defect(defect)
        {
            m_engines[1].checksFence = false;
            start(0, 1);
            start(1, 1);
        }

        Violations run()
        {
            advance(Milliseconds(60000));
            for (const auto& engine : m_engines)
                if (!engine.report.draining)
                    m_violations.emplace_back("an engine is not draining after the end of all faults");
            if (!m_holders[0].lease->held() && !m_holders[1].lease->held())
                m_violations.emplace_back("no instance holds the lease after the end of all faults");
            return m_violations;
        }

    private:
        void start(std::size_t index, int incarnation)
        {
            Holder& holder = m_holders[index];
            holder = {};
            holder.name = std::string(1, static_cast<char>('a' + index)) + std::to_string(incarnation);
            holder.store = std::make_unique<FakeStore>(m_clock, m_objects);
            holder.store->onCall([this, index](StoreCall call, const std::string&) {
                if (call == StoreCall::Create)
                    reached(Acquired, index);
                if (call == StoreCall::Update)
                    reached(Renewed, index);
            });
            holder.lease = std::make_unique<Lease>(
                LeaseOptions { .name = "drain", .holder = holder.name }, *holder.store, m_clock.reader());
            holder.lease->setWanted(true);
            for (const auto& engine : m_engines) {
                holder.orders.push_back(std::make_unique<OrderSequencer>(OrderOptions {
                    .checksFence = engine.checksFence, .maxOrderDuration = Milliseconds(5000) }));
                holder.orders.back()->setDesiredDraining(true);
            }
        }

        bool held(Holder& holder)
        {
            holder.everHeld = holder.everHeld || holder.lease->held();
            return m_defect == SeededDefect::IgnoredExpiry ? holder.everHeld : holder.lease->held();
        }

        void issueOrders(std::size_t index)
        {
            Holder& holder = m_holders[index];
            if (!held(holder))
                return;
            if (holder.term != holder.lease->fence()) {
                holder.term = holder.lease->fence();
                for (auto& orders : holder.orders)
                    orders->leaseAcquired(holder.term, *holder.lease->acquiredAt());
            }
            for (std::size_t i = 0; i < m_engines.size(); ++i) {
                holder.orders[i]->reported(m_engines[i].report, m_clock.now());
                if (auto order = holder.orders[i]->next(m_clock.now())) {
                    reached(OrderSent, index);
                    runInHolder(index, Milliseconds(0), [this, index, i, order] { send(index, i, *order); });
                }
            }
        }

        // Runs `event` after the delay, or when the holder resumes if it is paused then. Drops it if the
        // holder has been replaced.
        void runInHolder(std::size_t index, Milliseconds delay, std::function<void()> event)
        {
            m_clock.after(delay, [this, index, name = m_holders[index].name, event = std::move(event)] {
                Holder& holder = m_holders[index];
                if (holder.name != name)
                    return;
                if (holder.paused)
                    holder.deferred.push_back(event);
                else
                    event();
            });
        }

        void send(std::size_t index, std::size_t number, const Order& order)
        {
            Milliseconds delay = orderTime;
            if (m_clock.now() < m_lateUntil)
                delay += Milliseconds(2500);
            auto carryOut = [this, index, number, order] {
                Engine& engine = m_engines[number];
                bool stale = engine.checksFence && order.fence < engine.fence;
                if (!stale) {
                    engine.fence = std::max(engine.fence, order.fence);
                    engine.report.draining = order.kind == OrderKind::Drain;
                }
                runInHolder(index, Milliseconds(1), [this, index, number, stale] {
                    reached(OrderAnswered, index);
                    auto answer = stale ? OrderAnswer::Stale : OrderAnswer::Done;
                    m_holders[index].orders[number]->answered(answer, m_clock.now());
                });
            };
            m_clock.after(delay, carryOut);
            if (m_clock.now() < m_repeatedUntil)
                m_clock.after(delay + Milliseconds(1500), carryOut);
        }

        void reached(Step step, std::size_t actor)
        {
            m_actor = actor;
            m_schedule.reached(step);
        }

        void apply(MatrixFault fault)
        {
            MonotonicTime until = m_clock.now() + Milliseconds(4000);
            Holder& holder = m_holders[m_actor];
            switch (fault) {
            case MatrixFault::StoreDown:
            case MatrixFault::StoreSlow:
                for (auto& each : m_holders)
                    applyStoreFault(*each.store, m_clock, fault);
                return;
            case MatrixFault::Paused:
                holder.paused = true;
                holder.store->setPaused(true);
                m_clock.after(Milliseconds(15000),
                    [this, index = m_actor, name = holder.name] { resume(index, name); });
                return;
            case MatrixFault::Killed:
                holder.paused = true;
                holder.store->setPaused(true);
                m_clock.after(Milliseconds(1000),
                    [this, index = m_actor, next = holder.name.back() - '0' + 1] { start(index, next); });
                return;
            case MatrixFault::TwoActors:
                // Another party ends the drain of the engine that ignores fencing numbers.
                m_engines[1].report.draining = false;
                return;
            case MatrixFault::MessagesLate:
            case MatrixFault::MessagesReordered:
                m_lateUntil = until;
                return;
            case MatrixFault::MessagesRepeated:
                m_repeatedUntil = until;
                return;
            default:
                applyStoreFault(*holder.store, m_clock, fault);
            }
        }

        void resume(std::size_t index, const std::string& name)
        {
            Holder& holder = m_holders[index];
            if (holder.name != name)
                return;
            holder.paused = false;
            holder.store->setPaused(false);
            for (auto& event : std::exchange(holder.deferred, {}))
                event();
        }

        void advance(Milliseconds duration)
        {
            for (Milliseconds passed { 0 }; passed < duration; passed += tickInterval) {
                m_clock.advance(tickInterval);
                for (std::size_t index = 0; index < m_holders.size(); ++index) {
                    if (m_holders[index].paused)
                        continue;
                    m_holders[index].lease->tick();
                    issueOrders(index);
                }
                if (held(m_holders[0]) && held(m_holders[1]))
                    m_violations.emplace_back("two instances hold the lease at the same time");
                for (auto& holder : m_holders) {
                    if (!holder.lease->held())
                        continue;
                    if (holder.lease->fence() < m_fence)
                        m_violations.emplace_back("a fencing number decreased");
                    m_fence = holder.lease->fence();
                }
            }
        }

        ManualClock m_clock;
        std::shared_ptr<FakeObjects> m_objects = std::make_shared<FakeObjects>();
        FaultSchedule m_schedule;
        SeededDefect m_defect;
        std::array<Engine, 2> m_engines;
        std::array<Holder, 2> m_holders;
        std::size_t m_actor = 0;
        std::uint64_t m_fence = 0;
        MonotonicTime m_lateUntil;
        MonotonicTime m_repeatedUntil;
        Violations m_violations;
    };

} // namespace

Violations runLeaseCase(const std::vector<FaultPoint>& points, SeededDefect defect)
{
    return LeaseSimulation(points, defect).run();
}

} // namespace briarwharf
