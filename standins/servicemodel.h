#pragma once

#include "base/base.h"
#include <cstdint>
#include <string>
#include <unordered_map>

namespace briarwharf {

// A plain service without deduplication: it runs every call that it receives, and counts the runs of each
// idempotency key, so that a test can check whether a call ran more than once.
class ServiceModel {
public:
    // Runs a call; returns how many times its key has run, including this run. Calls without a key count only
    // in the totals, and 0 is returned.
    std::uint64_t run(const std::string& key);

    std::uint64_t runs(const std::string& key) const;

    // {"total", "without_key", "distinct_keys", "repeated": {key: runs}, "keys": {key: runs}}; `keys` only if
    // `withKeys` is set, as there may be many.
    Json report(bool withKeys) const;

private:
    std::unordered_map<std::string, std::uint64_t> m_runs;
    std::uint64_t m_total = 0;
    std::uint64_t m_withoutKey = 0;
};

} // namespace briarwharf
