#pragma once

#include "base/time.h"
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarwharf {

enum class RequestClass {
    Short,
    Long,
};

// Short if the estimated work (prompt plus the most that may be generated) is at most `shortTokens`.
RequestClass classify(std::int64_t promptTokens, std::int64_t maxTokens, std::int64_t shortTokens = 512);

// An organisation's local allowance (tokens per second over all instances, shared between them).
class RateAllowance {
public:
    RateAllowance() = default;
    RateAllowance(const RateAllowance&) = delete;
    RateAllowance& operator=(const RateAllowance&) = delete;
    virtual ~RateAllowance() = default;

    // Takes the tokens, or takes nothing and returns false.
    virtual bool tryTake(std::string_view organisation, std::int64_t tokens, MonotonicTime now) = 0;

    // When tryTake of so many tokens is expected to succeed.
    virtual Milliseconds retryAfter(
        std::string_view organisation, std::int64_t tokens, MonotonicTime now) const = 0;
};

struct AdmissionSettings {
    std::uint32_t slots = 64; // requests in progress from this instance in the pool
    std::uint32_t shortSlots = 8; // of these, slots that only short requests use
    double longShare = 0.3; // of the dispatched work, while both classes wait
    std::uint32_t queueLength = 64; // waiting requests for each class, all organisations
    std::uint32_t organisationQueueLength = 32; // waiting requests for each class and organisation
    Milliseconds queueDeadline { 5000 }; // longest wait
};

using AdmissionTicket = std::uint64_t;

struct AdmissionRequest {
    AdmissionTicket ticket = 0; // chosen by the caller, unique among unfinished requests
    std::string organisation;
    double weight = 1; // of the organisation
    RequestClass requestClass = RequestClass::Short;
    std::int64_t tokens = 0;
    MonotonicTime deadline = MonotonicTime::max(); // of the request itself
};

enum class AdmissionOutcome {
    Run, // holds a slot until finished()
    Queued, // a later event decides
    QueueFull,
    DeadlinePassed,
    OverRate, // the organisation's allowance is used up
};

std::string_view admissionOutcomeName(AdmissionOutcome);

// All outcomes but Run and Queued are rejections: the request did not run.
struct AdmissionEvent {
    AdmissionTicket ticket = 0;
    AdmissionOutcome outcome = AdmissionOutcome::Run;
    Milliseconds retryAfter { 0 }; // for rejections
};

// Decides which waiting request of a pool runs next. Short requests go before long ones, but each short one
// that does earns the waiting long class a credit in proportion to its share; once the credit covers the next
// long request, that one runs. Within a class, organisations share by
// weight (start-time fair queueing in tokens), so one that surges waits behind itself. When the class's
// queue is full, the newest request of the organisation with the longest queue for its weight is rejected,
// not the newcomer of a quiet organisation.
class Admission {
public:
    // `allowance` may be null (no limits); otherwise it must outlive this object.
    Admission(AdmissionSettings, RateAllowance* allowance);

    // Events for the request itself (always the first one) and for any request that it pushed out.
    std::vector<AdmissionEvent> submit(AdmissionRequest, MonotonicTime now);

    // A request that was told to run has ended. Frees its slot; call poll() next.
    void finished(AdmissionTicket, MonotonicTime now);

    // The request was not placed (every upstream saturated): frees its slot and returns it to the head of
    // its organisation's queue, with its original deadline.
    void requeue(AdmissionTicket, MonotonicTime now);

    // The caller went away while its request waited; no event follows.
    void cancel(AdmissionTicket);

    // Requests that may run now, and those whose deadline passed while they waited.
    std::vector<AdmissionEvent> poll(MonotonicTime now);

    // Rejects everything that waits, for a graceful stop.
    std::vector<AdmissionEvent> rejectAll(MonotonicTime now);

    // When poll() has work at the latest; max() if nothing waits.
    MonotonicTime nextDeadline() const;

    void resize(std::uint32_t slots, std::uint32_t shortSlots);

    std::size_t waiting(RequestClass) const;
    std::size_t running(RequestClass) const;

private:
    struct Waiting {
        AdmissionRequest request;
        MonotonicTime deadline;
        double startTag = 0; // virtual time, tokens for unit weight
    };

    struct Flow {
        double weight = 1;
        double finishTag = 0;
        std::deque<Waiting> queue;
    };

    struct ClassQueue {
        std::map<std::string, Flow, std::less<>> flows;
        std::size_t waiting = 0;
        std::size_t running = 0;
        double virtualTime = 0;
        double finishedPerSecond = 0; // smoothed, for Retry-After
        MonotonicTime lastFinish;
    };

    ClassQueue& queueOf(RequestClass requestClass)
    {
        return m_classes[static_cast<std::size_t>(requestClass)];
    }
    const ClassQueue& queueOf(RequestClass requestClass) const
    {
        return m_classes[static_cast<std::size_t>(requestClass)];
    }

    static constexpr std::array<RequestClass, 2> classes { RequestClass::Short, RequestClass::Long };

    bool slotFree(RequestClass) const;
    std::optional<RequestClass> nextClass();
    void enqueue(Waiting&&);
    static Flow* nextFlow(ClassQueue&);
    AdmissionEvent dispatch(RequestClass);
    void settleLongCredit(RequestClass dispatched, std::int64_t tokens);
    void expire(ClassQueue&, MonotonicTime now, std::vector<AdmissionEvent>&);
    bool makeRoom(ClassQueue&, const AdmissionRequest&, std::vector<AdmissionEvent>&);
    AdmissionEvent rejection(const ClassQueue&, AdmissionTicket, AdmissionOutcome) const;
    static void dropEmptyFlows(ClassQueue&);

    AdmissionSettings m_settings;
    RateAllowance* m_allowance;
    std::array<ClassQueue, 2> m_classes;
    std::unordered_map<AdmissionTicket, Waiting> m_running;
    double m_longCredit = 0; // tokens that the long class has earned while it waited for short requests
};

} // namespace briarwharf
