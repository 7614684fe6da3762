#include "coordination/testing/fakestore.h"

namespace briarwharf {

namespace {

    // Delays from a call to its effect and to its answer; nullopt: never.
    struct CallPlan {
        std::optional<Milliseconds> effect;
        std::optional<Milliseconds> answer;
    };

    CallPlan planCall(const StoreFaultRule& rule, Milliseconds latency, Milliseconds deadline)
    {
        switch (rule.fault) {
        case StoreFault::AnswerLost:
            return { latency, std::nullopt };
        case StoreFault::AnswerLostLate:
            return { latency + rule.delay, std::nullopt };
        case StoreFault::AnswerLostNoEffect:
        case StoreFault::SilentWatch:
            return {};
        case StoreFault::Slow: {
            Milliseconds done = latency + rule.delay;
            if (done + latency > deadline)
                return { done, std::nullopt };
            return { done, done + latency };
        }
        default:
            return { latency, 2 * latency };
        }
    }

    Error unavailable()
    {
        return { ErrorKind::Unavailable, "the store did not answer in time: retry later" };
    }

} // namespace

std::optional<StoredObject> FakeObjects::find(const std::string& key) const
{
    auto found = m_objects.find(key);
    if (found == m_objects.end())
        return std::nullopt;
    return found->second;
}

WriteResult FakeObjects::create(const std::string& key, const std::string& value)
{
    if (m_objects.contains(key))
        return { WriteOutcome::Conflict, 0 };
    return replace(key, value);
}

WriteResult FakeObjects::replace(const std::string& key, const std::string& value)
{
    m_objects[key] = { key, value, ++m_version };
    ObjectVersion version = m_version;
    notify(key);
    return { WriteOutcome::Done, version };
}

WriteResult FakeObjects::update(const std::string& key, ObjectVersion version, const std::string& value)
{
    auto found = m_objects.find(key);
    if (found == m_objects.end() || found->second.version != version)
        return { WriteOutcome::Conflict, 0 };
    found->second.value = value;
    ObjectVersion next = found->second.version = ++m_version;
    notify(key);
    return { WriteOutcome::Done, next };
}

WriteResult FakeObjects::remove(const std::string& key, ObjectVersion version)
{
    auto found = m_objects.find(key);
    if (found == m_objects.end() || found->second.version != version)
        return { WriteOutcome::Conflict, 0 };
    m_objects.erase(found);
    notify(key);
    return { WriteOutcome::Done, 0 };
}

// The watchers stay: a watch is answered at the next change of its key, or at its timeout.
void FakeObjects::restore(const FakeObjects& copy)
{
    m_objects = copy.m_objects;
    m_version = copy.m_version;
    ++m_era;
}

void FakeObjects::onChange(const std::string& key, std::function<void()> changed)
{
    m_watchers.emplace(key, std::move(changed));
}

void FakeObjects::notify(const std::string& key)
{
    auto [first, last] = m_watchers.equal_range(key);
    std::vector<std::function<void()>> watchers;
    for (auto watcher = first; watcher != last; ++watcher)
        watchers.push_back(std::move(watcher->second));
    m_watchers.erase(first, last);
    for (auto& watcher : watchers)
        watcher();
}

FakeStore::FakeStore(ManualClock& clock, std::shared_ptr<FakeObjects> objects)
    : m_clock(clock)
    , m_objects(std::move(objects))
    , m_alive(std::make_shared<Alive>(Alive { this }))
{
}

StoreFaultRule FakeStore::faultFor(StoreCall call, const std::string& key)
{
    ++m_counts[static_cast<std::size_t>(call)];
    if (m_hook)
        m_hook(call, key);
    if (m_down)
        return { StoreFault::Down };
    for (auto& rule : m_rules) {
        bool matches = rule.count > 0 && m_clock.now() < rule.until && (!rule.call || *rule.call == call)
            && key.find(rule.keyFragment) != std::string::npos;
        if (!matches)
            continue;
        if (rule.skip > 0) {
            --rule.skip;
            continue;
        }
        --rule.count;
        if (rule.before)
            rule.before();
        return rule;
    }
    return {};
}

void FakeStore::answer(Milliseconds delay, std::function<void()> deliver)
{
    std::weak_ptr<Alive> alive = m_alive;
    m_clock.after(delay, [alive, deliver = std::move(deliver)]() mutable {
        auto store = alive.lock();
        if (!store)
            return;
        if (store->store->m_paused)
            store->store->m_deferred.push_back(std::move(deliver));
        else
            deliver();
    });
}

// Returns whether an answer from this era still counts.
bool FakeStore::acceptEra(StoreEra answered)
{
    noteEra(answered);
    return answered == era();
}

void FakeStore::setPaused(bool paused)
{
    m_paused = paused;
    if (paused)
        return;
    auto deferred = std::move(m_deferred);
    m_deferred.clear();
    for (auto& deliver : deferred)
        answer(Milliseconds(0), std::move(deliver));
}

void FakeStore::write(StoreCall call, const std::string& key,
    const std::function<WriteResult(FakeObjects&)>& effect, WriteCallback callback)
{
    StoreFaultRule rule = faultFor(call, key);
    if (rule.fault == StoreFault::Down || rule.fault == StoreFault::Conflict) {
        auto outcome = rule.fault == StoreFault::Down ? WriteOutcome::NotSent : WriteOutcome::Conflict;
        answer(m_latency, [callback = std::move(callback), outcome] { callback({ outcome, 0 }); });
        return;
    }
    CallPlan plan = planCall(rule, m_latency, m_deadline);
    struct Effect {
        WriteResult result;
        StoreEra era = 0;
    };
    auto done = std::make_shared<Effect>();
    if (m_droppingWrites)
        *done = { { WriteOutcome::Done, 1 }, m_objects->era() };
    else if (plan.effect)
        m_clock.after(*plan.effect, [objects = m_objects, effect, done] {
            *done = { effect(*objects), objects->era() };
        });
    if (plan.answer)
        answer(*plan.answer, [this, callback = std::move(callback), done] {
            callback(acceptEra(done->era) ? done->result : WriteResult { WriteOutcome::Unknown, 0 });
        });
    else
        answer(m_deadline, [callback = std::move(callback)] { callback({ WriteOutcome::Unknown, 0 }); });
}

template <typename Answer>
void FakeStore::fetch(StoreCall call, const std::string& key, std::function<Answer(FakeObjects&)> effect,
    std::function<void(Result<Answer>)> callback)
{
    StoreFaultRule rule = faultFor(call, key);
    bool down = rule.fault == StoreFault::Down;
    CallPlan plan = planCall(rule, m_latency, m_deadline);
    if (down || !plan.answer) {
        answer(down ? m_latency : m_deadline, [callback = std::move(callback)] { callback(unavailable()); });
        return;
    }
    auto result = std::make_shared<std::pair<Answer, StoreEra>>();
    m_clock.after(*plan.effect, [objects = m_objects, effect = std::move(effect), result] {
        *result = { effect(*objects), objects->era() };
    });
    answer(*plan.answer, [this, callback = std::move(callback), result] {
        if (acceptEra(result->second))
            callback(std::move(result->first));
        else
            callback(unavailable());
    });
}

void FakeStore::read(const std::string& key, ReadCallback callback)
{
    fetch<std::optional<StoredObject>>(
        StoreCall::Read, key,
        [key, hidden = isHidden(key)](
            FakeObjects& objects) { return hidden ? std::nullopt : objects.find(key); },
        std::move(callback));
}

void FakeStore::create(const std::string& key, const std::string& value, WriteCallback callback)
{
    write(
        StoreCall::Create, key,
        [key, value, overwriting = m_overwriting](FakeObjects& objects) {
            return overwriting ? objects.replace(key, value) : objects.create(key, value);
        },
        std::move(callback));
}

void FakeStore::update(
    const std::string& key, ObjectVersion version, const std::string& value, WriteCallback callback)
{
    write(
        StoreCall::Update, key,
        [key, version, value](FakeObjects& objects) { return objects.update(key, version, value); },
        std::move(callback));
}

void FakeStore::remove(const std::string& key, ObjectVersion version, WriteCallback callback)
{
    write(
        StoreCall::Remove, key, [key, version](FakeObjects& objects) { return objects.remove(key, version); },
        std::move(callback));
}

void FakeStore::watch(
    const std::string& key, ObjectVersion known, Milliseconds timeout, ReadCallback callback)
{
    StoreFaultRule rule = faultFor(StoreCall::Watch, key);
    bool down = rule.fault == StoreFault::Down;
    CallPlan plan = planCall(rule, m_latency, m_deadline);
    if (down || !plan.answer) {
        Milliseconds wait = down ? m_latency : timeout + m_deadline;
        answer(wait, [callback = std::move(callback)] { callback(unavailable()); });
        return;
    }
    // Answered once, either at the next change of the object or at the timeout.
    auto waiting = std::make_shared<ReadCallback>(std::move(callback));
    auto respond = [this, alive = std::weak_ptr<Alive>(m_alive), waiting, key] {
        if (!*waiting || alive.expired())
            return;
        ReadCallback taken = std::move(*waiting);
        *waiting = nullptr;
        if (m_down) {
            answer(m_latency, [taken = std::move(taken)] { taken(unavailable()); });
            return;
        }
        auto object = m_objects->find(key);
        answer(m_latency,
            [this, taken = std::move(taken), object = std::move(object), answered = m_objects->era()] {
                if (acceptEra(answered))
                    taken(object);
                else
                    taken(unavailable());
            });
    };
    m_clock.after(*plan.effect, [this, key, known, timeout, respond, alive = std::weak_ptr<Alive>(m_alive)] {
        if (alive.expired())
            return;
        auto object = m_objects->find(key);
        if ((object ? object->version : 0) != known) {
            respond();
            return;
        }
        m_objects->onChange(key, respond);
        m_clock.after(timeout, respond);
    });
}

void FakeStore::list(
    const std::string& prefix, const std::string& after, std::size_t limit, ListCallback callback)
{
    fetch<std::vector<StoredObject>>(
        StoreCall::List, prefix,
        [prefix, after, limit](FakeObjects& objects) {
            std::vector<StoredObject> found;
            const auto& all = objects.all();
            for (auto object = all.lower_bound(std::max(prefix, after)); object != all.end(); ++object) {
                if (found.size() == limit || !object->first.starts_with(prefix))
                    break;
                if (object->first > after)
                    found.push_back(object->second);
            }
            return found;
        },
        std::move(callback));
}

std::size_t FakeStore::reads() const
{
    return calls(StoreCall::Read) + calls(StoreCall::Watch) + calls(StoreCall::List);
}

std::size_t FakeStore::writes() const
{
    return calls(StoreCall::Create) + calls(StoreCall::Update) + calls(StoreCall::Remove);
}

} // namespace briarwharf
