#include "request/admission.h"

#include "base/hash.h"
#include <algorithm>
#include <cmath>

namespace briarwharf {

namespace {

    constexpr std::chrono::seconds rateWindow { 10 };
    constexpr Milliseconds minRetryAfter { 1000 }; // the Retry-After header has whole seconds
    constexpr Milliseconds maxRetryAfter { 60000 };

    double seconds(std::chrono::nanoseconds duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

} // namespace

RequestClass classify(std::int64_t promptTokens, std::int64_t maxTokens, std::int64_t shortTokens)
{
    return promptTokens + maxTokens <= shortTokens ? RequestClass::Short : RequestClass::Long;
}

std::string_view admissionOutcomeName(AdmissionOutcome outcome)
{
    constexpr std::string_view names[] { "run", "queued", "queue_full", "deadline_passed", "over_rate" };
    return names[static_cast<std::size_t>(outcome)];
}

Admission::Admission(AdmissionSettings settings, RateAllowance* allowance)
    : m_settings(settings)
    , m_allowance(allowance)
{
    constexpr double maxLongShare = 0.9; // leaves some of the work to short requests at any setting
    m_settings.longShare = std::clamp(m_settings.longShare, 0.0, maxLongShare);
    resize(settings.slots, settings.shortSlots);
}

std::vector<AdmissionEvent> Admission::submit(AdmissionRequest request, MonotonicTime now)
{
    AdmissionTicket ticket = request.ticket;
    ClassQueue& queue = queueOf(request.requestClass);
    if (request.deadline <= now)
        return { rejection(queue, ticket, AdmissionOutcome::DeadlinePassed) };
    if (m_allowance && !m_allowance->tryTake(request.organisation, request.tokens, now)) {
        AdmissionEvent event = rejection(queue, ticket, AdmissionOutcome::OverRate);
        event.retryAfter
            = std::max(minRetryAfter, m_allowance->retryAfter(request.organisation, request.tokens, now));
        return { event };
    }
    std::vector<AdmissionEvent> events { { ticket, AdmissionOutcome::Queued } };
    bool runsNow = queue.waiting == 0 && hasFreeSlot(request.requestClass);
    if (!runsNow && !makeRoom(queue, request, events)) {
        events.front() = rejection(queue, ticket, AdmissionOutcome::QueueFull);
        return events;
    }
    MonotonicTime waitDeadline = std::min(request.deadline, now + m_settings.queueDeadline);
    enqueue({ std::move(request), waitDeadline });
    for (const AdmissionEvent& event : poll(now)) {
        if (event.ticket == ticket)
            events.front() = event;
        else
            events.push_back(event);
    }
    return events;
}

void Admission::finished(AdmissionTicket ticket, MonotonicTime now)
{
    auto found = m_running.find(ticket);
    if (found == m_running.end())
        return;
    ClassQueue& queue = queueOf(found->second.request.requestClass);
    m_running.erase(found);
    --queue.running;
    double window = seconds(rateWindow);
    double elapsed = queue.lastFinish == MonotonicTime() ? window : seconds(now - queue.lastFinish);
    queue.finishedPerSecond = queue.finishedPerSecond * std::exp(-elapsed / window) + 1 / window;
    queue.lastFinish = now;
}

void Admission::requeue(AdmissionTicket ticket, MonotonicTime)
{
    auto found = m_running.find(ticket);
    if (found == m_running.end())
        return;
    Waiting waiting = std::move(found->second);
    m_running.erase(found);
    ClassQueue& queue = queueOf(waiting.request.requestClass);
    --queue.running;
    ++queue.waiting;
    Flow& flow = queue.flows[waiting.request.organisation];
    flow.weight = waiting.request.weight;
    flow.queue.push_front(std::move(waiting));
}

void Admission::cancel(AdmissionTicket ticket)
{
    for (ClassQueue& queue : m_classes) {
        for (auto& [name, flow] : queue.flows) {
            auto found = std::find_if(flow.queue.begin(), flow.queue.end(),
                [ticket](const Waiting& waiting) { return waiting.request.ticket == ticket; });
            if (found == flow.queue.end())
                continue;
            flow.queue.erase(found);
            --queue.waiting;
            return;
        }
    }
}

std::vector<AdmissionEvent> Admission::poll(MonotonicTime now)
{
    std::vector<AdmissionEvent> events;
    for (ClassQueue& queue : m_classes)
        expire(queue, now, events);
    while (std::optional<RequestClass> next = nextClass())
        events.push_back(dispatch(*next));
    for (ClassQueue& queue : m_classes)
        removeIdleFlows(queue);
    return events;
}

std::vector<AdmissionEvent> Admission::rejectAll(MonotonicTime)
{
    std::vector<AdmissionEvent> events;
    for (ClassQueue& queue : m_classes) {
        for (auto& [name, flow] : queue.flows)
            for (const Waiting& waiting : flow.queue)
                events.push_back(rejection(queue, waiting.request.ticket, AdmissionOutcome::QueueFull));
        queue.flows.clear();
        queue.waiting = 0;
    }
    return events;
}

MonotonicTime Admission::nextDeadline() const
{
    MonotonicTime earliest = MonotonicTime::max();
    for (const ClassQueue& queue : m_classes)
        for (const auto& [name, flow] : queue.flows)
            for (const Waiting& waiting : flow.queue)
                earliest = std::min(earliest, waiting.deadline);
    return earliest;
}

void Admission::resize(std::uint32_t slots, std::uint32_t shortSlots)
{
    m_settings.slots = std::max<std::uint32_t>(1, slots);
    // At least one slot remains available to long requests.
    m_settings.shortSlots = std::min(shortSlots, m_settings.slots - 1);
}

std::size_t Admission::waiting(RequestClass requestClass) const { return queueOf(requestClass).waiting; }

std::size_t Admission::running(RequestClass requestClass) const { return queueOf(requestClass).running; }

bool Admission::hasFreeSlot(RequestClass requestClass) const
{
    if (m_running.size() >= m_settings.slots)
        return false;
    return requestClass == RequestClass::Short
        || running(RequestClass::Long) < m_settings.slots - m_settings.shortSlots;
}

std::optional<RequestClass> Admission::nextClass()
{
    bool shortReady = waiting(RequestClass::Short) > 0 && hasFreeSlot(RequestClass::Short);
    bool longReady = waiting(RequestClass::Long) > 0 && hasFreeSlot(RequestClass::Long);
    if (!shortReady && !longReady)
        return std::nullopt;
    if (!shortReady || !longReady)
        return shortReady ? RequestClass::Short : RequestClass::Long;
    auto cost = static_cast<double>(nextFlow(queueOf(RequestClass::Long))->queue.front().request.tokens);
    return m_longCredit >= cost ? RequestClass::Long : RequestClass::Short;
}

void Admission::enqueue(Waiting&& waiting)
{
    ClassQueue& queue = queueOf(waiting.request.requestClass);
    Flow& flow = queue.flows[waiting.request.organisation];
    constexpr double minWeight = 1e-3;
    flow.weight = std::max(waiting.request.weight, minWeight);
    waiting.startTag = std::max(queue.virtualTime, flow.finishTag);
    flow.finishTag = waiting.startTag + static_cast<double>(waiting.request.tokens) / flow.weight;
    flow.queue.push_back(std::move(waiting));
    ++queue.waiting;
}

Admission::Flow* Admission::nextFlow(ClassQueue& queue)
{
    Flow* next = nullptr;
    for (auto& [name, flow] : queue.flows) {
        if (flow.queue.empty())
            continue;
        if (!next || flow.queue.front().startTag < next->queue.front().startTag)
            next = &flow;
    }
    return next;
}

AdmissionEvent Admission::dispatch(RequestClass requestClass)
{
    ClassQueue& queue = queueOf(requestClass);
    Flow& flow = *nextFlow(queue);
    Waiting waiting = std::move(flow.queue.front());
    flow.queue.pop_front();
    --queue.waiting;
    ++queue.running;
    queue.virtualTime = std::max(queue.virtualTime, waiting.startTag);
    updateLongCredit(requestClass, waiting.request.tokens);
    AdmissionTicket ticket = waiting.request.ticket;
    m_running.insert_or_assign(ticket, std::move(waiting));
    return { ticket, AdmissionOutcome::Run };
}

void Admission::updateLongCredit(RequestClass dispatched, std::int64_t tokens)
{
    if (dispatched == RequestClass::Long)
        m_longCredit = std::max(0.0, m_longCredit - static_cast<double>(tokens));
    else
        m_longCredit += m_settings.longShare / (1 - m_settings.longShare) * static_cast<double>(tokens);
    if (waiting(RequestClass::Long) == 0)
        m_longCredit = 0;
}

void Admission::expire(ClassQueue& queue, MonotonicTime now, std::vector<AdmissionEvent>& events)
{
    for (auto& [name, flow] : queue.flows) {
        for (auto waiting = flow.queue.begin(); waiting != flow.queue.end();) {
            if (waiting->deadline > now) {
                ++waiting;
                continue;
            }
            events.push_back(rejection(queue, waiting->request.ticket, AdmissionOutcome::DeadlinePassed));
            waiting = flow.queue.erase(waiting);
            --queue.waiting;
        }
    }
}

bool Admission::makeRoom(
    ClassQueue& queue, const AdmissionRequest& newRequest, std::vector<AdmissionEvent>& events)
{
    auto ownFlow = queue.flows.find(newRequest.organisation);
    std::size_t ownLength = ownFlow == queue.flows.end() ? 0 : ownFlow->second.queue.size();
    if (ownLength >= m_settings.organisationQueueLength)
        return false;
    if (queue.waiting < m_settings.queueLength)
        return true;
    double maxLength = static_cast<double>(ownLength + 1) / newRequest.weight;
    Flow* longestFlow = nullptr;
    for (auto& [name, flow] : queue.flows) {
        double length = static_cast<double>(flow.queue.size()) / flow.weight;
        if (length <= maxLength)
            continue;
        maxLength = length;
        longestFlow = &flow;
    }
    if (!longestFlow)
        return false;
    events.push_back(rejection(queue, longestFlow->queue.back().request.ticket, AdmissionOutcome::QueueFull));
    longestFlow->finishTag = longestFlow->queue.back().startTag;
    longestFlow->queue.pop_back();
    --queue.waiting;
    return true;
}

AdmissionEvent Admission::rejection(
    const ClassQueue& queue, AdmissionTicket ticket, AdmissionOutcome outcome) const
{
    double rate = std::max(queue.finishedPerSecond, 1 / seconds(rateWindow));
    double wait = static_cast<double>(queue.waiting + 1) / rate;
    // Spreads the wait by up to a half, so that callers rejected together do not come back together.
    wait *= 1 + unitInterval(combineHashes(ticket, queue.waiting)) / 2;
    auto retryAfter = Milliseconds(static_cast<std::int64_t>(wait * 1000));
    return { ticket, outcome, std::clamp(retryAfter, minRetryAfter, maxRetryAfter) };
}

void Admission::removeIdleFlows(ClassQueue& queue)
{
    std::erase_if(queue.flows, [&queue](const auto& entry) {
        return entry.second.queue.empty() && entry.second.finishTag <= queue.virtualTime;
    });
}

} // namespace briarwharf
