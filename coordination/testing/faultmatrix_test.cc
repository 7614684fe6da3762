#include "base/log.h"
#include "coordination/testing/faultmatrix.h"
#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace briarwharf {

Violations runClaimCase(const std::vector<FaultPoint>&, SeededDefect);
Violations runLogCase(const std::vector<FaultPoint>&, SeededDefect);
Violations runLeaseCase(const std::vector<FaultPoint>&, SeededDefect);

std::string_view matrixFaultName(MatrixFault fault)
{
    constexpr std::array<std::string_view, matrixFaultCount> names { "store down", "store slow",
        "answer lost", "answer lost, effect late", "silent watch", "conflict", "paused past the lease",
        "killed and replaced", "two actors", "messages late", "messages reordered", "messages repeated" };
    return names[static_cast<std::size_t>(fault)];
}

bool applyStoreFault(FakeStore& store, const ManualClock& clock, MatrixFault fault)
{
    MonotonicTime until = clock.now() + Milliseconds(4000);
    switch (fault) {
    case MatrixFault::StoreDown:
        store.addRule({ .fault = StoreFault::Down, .until = until });
        return true;
    case MatrixFault::StoreSlow:
        store.addRule({ .fault = StoreFault::Slow, .delay = Milliseconds(1500), .until = until });
        return true;
    case MatrixFault::SilentWatch:
        store.addRule({ .fault = StoreFault::SilentWatch, .call = StoreCall::Watch, .until = until });
        return true;
    case MatrixFault::AnswerLost:
    case MatrixFault::AnswerLostLate:
    case MatrixFault::Conflict:
        for (auto call : { StoreCall::Create, StoreCall::Update })
            store.addRule({ .fault = fault == MatrixFault::AnswerLost ? StoreFault::AnswerLost
                    : fault == MatrixFault::Conflict                  ? StoreFault::Conflict
                                                                      : StoreFault::AnswerLostLate,
                .call = call,
                .count = 1,
                .delay = Milliseconds(3000) });
        return true;
    default:
        return false;
    }
}

const std::vector<MatrixScenario>& matrixScenarios()
{
    static const std::vector<MatrixScenario> scenarios {
        { "claim and call",
            { "claim sent", "claim received", "claim answered", "claim granted", "call sent", "call answered",
                "outcome received", "outcome answered" },
            "at most one run per key; not run did not run; a durable outcome stays; repeats get an answer",
            runClaimCase },
        { "configuration record",
            { "appended", "record created", "record verified", "acknowledged", "page written",
                "manifest written", "record removed", "follower watches", "record relayed" },
            "accepted records are never lost or doubled; not written is not there; states never go back",
            runLogCase },
        { "lease", { "acquired", "renewed", "order sent", "order answered" },
            "one holder; fencing numbers never go back; engines reach the desired state", runLeaseCase },
    };
    return scenarios;
}

namespace {

    std::vector<FaultPoint> allPoints(const MatrixScenario& scenario)
    {
        std::vector<FaultPoint> points;
        for (std::size_t step = 0; step < scenario.steps.size(); ++step)
            for (std::size_t fault = 0; fault < matrixFaultCount; ++fault)
                points.push_back({ step, static_cast<MatrixFault>(fault) });
        return points;
    }

    std::string caseName(const MatrixScenario& scenario, const std::vector<FaultPoint>& points)
    {
        std::string name = scenario.name + ":";
        for (const auto& point : points)
            name
                += " [" + scenario.steps[point.step] + ", " + std::string(matrixFaultName(point.fault)) + "]";
        return name;
    }

    // Runs one case and returns whether it passes. A case that fails is added to `failures`, and the first
    // ten are printed.
    bool runCase(const MatrixScenario& scenario, const std::vector<FaultPoint>& points, int& failures)
    {
        Violations violations = scenario.run(points, SeededDefect::None);
        if (violations.empty())
            return true;
        if (++failures <= 10)
            MESSAGE(caseName(scenario, points) << ": " << violations.front());
        return false;
    }

    struct MatrixRow {
        bool alone = true;
        int pairs = 0;
        int failedPairs = 0;
    };

