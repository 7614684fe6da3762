#pragma once

#include "version/command.h"
#include <array>
#include <string_view>
#include <utility>
#include <variant>

namespace briarwharf {

// Internal to the library: the properties of each object in the command language and the words of each
// enumeration. The parser and the printer share the properties; snapshots and SHOW use the words too.

template <typename Object>
using PropertyMember = std::variant<std::optional<std::string> Object::*, std::optional<double> Object::*,
    std::optional<std::uint32_t> Object::*, std::optional<bool> Object::*, std::optional<KeyHash> Object::*,
    std::optional<Endpoint> Object::*, std::optional<Milliseconds> Object::*,
    std::optional<PoolKind> Object::*, std::optional<Strategy> Object::*,
    std::optional<std::vector<Operation>> Object::*>;

template <typename Object> struct Property {
    std::string_view keyword;
    PropertyMember<Object> member;
};

inline constexpr std::array<Property<OrganisationCommand>, 3> organisationProperties { {
    { "KEY", &OrganisationCommand::key },
    { "WEIGHT", &OrganisationCommand::weight },
    { "TOKENS_PER_SECOND", &OrganisationCommand::tokensPerSecond },
} };

inline constexpr std::array<Property<PoolCommand>, 4> poolProperties { {
    { "KIND", &PoolCommand::kind },
    { "MODEL", &PoolCommand::model },
    { "POLICY", &PoolCommand::policy },
    { "OPERATIONS", &PoolCommand::operations },
} };

inline constexpr std::array<Property<UpstreamCommand>, 7> upstreamProperties { {
    { "POOL", &UpstreamCommand::pool },
    { "ADDRESS", &UpstreamCommand::endpoint },
    { "DOMAIN", &UpstreamCommand::failureDomain },
    { "WEIGHT", &UpstreamCommand::weight },
    { "SLOTS", &UpstreamCommand::slots },
    { "REPORTS_STATE", &UpstreamCommand::reportsState },
    { "CHECKS_FENCE", &UpstreamCommand::checksFence },
} };

inline constexpr std::array<Property<PolicyCommand>, 4> policyProperties { {
    { "STRATEGY", &PolicyCommand::strategy },
    { "LOAD_BOUND", &PolicyCommand::loadBound },
    { "SHORT_TOKENS", &PolicyCommand::shortTokens },
    { "QUEUE_DEADLINE", &PolicyCommand::queueDeadline },
} };

constexpr const auto& propertiesOf(const OrganisationCommand*) { return organisationProperties; }
constexpr const auto& propertiesOf(const PoolCommand*) { return poolProperties; }
constexpr const auto& propertiesOf(const UpstreamCommand*) { return upstreamProperties; }
constexpr const auto& propertiesOf(const PolicyCommand*) { return policyProperties; }

template <typename Value> using Word = std::pair<std::string_view, Value>;

inline constexpr std::array<Word<Strategy>, 3> strategyWords { {
    { "balanced", Strategy::Balanced },
    { "skew", Strategy::Skew },
    { "reuse", Strategy::Reuse },
} };

inline constexpr std::array<Word<PoolKind>, 2> poolKindWords { {
    { "engine", PoolKind::Engine },
    { "service", PoolKind::Service },
} };

inline constexpr std::array<Word<UpstreamState>, 3> upstreamStateWords { {
    { "serving", UpstreamState::Serving },
    { "draining", UpstreamState::Draining },
    { "removed", UpstreamState::Removed },
} };

inline constexpr std::array<Word<bool>, 2> booleanWords { {
    { "true", true },
    { "false", false },
} };

// If two words have the same value, the first one is printed.
inline constexpr std::array<Word<ObjectKind>, 5> objectWords { {
    { "ORGANISATION", ObjectKind::Organisation },
    { "ORGANIZATION", ObjectKind::Organisation },
    { "POOL", ObjectKind::Pool },
    { "UPSTREAM", ObjectKind::Upstream },
    { "POLICY", ObjectKind::Policy },
} };

inline constexpr std::array<Word<ShowTopic>, 9> topicWords { {
    { "ORGANISATIONS", ShowTopic::Organisations },
    { "ORGANIZATIONS", ShowTopic::Organisations },
    { "POOLS", ShowTopic::Pools },
    { "UPSTREAMS", ShowTopic::Upstreams },
    { "POLICIES", ShowTopic::Policies },
    { "PLANS", ShowTopic::Plans },
    { "INSTANCES", ShowTopic::Instances },
    { "CONFIG", ShowTopic::Config },
    { "REVISION", ShowTopic::Revision },
} };

inline constexpr std::array<Word<Comparison>, 7> comparisonWords { {
    { "=", Comparison::Equal },
    { "!=", Comparison::NotEqual },
    { "<", Comparison::Less },
    { "<=", Comparison::LessOrEqual },
    { ">", Comparison::Greater },
    { ">=", Comparison::GreaterOrEqual },
    { "LIKE", Comparison::Like },
} };

inline constexpr std::array<Word<ShowFormat>, 2> formatWords { {
    { "TABLE", ShowFormat::Table },
    { "JSON", ShowFormat::Json },
} };

// 0 is Monday.
inline constexpr std::array<Word<int>, 14> weekdayWords { {
    { "MONDAY", 0 },
    { "MON", 0 },
    { "TUESDAY", 1 },
    { "TUE", 1 },
    { "WEDNESDAY", 2 },
    { "WED", 2 },
    { "THURSDAY", 3 },
    { "THU", 3 },
    { "FRIDAY", 4 },
    { "FRI", 4 },
    { "SATURDAY", 5 },
    { "SAT", 5 },
    { "SUNDAY", 6 },
    { "SUN", 6 },
} };

template <typename Words, typename Value> constexpr std::string_view wordFor(const Words& words, Value value)
{
    for (const auto& [word, meaning] : words) {
        if (meaning == value)
            return word;
    }
    return "unknown";
}

} // namespace briarwharf
