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

// Short if the estimated work (prompt tokens plus maximum output tokens) is at most `shortTokens`.
RequestClass classify(std::int64_t promptTokens, std::int64_t maxTokens, std::int64_t shortTokens = 512);

// This instance's share of the organisations' rate limits, which are in tokens per second over all instances.
class RateAllowance {
public:
    RateAllowance() = default;
    RateAllowance(const RateAllowance&) = delete;
    RateAllowance& operator=(const RateAllowance&) = delete;
    virtual ~RateAllowance() = default;

    // Takes all of the tokens and returns true, or takes nothing and returns false.
    virtual bool tryTake(std::string_view organisation, std::int64_t tokens, MonotonicTime now) = 0;

    // The time after which tryTake() of this many tokens is expected to succeed.
    virtual Milliseconds retryAfter(
        std::string_view organisation, std::int64_t tokens, MonotonicTime now) const = 0;
};

struct AdmissionSettings {
    std::uint32_t slots = 64; // maximum requests in progress from this instance in the pool
    std::uint32_t shortSlots = 8; // of these, slots that are reserved for short requests
    double longShare = 0.3; // share of long requests in the dispatched tokens while both classes wait
    std::uint32_t queueLength = 64; // maximum waiting requests per class, over all organisations
    std::uint32_t organisationQueueLength = 32; // maximum waiting requests per class and organisation
    Milliseconds queueDeadline { 5000 }; // maximum wait
};

using AdmissionTicket = std::uint64_t;

struct AdmissionRequest {
    AdmissionTicket ticket = 0; // chosen by the caller, unique among unfinished requests
    std::string organisation;
    double weight = 1; // of the organisation
    RequestClass requestClass = RequestClass::Short;
    std::int64_t tokens = 0;
    MonotonicTime deadline = MonotonicTime::max(); // of the request itself, beside queueDeadline
};

enum class AdmissionOutcome {
    Run, // the request holds a slot until finished() or requeue()
    Queued, // a later event has the final outcome
    QueueFull,
    DeadlinePassed,
    OverRate, // the organisation's allowance is exhausted
};

std::string_view admissionOutcomeName(AdmissionOutcome);

// All outcomes but Run and Queued are rejections: the request did not run.
struct AdmissionEvent {
    AdmissionTicket ticket = 0;
    AdmissionOutcome outcome = AdmissionOutcome::Run;
    Milliseconds retryAfter { 0 }; // for rejections
};

// Decides which waiting request of a pool runs next. Short requests run before long ones. While long requests
// wait, each short request that is dispatched earns the long class a credit in proportion to the long class's
// share. Once the credit covers the next long request, that request runs. Within a class, organisations share
// by weight (start-time fair queueing in tokens), so that an organisation whose traffic surges delays its own
// requests. When the queue of a class is full, the newest request of the organisation with the longest queue
// relative to its weight is rejected, and not the new request of an organisation with little traffic.
class Admission {
public:
    // `allowance` may be null (no limits); otherwise it must outlive this object.
    Admission(AdmissionSettings, RateAllowance* allowance);

    // The first event is always that of the request itself. The others are of requests that it displaced from
    // the queue, or that poll() returns at this time.
    std::vector<AdmissionEvent> submit(AdmissionRequest, MonotonicTime now);

    // Must be called when a request with the outcome Run has ended. Frees its slot; call poll() next.
    void finished(AdmissionTicket, MonotonicTime now);

    // Must be called when a request with the outcome Run was not placed because every upstream is saturated.
    // Frees its slot and returns the request to the head of its organisation's queue, with its original
    // deadline.
    void requeue(AdmissionTicket, MonotonicTime now);

    // Must be called when the caller has left while its request waited. No event follows.
    void cancel(AdmissionTicket);

    // Returns the requests that may run now and those whose deadline passed while they waited.
    std::vector<AdmissionEvent> poll(MonotonicTime now);

    // Rejects all waiting requests, for a graceful shutdown.
    std::vector<AdmissionEvent> rejectAll(MonotonicTime now);

    // The earliest deadline of a waiting request, by which poll() must be called; max() if no request waits.
    MonotonicTime nextDeadline() const;

    void resize(std::uint32_t slots, std::uint32_t shortSlots);

    std::size_t waiting(RequestClass) const;
    std::size_t running(RequestClass) const;

private:
    struct Waiting {
        AdmissionRequest request;
        MonotonicTime deadline;
        double startTag = 0; // virtual time, in tokens per unit of weight
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
        double finishedPerSecond = 0; // exponential moving average, for Retry-After
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

    bool hasFreeSlot(RequestClass) const;
    std::optional<RequestClass> nextClass();
    void enqueue(Waiting&&);
    static Flow* nextFlow(ClassQueue&);
    AdmissionEvent dispatch(RequestClass);
    void updateLongCredit(RequestClass dispatched, std::int64_t tokens);
    void expire(ClassQueue&, MonotonicTime now, std::vector<AdmissionEvent>&);
    bool makeRoom(ClassQueue&, const AdmissionRequest&, std::vector<AdmissionEvent>&);
    AdmissionEvent rejection(const ClassQueue&, AdmissionTicket, AdmissionOutcome) const;
    static void removeIdleFlows(ClassQueue&);

    AdmissionSettings m_settings;
    RateAllowance* m_allowance;
    std::array<ClassQueue, 2> m_classes;
    std::unordered_map<AdmissionTicket, Waiting> m_running;
    double m_longCredit = 0; // in tokens, earned by the long class while it waited for short requests
};

} // namespace briarwharf
