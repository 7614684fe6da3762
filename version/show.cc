#include "version/show.h"

#include "base/number.h"
#include "version/drainplan.h"
#include "version/properties.h"
#include <algorithm>
#include <cctype>
#include <limits>

namespace briarwharf {

namespace {

    // What the columns are computed from, besides the row itself.
    struct ColumnInputs {
        const Config& config;
        const RuntimeFacts& runtime;
    };

    template <typename Row> struct Column {
        const char* name;
        Cell (*read)(const Row&, const ColumnInputs&);
    };

    template <typename Number> Cell countCell(Number value) { return static_cast<std::int64_t>(value); }

    template <typename Number> Cell countCell(const std::optional<Number>& value)
    {
        return value ? countCell(*value) : Cell {};
    }

    Cell textCell(std::string_view text) { return std::string(text); }

    // An empty cell for an empty text.
    Cell optionalTextCell(const std::string& text) { return text.empty() ? Cell {} : Cell { text }; }

    Cell flagCell(const std::optional<bool>& value) { return value ? Cell { *value } : Cell {}; }

    Cell ageCell(const std::optional<Milliseconds>& value)
    {
        return value ? countCell(value->count()) : Cell {};
    }

    const UpstreamFacts& runtimeFactsOf(const Upstream& upstream, const ColumnInputs& inputs)
    {
        static const UpstreamFacts none;
        auto found = inputs.runtime.upstreams.find(upstream.name);
        return found == inputs.runtime.upstreams.end() ? none : found->second;
    }

    Cell usedTokens(const Organisation& organisation, const ColumnInputs& inputs)
    {
        auto found = inputs.runtime.organisations.find(organisation.name);
        if (found == inputs.runtime.organisations.end() || !found->second.tokensPerSecond)
            return {};
        return *found->second.tokensPerSecond;
    }

    std::int64_t countUpstreams(const Config& config, const std::string& pool, bool servingOnly)
    {
        return std::count_if(config.upstreams.begin(), config.upstreams.end(), [&](const auto& entry) {
            return entry.second.pool == pool
                && (!servingOnly || entry.second.state == UpstreamState::Serving);
        });
    }

    std::int64_t countPools(const Config& config, const std::string& policy)
    {
        return std::count_if(config.pools.begin(), config.pools.end(),
            [&](const auto& entry) { return entry.second.policy == policy; });
    }

    const Policy& policyOf(const Pool& pool, const Config& config)
    {
        static const Policy defaults;
        auto found = config.policies.find(pool.policy);
        return found == config.policies.end() ? defaults : found->second;
    }

    struct ConfigRow {
        std::string_view kind;
        std::string name;
        std::string command;
    };

    struct RevisionRow {
        Change change;
        bool inForce = false;
    };

    const std::vector<Column<Organisation>> organisationColumns {
        { "name", [](const Organisation& row, const ColumnInputs&) { return textCell(row.name); } },
        { "weight", [](const Organisation& row, const ColumnInputs&) { return Cell { row.weight }; } },
        { "tokens_per_second",
            [](const Organisation& row, const ColumnInputs&) { return Cell { row.tokensPerSecond }; } },
        { "used_tokens_per_second", usedTokens },
    };

    const std::vector<Column<Pool>> poolColumns {
        { "name", [](const Pool& row, const ColumnInputs&) { return textCell(row.name); } },
        { "kind", [](const Pool& row, const ColumnInputs&) { return textCell(poolKindName(row.kind)); } },
        { "model", [](const Pool& row, const ColumnInputs&) { return optionalTextCell(row.model); } },
        { "policy", [](const Pool& row, const ColumnInputs&) { return optionalTextCell(row.policy); } },
        { "strategy",
            [](const Pool& row, const ColumnInputs& inputs) {
                return textCell(strategyName(policyOf(row, inputs.config).strategy));
            } },
        { "load_bound",
            [](const Pool& row, const ColumnInputs& inputs) {
                return Cell { policyOf(row, inputs.config).loadBound };
            } },
        { "upstreams",
            [](const Pool& row, const ColumnInputs& inputs) {
                return countCell(countUpstreams(inputs.config, row.name, false));
            } },
        { "serving",
            [](const Pool& row, const ColumnInputs& inputs) {
                return countCell(countUpstreams(inputs.config, row.name, true));
            } },
        { "operations",
            [](const Pool& row, const ColumnInputs&) { return countCell(row.operations.size()); } },
    };

