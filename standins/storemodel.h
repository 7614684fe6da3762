#pragma once

#include "base/base.h"
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarwharf {

// The platform's object API without its HTTP layer: objects with versions and conditional writes, watches,
// the lagging list of instances, and call counts. Versions come from one counter, so a key that is removed
// and created again never shows an earlier version.
class StoreModel {
public:
    struct Object {
        std::string value;
        std::uint64_t version = 0;
    };

    struct Listed {
        std::string key;
        Object object;
    };

    enum class Condition { None, Absent, Version };

    // Status as in HTTP: 200 changed, 201 created, 404, 412 condition failed, 413 over the value bound.
    struct WriteResult {
        int status = 0;
        std::uint64_t version = 0;
    };

    struct Faults {
        bool down = false; // 503 without effect
        bool closing = false; // the connection closes without an answer and without effect
        bool silent = false; // no answer and no effect
        bool silentWatches = false; // watches never answer
        std::int64_t lostAnswers = 0; // the next N writes take effect without an answer; -1: all
        Milliseconds delay { 0 }; // of each answer
    };

    const Object* find(const std::string& key) const;
    WriteResult put(const std::string& key, const std::string& value, Condition, std::uint64_t version);
    // `version` nullopt removes whatever is there.
    WriteResult remove(const std::string& key, std::optional<std::uint64_t> version);
    std::vector<Listed> list(const std::string& prefix, const std::string& after, std::size_t limit) const;

    // Called once, when the key's version differs from `known` (possibly at once) or the deadline has passed;
    // `changed` tells which.
    using WatchCallback = std::function<void(bool changed)>;
    std::uint64_t watch(const std::string& key, std::uint64_t known, MonotonicTime deadline, WatchCallback);
    void cancelWatch(std::uint64_t watch);
    // Ends the watches whose deadline has passed.
    void expireWatches(MonotonicTime now);
    std::size_t pendingWatches() const { return m_watches.size(); }

    // The list of instances in force at `now`; a list that was set shows after the lag.
    void setInstances(Json instances, MonotonicTime now, Milliseconds lag);
    Json instances(MonotonicTime now);

    // Counts a call of this kind ("read", "create", ...).
    void countCall(const std::string& kind) { ++m_calls[kind]; }
    // {"calls": {kind: count}, "total", "writes", "pending_watches", "objects", "bytes", "version"}
    Json stats() const;

    // Reads {"down": true|false|"close"|"silent", "delay_ms", "lose_answers": N|true, "silent_watches"};
    // fields that are absent keep their state.
    Status setFaults(const Json&);
    const Faults& faults() const { return m_faults; }
    // Whether the answer to the write that was just done is to be lost; counts down.
    bool takeLostAnswer();

private:
    struct Watch {
        std::string key;
        std::uint64_t known = 0;
        MonotonicTime deadline;
        WatchCallback callback;
    };

    struct PendingInstances {
        MonotonicTime visibleAt;
        Json instances;
    };

    std::uint64_t versionOf(const std::string& key) const;
    void notify(const std::string& key);

    std::map<std::string, Object> m_objects;
    std::uint64_t m_version = 0;
    std::map<std::uint64_t, Watch> m_watches;
    std::uint64_t m_nextWatch = 1;
    Json m_instances = Json::array();
    std::deque<PendingInstances> m_pendingInstances;
    std::map<std::string, std::uint64_t> m_calls;
    Faults m_faults;
};

// Longest value in bytes, as the platform's.
constexpr std::size_t maxStoreValueBytes = 1024 * 1024;

} // namespace briarwharf
