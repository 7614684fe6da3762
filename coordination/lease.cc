#include "coordination/lease.h"

#include "base/log.h"
#include "coordination/stored.h"
#include <algorithm>

namespace briarwharf {

namespace {

    constexpr std::string_view leasePart = "lease";

    // Between two calls after an error of the store.
    constexpr Milliseconds retryDelay { 250 };

    // Unanswered writes that are remembered; older ones are too late to matter.
    constexpr std::size_t maxUnsettled = 16;

    std::string leaseKey(const std::string& name) { return "lease/" + name; }

} // namespace

Lease::Lease(LeaseOptions options, Store& store, MonotonicClock clock)
    : m_options(std::move(options))
    , m_store(store)
    , m_clock(std::move(clock))
    , m_alive(std::make_shared<bool>(true))
{
}

template <typename Callback> auto Lease::guarded(Callback callback)
{
    return [alive = std::weak_ptr<bool>(m_alive), callback = std::move(callback)](auto answer) mutable {
        if (!alive.expired())
            callback(std::move(answer));
    };
}

void Lease::setWanted(bool wanted) { m_wanted = wanted; }

bool Lease::held() const
{
    return m_wanted && m_ownVersion && m_expiry && m_clock() < *m_expiry - m_options.safetyMargin;
}

void Lease::tick()
{
    if (m_busy || m_clock() < m_next)
        return;
    if (m_settling || (m_wanted && !m_ownVersion))
        observe();
    else if (m_ownVersion)
        write(m_wanted ? m_options.holder : std::string(), m_fence, *m_ownVersion);
}

void Lease::retryLater() { m_next = m_clock() + retryDelay; }

void Lease::observe()
{
    m_busy = true;
    auto read = [this](Result<std::optional<StoredObject>> object) {
        m_busy = false;
        if (!object)
            return retryLater();
        observed(object.value());
    };
    m_store.read(leaseKey(m_options.name), guarded(std::move(read)));
}

void Lease::observed(const std::optional<StoredObject>& object)
{
    m_settling = false;
    if (!object)
        return write(m_options.holder, 1, 0);
    auto lease = unpackStored<StoredLease>(object->value, "lease");
    if (!lease) {
        BW_LOG(ERROR, leasePart) << m_options.name << ": " << lease.error().message;
        m_next = m_clock() + m_options.observeInterval;
        return;
    }
    MonotonicTime now = m_clock();
    m_seenHolder = lease.value().holder;
    if (m_seenVersion != object->version) {
        m_seenVersion = object->version;
        m_seenAt = now;
    }
    if (m_seenHolder == m_options.holder) {
        auto own = std::find_if(m_unsettled.begin(), m_unsettled.end(),
            [&lease](const auto& write) { return write.first == lease.value().renewal; });
        // A write that is no longer remembered was issued long ago: the lease must be renewed before use.
        MonotonicTime issuedAt = own == m_unsettled.end() ? now - m_options.duration : own->second;
        return acquired(lease.value().fence, object->version, issuedAt);
    }
    m_ownVersion.reset();
    m_expiry.reset();
    bool free = m_seenHolder.empty() || now - m_seenAt >= Milliseconds(lease.value().durationMs);
    if (free && m_wanted)
        return write(m_options.holder, lease.value().fence + 1, object->version);
    m_next = now + m_options.observeInterval;
}

void Lease::write(const std::string& holder, std::uint64_t fence, ObjectVersion version)
{
    m_busy = true;
    StoredLeaseT lease;
    lease.holder = holder;
    lease.fence = fence;
    lease.durationMs = static_cast<std::uint32_t>(m_options.duration.count());
    lease.renewal = m_options.holder + "-" + std::to_string(++m_serial);
    m_unsettled.emplace_back(lease.renewal, m_clock());
    if (m_unsettled.size() > maxUnsettled)
        m_unsettled.erase(m_unsettled.begin());
    auto done
        = guarded([this, renewal = lease.renewal, fence, released = holder.empty()](WriteResult result) {
              m_busy = false;
              if (released)
                  afterRelease();
              else
                  written(renewal, fence, result);
          });
    std::string value = packStored<StoredLease>(lease);
    if (version == 0)
        m_store.create(leaseKey(m_options.name), value, done);
    else
        m_store.update(leaseKey(m_options.name), version, value, done);
}

void Lease::written(const std::string& renewal, std::uint64_t fence, WriteResult result)
{
    auto own = std::find_if(m_unsettled.begin(), m_unsettled.end(),
        [&renewal](const auto& write) { return write.first == renewal; });
    switch (result.outcome) {
    case WriteOutcome::Done:
        return acquired(fence, result.version, own->second);
    case WriteOutcome::NotSent:
        m_unsettled.erase(own);
        return retryLater();
    case WriteOutcome::Conflict:
        m_unsettled.erase(own);
        return lost();
    case WriteOutcome::Unknown:
        m_settling = true;
        m_next = m_clock();
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
    m_ownVersion = version;
    m_seenVersion = version;
    m_seenAt = now;
    m_seenHolder = m_options.holder;
    m_expiry = std::max(m_expiry.value_or(issuedAt), issuedAt + m_options.duration);
    m_unsettled.clear();
    m_next = issuedAt + m_options.renewInterval;
}

// The object is not in the state that was expected; the next read tells whose it is.
void Lease::lost()
{
    m_ownVersion.reset();
    m_next = m_clock();
}

// A release whose answer was lost needs no care: the lease expires.
void Lease::afterRelease()
{
    m_ownVersion.reset();
    m_expiry.reset();
    m_seenVersion = 0;
    m_next = m_clock();
}

} // namespace briarwharf
