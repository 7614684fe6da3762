#include "version/lexer.h"
#include "version/properties.h"
#include <charconv>

namespace briarwharf {

namespace {

    std::string quoteIfNeeded(std::string_view text)
    {
        if (isBareToken(text))
            return std::string(text);
        std::string quoted = "'";
        for (char c : text) {
            quoted += c;
            if (c == '\'')
                quoted += c;
        }
        return quoted + "'";
    }

    std::string print(const std::string& value) { return quoteIfNeeded(value); }
    std::string print(std::uint32_t value) { return std::to_string(value); }
    std::string print(bool value) { return std::string(wordFor(booleanWords, value)); }
    std::string print(const KeyHash& value) { return "HASH " + value.hex; }
    std::string print(const Endpoint& value) { return printEndpoint(value); }
    std::string print(PoolKind value) { return std::string(poolKindName(value)); }
    std::string print(Strategy value) { return std::string(strategyName(value)); }

    // The shortest decimal form that parses to the same number.
    std::string print(double value)
    {
        std::array<char, 32> text {};
        auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), value);
        return { text.data(), end };
    }

    std::string print(Milliseconds value)
    {
        constexpr std::array<std::pair<std::string_view, std::int64_t>, 3> units { {
            { "h", 3600000 },
            { "m", 60000 },
            { "s", 1000 },
        } };
        for (const auto& [unit, length] : units) {
            if (value.count() != 0 && value.count() % length == 0)
                return std::to_string(value.count() / length) + std::string(unit);
        }
        return std::to_string(value.count()) + "ms";
    }

    std::string print(const std::vector<Operation>& operations)
    {
        std::string text = "(";
        for (const Operation& operation : operations) {
            if (text.size() > 1)
                text += ", ";
            text += quoteIfNeeded(operation.method) + " " + quoteIfNeeded(operation.pathPrefix);
            if (operation.repeatable)
                text += " REPEATABLE";
        }
        return text + ")";
    }

    template <typename Object> std::string printProperties(const Object& object)
    {
        std::string text;
        for (const auto& property : propertiesOf(&object)) {
            std::visit(
                [&](auto member) {
                    if (object.*member)
                        text += " " + std::string(property.keyword) + " " + print(*(object.*member));
                },
                property.member);
        }
        return text;
    }

    std::string_view verbWord(Verb verb) { return verb == Verb::Create ? "CREATE" : "ALTER"; }

    std::string windowClause(const std::optional<WallTime>& window)
    {
        return window ? " FOR WINDOW " + printMinute(*window) : "";
    }

    std::string printTimeOfDay(std::chrono::minutes time)
    {
        auto minutes = static_cast<int>(time.count());
        std::string text;
        for (int component : { minutes / 60, minutes % 60 })
            text += (text.empty() ? "" : ":") + std::string(component < 10 ? "0" : "")
                + std::to_string(component);
        return text;
    }

    template <typename Object> std::string printObject(std::string_view kind, const Object& object)
    {
        return std::string(verbWord(object.verb)) + " " + std::string(kind) + " "
            + quoteIfNeeded(object.name);
    }

    std::string filterClause(const std::vector<Filter>& filters)
    {
        std::string text;
        for (const Filter& filter : filters) {
            text += text.empty() ? " WHERE " : " AND ";
            text += quoteIfNeeded(filter.column) + " "
                + std::string(wordFor(comparisonWords, filter.comparison)) + " "
                + quoteIfNeeded(filter.value);
        }
        return text;
    }

    // Prints a statement without its properties and clauses.
    struct Summarizer {
        std::string operator()(const OrganisationCommand& command) const
        {
            return printObject("ORGANISATION", command);
        }
        std::string operator()(const PoolCommand& command) const { return printObject("POOL", command); }
        std::string operator()(const UpstreamCommand& command) const
        {
            return printObject("UPSTREAM", command);
        }
        std::string operator()(const PolicyCommand& command) const { return printObject("POLICY", command); }
        std::string operator()(const RetireCommand& command) const
        {
            return "RETIRE " + std::string(objectKindName(command.kind)) + " " + quoteIfNeeded(command.name);
        }
        std::string operator()(const DrainCommand& command) const
        {
            return "DRAIN UPSTREAM " + quoteIfNeeded(command.upstream) + windowClause(command.window);
        }
        std::string operator()(const UndrainCommand& command) const
        {
            return "UNDRAIN UPSTREAM " + quoteIfNeeded(command.upstream) + windowClause(command.window);
        }
        std::string operator()(const MarkEmptyCommand& command) const
        {
            return "MARK UPSTREAM " + quoteIfNeeded(command.upstream) + " EMPTY SINCE REVISION "
                + std::to_string(command.drainRevision);
        }
        std::string operator()(const PlanDrainCommand& command) const
        {
            return "PLAN DRAIN UPSTREAM " + quoteIfNeeded(command.plan.upstream);
        }
        std::string operator()(const CancelPlanCommand& command) const
        {
            return "CANCEL DRAIN PLAN UPSTREAM " + quoteIfNeeded(command.upstream);
        }
        std::string operator()(const ShowCommand& command) const
        {
            return "SHOW " + std::string(wordFor(topicWords, command.topic));
        }
    };

    // Prints the properties and clauses that Summarizer leaves out.
    struct DetailPrinter {
        std::string operator()(const OrganisationCommand& command) const { return printProperties(command); }
        std::string operator()(const PoolCommand& command) const { return printProperties(command); }
        std::string operator()(const UpstreamCommand& command) const { return printProperties(command); }
        std::string operator()(const PolicyCommand& command) const { return printProperties(command); }
        std::string operator()(const RetireCommand&) const { return {}; }
        std::string operator()(const DrainCommand&) const { return {}; }
        std::string operator()(const UndrainCommand&) const { return {}; }
        std::string operator()(const MarkEmptyCommand&) const { return {}; }
        std::string operator()(const CancelPlanCommand&) const { return {}; }
        std::string operator()(const PlanDrainCommand& command) const
        {
            const DrainPlan& plan = command.plan;
            return " EVERY " + std::string(weekdayName(plan.weekday)) + " AT " + printTimeOfDay(plan.start)
                + " FOR " + print(Milliseconds(plan.length)) + (plan.handover ? "" : " WITHOUT HANDOVER");
        }
        std::string operator()(const ShowCommand& command) const
        {
            std::string text;
            for (const std::string& column : command.columns)
                text += (text.empty() ? " COLUMNS " : ", ") + quoteIfNeeded(column);
            text += filterClause(command.filters);
            if (!command.orderBy.empty())
                text += " ORDER BY " + quoteIfNeeded(command.orderBy) + (command.descending ? " DESC" : "");
            if (command.limit)
                text += " LIMIT " + print(*command.limit);
            if (command.format)
                text += " FORMAT " + std::string(wordFor(formatWords, *command.format));
            return text;
        }
    };

} // namespace

std::string summarizeCommand(const Command& command) { return std::visit(Summarizer {}, command.statement); }

std::string printCommand(const Command& command)
{
    std::string text = summarizeCommand(command) + std::visit(DetailPrinter {}, command.statement);
    if (command.expectedRevision)
        text += " IF REVISION " + std::to_string(*command.expectedRevision);
    return text;
}

bool isQuery(const Command& command) { return std::holds_alternative<ShowCommand>(command.statement); }

} // namespace briarwharf
