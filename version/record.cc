#include "version/record.h"

#include "base/hash.h"
#include "base/json.h"
#include "version/properties.h"
#include <limits>
#include <tuple>

namespace briarwharf {

namespace {

    // Format versions. A version is raised when the previous release could not read the new format.
    constexpr std::int64_t recordVersion = 1;
    constexpr std::int64_t snapshotVersion = 1;

    // Maximum time or duration that is accepted, in milliseconds: 1 January 2200 as Unix time. Much later
    // times would overflow the clock's nanoseconds.
    constexpr std::int64_t maxTimeMs = 7258118400000;

    Error corrupt(std::string_view documentKind, std::string_view reason)
    {
        return { ErrorKind::Corrupt,
            "the " + std::string(documentKind) + " cannot be read (" + std::string(reason)
                + "): fetch it again from the store or another instance" };
    }

    // Parses the JSON object that records and snapshots consist of, and checks its format version.
    Result<Json> parseEnvelope(
        std::string_view payload, std::string_view documentKind, std::size_t maxBytes, std::int64_t version)
    {
        if (payload.size() > maxBytes)
            return corrupt(documentKind, "it is longer than " + std::to_string(maxBytes) + " bytes");
        auto parsed = parseJson(payload, documentKind);
        if (!parsed)
            return corrupt(documentKind, "it is not JSON");
        auto found = integerField(parsed.value(), "v");
        if (!found || *found < 1)
            return corrupt(documentKind, "it has no format version");
        if (*found > version)
            return Error { ErrorKind::Unavailable,
                "the " + std::string(documentKind) + " has format version " + std::to_string(*found)
                    + ", and this program reads up to " + std::to_string(version) + ": update the program" };
        return parsed;
    }

    // A field of an object in a snapshot: its JSON name and its member. Fields with their default values are
    // left out of the snapshot.
    template <typename Object, typename Value> struct Field {
        const char* name;
        Value Object::*member;
    };

    template <typename Object, typename Value> Field(const char*, Value Object::*) -> Field<Object, Value>;

    auto fieldsOf(const Organisation*)
    {
        return std::tuple { Field { "name", &Organisation::name }, Field { "key", &Organisation::keyHash },
            Field { "weight", &Organisation::weight }, Field { "rate", &Organisation::tokensPerSecond } };
    }

    auto fieldsOf(const Operation*)
    {
        return std::tuple { Field { "method", &Operation::method }, Field { "path", &Operation::pathPrefix },
            Field { "repeatable", &Operation::repeatable } };
    }

    auto fieldsOf(const Pool*)
    {
        return std::tuple { Field { "name", &Pool::name }, Field { "kind", &Pool::kind },
            Field { "model", &Pool::model }, Field { "policy", &Pool::policy },
            Field { "operations", &Pool::operations } };
    }

    auto fieldsOf(const Upstream*)
    {
        return std::tuple { Field { "name", &Upstream::name }, Field { "pool", &Upstream::pool },
            Field { "address", &Upstream::address }, Field { "port", &Upstream::port },
            Field { "domain", &Upstream::failureDomain }, Field { "state", &Upstream::state },
            Field { "reports", &Upstream::reportsState }, Field { "fence", &Upstream::checksFence },
            Field { "weight", &Upstream::weight }, Field { "slots", &Upstream::slots },
            Field { "planned", &Upstream::drainedByPlan }, Field { "window", &Upstream::drainWindow },
            Field { "drained", &Upstream::drainRevision }, Field { "empty", &Upstream::empty } };
    }

    auto fieldsOf(const Policy*)
    {
        return std::tuple { Field { "name", &Policy::name }, Field { "strategy", &Policy::strategy },
            Field { "bound", &Policy::loadBound }, Field { "short", &Policy::shortTokens },
            Field { "deadline", &Policy::queueDeadline } };
    }

    auto fieldsOf(const DrainPlan*)
    {
        return std::tuple { Field { "upstream", &DrainPlan::upstream },
            Field { "weekday", &DrainPlan::weekday }, Field { "start", &DrainPlan::start },
            Field { "length", &DrainPlan::length }, Field { "handover", &DrainPlan::handover } };
    }

    auto fieldsOf(const Change*)
    {
        return std::tuple { Field { "revision", &Change::revision }, Field { "time", &Change::time },
            Field { "author", &Change::author }, Field { "request", &Change::requestId },
            Field { "summary", &Change::summary } };
    }

    auto fieldsOf(const Config*)
    {
        return std::tuple { Field { "revision", &Config::revision },
            Field { "organisations", &Config::organisations }, Field { "pools", &Config::pools },
            Field { "upstreams", &Config::upstreams }, Field { "policies", &Config::policies },
            Field { "plans", &Config::drainPlans }, Field { "retired", &Config::retiredNames },
            Field { "history", &Config::history }, Field { "changed", &Config::changedRevision } };
    }