    const std::vector<Column<Upstream>> upstreamColumns {
        { "name", [](const Upstream& row, const ColumnInputs&) { return textCell(row.name); } },
        { "pool", [](const Upstream& row, const ColumnInputs&) { return textCell(row.pool); } },
        { "address",
            [](const Upstream& row, const ColumnInputs&) {
                return textCell(printEndpoint({ row.address, row.port }));
            } },
        { "domain", [](const Upstream& row, const ColumnInputs&) { return textCell(row.failureDomain); } },
        { "state",
            [](const Upstream& row, const ColumnInputs&) { return textCell(upstreamStateName(row.state)); } },
        { "empty", [](const Upstream& row, const ColumnInputs&) { return Cell { row.empty }; } },
        { "drain_phase",
            [](const Upstream& row, const ColumnInputs& inputs) {
                return optionalTextCell(runtimeFactsOf(row, inputs).drainPhase);
            } },
        { "reachable",
            [](const Upstream& row, const ColumnInputs& inputs) {
                return flagCell(runtimeFactsOf(row, inputs).reachable);
            } },
        { "load",
            [](const Upstream& row, const ColumnInputs& inputs) {
                return countCell(runtimeFactsOf(row, inputs).tokensInProgress);
            } },
        { "requests",
            [](const Upstream& row, const ColumnInputs& inputs) {
                return countCell(runtimeFactsOf(row, inputs).requestsInProgress);
            } },
        { "chats",
            [](const Upstream& row, const ColumnInputs& inputs) {
                return countCell(runtimeFactsOf(row, inputs).residentChats);
            } },
        { "report_age_ms",
            [](const Upstream& row, const ColumnInputs& inputs) {
                return ageCell(runtimeFactsOf(row, inputs).reportAge);
            } },
        { "weight", [](const Upstream& row, const ColumnInputs&) { return Cell { row.weight }; } },
        { "slots", [](const Upstream& row, const ColumnInputs&) { return countCell(row.slots); } },
        { "reports_state",
            [](const Upstream& row, const ColumnInputs&) { return Cell { row.reportsState }; } },
        { "checks_fence", [](const Upstream& row, const ColumnInputs&) { return Cell { row.checksFence }; } },
    };

    const std::vector<Column<Policy>> policyColumns {
        { "name", [](const Policy& row, const ColumnInputs&) { return textCell(row.name); } },
        { "strategy",
            [](const Policy& row, const ColumnInputs&) { return textCell(strategyName(row.strategy)); } },
        { "load_bound", [](const Policy& row, const ColumnInputs&) { return Cell { row.loadBound }; } },
        { "short_tokens", [](const Policy& row, const ColumnInputs&) { return countCell(row.shortTokens); } },
        { "queue_deadline_ms",
            [](const Policy& row, const ColumnInputs&) { return countCell(row.queueDeadline.count()); } },
        { "pools",
            [](const Policy& row, const ColumnInputs& inputs) {
                return countCell(countPools(inputs.config, row.name));
            } },
    };

    const std::vector<Column<DrainPlan>> planColumns {
        { "upstream", [](const DrainPlan& row, const ColumnInputs&) { return textCell(row.upstream); } },
        { "weekday",
            [](const DrainPlan& row, const ColumnInputs&) { return textCell(weekdayName(row.weekday)); } },
        { "next_start",
            [](const DrainPlan& row, const ColumnInputs& inputs) {
                return textCell(printMinute(nextWindow(row, inputs.runtime.now).start));
            } },
        { "length_minutes",
            [](const DrainPlan& row, const ColumnInputs&) { return countCell(row.length.count()); } },
        { "handover", [](const DrainPlan& row, const ColumnInputs&) { return Cell { row.handover }; } },
        { "in_window",
            [](const DrainPlan& row, const ColumnInputs& inputs) {
                return Cell { windowAt(row, inputs.runtime.now).has_value() };
            } },
    };

