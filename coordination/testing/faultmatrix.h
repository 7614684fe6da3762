#pragma once

#include "coordination/testing/fakestore.h"
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// Faults, injected when a step of a scenario is reached.
enum class MatrixFault {
    StoreDown, // for all instances, for 4 s
    // For all instances and 4 s, each call takes 1.5 s longer: it takes effect late, and its answer is lost.
    StoreSlow,
    AnswerLost, // the next write of the acting instance takes effect, but its answer is lost
    AnswerLostLate, // as AnswerLost, and the write takes effect 3 s late (30 s late in the log scenario)
    SilentWatch, // watches that start in the next 4 s are never answered
    Conflict, // the next write of the acting instance is answered with Conflict and has no effect
    Paused, // the acting instance stops for longer than a lease (claim: 9 s, lease: 15 s, log: 45 s)
    Killed, // the acting instance is killed, and replaced after 1 s by one without state
    TwoActors, // from now on a second instance acts in the same role
    MessagesLate, // every message in the next 4 s arrives 2.5 s late
    MessagesReordered, // every message in the next 4 s takes between 0 and 1 s
    MessagesRepeated, // every message in the next 4 s arrives again 1.5 s later
};

constexpr std::size_t matrixFaultCount = 12;

std::string_view matrixFaultName(MatrixFault);

// A fault that is injected at a step of a scenario.
struct FaultPoint {
    std::size_t step = 0;
    MatrixFault fault = MatrixFault::StoreDown;
};

// Defects that are deliberately put into the code around the library. Each violates an invariant in some
// cases, and the matrix has to detect it.
enum class SeededDefect {
    None,
    CallBeforeGrant, // sends the call together with the claim
    CallAfterGivingUp, // sends the call when a Granted arrives after "not run" was reported
    RetryAfterFirstByte, // sends the call again when the claimant was delayed during the call
    NotRunAfterCall, // reports "not run" for a call that was sent and whose outcome is unknown
    OverwritingStore, // create replaces an existing object
    DroppedWrites, // writes are answered with Done and have no effect
    HiddenManifest, // the writer to which faults apply always reads the manifest as absent
    RestartFromOldPeer, // a process replaces its state by an older state from a peer
    IgnoredExpiry, // an instance that has once acquired the lease ignores its expiry
};

// Descriptions of the violated invariants; empty if a case passes.
using Violations = std::vector<std::string>;

struct MatrixScenario {
    std::string name;
    std::vector<std::string> steps;
    std::string invariants; // checked after each case
    Violations (*run)(const std::vector<FaultPoint>&, SeededDefect);
};

const std::vector<MatrixScenario>& matrixScenarios();

// Applies the faults of a case when their steps are reached.
class FaultSchedule {
public:
    FaultSchedule(const std::vector<FaultPoint>& points, std::function<void(MatrixFault)> apply)
        : m_points(points)
        , m_apply(std::move(apply))
    {
    }

    // Applies each fault of this step once, the first time that the step is reached.
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

// Applies a fault of the connection between one instance and the store. Returns false if the fault is of
// another kind.
bool applyStoreFault(FakeStore&, const ManualClock&, MatrixFault);

} // namespace briarwharf
