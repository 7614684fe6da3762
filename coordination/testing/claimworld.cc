#include "coordination/coordination.h"
#include "coordination/testing/faultmatrix.h"
#include <set>

namespace briarwharf {

Violations runClaimCase(const std::vector<FaultPoint>&, SeededDefect);

namespace {

    constexpr Milliseconds tickInterval { 50 };
    constexpr Milliseconds callTime { 300 };
    constexpr Milliseconds requestDeadline { 3000 };
    constexpr Milliseconds faultTime { 4000 };

    enum Step : std::size_t {
        ClaimSent,
        ClaimReceived,
        ClaimAnswered,
        ClaimGranted,
        CallSent,
        CallAnswered,
        OutcomeReceived,
        OutcomeAnswered,
    };

    // A caller's request and its result.
    struct Request {
        std::string instance;
        ClaimClient::ClaimId id = 0;
        std::optional<ClaimDecision> answer; // as reported to the caller
        std::string body;
        bool ran = false;
        bool durable = false; // whether the outcome was reported as durable
    };

    struct Instance {
        std::string name; // including the incarnation
        std::unique_ptr<FakeStore> store;
        std::unique_ptr<ClaimService> service;
        std::unique_ptr<ClaimClient> client;
        bool paused = false;
        std::vector<std::function<void()>> deferred;
    };

    // Simulates three instances that send claims to each other over a network with faults, and a service that
    // counts how often the call with one key runs.
    class ClaimSimulation {
    public:
        ClaimSimulation(const std::vector<FaultPoint>& points, SeededDefect defect)
            : m_schedule(points, [this](MatrixFault fault) { apply(fault); })
            , m_defect(defect)
        {
            for (int i = 0; i < 3; ++i)
                startInstance(i, 1);
        }

        Violations run()
        {
            advance(Milliseconds(500));
            request(0);
            advance(Milliseconds(1000));
            request(1);
            advance(Milliseconds(4000));
            request(0);
            request(1);
            // The faults end, and after the wait all repeated messages have arrived. If a step has not been
            // reached yet, another request is sent first, so that its fault is injected.
            advance(Milliseconds(40000));
            for (int round = 0; round < 2 && !m_schedule.finished(); ++round) {
                request(round);
                advance(Milliseconds(40000));
            }
            m_schedule.stop();
            auto firstAfterFaults = m_requests.size();
            request(1);
            advance(Milliseconds(6000));
            // The key may have been unclaimed before the last request, so repeat it.
            request(0);
            advance(Milliseconds(6000));
            check(firstAfterFaults);
            return m_violations;
        }

    private:
        void startInstance(int index, int incarnation)
        {
            Instance& instance = m_instances[index];
            instance = {};
            instance.name
                = std::string(1, static_cast<char>('a' + index)) + "#" + std::to_string(incarnation);
            instance.store = std::make_unique<FakeStore>(m_clock, m_objects);
            if (m_defect == SeededDefect::OverwritingStore)
                instance.store->setOverwriting(true);
            if (m_defect == SeededDefect::DroppedWrites)
                instance.store->setDroppingWrites(true);
            auto isAssigned
                = [this, index](std::uint32_t) { return index == m_collector || m_assignedToSeveral; };
            auto declaredDead = [this](const std::string& name) { return m_declaredDead.contains(name); };
            instance.service = std::make_unique<ClaimService>(
                ClaimCollectorOptions { .writer = instance.name }, *instance.store, m_clock.reader(),
                [this] { return m_clock.wallNow(); }, isAssigned, declaredDead);
            instance.client = std::make_unique<ClaimClient>(
                ClaimClientOptions { .instance = instance.name }, m_clock.reader(),
                [this, index](const ClaimRequestT& request) { sendClaim(index, request); },
                [this, index](const SettleRequestT& request) { sendSettle(index, request); });
        }

        // Runs `event` in the instance after the delay, or when the instance resumes if it is paused then.
        // Drops it if the instance has been replaced.
        void runInInstance(int index, Milliseconds delay, std::function<void(Instance&)> event)
        {
            std::string name = m_instances[index].name;
            m_clock.after(delay, [this, index, name, event = std::move(event)] {
                Instance& instance = m_instances[index];
                if (instance.name != name)
                    return;
                if (instance.paused)
                    instance.deferred.push_back([&instance, event] { event(instance); });
                else
                    event(instance);
            });
        }