    const std::vector<Column<InstanceFacts>> instanceColumns {
        { "name", [](const InstanceFacts& row, const ColumnInputs&) { return textCell(row.name); } },
        { "address",
            [](const InstanceFacts& row, const ColumnInputs&) { return optionalTextCell(row.address); } },
        { "domain",
            [](const InstanceFacts& row, const ColumnInputs&) {
                return optionalTextCell(row.failureDomain);
            } },
        { "state",
            [](const InstanceFacts& row, const ColumnInputs&) { return optionalTextCell(row.state); } },
        { "revision", [](const InstanceFacts& row, const ColumnInputs&) { return countCell(row.revision); } },
        { "current", [](const InstanceFacts& row, const ColumnInputs&) { return flagCell(row.current); } },
        { "confirmed_ago_ms",
            [](const InstanceFacts& row, const ColumnInputs&) { return ageCell(row.confirmedAgo); } },
    };

    const std::vector<Column<ConfigRow>> configColumns {
        { "kind", [](const ConfigRow& row, const ColumnInputs&) { return textCell(row.kind); } },
        { "name", [](const ConfigRow& row, const ColumnInputs&) { return textCell(row.name); } },
        { "command", [](const ConfigRow& row, const ColumnInputs&) { return textCell(row.command); } },
    };

    const std::vector<Column<RevisionRow>> revisionColumns {
        { "revision",
            [](const RevisionRow& row, const ColumnInputs&) { return countCell(row.change.revision); } },
        { "in_force", [](const RevisionRow& row, const ColumnInputs&) { return Cell { row.inForce }; } },
        { "time",
            [](const RevisionRow& row, const ColumnInputs&) {
                return row.change.time == WallTime {} ? Cell {} : textCell(printMinute(row.change.time));
            } },
        { "author",
            [](const RevisionRow& row, const ColumnInputs&) { return optionalTextCell(row.change.author); } },
        { "request",
            [](const RevisionRow& row, const ColumnInputs&) {
                return optionalTextCell(row.change.requestId);
            } },
        { "change",
            [](const RevisionRow& row, const ColumnInputs&) { return textCell(row.change.summary); } },
    };

    std::string commandText(Statement statement)
    {
        return printCommand({ std::move(statement), std::nullopt });
    }

    std::optional<std::string> nulloptIfEmpty(const std::string& text)
    {
        return text.empty() ? std::nullopt : std::optional(text);
    }

    // Commands that rebuild the configuration from an empty one. Each object follows the objects it refers
    // to, so the commands can be run in this order.
    std::vector<ConfigRow> configRows(const Config& config)
    {
        std::vector<ConfigRow> rows;
        for (const auto& [name, policy] : config.policies)
            rows.push_back({ "policy", name,
                commandText(PolicyCommand { Verb::Create, name, policy.strategy, policy.loadBound,
                    policy.shortTokens, policy.queueDeadline }) });
        for (const auto& [name, pool] : config.pools) {
            PoolCommand command { Verb::Create, name, pool.kind, nulloptIfEmpty(pool.model),
                nulloptIfEmpty(pool.policy), std::nullopt };
            if (!pool.operations.empty())
                command.operations = pool.operations;
            rows.push_back({ "pool", name, commandText(command) });
        }
        for (const auto& [name, organisation] : config.organisations)
            rows.push_back({ "organisation", name,
                commandText(OrganisationCommand { Verb::Create, name, KeyHash { organisation.keyHash },
                    organisation.weight, organisation.tokensPerSecond }) });
        for (const auto& [name, upstream] : config.upstreams) {
            rows.push_back({ "upstream", name,
                commandText(UpstreamCommand { Verb::Create, name, upstream.pool,
                    Endpoint { upstream.address, upstream.port }, upstream.failureDomain, upstream.weight,
                    upstream.slots, upstream.reportsState, upstream.checksFence }) });
            if (upstream.state == UpstreamState::Draining)
                rows.push_back({ "drain", name, commandText(DrainCommand { name, std::nullopt }) });
        }
        for (const auto& [name, plan] : config.drainPlans)
            rows.push_back({ "plan", name, commandText(PlanDrainCommand { plan }) });
        return rows;
    }

    // The revision in force and the changes of the history, newest first. If the record of the revision in
    // force changed nothing, a row of its own stands for it.
    std::vector<RevisionRow> revisionRows(const Config& config)
    {
        std::vector<RevisionRow> rows;
        if (config.history.empty() || config.history.back().revision != config.revision) {
            Change none;
            none.revision = config.revision;
            none.summary = "(changed nothing)";
            rows.push_back({ none, true });
        }
        for (auto change = config.history.rbegin(); change != config.history.rend(); ++change)
            rows.push_back({ *change, change->revision == config.revision });
        return rows;
    }

