#pragma once

#include "coordination/testing/fakestore.h"
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// What goes wrong, from the moment when a step is reached.
enum class MatrixFault {
    StoreDown, // for everyone, 4 s
    StoreSlow, // every call takes 1.5 s longer for 4 s: answers are lost, effects are late
    AnswerLost, // the next write of the acting instance takes effect, its answer does not come
    AnswerLostLate, // the same, and the effect comes 3 s later
    SilentWatch, // every watch in the next 4 s never answers
    Conflict, // the next write of the acting instance answers Conflict without an effect
    Paused, // the acting instance stops for 9 s, longer than a lease
    Killed, // the acting instance is replaced by an empty one after 1 s
    TwoActors, // a second instance acts in the same role from now on
    MessagesLate, // every message in the next 4 s arrives 2.5 s late
    MessagesReordered, // every message in the next 4 s takes between 0 and 1 s
    MessagesRepeated, // every message in the next 4 s arrives again 1.5 s later
};

constexpr std::size_t matrixFaultCount = 12;

std::string_view matrixFaultName(MatrixFault);

// One fault at one step of a scenario.
struct FaultPoint {
    std::size_t step = 0;
    MatrixFault fault = MatrixFault::StoreDown;
};

// A deliberately broken variant of what surrounds the library; each breaks one promise.
enum class MatrixMistake {
    None,
    CallBeforeGrant, // calls when the claim is sent
    CallAfterGivingUp, // calls when a Granted arrives after "not run" was reported
    RetryAfterFirstByte, // calls again when the claimant was held up during the call
    NotRunAfterCall, // reports "not run" for a call whose outcome was lost
    OverwritingStore, // create replaces an existing object
    ForgetfulCommit, // reports a write as done that never takes effect
    ForgottenManifest, // the manifest always reads as absent for writers that were paused
    RestartFromOldPeer, // a process replaces its state by a peer's older one
    TrustedLease, // a holder that acquired the lease does not look at its expiry any more
};

// What a case found wrong; empty: nothing.
using Violations = std::vector<std::string>;

struct MatrixScenario {
    std::string name;
    std::vector<std::string> steps;
    std::string promises; // what is checked after each case
    Violations (*run)(const std::vector<FaultPoint>&, MatrixMistake);
};

const std::vector<MatrixScenario>& matrixScenarios();

// Collects the faults of a case and applies them when their step is reached.
class FaultSchedule {
public:
    FaultSchedule(const std::vector<FaultPoint>& points, std::function<void(MatrixFault)> apply)
        : m_points(points)
        , m_apply(std::move(apply))
    {
    }

    // Each point applies once, the first time that its step is reached.
    void reached(std::size_t step)
    {
        for (std::size_t i = 0; i < m_points.size(); ++i) {
            if (m_points[i].step != step)
                continue;
            MatrixFault fault = m_points[i].fault;
            m_points.erase(m_points.begin() + static_cast<std::ptrdiff_t>(i--));
            m_apply(fault);
        }
    }

    void stop() { m_points.clear(); }
    bool finished() const { return m_points.empty(); }

private:
    std::vector<FaultPoint> m_points;
    std::function<void(MatrixFault)> m_apply;
};

// Applies a fault that concerns one instance's path to the store; false: the fault is of another kind.
bool applyStoreFault(FakeStore&, const ManualClock&, MatrixFault);

} // namespace briarwharf