    // One overload for each type of field. Those for lists, maps and objects call the others for the
    // elements.
    Json toJson(const std::string& value) { return value; }
    Json toJson(bool value) { return value; }
    Json toJson(double value) { return value; }
    Json toJson(std::uint16_t value) { return value; }
    Json toJson(std::uint32_t value) { return value; }
    Json toJson(std::uint64_t value) { return value; }
    Json toJson(int value) { return value; }
    Json toJson(Milliseconds value) { return value.count(); }
    Json toJson(std::chrono::minutes value) { return value.count(); }
    Json toJson(WallTime value) { return unixMilliseconds(value); }
    Json toJson(Strategy value) { return std::string(strategyName(value)); }
    Json toJson(PoolKind value) { return std::string(poolKindName(value)); }
    Json toJson(UpstreamState value) { return std::string(upstreamStateName(value)); }
    template <typename Element> Json toJson(const std::vector<Element>&);
    template <typename Element> Json toJson(const std::map<std::string, Element>&);
    Json toJson(const std::map<std::string, std::uint64_t>& map) { return Json(map); }

    template <typename Object> Json toJson(const Object& object) requires requires { fieldsOf(&object); }
    {
        static const Object defaults;
        Json json = Json::object();
        auto write = [&](const auto& field) {
            if (object.*field.member != defaults.*field.member)
                json[field.name] = toJson(object.*field.member);
        };
        std::apply([&](const auto&... fields) { (write(fields), ...); }, fieldsOf(&object));
        return json;
    }

    template <typename Element> Json toJson(const std::vector<Element>& list)
    {
        Json json = Json::array();
        for (const Element& element : list)
            json.push_back(toJson(element));
        return json;
    }

    // Each object contains its own name, so a map is stored as a list of its objects.
    template <typename Element> Json toJson(const std::map<std::string, Element>& map)
    {
        Json json = Json::array();
        for (const auto& [name, element] : map)
            json.push_back(toJson(element));
        return json;
    }

    template <typename Integer> bool readInteger(const Json& json, Integer& value)
    {
        if (!json.is_number_integer())
            return false;
        if (json.is_number_unsigned()) {
            auto number = json.get<std::uint64_t>();
            value = static_cast<Integer>(number);
            return number <= static_cast<std::uint64_t>(std::numeric_limits<Integer>::max());
        }
        auto number = json.get<std::int64_t>();
        value = static_cast<Integer>(number);
        return std::is_signed_v<
                   Integer> && number >= static_cast<std::int64_t>(std::numeric_limits<Integer>::min());
    }

    template <typename Words, typename Value>
    bool readWord(const Json& json, const Words& words, Value& value)
    {
        if (!json.is_string())
            return false;
        for (const auto& [word, meaning] : words) {
            if (json.get_ref<const std::string&>() == word) {
                value = meaning;
                return true;
            }
        }
        return false;
    }

    template <typename Duration> bool readDuration(const Json& json, Duration& value)
    {
        std::int64_t count = 0;
        if (!readInteger(json, count) || count < 0 || count > maxTimeMs)
            return false;
        value = Duration(count);
        return true;
    }

    bool fromJson(const Json& json, std::string& value)
    {
        if (!json.is_string())
            return false;
        value = json.get<std::string>();
        return true;
    }

    bool fromJson(const Json& json, bool& value)
    {
        if (!json.is_boolean())
            return false;
        value = json.get<bool>();
        return true;
    }

    bool fromJson(const Json& json, double& value)
    {
        if (!json.is_number())
            return false;
        value = json.get<double>();
        return true;
    }

    bool fromJson(const Json& json, std::uint16_t& value) { return readInteger(json, value); }
    bool fromJson(const Json& json, std::uint32_t& value) { return readInteger(json, value); }
    bool fromJson(const Json& json, std::uint64_t& value) { return readInteger(json, value); }
    bool fromJson(const Json& json, int& value) { return readInteger(json, value); }
    bool fromJson(const Json& json, Milliseconds& value) { return readDuration(json, value); }
    bool fromJson(const Json& json, std::chrono::minutes& value) { return readDuration(json, value); }
    bool fromJson(const Json& json, Strategy& value) { return readWord(json, strategyWords, value); }
    bool fromJson(const Json& json, PoolKind& value) { return readWord(json, poolKindWords, value); }
    bool fromJson(const Json& json, UpstreamState& value)
    {
        return readWord(json, upstreamStateWords, value);
    }

    bool fromJson(const Json& json, WallTime& value)
    {
        Milliseconds sinceEpoch {};
        if (!readDuration(json, sinceEpoch))
            return false;
        value = WallTime(sinceEpoch);
        return true;
    }

    const std::string& nameOf(const DrainPlan& plan) { return plan.upstream; }
    template <typename Object> const std::string& nameOf(const Object& object) { return object.name; }

    template <typename Element> bool fromJson(const Json&, std::vector<Element>&);
    template <typename Element> bool fromJson(const Json&, std::map<std::string, Element>&);