    void writeTable(std::ostream& out, const MatrixScenario& scenario, const std::vector<FaultPoint>& points,
        const std::vector<MatrixRow>& rows)
    {
        out << "\n## " << scenario.name << "\n\nChecked after each case: " << scenario.invariants
            << ".\n\n| step | fault | alone | in pairs |\n| --- | --- | --- | --- |\n";
        for (std::size_t i = 0; i < points.size(); ++i)
            out << "| " << scenario.steps[points[i].step] << " | " << matrixFaultName(points[i].fault)
                << " | " << (rows[i].alone ? "holds" : "fails") << " | "
                << rows[i].pairs - rows[i].failedPairs << " of " << rows[i].pairs << " hold |\n";
    }

    // Runs every fault at every step, alone and in pairs, and returns the number of failed cases. The table
    // of results is appended to the file that BRIARWHARF_FAULT_TABLE names, if it is set.
    int runMatrix(const MatrixScenario& scenario)
    {
        auto points = allPoints(scenario);
        std::vector<MatrixRow> rows(points.size());
        int failures = 0;
        for (std::size_t first = 0; first < points.size(); ++first) {
            rows[first].alone = runCase(scenario, { points[first] }, failures);
            for (std::size_t second = first + 1; second < points.size(); ++second) {
                bool holds = runCase(scenario, { points[first], points[second] }, failures);
                for (std::size_t point : { first, second }) {
                    ++rows[point].pairs;
                    rows[point].failedPairs += holds ? 0 : 1;
                }
            }
        }
        if (const char* path = std::getenv("BRIARWHARF_FAULT_TABLE")) {
            std::ofstream out(path, std::ios::app);
            writeTable(out, scenario, points, rows);
        }
        return failures;
    }

    // Whether some case with one or two faults detects the defect.
    bool detects(const MatrixScenario& scenario, SeededDefect defect)
    {
        auto points = allPoints(scenario);
        for (const auto& point : points)
            if (!scenario.run({ point }, defect).empty())
                return true;
        for (std::size_t first = 0; first < points.size(); ++first)
            for (std::size_t second = first + 1; second < points.size(); ++second)
                if (!scenario.run({ points[first], points[second] }, defect).empty())
                    return true;
        return false;
    }

} // namespace

// Guards against a violated invariant of claims after any fault at any step, alone or in pairs.
TEST_CASE("fault matrix: claim and call")
{
    configureLogging("error");
    CHECK(runMatrix(matrixScenarios()[0]) == 0);
}

// Guards against a violated invariant of the configuration log after any fault at any step, alone or in
// pairs.
TEST_CASE("fault matrix: configuration record")
{
    configureLogging("error");
    CHECK(runMatrix(matrixScenarios()[1]) == 0);
}

// Guards against a violated invariant of leases and fenced orders after any fault at any step, alone or in
// pairs.
TEST_CASE("fault matrix: lease")
{
    configureLogging("error");
    CHECK(runMatrix(matrixScenarios()[2]) == 0);
}

// Guards against a matrix that passes whatever the code does: it must detect each of these seeded defects in
// some case.
TEST_CASE("the fault matrix detects each seeded defect")
{
    configureLogging("error");
    struct DefectCase {
        std::size_t scenario;
        SeededDefect defect;
    };
    for (const DefectCase& defectCase :
        { DefectCase { 0, SeededDefect::CallBeforeGrant }, DefectCase { 0, SeededDefect::CallAfterGivingUp },
            DefectCase { 0, SeededDefect::RetryAfterFirstByte },
            DefectCase { 0, SeededDefect::NotRunAfterCall }, DefectCase { 0, SeededDefect::OverwritingStore },
            DefectCase { 0, SeededDefect::DroppedWrites }, DefectCase { 1, SeededDefect::OverwritingStore },
            DefectCase { 1, SeededDefect::DroppedWrites }, DefectCase { 1, SeededDefect::HiddenManifest },
            DefectCase { 1, SeededDefect::RestartFromOldPeer },
            DefectCase { 2, SeededDefect::IgnoredExpiry } }) {
        CAPTURE(defectCase.scenario);
        CAPTURE(static_cast<int>(defectCase.defect));
        CHECK(detects(matrixScenarios()[defectCase.scenario], defectCase.defect));
    }
}

} // namespace briarwharf
