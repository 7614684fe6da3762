#pragma once

#include "base/base.h"
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace briarwharf {

// The platform's object API without its HTTP layer: objects with versions and conditional writes, watches,
// the list of instances, which changes with a lag, and call counts. All versions come from one counter, so a
// key that is removed and created again never has an earlier version, unless the store comes back from a
// copy.
class StoreModel {
public:
    struct Object {
        std::string value;
        std::uint64_t version = 0;
    };

    struct ListedObject {
        std::string key;
        Object object;
    };

    enum class Condition { None, Absent, Version };

    // HTTP status: 200 changed or removed, 201 created, 404 absent, 412 condition failed, 413 value too
    // large.
    struct WriteResult {
        int status = 0;
        std::uint64_t version = 0;
    };

    struct Faults {
        bool down = false; // answers 503; calls have no effect
        bool closing = false; // closes the connection without an answer; calls have no effect
        bool silent = false; // does not answer; calls have no effect
        bool silentWatches = false; // does not answer watches
        std::int64_t lostAnswers = 0; // number of coming writes that take effect but get no answer; -1: all
        Milliseconds delay { 0 }; // delay of each answer
    };

    const Object* find(const std::string& key) const;
    WriteResult put(const std::string& key, const std::string& value, Condition, std::uint64_t version);
    // Without a version, removes the object whatever its version is.
    WriteResult remove(const std::string& key, std::optional<std::uint64_t> version);
    std::vector<ListedObject> list(
        const std::string& prefix, const std::string& after, std::size_t limit) const;

    // Called once, when the key's version differs from `knownVersion` (possibly within watch() itself) or
    // when the deadline has passed; `changed` is true in the first case.
    using WatchCallback = std::function<void(bool changed)>;
    std::uint64_t watch(
        const std::string& key, std::uint64_t knownVersion, MonotonicTime deadline, WatchCallback);
    void cancelWatch(std::uint64_t watch);
    // Calls back and removes the watches whose deadline has passed.
    void expireWatches(MonotonicTime now);
    std::size_t pendingWatches() const { return m_watches.size(); }

    // Keeps a copy of the objects; restoreCopy() brings it back, with its version counter, and raises the
    // era.
    void keepCopy();
    // Errors: InvalidArgument (there is no copy).
    Status restoreCopy();
    std::uint64_t era() const { return m_era; }

    // A list that is set becomes visible after the lag; instances() returns the list visible at `now`.
    void setInstances(Json instances, MonotonicTime now, Milliseconds lag);
    Json instances(MonotonicTime now);

    // Counts a call of this kind ("read", "create", "update", "put", "remove", "list", "watch" or
    // "instances").
    void countCall(const std::string& kind) { ++m_calls[kind]; }
    // {"calls": {kind: count}, "total", "writes", "pending_watches", "objects", "bytes", "version"}
    Json stats() const;

    // Reads {"down": true|false|"close"|"silent", "delay_ms", "lose_answers": N|true, "silent_watches",
    // "copy": "keep"|"restore"}; fields that are absent keep their value. Errors: InvalidArgument.
    Status setFaults(const Json&);
    const Faults& faults() const { return m_faults; }
    // Returns whether the answer to the latest write must be dropped, and counts it against `lostAnswers`.
    bool takeLostAnswer();

private:
    struct Watch {
        std::string key;
        std::uint64_t knownVersion = 0;
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
    std::uint64_t m_era = 0;
    std::optional<std::pair<std::map<std::string, Object>, std::uint64_t>> m_copy; // objects, version
    std::map<std::uint64_t, Watch> m_watches;
    std::uint64_t m_nextWatch = 1;
    Json m_instances = Json::array();
    std::deque<PendingInstances> m_pendingInstances;
    std::map<std::string, std::uint64_t> m_calls;
    Faults m_faults;
};

// Maximum size of a value in bytes, the same as the platform's.
constexpr std::size_t maxStoreValueBytes = 1024 * 1024;

} // namespace briarwharf
