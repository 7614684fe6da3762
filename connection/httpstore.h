#pragma once

#include "coordination/store.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct event_base;

namespace briarwharf {

struct HttpStoreOptions {
    std::string address = "127.0.0.1"; // IP address of the platform's object API
    std::uint16_t port = 0;
    Milliseconds callDeadline { 2000 }; // from the call to the callback, including time in the queue
    std::size_t maxConnections = 8; // for calls other than watches
    std::size_t maxQueuedCalls = 1024; // waiting for a free connection; further calls fail
    std::size_t maxWatches = 64; // each watch uses a connection of its own; further watches fail
    std::size_t maxResponseBytes = std::size_t { 32 } * 1024 * 1024;
};

// One entry of the platform's list of instances. The list lags behind the actual state.
struct PlatformInstance {
    std::string id;
    std::string address; // IP address and peer port
    std::string failureDomain;
    bool leaving = false;
};

// Totals since the start. Bytes are those of requests, and of the fields and bodies of answers.
struct HttpStoreCounters {
    std::uint64_t reads = 0;
    std::uint64_t creates = 0;
    std::uint64_t updates = 0;
    std::uint64_t removes = 0;
    std::uint64_t watches = 0;
    std::uint64_t lists = 0;
    std::uint64_t instanceLists = 0;
    std::uint64_t failures = 0; // calls that ended as Unavailable, Unknown or NotSent
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;

    std::uint64_t calls() const
    {
        return reads + creates + updates + removes + watches + lists + instanceLists;
    }
};

// Client of the platform's object API over HTTP. Object versions are sent as ETag, the conditions of writes
// as If-Match and If-None-Match. The header Store-Era, if there is one, states the era of an answer; an
// answer from an earlier era than the latest known one counts as none.
//
// A write ends as Unknown if a byte of it has left the process and no conclusive answer arrived. It ends as
// NotSent if the connection could not be made, the call was never dispatched, or the store answered 429. No
// call is retried here. A connection whose exchange did not end cleanly is closed, so that a late answer
// never reaches another call.
//
// Destroying the store drops the calls in progress without calling back; do not destroy it in a callback.
class HttpStore final : public Store {
public:
    // Errors: Unavailable.
    using InstancesCallback = std::function<void(Result<std::vector<PlatformInstance>>)>;

    HttpStore(event_base*, const HttpStoreOptions&);
    ~HttpStore() override;
    HttpStore(const HttpStore&) = delete;
    HttpStore& operator=(const HttpStore&) = delete;

    void read(const std::string& key, ReadCallback) override;
    void create(const std::string& key, const std::string& value, WriteCallback) override;
    void update(const std::string& key, ObjectVersion, const std::string& value, WriteCallback) override;
    void remove(const std::string& key, ObjectVersion, WriteCallback) override;

    // If the watch times out and `known` is the version of an existing object, one more read fetches its
    // value. The deadline of the watch is `timeout` plus callDeadline.
    void watch(const std::string& key, ObjectVersion known, Milliseconds timeout, ReadCallback) override;
    void list(const std::string& prefix, const std::string& after, std::size_t limit, ListCallback) override;

    // The platform's list of live and leaving instances.
    void listInstances(InstancesCallback);

    HttpStoreCounters counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
    Milliseconds m_callDeadline;
};

} // namespace briarwharf
