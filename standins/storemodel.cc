#include "standins/storemodel.h"

#include <tuple>

namespace briarwharf {

const StoreModel::Object* StoreModel::find(const std::string& key) const
{
    auto found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second;
}

std::uint64_t StoreModel::versionOf(const std::string& key) const
{
    const Object* object = find(key);
    return object ? object->version : 0;
}

StoreModel::WriteResult StoreModel::put(
    const std::string& key, const std::string& value, Condition condition, std::uint64_t version)
{
    if (value.size() > maxStoreValueBytes)
        return { 413, 0 };
    std::uint64_t currentVersion = versionOf(key);
    if (condition == Condition::Absent && currentVersion != 0)
        return { 412, currentVersion };
    if (condition == Condition::Version && currentVersion == 0)
        return { 404, 0 };
    if (condition == Condition::Version && currentVersion != version)
        return { 412, currentVersion };
    m_objects[key] = { value, ++m_version };
    std::uint64_t written = m_version;
    notify(key);
    return { currentVersion == 0 ? 201 : 200, written };
}

StoreModel::WriteResult StoreModel::remove(const std::string& key, std::optional<std::uint64_t> version)
{
    std::uint64_t currentVersion = versionOf(key);
    if (currentVersion == 0)
        return { 404, 0 };
    if (version && *version != currentVersion)
        return { 412, currentVersion };
    m_objects.erase(key);
    ++m_version;
    notify(key);
    return { 200, currentVersion };
}

std::vector<StoreModel::ListedObject> StoreModel::list(
    const std::string& prefix, const std::string& after, std::size_t limit) const
{
    std::vector<ListedObject> listed;
    auto object = after < prefix ? m_objects.lower_bound(prefix) : m_objects.upper_bound(after);
    for (; object != m_objects.end() && listed.size() < limit; ++object) {
        if (!object->first.starts_with(prefix))
            break;
        listed.push_back({ object->first, object->second });
    }
    return listed;
}

std::uint64_t StoreModel::watch(
    const std::string& key, std::uint64_t knownVersion, MonotonicTime deadline, WatchCallback callback)
{
    std::uint64_t id = m_nextWatch++;
    if (versionOf(key) != knownVersion) {
        callback(true);
        return id;
    }
    m_watches.emplace(id, Watch { key, knownVersion, deadline, std::move(callback) });
    return id;
}

void StoreModel::cancelWatch(std::uint64_t watch) { m_watches.erase(watch); }

void StoreModel::notify(const std::string& key)
{
    std::vector<WatchCallback> due;
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        if (watch->second.key != key) {
            ++watch;
            continue;
        }
        due.push_back(std::move(watch->second.callback));
        watch = m_watches.erase(watch);
    }
    for (auto& callback : due)
        callback(true);
}

void StoreModel::expireWatches(MonotonicTime now)
{
    std::vector<WatchCallback> due;
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        if (watch->second.deadline > now) {
            ++watch;
            continue;
        }
        due.push_back(std::move(watch->second.callback));
        watch = m_watches.erase(watch);
    }
    for (auto& callback : due)
        callback(false);
}

void StoreModel::keepCopy() { m_copy.emplace(m_objects, m_version); }

// Watches end as changed, because a version that they know may not exist any more.
Status StoreModel::restoreCopy()
{
    if (!m_copy)
        return Error { ErrorKind::InvalidArgument,
            "there is no copy to restore: send {\"copy\": \"keep\"} first" };
    std::tie(m_objects, m_version) = *m_copy;
    ++m_era;
    for (auto& [id, watch] : std::exchange(m_watches, {}))
        watch.callback(true);
    return ok();
}

void StoreModel::setInstances(Json instances, MonotonicTime now, Milliseconds lag)
{
    m_pendingInstances.push_back({ now + lag, std::move(instances) });
}

Json StoreModel::instances(MonotonicTime now)
{
    while (!m_pendingInstances.empty() && m_pendingInstances.front().visibleAt <= now) {
        m_instances = std::move(m_pendingInstances.front().instances);
        m_pendingInstances.pop_front();
    }
    return m_instances;
}

Json StoreModel::stats() const
{
    std::uint64_t total = 0;
    std::uint64_t writes = 0;
    for (const auto& [kind, count] : m_calls) {
        total += count;
        if (kind == "create" || kind == "update" || kind == "put" || kind == "remove")
            writes += count;
    }
    std::uint64_t bytes = 0;
    for (const auto& [key, object] : m_objects)
        bytes += key.size() + object.value.size();
    return { { "calls", m_calls }, { "total", total }, { "writes", writes },
        { "pending_watches", m_watches.size() }, { "objects", m_objects.size() }, { "bytes", bytes },
        { "version", m_version } };
}

Status StoreModel::setFaults(const Json& body)
{
    if (!body.is_object())
        return Error { ErrorKind::InvalidArgument, "faults must be a JSON object: send {} to keep them" };
    Faults faults = m_faults;
    if (body.contains("down")) {
        auto mode = stringField(body, "down").value_or("");
        faults.down = booleanField(body, "down").value_or(false);
        faults.closing = mode == "close";
        faults.silent = mode == "silent";
        if (!faults.down && !faults.closing && !faults.silent && booleanField(body, "down") != false)
            return Error { ErrorKind::InvalidArgument, "down must be true, false, \"close\" or \"silent\"" };
    }
    if (body.contains("lose_answers")) {
        auto all = booleanField(body, "lose_answers");
        faults.lostAnswers = all ? (*all ? -1 : 0) : integerField(body, "lose_answers").value_or(0);
    }
    faults.silentWatches = booleanField(body, "silent_watches").value_or(faults.silentWatches);
    faults.delay = Milliseconds(integerField(body, "delay_ms").value_or(faults.delay.count()));
    m_faults = faults;
    auto copy = stringField(body, "copy").value_or("");
    if (copy == "keep")
        keepCopy();
    return copy == "restore" ? restoreCopy() : ok();
}

bool StoreModel::takeLostAnswer()
{
    if (m_faults.lostAnswers == 0)
        return false;
    if (m_faults.lostAnswers > 0)
        --m_faults.lostAnswers;
    return true;
}

} // namespace briarwharf
