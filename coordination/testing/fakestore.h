#pragma once

#include "coordination/store.h"
#include "coordination/testing/manualclock.h"
#include <array>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

enum class StoreCall {
    Read,
    Create,
    Update,
    Remove,
    Watch,
    List,
};

constexpr std::size_t storeCallKinds = 6;

enum class StoreFault {
    None,
    Down, // reads fail, writes are not sent
    Slow, // takes effect and answers after StoreFaultRule::delay; past the deadline the answer is lost
    AnswerLost, // takes effect at once, the answer never comes
    AnswerLostLate, // the answer never comes, the effect follows after StoreFaultRule::delay
    AnswerLostNoEffect, // the answer never comes and nothing happens
    Conflict, // writes answer Conflict without an effect
    SilentWatch, // the watch never answers; the adapter's deadline ends it
};

// Applies `fault` to the calls that match, from the (skip + 1)-th on, `count` times.
struct StoreFaultRule {
    StoreFault fault = StoreFault::None;
    std::optional<StoreCall> call; // nullopt: every kind
    std::string keyPart; // the key contains this
    std::size_t skip = 0;
    std::size_t count = std::numeric_limits<std::size_t>::max();
    Milliseconds delay { 0 };
    MonotonicTime until = MonotonicTime::max(); // no longer applies from here on
    std::function<void()> before; // runs when the fault is applied, e.g. to let another writer go first
};

// What the store holds, shared by the FakeStores of several instances.
class FakeObjects {
public:
    const std::map<std::string, StoredObject>& all() const { return m_objects; }
    std::optional<StoredObject> find(const std::string& key) const;

    WriteResult create(const std::string& key, const std::string& value);
    WriteResult replace(const std::string& key, const std::string& value);
    WriteResult update(const std::string& key, ObjectVersion, const std::string& value);
    WriteResult remove(const std::string& key, ObjectVersion);

    // Calls `changed` once, at the next change of the key.
    void onChange(const std::string& key, std::function<void()> changed);

private:
    void notify(const std::string& key);

    std::map<std::string, StoredObject> m_objects;
    std::multimap<std::string, std::function<void()>> m_watchers;
    ObjectVersion m_version = 0;
};

// In-memory Store of one instance, driven by a ManualClock, with faults. Destroying it stands for killing the
// instance: answers are dropped, effects that are under way still happen.
class FakeStore : public Store {
public:
    explicit FakeStore(ManualClock&, std::shared_ptr<FakeObjects> objects = std::make_shared<FakeObjects>());

    void read(const std::string& key, ReadCallback) override;
    void create(const std::string& key, const std::string& value, WriteCallback) override;
    void update(const std::string& key, ObjectVersion, const std::string& value, WriteCallback) override;
    void remove(const std::string& key, ObjectVersion, WriteCallback) override;
    void watch(const std::string& key, ObjectVersion known, Milliseconds timeout, ReadCallback) override;
    void list(const std::string& prefix, const std::string& after, std::size_t limit, ListCallback) override;

    FakeObjects& objects() { return *m_objects; }
    std::shared_ptr<FakeObjects> sharedObjects() { return m_objects; }

    // Time from a call to its effect and from there to its answer.
    void setLatency(Milliseconds each) { m_latency = each; }

    // The adapter's deadline for each call, after which a read fails and a write is Unknown.
    void setDeadline(Milliseconds deadline) { m_deadline = deadline; }

    void addRule(StoreFaultRule rule) { m_rules.push_back(std::move(rule)); }
    // Sees each call before its fault is chosen.
    void onCall(std::function<void(StoreCall, const std::string& key)> hook) { m_hook = std::move(hook); }

    // Broken variants, for tests of tests: create replaces objects; writes are answered without an effect;
    // keys that contain a text read as absent.
    void setOverwriting(bool overwriting) { m_overwriting = overwriting; }
    void setForgetful(bool forgetful) { m_forgetful = forgetful; }
    void setHidden(std::string keyPart) { m_hidden = std::move(keyPart); }

    void clearRules() { m_rules.clear(); }

    // Every call fails until it is switched off.
    void setDown(bool down) { m_down = down; }

    // While paused, the instance sees no answers; they are delivered on resumption.
    void setPaused(bool paused);

    std::size_t calls(StoreCall call) const { return m_counts[static_cast<std::size_t>(call)]; }
    std::size_t reads() const;
    std::size_t writes() const;
    void resetCounts() { m_counts.fill(0); }

private:
    struct Alive {
        FakeStore* store;
    };

    bool isHidden(const std::string& key) const
    {
        return !m_hidden.empty() && key.find(m_hidden) != std::string::npos;
    }

    StoreFaultRule faultFor(StoreCall, const std::string& key);
    void write(StoreCall, const std::string& key, const std::function<WriteResult(FakeObjects&)>& effect,
        WriteCallback);
    template <typename Answer>
    void fetch(StoreCall, const std::string& key, std::function<Answer(FakeObjects&)> effect,
        std::function<void(Result<Answer>)>);
    void answer(Milliseconds delay, std::function<void()>);

    ManualClock& m_clock;
    std::shared_ptr<FakeObjects> m_objects;
    std::shared_ptr<Alive> m_alive;
    std::vector<StoreFaultRule> m_rules;
    std::vector<std::function<void()>> m_deferred;
    std::array<std::size_t, storeCallKinds> m_counts {};
    Milliseconds m_latency { 1 };
    Milliseconds m_deadline { 1000 };
    bool m_down = false;
    bool m_paused = false;
    std::function<void(StoreCall, const std::string&)> m_hook;
    bool m_overwriting = false;
    bool m_forgetful = false;
    std::string m_hidden;
};

} // namespace briarwharf
