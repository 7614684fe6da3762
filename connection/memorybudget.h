#pragma once

#include "base/time.h"
#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace briarwharf {

enum class MemoryKind {
    Connections, // callers' connections and heads
    Bodies, // of callers' requests, for as long as an attempt may need them
    CallerInput, // pipelined requests
    CallerOutput, // answers that callers have not read
    Requests, // requests in progress, with their answers while these are kept
    Upstreams, // connections to upstreams, heads of answers, requests that upstreams have not read
    Peers, // frames from and to other instances
};
constexpr std::size_t memoryKinds = 7;

// Counts the memory that the process holds for callers, upstreams and peers, by what is allocated. It neither
// allocates nor frees: bodies ask hasRoomForBody() before they grow; heads and answers are counted when they
// are allocated, and Ingress then evicts connections while isExceeded(). What is held for peers is never
// refused.
//
//   auto budget = std::make_shared<MemoryBudget>(memoryBudgetBytes(112));
//   MemoryHold hold(budget, MemoryKind::Bodies);
//   if (budget->hasRoom(bytes)) hold.set(bytes);
class MemoryBudget {
public:
    explicit MemoryBudget(std::size_t limitBytes)
        : m_limit(limitBytes)
    {
    }

    void setLimit(std::size_t bytes) { m_limit = bytes; }
    std::size_t limit() const { return m_limit; }
    std::size_t total() const { return m_total; }
    std::size_t held(MemoryKind kind) const { return m_held[static_cast<std::size_t>(kind)]; }

    bool isExceeded() const { return m_total > m_limit; }
    bool hasRoom(std::size_t bytes) const { return m_total <= m_limit && bytes <= m_limit - m_total; }
    // The same for a body of `size` bytes so far. Large bodies leave a part of the budget to small requests.
    bool hasRoomForBody(std::size_t bytes, std::size_t size) const;
    // Whether more than half of the limit is in use: what need not be kept is not kept.
    bool isScarce() const { return m_total > m_limit / 2; }

    // Highest total since the last call.
    std::size_t takePeak();

private:
    friend class MemoryHold;
    void change(MemoryKind, std::size_t before, std::size_t after);

    std::size_t m_limit;
    std::size_t m_total = 0;
    std::size_t m_peak = 0;
    std::array<std::size_t, memoryKinds> m_held {};
};

// The part of a budget that one object holds. Ends with the object.
class MemoryHold {
public:
    // Without a budget nothing is counted.
    MemoryHold(std::shared_ptr<MemoryBudget> budget, MemoryKind kind)
        : m_budget(std::move(budget))
        , m_kind(kind)
    {
    }
    ~MemoryHold() { set(0); }
    MemoryHold(const MemoryHold&) = delete;
    MemoryHold& operator=(const MemoryHold&) = delete;

    void set(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }

private:
    std::shared_ptr<MemoryBudget> m_budget;
    MemoryKind m_kind;
    std::size_t m_bytes = 0;
};

// The body of a message while it arrives. Grows by half instead of twice, and never above the length that is
// known to suffice, so that most of what is allocated is used.
class GrowingBody {
public:
    explicit GrowingBody(std::shared_ptr<MemoryBudget>);

    std::size_t size() const { return m_counted ? m_counted->bytes.size() : 0; }
    std::size_t capacity() const { return m_counted ? m_counted->hold.bytes() : 0; }
    // Bytes that append() will allocate; the old ones are freed only after the copy. 0: they fit.
    std::size_t bytesToAllocate(std::size_t more, std::size_t maxBytes) const;
    void append(std::string_view, std::size_t maxBytes);
    void clear() { m_counted.reset(); }
    // Returns the bytes, which stay counted until the last copy of the pointer is gone, and empties the body.
    std::shared_ptr<const std::string> take();

private:
    struct Counted {
        explicit Counted(std::shared_ptr<MemoryBudget> budget)
            : hold(std::move(budget), MemoryKind::Bodies)
        {
        }
        std::string bytes;
        MemoryHold hold;
    };
    std::shared_ptr<MemoryBudget> m_budget;
    std::shared_ptr<Counted> m_counted; // null: empty
};

// Whether something moves at a minimum rate. The lag rises with time and falls with the bytes that move, at
// the given rate, so that a pause is allowed at any moment and a byte now and then does not hide that nothing
// moves.
class ProgressMeter {
public:
    explicit ProgressMeter(std::size_t bytesPerSecond)
        : m_bytesPerSecond(bytesPerSecond)
    {
    }

    void start(MonotonicTime now);
    void advance(std::size_t bytes, MonotonicTime now);
    Milliseconds lag(MonotonicTime now) const;

private:
    std::size_t m_bytesPerSecond;
    MonotonicTime m_updated;
    std::chrono::nanoseconds m_lag { 0 };
};

// Budget of a process on a machine with this memory.
std::size_t memoryBudgetBytes(std::int64_t machineMb);

// Frees unused memory to the system if the budget has used much more since the last call than it uses now:
// the allocator keeps what small blocks used.
void returnFreedMemory(MemoryBudget&);
// Makes the allocator return large blocks to the system when they are freed. Called once, before the first
// one.
void configureAllocator();

} // namespace briarwharf
