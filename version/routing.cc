#include "version/routing.h"

#include "base/hash.h"
#include <algorithm>
#include <cctype>
#include <utility>

namespace briarwharf {

namespace {

    // The host in lower case and without its port.
    std::string normalizedHost(std::string_view host)
    {
        std::size_t colon = host.rfind(':');
        if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
            host = host.substr(0, colon);
        std::string key(host);
        std::transform(key.begin(), key.end(), key.begin(),
            [](char c) { return static_cast<char>(std::tolower(static_cast<unsigned char>(c))); });
        return key;
    }

    template <typename Map, typename Vector>
    auto* lookUp(const Map& map, const Vector& values, std::string_view key)
    {
        auto found = map.find(std::string(key));
        return found == map.end() ? nullptr : &values[found->second];
    }

} // namespace

std::string_view routeKindName(RouteKind kind)
{
    constexpr std::string_view names[] { "repeatable", "at-most-once", "stream" };
    return names[static_cast<std::size_t>(kind)];
}

RoutingTable::RoutingTable(RoutingConfig config)
    : m_config(std::move(config))
{
    for (std::size_t index = 0; index < m_config.routes.size(); ++index) {
        const Route& route = m_config.routes[index];
        m_routes.emplace(normalizedHost(route.host) + route.pathPrefix, index);
    }
    for (std::size_t index = 0; index < m_config.organisations.size(); ++index) {
        for (const auto& key : m_config.organisations[index].keys)
            m_organisations.emplace(key, index);
    }
    for (std::size_t index = 0; index < m_config.pools.size(); ++index)
        m_pools.emplace(m_config.pools[index].name, index);
}

const Route* RoutingTable::findRoute(std::string_view host, std::string_view target) const
{
    std::string_view path = target.substr(0, target.find('?'));
    std::string key = normalizedHost(host);
    std::size_t hostLength = key.size();
    // Path prefixes end with a slash, so the search tries the path up to each of its slashes, longest first.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        key.resize(hostLength);
        key += path.substr(0, slash + 1);
        auto found = m_routes.find(key);
        if (found != m_routes.end())
            return &m_config.routes[found->second];
    }
    return nullptr;
}

const RoutedOrganisation* RoutingTable::findOrganisation(std::string_view key) const
{
    return lookUp(m_organisations, m_config.organisations, key);
}

const RoutedPool* RoutingTable::findPool(std::string_view name) const
{
    return lookUp(m_pools, m_config.pools, name);
}

const std::string& RoutingTable::choosePool(const Route& route, std::uint64_t requestHash)
{
    double total = 0;
    for (const auto& candidate : route.pools)
        total += candidate.weight;
    double point = unitInterval(requestHash) * total;
    for (const auto& candidate : route.pools) {
        point -= candidate.weight;
        if (point < 0)
            return candidate.pool;
    }
    return route.pools.back().pool;
}

} // namespace briarwharf