    template <typename Row, typename Rows>
    Table buildTable(const std::vector<Column<Row>>& columns, const Rows& rows, const ColumnInputs& inputs)
    {
        Table table;
        for (const Column<Row>& column : columns)
            table.columns.emplace_back(column.name);
        for (const Row& row : rows) {
            auto& cells = table.rows.emplace_back();
            for (const Column<Row>& column : columns)
                cells.push_back(column.read(row, inputs));
        }
        return table;
    }

    template <typename Map> auto valuesOf(const Map& map)
    {
        std::vector<typename Map::mapped_type> values;
        values.reserve(map.size());
        for (const auto& [name, value] : map)
            values.push_back(value);
        return values;
    }

    Table topicTable(ShowTopic topic, const ColumnInputs& inputs)
    {
        const Config& config = inputs.config;
        switch (topic) {
        case ShowTopic::Organisations:
            return buildTable(organisationColumns, valuesOf(config.organisations), inputs);
        case ShowTopic::Pools:
            return buildTable(poolColumns, valuesOf(config.pools), inputs);
        case ShowTopic::Upstreams:
            return buildTable(upstreamColumns, valuesOf(config.upstreams), inputs);
        case ShowTopic::Policies:
            return buildTable(policyColumns, valuesOf(config.policies), inputs);
        case ShowTopic::Plans:
            return buildTable(planColumns, valuesOf(config.drainPlans), inputs);
        case ShowTopic::Instances:
            return buildTable(instanceColumns, inputs.runtime.instances, inputs);
        case ShowTopic::Config:
            return buildTable(configColumns, configRows(config), inputs);
        case ShowTopic::Revision:
            return buildTable(revisionColumns, revisionRows(config), inputs);
        }
        return {};
    }

    Result<std::size_t> findColumn(const Table& table, const std::string& name)
    {
        auto found = std::find(table.columns.begin(), table.columns.end(), name);
        if (found != table.columns.end())
            return static_cast<std::size_t>(found - table.columns.begin());
        std::string names;
        for (const std::string& column : table.columns)
            names += (names.empty() ? "" : ", ") + column;
        return Error { ErrorKind::NotFound, "there is no column '" + name + "' here: use one of " + names };
    }

    // Matches a LIKE pattern: % matches any text, _ one character; case is ignored. The time is at most
    // proportional to the length of the text times that of the pattern.
    bool isLike(std::string_view text, std::string_view pattern)
    {
        std::size_t t = 0;
        std::size_t p = 0;
        std::size_t afterPercent = std::string_view::npos;
        std::size_t retryFrom = 0;
        auto equalCharacters = [](char a, char b) {
            return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
        };
        while (t < text.size()) {
            if (p < pattern.size() && pattern[p] == '%') {
                afterPercent = ++p;
                retryFrom = t;
            } else if (p < pattern.size() && (pattern[p] == '_' || equalCharacters(pattern[p], text[t]))) {
                ++p;
                ++t;
            } else if (afterPercent != std::string_view::npos) {
                p = afterPercent;
                t = ++retryFrom;
            } else {
                return false;
            }
        }
        return pattern.find_first_not_of('%', p) == std::string_view::npos;
    }

    template <typename Value>
    bool comparisonHolds(const Value& cell, Comparison comparison, const Value& value)
    {
        switch (comparison) {
        case Comparison::Equal:
            return cell == value;
        case Comparison::NotEqual:
            return cell != value;
        case Comparison::Less:
            return cell < value;
        case Comparison::LessOrEqual:
            return cell <= value;
        case Comparison::Greater:
            return cell > value;
        case Comparison::GreaterOrEqual:
            return cell >= value;
        case Comparison::Like:
            return false;
        }
        return false;
    }

    Error comparisonMismatch(const Filter& filter, std::string_view remedy)
    {
        return { ErrorKind::InvalidArgument,
            "the comparison of column '" + filter.column
                + "' does not fit its values: " + std::string(remedy) };
    }

