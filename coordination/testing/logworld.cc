#include "coordination/coordination.h"
#include "coordination/testing/faultmatrix.h"
#include "coordination/testing/listmachine.h"

namespace briarwharf {

Violations runLogCase(const std::vector<FaultPoint>&, SeededDefect);

namespace {

    constexpr Milliseconds tickInterval { 200 };
    constexpr Milliseconds appendWait { 3000 };

    // Longer than the delay before old records are removed, so that a late create can use a removed number.
    constexpr Milliseconds pauseTime { 45000 };
    constexpr Milliseconds lateEffect { 30000 };

    enum Step : std::size_t {
        Appended,
        RecordCreated,
        RecordVerified,
        Acknowledged,
        PageWritten,
        ManifestWritten,
        RecordRemoved,
        FollowerWatched,
        RecordRelayed,
    };

    struct Append {
        std::string command;
        std::optional<Result<LogPosition>> result;
    };

    struct Process {
        std::string name;
        std::unique_ptr<FakeStore> store;
        std::unique_ptr<ListMachine> machine;
        std::unique_ptr<Log> log;
        bool paused = false;
        std::vector<std::string> lastCommands; // at the last tick; later states must start with them
        std::uint64_t lastHead = 0; // at the last tick
    };

    // Simulates writers a and b, a follower c that watches the store, and d, which gets records only from c.
    class LogSimulation {
    public:
        LogSimulation(const std::vector<FaultPoint>& points, SeededDefect defect)
            : m_schedule(points, [this](MatrixFault fault) { apply(fault); })
            , m_defect(defect)
        {
            for (const char* name : { "a", "b", "c", "d" })
                start(name, 1);
            m_processes["c"].log->follow(LogFollow::Watch);
            m_processes["d"].store->setDown(true);
        }

        Violations run()
        {
            advance(Milliseconds(500));
            for (int i = 0; i < 40; ++i) {
                if (i < 20)
                    append("a");
                append("b");
                if (m_twoActors)
                    append("c");
                advance(Milliseconds(800));
                if (i == 10 && m_defect == SeededDefect::RestartFromOldPeer)
                    restartFromOldPeer();
            }
            // No more faults are injected, and those in effect end.
            m_schedule.stop();
            advance(Milliseconds(50000));
            append("a");
            advance(Milliseconds(5000));
            append("b");
            advance(Milliseconds(5000));
            check();
            return m_violations;
        }

    private:
        void start(const std::string& name, int incarnation)
        {
            Process& process = m_processes[name];
            process = {};
            process.name = name + std::to_string(incarnation);
            process.store = std::make_unique<FakeStore>(m_clock, m_objects);
            process.store->setOverwriting(m_defect == SeededDefect::OverwritingStore);
            process.store->setDroppingWrites(m_defect == SeededDefect::DroppedWrites && name == "a");
            if (m_defect == SeededDefect::HiddenManifest && name == "a")
                process.store->setHiddenKeys("/manifest");
            process.machine = std::make_unique<ListMachine>();
            process.log = std::make_unique<Log>(
                LogOptions {
                    .name = "config", .writer = process.name, .snapshotInterval = 8, .keptRecords = 2 },
                *process.store, *process.machine, m_clock.reader());
            process.log->start();
            if (name == "a")
                process.store->onCall(
                    [this](StoreCall call, const std::string& key) { writerCalls(call, key); });
            if (name == "c")
                process.store->onCall([this](StoreCall call, const std::string&) {
                    if (call == StoreCall::Watch)
                        reached(FollowerWatched, "c");
                });
        }

        void writerCalls(StoreCall call, const std::string& key)
        {
            bool record = key.find("/record/") != std::string::npos;
            if (call == StoreCall::Create && record)
                reached(RecordCreated, "a");
            if (call == StoreCall::Read && !record && m_clock.now() > MonotonicTime { Milliseconds(600) })
                reached(RecordVerified, "a");
            if (call == StoreCall::Create && key.find("/page/") != std::string::npos)
                reached(PageWritten, "a");
            if (call != StoreCall::Read && key.find("/manifest") != std::string::npos)
                reached(ManifestWritten, "a");
            if (call == StoreCall::Remove)
                reached(RecordRemoved, "a");
        }

        void reached(Step step, const std::string& actor)
        {
            m_actor = actor;
            m_schedule.reached(step);
        }

        void append(const std::string& name)
        {
            if (m_processes[name].paused)
                return;
            std::size_t number = m_appends.size();
            m_appends.push_back({ name + "-" + std::to_string(number), std::nullopt });
            m_processes[name].log->append(m_appends[number].command, m_clock.now() + appendWait,
                [this, number](Result<LogPosition> result) {
                    m_appends[number].result = std::move(result);
                    reached(Acknowledged, "a");
                });
            reached(Appended, "a");
        }

