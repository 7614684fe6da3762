#pragma once

#include "version/config.h"
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarwharf {

// Lookups that requests need, computed once for each revision. Pointers are into the configuration that the
// index holds.
class ConfigIndex {
public:
    explicit ConfigIndex(std::shared_ptr<const Config>);

    const Config& config() const { return *m_config; }
    std::uint64_t revision() const { return m_config->revision; }

    // nullptr if there is none.
    const Organisation* organisationByKeyHash(const std::string& keyHash) const;
    const Pool* poolByModel(const std::string& model) const;
    const Pool* poolByName(const std::string& name) const;

    // Upstreams of a pool that are not removed, in order of name.
    const std::vector<const Upstream*>& upstreams(const std::string& pool) const;

    // The pool's policy, or the defaults.
    const Policy& policy(const Pool&) const;

    // The declared operation with the longest path prefix; nullptr if none fits.
    static const Operation* findOperation(const Pool&, std::string_view method, std::string_view path);

private:
    std::shared_ptr<const Config> m_config;
    std::unordered_map<std::string, const Organisation*> m_organisations;
    std::unordered_map<std::string, const Pool*> m_models;
    std::unordered_map<std::string, std::vector<const Upstream*>> m_upstreams;
};

} // namespace briarwharf
