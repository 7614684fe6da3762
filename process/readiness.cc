#include "process/readiness.h"

#include <array>
#include <string_view>

namespace briarwharf {

namespace {

    struct Condition {
        std::string_view name;
        std::string_view help; // of its gauge
        bool Readiness::*met;
        std::string DirectoryProblems::*problem; // null: it does not depend on the source
    };

    constexpr std::array<Condition, 4> conditions { {
        { "running", "0 while this instance shuts down.", &Readiness::running, nullptr },
        { "routing", "1 once a configuration is in force.", &Readiness::routing,
            &DirectoryProblems::routing },
        { "upstreams", "1 once a list of upstreams is in force.", &Readiness::upstreams,
            &DirectoryProblems::upstreams },
        { "evacuations", "1 once the evacuated failure domains are known or need not be.",
            &Readiness::evacuations, &DirectoryProblems::evacuations },
    } };

    std::string_view summary(const Readiness& readiness)
    {
        if (!readiness.running)
            return "shutting down\n";
        if (!readiness.routing || !readiness.upstreams)
            return "no configuration or upstreams yet\n";
        return "evacuated failure domains not known yet\n";
    }

} // namespace

std::string readinessText(const Readiness& readiness)
{
    if (readiness.isReady())
        return "ready\n";
    std::string text(summary(readiness));
    for (const Condition& condition : conditions) {
        if (readiness.*condition.met || !condition.problem)
            continue;
        const std::string& problem = readiness.problems.*condition.problem;
        text += "missing: ";
        text += condition.name;
        text += problem.empty() ? "" : ": " + problem;
        text += "\n";
    }
    return text;
}

void reportReadiness(const Readiness& readiness, ForwardMetrics& metrics)
{
    metrics.set("briarwharf_ready", "1 if this instance takes new work.", readiness.isReady() ? 1 : 0);
    for (const Condition& condition : conditions)
        metrics.set("briarwharf_ready_" + std::string(condition.name), std::string(condition.help),
            readiness.*condition.met ? 1 : 0);
}

} // namespace briarwharf
