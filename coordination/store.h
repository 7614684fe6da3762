#pragma once

#include "base/error.h"
#include "base/time.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace briarwharf {

// Version of a stored object; rises with each change. 0 stands for "absent".
using ObjectVersion = std::uint64_t;

struct StoredObject {
    std::string key;
    std::string value;
    ObjectVersion version = 0;
};

// What is known of a write after the call.
enum class WriteOutcome {
    Done, // in effect, with the version given
    Conflict, // not in effect: the object exists (create) or has another version (update, remove)
    Unknown, // sent, but the answer was lost or timed out: it may be in effect, now or later
    NotSent, // not in effect: no byte reached the store
};

struct WriteResult {
    WriteOutcome outcome = WriteOutcome::NotSent;
    ObjectVersion version = 0;
};

// The platform's object API: objects with versions, conditional writes and watches.
//
// Every callback is called exactly once, and never before the call that takes it has returned. An adapter
// ends each call at its own deadline, so callers need no timer. The platform counts each call against a
// rate limit, a waiting watch as one; group writes where possible.
class Store {
public:
    // nullopt: the object is absent. Errors: Unavailable (the store did not answer in time).
    using ReadCallback = std::function<void(Result<std::optional<StoredObject>>)>;
    using WriteCallback = std::function<void(WriteResult)>;
    // Objects in key order. Errors: Unavailable.
    using ListCallback = std::function<void(Result<std::vector<StoredObject>>)>;

    virtual ~Store() = default;

    virtual void read(const std::string& key, ReadCallback) = 0;

    // Writes only if the object is absent.
    virtual void create(const std::string& key, const std::string& value, WriteCallback) = 0;

    // Writes only if the object has the given version.
    virtual void update(const std::string& key, ObjectVersion, const std::string& value, WriteCallback) = 0;

    // Removes only if the object has the given version.
    virtual void remove(const std::string& key, ObjectVersion, WriteCallback) = 0;

    // Calls back with the object as soon as its version differs from the one given, or with its present state
    // when `timeout` has passed. An absent object may be watched with version 0.
    virtual void watch(const std::string& key, ObjectVersion known, Milliseconds timeout, ReadCallback) = 0;

    // At most `limit` objects whose keys start with `prefix` and come after `after`.
    virtual void list(const std::string& prefix, const std::string& after, std::size_t limit, ListCallback)
        = 0;
};

// Longest value that the platform's store accepts, in bytes.
constexpr std::size_t maxStoredValueBytes = 1024 * 1024;

} // namespace briarwharf
