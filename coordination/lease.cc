#include "coordination/lease.h"

#include "base/log.h"
#include "coordination/stored.h"
#include <algorithm>

namespace briarwharf {

namespace {

    constexpr std::string_view leasePart = "lease";

    // Delay of the next call after an error of the store.
    constexpr Milliseconds retryDelay { 250 };

    // Maximum number of unanswered writes that are kept. Older ones are too old to extend the lease:
    // observed() treats them as issued one lease duration ago.
    constexpr std::size_t maxUnansweredWrites = 16;

    // Leaves room for 2^32 acquisitions in each era.
    constexpr unsigned fenceBitsPerEra = 32;

    std::uint64_t firstFence(StoreEra era) { return (era << fenceBitsPerEra) + 1; }

    std::string leaseKey(const std::string& name) { return "lease/" + name; }

} // namespace

Lease::Lease(LeaseOptions options, Store& store, MonotonicClock clock)
    : m_options(std::move(options))
    , m_store(store)
    , m_clock(std::move(clock))
    , m_alive(std::make_shared<bool>(true))
    , m_era(m_store.era())
{
}

// Wraps a callback of the store so that it is not called after the lease has been destroyed, or after the era
// of the store has risen.
template <typename Callback> auto Lease::guarded(Callback callback)
{
    return [this, alive = std::weak_ptr<bool>(m_alive), restore = m_restore, callback = std::move(callback)](
               auto answer) mutable {
        if (alive.expired())
            return;
        checkEra();
        if (m_restore == restore)
            callback(std::move(answer));
    };
}

void Lease::setWanted(bool wanted) { m_wanted = wanted; }

// What was known about the object in an earlier era is void. The first era that the store states makes
// nothing void.
void Lease::checkEra()
{
    if (m_store.era() == m_era)
        return;
    m_era = m_store.era();
    if (!m_seenVersion && m_unansweredWrites.empty())
        return;
    BW_LOG(WARNING, leasePart) << m_options.name << ": the store came back from an older copy, era " << m_era
                               << (m_ownVersion ? ": giving up the lease" : ": reading the lease again");
    ++m_restore;
    m_callInProgress = m_resolving = false;
    m_ownVersion.reset();
    m_expiry.reset();
    m_unansweredWrites.clear();
    m_seenVersion.reset();
    m_nextCallAt = m_clock();
}

std::uint64_t Lease::nextFence(std::uint64_t storedFence) const
{
    return std::max({ storedFence + 1, m_highestFence + 1, firstFence(m_era) });
}

bool Lease::held() const
{
    return m_wanted && m_era == m_store.era() && m_ownVersion && m_expiry
        && m_clock() < *m_expiry - m_options.safetyMargin;
}

void Lease::tick()
{
    checkEra();
    if (m_callInProgress || m_clock() < m_nextCallAt)
        return;
    if (m_resolving || (m_wanted && !m_ownVersion))
        observe();
    else if (m_ownVersion)
        write(m_wanted ? m_options.holder : std::string(), m_fence, *m_ownVersion);
}

void Lease::retryLater() { m_nextCallAt = m_clock() + retryDelay; }

void Lease::observe()
{
    m_callInProgress = true;
    auto read = [this](Result<std::optional<StoredObject>> object) {
        m_callInProgress = false;
        if (!object)
            return retryLater();
        observed(object.value());
    };
    m_store.read(leaseKey(m_options.name), guarded(std::move(read)));
}

void Lease::observed(const std::optional<StoredObject>& object)
{
    m_resolving = false;
    if (!object)
        return observedAbsent();
    auto lease = unpackStored<StoredLease>(object->value, "lease");
    if (!lease) {
        BW_LOG(ERROR, leasePart) << m_options.name << ": " << lease.error().message;
        m_nextCallAt = m_clock() + m_options.observeInterval;
        return;
    }
    MonotonicTime now = m_clock();
    m_seenHolder = lease.value().holder;
    m_highestFence = std::max(m_highestFence, lease.value().fence);
    bool isOfThisEra = lease.value().era == m_era;
    if (m_seenVersion != object->version) {
        m_seenVersion = object->version;
        m_seenAt = now;
    }
    if (m_seenHolder == m_options.holder && isOfThisEra) {
        auto own = std::find_if(m_unansweredWrites.begin(), m_unansweredWrites.end(),
            [&lease](const auto& write) { return write.first == lease.value().renewal; });
        // The time of a write that is no longer in the list is unknown. It is taken as one lease duration
        // ago, so that the lease has expired and must be renewed before use.
        MonotonicTime issuedAt = own == m_unansweredWrites.end() ? now - m_options.duration : own->second;
        return acquired(lease.value().fence, object->version, issuedAt);
    }
    m_ownVersion.reset();
    m_expiry.reset();
    bool free
        = (m_seenHolder.empty() && isOfThisEra) || now - m_seenAt >= Milliseconds(lease.value().durationMs);
    if (free && m_wanted)
        return write(m_options.holder, nextFence(lease.value().fence), object->version);
    m_nextCallAt = now + m_options.observeInterval;
}

// A store that states an era may have lost the lease.
void Lease::observedAbsent()
{
    MonotonicTime now = m_clock();
    m_ownVersion.reset();
    m_expiry.reset();
    m_seenHolder.clear();
    if (m_seenVersion != ObjectVersion { 0 }) {
        m_seenVersion = 0;
        m_seenAt = now;
    }
    if (m_era == 0 || now - m_seenAt >= m_options.duration)
        return write(m_options.holder, nextFence(0), 0);
    m_nextCallAt = now + m_options.observeInterval;
}

void Lease::write(const std::string& holder, std::uint64_t fence, ObjectVersion version)
{
    m_callInProgress = true;
    StoredLeaseT lease;
    lease.holder = holder;
    lease.fence = fence;
    lease.durationMs = static_cast<std::uint32_t>(m_options.duration.count());
    lease.era = m_era;
    lease.renewal = m_options.holder + "-" + std::to_string(++m_serial);
    m_unansweredWrites.emplace_back(lease.renewal, m_clock());
    if (m_unansweredWrites.size() > maxUnansweredWrites)
        m_unansweredWrites.erase(m_unansweredWrites.begin());
    auto done
        = guarded([this, renewal = lease.renewal, fence, released = holder.empty()](WriteResult result) {
              m_callInProgress = false;
              if (released)
                  afterRelease();
              else
                  writeAnswered(renewal, fence, result);
          });
    std::string value = packStored<StoredLease>(lease);
    if (version == 0)
        m_store.create(leaseKey(m_options.name), value, done);
    else
        m_store.update(leaseKey(m_options.name), version, value, done);
}

void Lease::writeAnswered(const std::string& renewal, std::uint64_t fence, WriteResult result)
{
    auto own = std::find_if(m_unansweredWrites.begin(), m_unansweredWrites.end(),
        [&renewal](const auto& write) { return write.first == renewal; });
    switch (result.outcome) {
    case WriteOutcome::Done:
        return acquired(fence, result.version, own->second);
    case WriteOutcome::NotSent:
        m_unansweredWrites.erase(own);
        return retryLater();
    case WriteOutcome::Conflict:
        m_unansweredWrites.erase(own);
        return conflicted();
    case WriteOutcome::Unknown:
        m_resolving = true;
        m_nextCallAt = m_clock();
        return;
    }
}

void Lease::acquired(std::uint64_t fence, ObjectVersion version, MonotonicTime issuedAt)
{
    MonotonicTime now = m_clock();
    if (m_fence != fence) {
        m_acquiredAt = now;
        BW_LOG(INFO, leasePart) << m_options.name << ": acquired with fencing number " << fence;
    }
    m_fence = fence;
    m_highestFence = std::max(m_highestFence, fence);
    m_ownVersion = version;
    m_seenVersion = version;
    m_seenAt = now;
    m_seenHolder = m_options.holder;
    m_expiry = std::max(m_expiry.value_or(issuedAt), issuedAt + m_options.duration);
    m_unansweredWrites.clear();
    m_nextCallAt = issuedAt + m_options.renewInterval;
}

// The object does not have the expected version; the next read shows who holds the lease.
void Lease::conflicted()
{
    m_ownVersion.reset();
    m_nextCallAt = m_clock();
}

// Called for every outcome of the write: if the release had no effect, the lease expires.
void Lease::afterRelease()
{
    m_ownVersion.reset();
    m_expiry.reset();
    m_seenVersion.reset();
    m_nextCallAt = m_clock();
}

} // namespace briarwharf
