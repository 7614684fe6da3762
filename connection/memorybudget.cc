#include "connection/memorybudget.h"

#include <algorithm>
#include <utility>
#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace briarwharf {

namespace {

    constexpr std::size_t kibibyte = 1024;
    constexpr std::size_t mebibyte = 1024 * kibibyte;

    // Memory of the program, its tables and its log that the budget does not count.
    constexpr std::size_t programBytes = 32 * mebibyte;
    // Share of the rest that the budget uses. What remains is for the allocator's gaps, for copies that exist
    // for a moment, and for the system with the buffers of its sockets.
    constexpr double budgetShare = 0.6;
    // On a machine that is smaller than any supported one: two bodies of the usual limit.
    constexpr std::size_t minBudgetBytes = 8 * mebibyte;

    // Bodies over this size leave an eighth of the budget free.
    constexpr std::size_t smallBodyBytes = 64 * kibibyte;

    constexpr std::size_t minBodyCapacity = 4 * kibibyte;

    // Blocks of this size are mapped one by one and go back to the system when they are freed. A fixed value:
    // otherwise the allocator raises it to the largest block freed, and bodies leave gaps in its heap.
    [[maybe_unused]] constexpr int mappedBlockBytes = 128 * kibibyte;
    constexpr std::size_t minReturnedBytes = 8 * mebibyte;

} // namespace

bool MemoryBudget::hasRoomForBody(std::size_t bytes, std::size_t size) const
{
    return hasRoom(size > smallBodyBytes ? bytes + m_limit / 8 : bytes);
}

std::size_t MemoryBudget::takePeak() { return std::exchange(m_peak, m_total); }

void MemoryBudget::change(MemoryKind kind, std::size_t before, std::size_t after)
{
    m_total += after - before;
    m_held[static_cast<std::size_t>(kind)] += after - before;
    m_peak = std::max(m_peak, m_total);
}

void MemoryHold::set(std::size_t bytes)
{
    if (m_budget && bytes != m_bytes)
        m_budget->change(m_kind, m_bytes, bytes);
    m_bytes = bytes;
}

GrowingBody::GrowingBody(std::shared_ptr<MemoryBudget> budget)
    : m_budget(std::move(budget))
{
}

std::size_t GrowingBody::bytesToAllocate(std::size_t more, std::size_t maxBytes) const
{
    std::size_t needed = size() + more;
    if (m_counted && needed <= capacity())
        return 0;
    std::size_t grown = std::max(minBodyCapacity, needed + needed / 2);
    return std::max(needed, std::min(grown, maxBytes));
}

void GrowingBody::append(std::string_view bytes, std::size_t maxBytes)
{
    if (bytes.empty())
        return;
    if (!m_counted)
        m_counted = std::make_shared<Counted>(m_budget);
    std::string& body = m_counted->bytes;
    if (std::size_t capacity = bytesToAllocate(bytes.size(), maxBytes)) {
        std::string larger; // std::string::reserve() would at least double the capacity
        larger.reserve(capacity);
        larger += body;
        body = std::move(larger);
        m_counted->hold.set(body.capacity());
    }
    body += bytes;
}

std::shared_ptr<const std::string> GrowingBody::take()
{
    std::shared_ptr<Counted> counted = std::exchange(m_counted, nullptr);
    return counted ? std::shared_ptr<const std::string>(counted, &counted->bytes) : nullptr;
}

void ProgressMeter::start(MonotonicTime now)
{
    m_updated = now;
    m_lag = {};
}

void ProgressMeter::advance(std::size_t bytes, MonotonicTime now)
{
    constexpr std::int64_t nanosecondsPerSecond = 1000000000;
    auto worth = std::chrono::nanoseconds(static_cast<std::int64_t>(bytes) * nanosecondsPerSecond
        / static_cast<std::int64_t>(m_bytesPerSecond));
    m_lag = std::max(std::chrono::nanoseconds(0), m_lag + (now - m_updated) - worth);
    m_updated = now;
}

Milliseconds ProgressMeter::lag(MonotonicTime now) const
{
    return std::chrono::duration_cast<Milliseconds>(m_lag + (now - m_updated));
}

std::size_t memoryBudgetBytes(std::int64_t machineMb)
{
    std::size_t machine = static_cast<std::size_t>(std::max<std::int64_t>(0, machineMb)) * mebibyte;
    std::size_t rest = machine - std::min(machine, programBytes);
    return std::max(minBudgetBytes, static_cast<std::size_t>(static_cast<double>(rest) * budgetShare));
}

void returnFreedMemory(MemoryBudget& budget)
{
    if (budget.takePeak() < budget.total() + minReturnedBytes)
        return;
#ifdef __GLIBC__
    malloc_trim(0);
#endif
}

void configureAllocator()
{
#ifdef __GLIBC__
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, mappedBlockBytes);
#endif
}

} // namespace briarwharf