    // Tells whether a cell passes the filter. Unknown values pass no filter.
    struct FilterMatcher {
        const Filter& filter;

        Result<bool> operator()(std::monostate) const { return false; }

        Result<bool> operator()(bool cell) const
        {
            bool equality
                = filter.comparison == Comparison::Equal || filter.comparison == Comparison::NotEqual;
            if (!equality || (filter.value != "true" && filter.value != "false"))
                return comparisonMismatch(filter, "use = or != with true or false");
            return comparisonHolds(cell, filter.comparison, filter.value == "true");
        }

        Result<bool> operator()(std::int64_t cell) const { return (*this)(static_cast<double>(cell)); }

        Result<bool> operator()(double cell) const
        {
            auto value = parseNumber<double>(filter.value);
            if (!value || filter.comparison == Comparison::Like)
                return comparisonMismatch(filter, "use =, !=, <, <=, > or >= with a number");
            return comparisonHolds(cell, filter.comparison, *value);
        }

        Result<bool> operator()(const std::string& cell) const
        {
            if (filter.comparison == Comparison::Like)
                return isLike(cell, filter.value);
            return comparisonHolds(cell, filter.comparison, filter.value);
        }
    };

    Status filterRows(Table& table, const Filter& filter)
    {
        BOOST_OUTCOME_TRY(column, findColumn(table, filter.column));
        std::vector<std::vector<Cell>> kept;
        for (auto& row : table.rows) {
            BOOST_OUTCOME_TRY(matches, std::visit(FilterMatcher { filter }, row[column]));
            if (matches)
                kept.push_back(std::move(row));
        }
        table.rows = std::move(kept);
        return ok();
    }

    Status orderRows(Table& table, const ShowCommand& command)
    {
        if (command.orderBy.empty())
            return ok();
        BOOST_OUTCOME_TRY(column, findColumn(table, command.orderBy));
        std::stable_sort(table.rows.begin(), table.rows.end(), [&](const auto& first, const auto& second) {
            return command.descending ? second[column] < first[column] : first[column] < second[column];
        });
        return ok();
    }

    Status selectColumns(Table& table, const std::vector<std::string>& names)
    {
        if (names.empty())
            return ok();
        Table selected;
        selected.columns = names;
        selected.rows.resize(table.rows.size());
        for (const std::string& name : names) {
            BOOST_OUTCOME_TRY(column, findColumn(table, name));
            for (std::size_t i = 0; i < table.rows.size(); ++i)
                selected.rows[i].push_back(table.rows[i][column]);
        }
        table = std::move(selected);
        return ok();
    }

    std::string cellText(const Cell& cell)
    {
        struct Printer {
            std::string operator()(std::monostate) const { return "-"; }
            std::string operator()(bool value) const { return value ? "true" : "false"; }
            std::string operator()(std::int64_t value) const { return std::to_string(value); }
            std::string operator()(double value) const { return dumpJson(value); }
            std::string operator()(const std::string& value) const { return value; }
        };
        std::string text = std::visit(Printer {}, cell);
        std::replace_if(
            text.begin(), text.end(), [](unsigned char c) { return c < ' ' || c == 0x7f; }, ' ');
        return text;
    }

    bool isNumber(const Cell& cell)
    {
        return std::holds_alternative<std::int64_t>(cell) || std::holds_alternative<double>(cell);
    }

    std::string padded(const std::string& text, std::size_t width, bool right)
    {
        std::string space(width - std::min(width, text.size()), ' ');
        return right ? space + text : text + space;
    }

    Json cellJson(const Cell& cell)
    {
        struct Printer {
            Json operator()(std::monostate) const { return nullptr; }
            Json operator()(bool value) const { return value; }
            Json operator()(std::int64_t value) const { return value; }
            Json operator()(double value) const { return value; }
            Json operator()(const std::string& value) const { return value; }
        };
        return std::visit(Printer {}, cell);
    }

    Cell cellFromJson(const Json& json)
    {
        if (json.is_boolean())
            return json.get<bool>();
        if (json.is_number_integer())
            return json.get<std::int64_t>();
        if (json.is_number())
            return json.get<double>();
        if (json.is_string())
            return json.get<std::string>();
        return {};
    }

