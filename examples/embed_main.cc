// Shows how to use the coordination library without the daemon: a list of names shared through a log, and a
// lease.
//
// This example uses a store in memory and a manual clock. A real program implements Store with its platform's
// object API, takes the time from std::chrono::steady_clock, and calls tick() from its event loop every 20 to
// 100 ms.

#include "base/json.h"
#include "base/log.h"
#include "coordination/coordination.h"
#include "coordination/testing/fakestore.h"
#include <algorithm>
#include <iostream>

namespace {

using namespace briarwharf;

// The state that every instance derives from the log: unique names in the order in which they were accepted.
class Names : public LogStateMachine {
public:
    Status apply(const LogPosition&, std::string_view command) override
    {
        if (std::find(m_names.begin(), m_names.end(), command) != m_names.end())
            return Error { ErrorKind::AlreadyExists, "the name is taken: choose another" };
        m_names.emplace_back(command);
        return ok();
    }

    std::vector<std::string> snapshot() const override { return { dumpJson(Json(m_names)) }; }

    Status restore(std::uint64_t, const std::vector<std::string>& pages) override
    {
        std::vector<std::string> names;
        for (const auto& page : pages) {
            BOOST_OUTCOME_TRY(json, parseJson(page, "snapshot page"));
            for (const auto& name : json)
                if (name.is_string())
                    names.push_back(name.get<std::string>());
        }
        m_names = std::move(names);
        return ok();
    }

    const std::vector<std::string>& names() const { return m_names; }

private:
    std::vector<std::string> m_names;
};

// One process that uses the shared log: its store client, the log and its state machine, and a lease.
struct Participant {
    Participant(ManualClock& clock, std::shared_ptr<FakeObjects> objects, const std::string& token)
        : store(clock, std::move(objects))
        , log({ .name = "names", .writer = token }, store, names, clock.reader())
        , lease({ .name = "names", .holder = token }, store, clock.reader())
    {
        log.start();
        log.follow(LogFollow::Watch);
        lease.setWanted(true);
    }

    void tick()
    {
        log.tick();
        lease.tick();
    }

    FakeStore store;
    Names names;
    Log log;
    Lease lease;
};

void appendName(Participant& participant, const ManualClock& clock, const std::string& name)
{
    participant.log.append(
        name, clock.now() + std::chrono::seconds(2), [name](const Result<LogPosition>& appended) {
            if (appended)
                std::cout << name << ": accepted in record " << appended.value().number << "\n";
            else
                std::cout << name << ": " << errorKindName(appended.error().kind) << ", "
                          << appended.error().message << "\n";
        });
}

} // namespace

int main()
{
    configureLogging("warning");
    ManualClock clock;
    auto objects = std::make_shared<FakeObjects>();
    Participant first(clock, objects, "first");
    Participant second(clock, objects, "second");
    auto run = [&](Milliseconds duration) {
        for (Milliseconds passed { 0 }; passed < duration; passed += Milliseconds(20)) {
            clock.advance(Milliseconds(20));
            first.tick();
            second.tick();
        }
    };

    run(std::chrono::seconds(1));
    appendName(first, clock, "anchor");
    appendName(second, clock, "harbour");
    appendName(second, clock, "anchor");
    run(std::chrono::seconds(1));

    // The store's answer to a write is lost. The log determines by itself whether the record was written.
    first.store.addRule({ .fault = StoreFault::AnswerLost, .call = StoreCall::Create, .count = 1 });
    appendName(first, clock, "pier");
    run(std::chrono::seconds(3));

    // While the store is down, no record is accepted and the state is unchanged.
    first.store.setDown(true);
    appendName(first, clock, "quay");
    run(std::chrono::seconds(3));

    std::cout << "second has " << second.names.names().size() << " names; the lease is held by "
              << (first.lease.held() ? "first" : "second") << " with fencing number "
              << std::max(first.lease.fence(), second.lease.fence()) << "\n";
    return 0;
}
