#pragma once

#include "base/error.h"
#include "base/time.h"
#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace briarwharf {

// Version of a stored object; increases with each change. 0 means that the object is absent.
using ObjectVersion = std::uint64_t;

// Counts how often the store has come back from an older copy of its objects. Writes that it acknowledged
// after the copy was taken are gone then, and versions are given out again. 0 if the store states none.
using StoreEra = std::uint64_t;

struct StoredObject {
    std::string key;
    std::string value;
    ObjectVersion version = 0;
};

// What is known about a write when its call has ended.
enum class WriteOutcome {
    Done, // took effect; WriteResult::version is the new version of the object
    Conflict, // no effect: the object exists (create) or has another version (update, remove)
    Unknown, // sent, but the answer was lost or timed out: may have taken effect, or may do so later
    NotSent, // no effect: no byte reached the store
};

struct WriteResult {
    WriteOutcome outcome = WriteOutcome::NotSent;
    ObjectVersion version = 0;
};

// The platform's object API: objects with versions, conditional writes and watches.
//
// Every callback is called exactly once, and never before the call that takes it has returned. An adapter
// (an implementation of this interface) ends each call at its own deadline, so callers need no timer. The
// platform counts each call against a rate limit, and a watch counts as one call however long it waits. So
// put several changes into one write where possible.
//
// What was read or written in an earlier era is void in a later one. An adapter calls noteEra() with the era
// of each answer before the callback, and drops an answer from an earlier era than era(): the read ends as
// Unavailable, the write as Unknown.
class Store {
public:
    // nullopt: the object is absent. Errors: Unavailable (the store did not answer in time).
    using ReadCallback = std::function<void(Result<std::optional<StoredObject>>)>;
    using WriteCallback = std::function<void(WriteResult)>;
    // Objects in key order. Errors: Unavailable.
    using ListCallback = std::function<void(Result<std::vector<StoredObject>>)>;

    virtual ~Store() = default;

    // Latest era that an answer of the store or a peer has stated. Never decreases.
    StoreEra era() const { return m_era; }
    void noteEra(StoreEra era) { m_era = std::max(m_era, era); }

    virtual void read(const std::string& key, ReadCallback) = 0;

    // Writes only if the object is absent.
    virtual void create(const std::string& key, const std::string& value, WriteCallback) = 0;

    // Writes only if the object has the given version.
    virtual void update(const std::string& key, ObjectVersion, const std::string& value, WriteCallback) = 0;

    // Removes only if the object has the given version.
    virtual void remove(const std::string& key, ObjectVersion, WriteCallback) = 0;

    // Calls back with the object as soon as its version differs from `known`, or with the object as it is
    // when `timeout` has passed. An absent object is watched with version 0.
    virtual void watch(const std::string& key, ObjectVersion known, Milliseconds timeout, ReadCallback) = 0;

    // Reads at most `limit` objects, the first ones whose keys start with `prefix` and are greater than
    // `after`.
    virtual void list(const std::string& prefix, const std::string& after, std::size_t limit, ListCallback)
        = 0;

private:
    StoreEra m_era = 0;
};

// Maximum size of a value that the platform's store accepts, in bytes.
constexpr std::size_t maxStoredValueBytes = 1024 * 1024;

} // namespace briarwharf