    bool fromJson(const Json& json, std::map<std::string, std::uint64_t>& map)
    {
        if (!json.is_object())
            return false;
        for (const auto& [name, value] : json.items()) {
            if (!fromJson(value, map[name]))
                return false;
        }
        return map.size() <= maxRetiredNames;
    }

    template <typename Object> bool fromJson(const Json& json, Object& object) requires requires
    {
        fieldsOf(&object);
    }
    {
        if (!json.is_object())
            return false;
        auto read = [&](const auto& field) {
            auto found = json.find(field.name);
            return found == json.end() || fromJson(*found, object.*field.member);
        };
        return std::apply([&](const auto&... fields) { return (read(fields) && ...); }, fieldsOf(&object));
    }

    template <typename Element> bool fromJson(const Json& json, std::vector<Element>& list)
    {
        if (!json.is_array())
            return false;
        for (const Json& element : json) {
            if (!fromJson(element, list.emplace_back()))
                return false;
        }
        return true;
    }

    template <typename Element> bool fromJson(const Json& json, std::map<std::string, Element>& map)
    {
        if (!json.is_array())
            return false;
        for (const Json& entry : json) {
            Element element;
            if (!fromJson(entry, element))
                return false;
            std::string name = nameOf(element);
            if (!map.emplace(name, std::move(element)).second)
                return false;
        }
        return true;
    }

    std::string checksumOf(std::string_view bytes) { return std::to_string(hash64(bytes)); }

} // namespace

std::string encodeRecord(const ConfigRecord& record)
{
    Json commands = Json::array();
    for (const Command& command : record.commands)
        commands.push_back(printCommand(command));
    return dumpJson({ { "v", recordVersion }, { "time", unixMilliseconds(record.origin.time) },
        { "author", record.origin.author }, { "request", record.origin.requestId },
        { "commands", std::move(commands) } });
}

Result<ConfigRecord> decodeRecord(std::string_view payload)
{
    BOOST_OUTCOME_TRY(json, parseEnvelope(payload, "configuration record", maxRecordBytes, recordVersion));
    ConfigRecord record;
    auto author = stringField(json, "author");
    auto request = stringField(json, "request");
    auto time = json.find("time");
    auto commands = json.find("commands");
    bool complete = author && request && time != json.end() && commands != json.end() && commands->is_array();
    if (!complete || !fromJson(*time, record.origin.time))
        return corrupt("configuration record", "a field is missing or has the wrong type");
    record.origin.author = *author;
    record.origin.requestId = *request;
    if (commands->empty() || commands->size() > maxCommandsPerText)
        return corrupt("configuration record", "it has no command or too many");
    for (const Json& text : *commands) {
        if (!text.is_string())
            return corrupt("configuration record", "a command is not a string");
        auto command = parseCommand(text.get_ref<const std::string&>());
        if (!command)
            return corrupt("configuration record", "a command has a syntax error");
        record.commands.push_back(std::move(command).value());
    }
    return record;
}

std::string encodeSnapshot(const Config& config)
{
    Json body = toJson(config);
    std::string checksum = checksumOf(dumpJson(body));
    return dumpJson({ { "v", snapshotVersion }, { "checksum", checksum }, { "config", std::move(body) } });
}

Result<Config> decodeSnapshot(std::string_view payload)
{
    BOOST_OUTCOME_TRY(json, parseEnvelope(payload, "snapshot", maxSnapshotBytes, snapshotVersion));
    auto body = json.find("config");
    auto checksum = stringField(json, "checksum");
    if (body == json.end() || !checksum)
        return corrupt("snapshot", "a field is missing or has the wrong type");
    if (*checksum != checksumOf(dumpJson(*body)))
        return corrupt("snapshot", "its checksum differs");
    Config config;
    if (!fromJson(*body, config))
        return corrupt("snapshot", "a field has the wrong type or is out of range");
    Status valid = validateConfig(config);
    if (!valid)
        return corrupt("snapshot", valid.error().message);
    return config;
}

Result<AppliedRecord> applyRecord(const Config& config, std::uint64_t number, std::string_view payload)
{
    if (number != config.revision + 1)
        return Error { ErrorKind::InvalidArgument,
            "record " + std::to_string(number) + " does not follow revision "
                + std::to_string(config.revision) + ": apply record " + std::to_string(config.revision + 1)
                + " first" };
    auto refuse = [&](const Error& error) {
        AppliedRecord refused { config, error };
        refused.config.revision = number;
        return refused;
    };
    auto record = decodeRecord(payload);
    if (!record && record.error().kind == ErrorKind::Unavailable)
        return record.error();
    if (!record)
        return refuse(record.error());
    auto next = applyCommands(config, record.value().commands, record.value().origin);
    if (!next)
        return refuse(next.error());
    return AppliedRecord { std::move(next).value(), std::nullopt };
}

} // namespace briarwharf
