#include "standins/servicemodel.h"

namespace briarwharf {

std::uint64_t ServiceModel::run(const std::string& key)
{
    ++m_total;
    if (key.empty()) {
        ++m_withoutKey;
        return 0;
    }
    return ++m_runs[key];
}

std::uint64_t ServiceModel::runs(const std::string& key) const
{
    auto found = m_runs.find(key);
    return found == m_runs.end() ? 0 : found->second;
}

Json ServiceModel::report(bool withKeys) const
{
    Json repeated = Json::object();
    for (const auto& [key, runs] : m_runs) {
        if (runs > 1)
            repeated[key] = runs;
    }
    Json report = { { "total", m_total }, { "without_key", m_withoutKey }, { "distinct_keys", m_runs.size() },
        { "repeated", repeated } };
    if (withKeys)
        report["keys"] = m_runs;
    return report;
}

} // namespace briarwharf
