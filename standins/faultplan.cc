#include "standins/faultplan.h"

namespace briarwharf {

namespace {

    std::optional<std::size_t> countField(const Json& body, std::string_view name)
    {
        auto value = integerField(body, name);
        if (!value || *value < 0)
            return std::nullopt;
        return static_cast<std::size_t>(*value);
    }

} // namespace

Status FaultInjector::set(const Json& body)
{
    if (!body.is_object())
        return Error { ErrorKind::InvalidArgument, "faults must be a JSON object: send {} to end them" };
    FaultPlan plan;
    plan.delay = Milliseconds(integerField(body, "delay_ms").value_or(0));
    plan.silentAfter = countField(body, "silent_after");
    plan.truncateAfter = countField(body, "truncate_after");
    plan.crossed = booleanField(body, "crossed").value_or(false);
    plan.crossedAfter = countField(body, "crossed_after");
    plan.refuse = booleanField(body, "refuse").value_or(false);
    plan.close = booleanField(body, "close").value_or(false);
    plan.silent = booleanField(body, "silent").value_or(false);
    plan.unframed = booleanField(body, "unframed").value_or(false);
    if (auto status = integerField(body, "status"))
        plan.status = static_cast<int>(*status);
    m_plan = plan;
    m_remaining = integerField(body, "count").value_or(-1);
    return ok();
}

FaultPlan FaultInjector::takePlan()
{
    if (m_remaining == 0)
        return {};
    if (m_remaining > 0)
        --m_remaining;
    return m_plan;
}

} // namespace briarwharf