        void sendMessage(int to, const std::function<void(Instance&)>& deliver)
        {
            Milliseconds delay { 2 };
            if (m_clock.now() < m_lateUntil)
                delay += Milliseconds(2500);
            if (m_clock.now() < m_reorderedUntil)
                delay += Milliseconds(m_random.below(1000));
            runInInstance(to, delay, deliver);
            if (m_clock.now() < m_repeatedUntil)
                runInInstance(to, delay + Milliseconds(1500), deliver);
        }

        int collectorFor(int sender) const { return m_assignedToSeveral && sender == 1 ? 1 : m_collector; }

        void sendClaim(int from, const ClaimRequestT& request)
        {
            int to = collectorFor(from);
            reached(ClaimSent, from);
            sendMessage(to, [this, from, to, request](Instance& collector) {
                reached(ClaimReceived, to);
                collector.service->claim(request, [this, from, to](const ClaimResponseT& response) {
                    reached(ClaimAnswered, to);
                    sendMessage(from, [this, from, response](Instance& instance) {
                        claimAnswered(from, instance, response);
                    });
                });
            });
        }

        void sendSettle(int from, const SettleRequestT& request)
        {
            int to = collectorFor(from);
            sendMessage(to, [this, from, to, request](Instance& collector) {
                if (request.kind != SettleKind::Release)
                    reached(OutcomeReceived, to);
                collector.service->settle(
                    request, [this, from, to, kind = request.kind](SettleResponseT response) {
                        if (kind != SettleKind::Release)
                            reached(OutcomeAnswered, to);
                        sendMessage(
                            from, [response](Instance& instance) { instance.client->response(response); });
                    });
            });
        }

        void claimAnswered(int index, Instance& instance, const ClaimResponseT& response)
        {
            bool gaveUp = false;
            for (auto& request : m_requests)
                gaveUp = gaveUp || (request.id == response.nonce && request.answer == ClaimDecision::NotRun);
            if (gaveUp && response.status == ClaimStatus::Granted
                && m_defect == SeededDefect::CallAfterGivingUp)
                for (std::size_t i = 0; i < m_requests.size(); ++i)
                    if (m_requests[i].id == response.nonce)
                        call(index, i);
            instance.client->response(response);
        }

        void reached(Step step, int actor)
        {
            m_actor = actor;
            m_schedule.reached(step);
        }

        // A caller sends a request with the key to the instance.
        void request(int index)
        {
            Instance& instance = m_instances[index];
            if (instance.paused)
                return;
            std::size_t number = m_requests.size();
            m_requests.push_back({ instance.name });
            auto decided = [this, index, number](ClaimDecision decision, const ClaimOutcome& outcome) {
                if (decision == ClaimDecision::Run)
                    return startGrantedCall(index, number);
                m_requests[number].answer = decision;
                m_requests[number].body = outcome.body;
            };
            auto id = instance.client->begin("key", "body", m_clock.now() + requestDeadline, decided);
            m_requests[number].id = id;
            if (m_defect == SeededDefect::CallBeforeGrant)
                call(index, number);
        }

        void startGrantedCall(int index, std::size_t number)
        {
            reached(ClaimGranted, index);
            runInInstance(index, Milliseconds(1), [this, index, number](Instance& instance) {
                Request& request = m_requests[number];
                if (!instance.client->tryStartCall(request.id)) {
                    request.answer = ClaimDecision::NotRun;
                    return;
                }
                if (m_defect != SeededDefect::CallBeforeGrant)
                    call(index, number);
            });
        }

        void call(int index, std::size_t number)
        {
            m_requests[number].ran = true;
            ++m_runs;
            reached(CallSent, index);
            MonotonicTime sentAt = m_clock.now();
            runInInstance(index, callTime, [this, index, number, sentAt](Instance& instance) {
                reached(CallAnswered, index);
                bool delayed = m_clock.now() - sentAt > 2 * callTime;
                if (delayed && m_defect == SeededDefect::RetryAfterFirstByte)
                    ++m_runs;
                callAnswered(instance, number, delayed);
            });
        }

        void callAnswered(Instance& instance, std::size_t number, bool delayed)
        {
            Request& request = m_requests[number];
            auto settled = [this, number](bool durable) { m_requests[number].durable = durable; };
            MonotonicTime deadline = m_clock.now() + requestDeadline;
            if (delayed) {
                // The instance was delayed, and its connection to the service has failed.
                bool misreported = m_defect == SeededDefect::NotRunAfterCall;
                request.answer = misreported ? ClaimDecision::NotRun : ClaimDecision::Unknown;
                instance.client->finishUnknown(request.id, deadline, nullptr);
                return;
            }
            request.answer = ClaimDecision::Completed;
            request.body = "run " + std::to_string(m_runs);
            instance.client->finish(request.id, { 200, "text/plain", request.body }, deadline, settled);
        }

