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
    Slow, // the effect and the answer come StoreFaultRule::delay later; after the deadline the answer is lost
    AnswerLost, // takes effect without delay, but the answer never comes
    AnswerLostLate, // takes effect StoreFaultRule::delay later, and the answer never comes
    AnswerLostNoEffect, // has no effect, and the answer never comes
    Conflict, // writes are answered with Conflict and have no effect
    SilentWatch, // the watch never answers; it ends at the adapter's deadline
};

// Applies `fault` to `count` matching calls, after the first `skip` matching calls.
struct StoreFaultRule {
    StoreFault fault = StoreFault::None;
    std::optional<StoreCall> call; // nullopt: calls of every kind
    std::string keyFragment; // matches keys that contain this text
    std::size_t skip = 0;
    std::size_t count = std::numeric_limits<std::size_t>::max();
    Milliseconds delay { 0 };
    MonotonicTime until = MonotonicTime::max(); // the rule does not apply from this time on
    // Called before the fault is applied, e.g. to let another writer write first.
    std::function<void()> before;
};

// The objects in the store, shared by the FakeStores of several instances.
class FakeObjects {
public:
    const std::map<std::string, StoredObject>& all() const { return m_objects; }
    std::optional<StoredObject> find(const std::string& key) const;

    WriteResult create(const std::string& key, const std::string& value);
    WriteResult replace(const std::string& key, const std::string& value);
    WriteResult update(const std::string& key, ObjectVersion, const std::string& value);
    WriteResult remove(const std::string& key, ObjectVersion);

    // Replaces the objects by an older copy of them and begins the next era. Versions continue from the copy.
    void restore(const FakeObjects& copy);
    StoreEra era() const { return m_era; }

    // Calls `changed` once, at the next change of the key.
    void onChange(const std::string& key, std::function<void()> changed);

private:
    void notify(const std::string& key);

    std::map<std::string, StoredObject> m_objects;
    std::multimap<std::string, std::function<void()>> m_watchers;
    ObjectVersion m_version = 0;
    StoreEra m_era = 0;
};

// In-memory Store of one instance, driven by a ManualClock, that can inject faults. Destroying it simulates a
// crash of the instance: answers are dropped, but calls in progress still take effect.
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

    // Sets the time from a call to its effect, and from its effect to its answer.
    void setLatency(Milliseconds each) { m_latency = each; }

    // Sets the adapter's deadline for each call. After it a read fails, and a write ends as Unknown.
    void setDeadline(Milliseconds deadline) { m_deadline = deadline; }

    void addRule(StoreFaultRule rule) { m_rules.push_back(std::move(rule)); }
    // Sets a function that is called for each call to the store, before its fault is chosen.
    void onCall(std::function<void(StoreCall, const std::string& key)> hook) { m_hook = std::move(hook); }

    // Seeded defects, to check that tests detect them: create replaces existing objects; writes are answered
    // with Done but have no effect; keys that contain a text are read as absent.
    void setOverwriting(bool overwriting) { m_overwriting = overwriting; }
    void setDroppingWrites(bool dropping) { m_droppingWrites = dropping; }
    void setHiddenKeys(std::string keyFragment) { m_hiddenKeys = std::move(keyFragment); }

    void clearRules() { m_rules.clear(); }

    // While down, every call fails: reads with Unavailable, writes with NotSent.
    void setDown(bool down) { m_down = down; }

    // While paused, answers are not delivered to the instance; they are delivered when it resumes.
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
        return !m_hiddenKeys.empty() && key.find(m_hiddenKeys) != std::string::npos;
    }

    StoreFaultRule faultFor(StoreCall, const std::string& key);
    void write(StoreCall, const std::string& key, const std::function<WriteResult(FakeObjects&)>& effect,
        WriteCallback);
    template <typename Answer>
    void fetch(StoreCall, const std::string& key, std::function<Answer(FakeObjects&)> effect,
        std::function<void(Result<Answer>)>);
    void answer(Milliseconds delay, std::function<void()>);
    bool acceptEra(StoreEra);

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
    bool m_droppingWrites = false;
    std::string m_hiddenKeys;
};

} // namespace briarwharf