        void relay()
        {
            Process& from = m_processes["c"];
            Process& to = m_processes["d"];
            if (from.paused || to.paused || from.log->head() == to.log->head())
                return;
            reached(RecordRelayed, "c");
            auto push = std::make_shared<LogPushT>(from.log->makePush(to.log->head(), 100000));
            auto deliver = [this, push] {
                if (!m_processes["d"].paused)
                    recordError(m_processes["d"].log->accept(*push));
            };
            Milliseconds delay { 2 };
            if (m_clock.now() < m_lateUntil)
                delay += Milliseconds(2500);
            if (m_clock.now() < m_reorderedUntil)
                delay += Milliseconds(m_random.below(1000));
            m_clock.after(delay, deliver);
            if (m_clock.now() < m_repeatedUntil)
                m_clock.after(delay + Milliseconds(1500), deliver);
        }

        void recordError(const Status& status)
        {
            if (!status)
                m_violations.push_back(status.error().message);
        }

        void apply(MatrixFault fault)
        {
            MonotonicTime until = m_clock.now() + Milliseconds(4000);
            FakeStore& store = *m_processes[m_actor].store;
            switch (fault) {
            case MatrixFault::StoreDown:
            case MatrixFault::StoreSlow:
                for (const char* name : { "a", "b", "c" })
                    applyStoreFault(*m_processes[name].store, m_clock, fault);
                return;
            case MatrixFault::AnswerLostLate:
                store.addRule({ .fault = StoreFault::AnswerLostLate,
                    .keyFragment = "/record/",
                    .count = 1,
                    .delay = lateEffect });
                return;
            case MatrixFault::Paused:
                return pause(m_actor);
            case MatrixFault::Killed:
                return kill(m_actor);
            case MatrixFault::TwoActors:
                m_twoActors = true;
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
                applyStoreFault(store, m_clock, fault);
            }
        }

        void pause(const std::string& name)
        {
            Process& process = m_processes[name];
            process.paused = true;
            process.store->setPaused(true);
            m_clock.after(pauseTime, [this, name, incarnation = process.name] {
                Process& paused = m_processes[name];
                if (paused.name != incarnation)
                    return;
                paused.paused = false;
                paused.store->setPaused(false);
            });
        }

        void kill(const std::string& name)
        {
            Process& process = m_processes[name];
            process.paused = true;
            process.store->setPaused(true);
            int next = process.name.back() - '0' + 1;
            m_clock.after(Milliseconds(1000), [this, name, next] {
                start(name, next);
                if (name == "c")
                    m_processes["c"].log->follow(LogFollow::Watch);
            });
        }

        // The seeded defect RestartFromOldPeer: the process replaces its state by an older one.
        void restartFromOldPeer()
        {
            Process& process = m_processes["d"];
            auto old = process.log->makePush(process.log->head() - 1, 100000);
            old.records.clear();
            process.machine = std::make_unique<ListMachine>();
            process.log = std::make_unique<Log>(LogOptions { .name = "config", .writer = "d" },
                *process.store, *process.machine, m_clock.reader());
            recordError(process.log->accept(old));
        }

        void advance(Milliseconds duration)
        {
            for (Milliseconds passed { 0 }; passed < duration; passed += tickInterval) {
                m_clock.advance(tickInterval);
                for (auto& [name, process] : m_processes) {
                    if (!process.paused)
                        process.log->tick();
                    checkProgress(process);
                }
                relay();
            }
        }

        void checkProgress(Process& process)
        {
            if (process.log->head() == process.lastHead)
                return;
            const auto& commands = process.machine->commands();
            bool extends = commands.size() >= process.lastCommands.size()
                && std::equal(process.lastCommands.begin(), process.lastCommands.end(), commands.begin());
            if (!extends || process.log->head() < process.lastHead)
                m_violations.push_back(process.name + " returned to an older state");
            process.lastHead = process.log->head();
            process.lastCommands = commands;
        }

        void check()
        {
            const auto& commands = m_processes["b"].machine->commands();
            for (auto& [name, process] : m_processes)
                if (name != "a" && process.machine->commands() != commands)
                    m_violations.push_back(process.name + " has a different state from b");
            for (const auto& append : m_appends) {
                std::size_t count = m_processes["b"].machine->count(append.command);
                if (count > 1)
                    m_violations.push_back(append.command + " is applied twice");
                if (!append.result)
                    continue;
                if (append.result->has_value() && count == 0)
                    m_violations.push_back(append.command + " was accepted but is not in the log");
                if (append.result->has_error() && append.result->error().kind == ErrorKind::Unavailable
                    && count > 0)
                    m_violations.push_back(append.command + " was reported as not written but is in the log");
            }
            if (m_appends.back().result == std::nullopt || !m_appends.back().result->has_value())
                m_violations.emplace_back("an append after the end of all faults failed");
        }

        ManualClock m_clock;
        std::shared_ptr<FakeObjects> m_objects = std::make_shared<FakeObjects>();
        FaultSchedule m_schedule;
        SeededDefect m_defect;
        Random m_random { 7 };
        std::map<std::string, Process> m_processes;
        std::vector<Append> m_appends;
        std::string m_actor = "a";
        bool m_twoActors = false;
        MonotonicTime m_lateUntil;
        MonotonicTime m_reorderedUntil;
        MonotonicTime m_repeatedUntil;
        Violations m_violations;
    };

} // namespace

Violations runLogCase(const std::vector<FaultPoint>& points, SeededDefect defect)
{
    return LogSimulation(points, defect).run();
}

} // namespace briarwharf