        void apply(MatrixFault fault)
        {
            MonotonicTime until = m_clock.now() + faultTime;
            Instance& instance = m_instances[m_actor];
            switch (fault) {
            case MatrixFault::StoreDown:
            case MatrixFault::StoreSlow:
                for (auto& [index, each] : m_instances)
                    applyStoreFault(*each.store, m_clock, fault);
                return;
            case MatrixFault::Paused:
                return pause(m_actor);
            case MatrixFault::Killed:
                return kill(m_actor);
            case MatrixFault::TwoActors:
                m_assignedToSeveral = true;
                return;
            case MatrixFault::MessagesLate:
                m_lateUntil = until;
                return;
            case MatrixFault::MessagesReordered:
                m_reorderedUntil = until;
                return;
            case MatrixFault::MessagesRepeated:
                m_repeatedUntil = until;
                return;
            default:
                applyStoreFault(*instance.store, m_clock, fault);
            }
        }

        void pause(int index)
        {
            Instance& instance = m_instances[index];
            instance.paused = true;
            instance.store->setPaused(true);
            // Membership wrongly declares the paused instance dead.
            m_clock.after(Milliseconds(2500), [this, name = instance.name] { m_declaredDead.insert(name); });
            m_clock.after(Milliseconds(9000), [this, index, name = instance.name] {
                Instance& paused = m_instances[index];
                if (paused.name != name)
                    return;
                m_declaredDead.erase(name);
                paused.paused = false;
                paused.store->setPaused(false);
                for (auto& event : std::exchange(paused.deferred, {}))
                    event();
            });
        }

        // The instance's objects are destroyed later, because this may run inside one of their callbacks.
        void kill(int index)
        {
            std::string name = m_instances[index].name;
            int next = name.back() - '0' + 1;
            m_instances[index].paused = true;
            m_instances[index].store->setPaused(true);
            m_clock.after(Milliseconds(1000), [this, index, name, next] {
                if (m_instances[index].name != name)
                    return;
                startInstance(index, next);
                m_declaredDead.insert(name);
            });
        }

        void advance(Milliseconds duration)
        {
            for (Milliseconds passed { 0 }; passed < duration; passed += tickInterval) {
                m_clock.advance(tickInterval);
                for (auto& [index, instance] : m_instances) {
                    if (instance.paused)
                        continue;
                    instance.service->tick();
                    instance.client->tick();
                }
            }
        }

        void check(std::size_t firstAfterFaults)
        {
            if (m_runs > 1)
                m_violations.push_back("the call ran " + std::to_string(m_runs) + " times");
            bool durable = false;
            for (const auto& request : m_requests) {
                if (request.answer == ClaimDecision::NotRun && request.ran)
                    m_violations.emplace_back("a call was reported as not run, but ran");
                durable = durable || request.durable;
            }
            for (std::size_t number = firstAfterFaults; number < m_requests.size(); ++number) {
                const Request& request = m_requests[number];
                bool definite
                    = request.answer == ClaimDecision::Completed || request.answer == ClaimDecision::Unknown;
                if (!definite)
                    m_violations.push_back(
                        "a repeated call after the end of all faults has no definite answer: "
                        + (request.answer ? std::to_string(static_cast<int>(*request.answer)) : "none"));
                if (durable && request.answer != ClaimDecision::Completed)
                    m_violations.emplace_back("a durable outcome was lost");
                if (request.answer == ClaimDecision::Completed && request.body != "run 1")
                    m_violations.emplace_back("a repeated call got a different response");
            }
        }

        ManualClock m_clock;
        std::shared_ptr<FakeObjects> m_objects = std::make_shared<FakeObjects>();
        FaultSchedule m_schedule;
        SeededDefect m_defect;
        Random m_random { 7 };
        std::map<int, Instance> m_instances;
        std::set<std::string> m_declaredDead;
        std::vector<Request> m_requests;
        int m_collector = 2;
        int m_actor = 0;
        bool m_assignedToSeveral = false;
        int m_runs = 0;
        MonotonicTime m_lateUntil;
        MonotonicTime m_reorderedUntil;
        MonotonicTime m_repeatedUntil;
        Violations m_violations;
    };

} // namespace

Violations runClaimCase(const std::vector<FaultPoint>& points, SeededDefect defect)
{
    return ClaimSimulation(points, defect).run();
}

} // namespace briarwharf
