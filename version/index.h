#pragma once

#include "version/config.h"
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarwharf {

// Lookup tables for the handling of requests, built once for each revision. The returned pointers point into
// the configuration that the index owns a share of, and are valid as long as the index.
class ConfigIndex {
public:
    explicit ConfigIndex(std::shared_ptr<const Config>);

    const Config& config() const { return *m_config; }
    std::uint64_t revision() const { return m_config->revision; }

    // These return nullptr if there is no such object.
    const Organisation* organisationByKeyHash(const std::string& keyHash) const;
    const Pool* poolByModel(const std::string& model) const;
    const Pool* poolByName(const std::string& name) const;

    // The upstreams of a pool that are not removed, ordered by name. Empty for an unknown pool.
    const std::vector<const Upstream*>& upstreams(const std::string& pool) const;

    // The pool's policy, or the default values if the pool has none.
    const Policy& policy(const Pool&) const;

    // The pool's operation with this method and the longest matching path prefix; nullptr if none matches.
    static const Operation* findOperation(const Pool&, std::string_view method, std::string_view path);

private:
    std::shared_ptr<const Config> m_config;
    std::unordered_map<std::string, const Organisation*> m_organisations;
    std::unordered_map<std::string, const Pool*> m_models;
    std::unordered_map<std::string, std::vector<const Upstream*>> m_upstreams;
};

} // namespace briarwharf