    ErrorKind errorKindFromName(std::string_view name)
    {
        for (int i = 0; i <= static_cast<int>(ErrorKind::Internal); ++i) {
            if (errorKindName(static_cast<ErrorKind>(i)) == name)
                return static_cast<ErrorKind>(i);
        }
        return ErrorKind::Internal;
    }

    Error invalidAnswer()
    {
        return { ErrorKind::InvalidArgument,
            "the answer does not have the format of the operator interface: check that the server address is "
            "that of an instance's admin listener" };
    }

    Result<Table> tableFromJson(const Json& columns, const Json& rows)
    {
        Table table;
        if (!columns.is_array() || !rows.is_array())
            return invalidAnswer();
        for (const Json& column : columns)
            table.columns.push_back(column.is_string() ? column.get<std::string>() : std::string());
        for (const Json& row : rows) {
            if (!row.is_array() || row.size() != table.columns.size())
                return invalidAnswer();
            auto& cells = table.rows.emplace_back();
            for (const Json& cell : row)
                cells.push_back(cellFromJson(cell));
        }
        return table;
    }

} // namespace

Result<Table> showTable(const ShowCommand& command, const Config& config, const RuntimeFacts& runtime)
{
    Table table = topicTable(command.topic, { config, runtime });
    for (const Filter& filter : command.filters) {
        BOOST_OUTCOME_TRYV(filterRows(table, filter));
    }
    BOOST_OUTCOME_TRYV(orderRows(table, command));
    if (command.limit && table.rows.size() > *command.limit)
        table.rows.resize(*command.limit);
    BOOST_OUTCOME_TRYV(selectColumns(table, command.columns));
    return table;
}

std::string printTable(const Table& table)
{
    std::vector<std::size_t> widths;
    std::vector<bool> numeric(table.columns.size(), false);
    for (const std::string& column : table.columns)
        widths.push_back(column.size());
    for (const auto& row : table.rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], cellText(row[i]).size());
            numeric[i] = numeric[i] || isNumber(row[i]);
        }
    }
    auto printLine = [&](auto textAt) {
        std::string line;
        for (std::size_t i = 0; i < table.columns.size(); ++i)
            line += (i == 0 ? "" : "  ") + padded(textAt(i), widths[i], numeric[i]);
        line.erase(line.find_last_not_of(' ') + 1);
        return line + "\n";
    };
    std::string text = printLine([&](std::size_t i) { return table.columns[i]; });
    for (const auto& row : table.rows)
        text += printLine([&](std::size_t i) { return cellText(row[i]); });
    return text;
}

Json answerJson(const OperatorAnswer& answer)
{
    Json json { { "ok", !answer.error.has_value() }, { "revision", answer.revision } };
    if (answer.error) {
        const std::string& message = answer.error->message;
        std::size_t colon = message.find(": ");
        json["error"] = { { "type", std::string(errorKindName(answer.error->kind)) }, { "message", message },
            { "remedy", colon == std::string::npos ? std::string() : message.substr(colon + 2) } };
    }
    if (answer.table) {
        json["columns"] = answer.table->columns;
        json["rows"] = Json::array();
        for (const auto& row : answer.table->rows) {
            Json cells = Json::array();
            for (const Cell& cell : row)
                cells.push_back(cellJson(cell));
            json["rows"].push_back(std::move(cells));
        }
    }
    return json;
}

Result<OperatorAnswer> parseAnswer(std::string_view text)
{
    auto json = parseJson(text, "the answer");
    if (!json)
        return invalidAnswer();
    auto succeeded = booleanField(json.value(), "ok");
    auto revision = integerField(json.value(), "revision");
    if (!succeeded)
        return invalidAnswer();
    OperatorAnswer answer;
    // Absent if the request was rejected before the configuration was read, for example for a wrong token.
    answer.revision = static_cast<std::uint64_t>(std::max<std::int64_t>(revision.value_or(0), 0));
    if (!*succeeded) {
        Json error = json.value().value("error", Json::object());
        answer.error = Error { errorKindFromName(stringField(error, "type").value_or("")),
            stringField(error, "message").value_or("the instance gave no reason") };
    }
    if (json.value().contains("columns") && json.value().contains("rows")) {
        BOOST_OUTCOME_TRY(table, tableFromJson(json.value()["columns"], json.value()["rows"]));
        answer.table = std::move(table);
    }
    return answer;
}

} // namespace briarwharf
