#pragma once

#include "process/forwarder.h"
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// Statuses that promise that a request did not run; said only where that is known.
constexpr bool statusMeansNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

// One request of a caller on its way through upstreams: places it, passes the answer on, and acts on the
// verdict when an attempt ends. decideNext() holds the rules; this class holds the sockets.
class ForwardedRequest : public CallerEvents, public OutgoingEvents {
public:
    ForwardedRequest(Forwarder&, IngressRequest, CallerExchange&);
    ~ForwardedRequest() override;
    ForwardedRequest(const ForwardedRequest&) = delete;
    ForwardedRequest& operator=(const ForwardedRequest&) = delete;

    // Finds route and organisation, and makes the first attempt.
    void start();

    // Ends what waited too long.
    void checkTimeouts(MonotonicTime now);

    bool isDone() const { return m_done; }

    void callerLeft() override;
    void callerDrained() override;
    void answerHead(const HttpHead&) override;
    void answerBody(std::string_view) override;
    void answerEnd() override;
    void exchangeFailed(const ExchangeFailure&) override;

private:
    friend class Forwarder;

    enum class AnswerMode {
        None, // no head yet
        Buffered, // kept until it is whole
        Forwarding, // too long to hold: passed on as it comes
        Events, // a stream
    };

    // What an answer of this system itself says.
    struct LocalAnswer {
        int status = 503;
        std::string_view type; // stable, for programs
        std::string_view message; // what is wrong and what to do
        Milliseconds retryAfter { 0 }; // 0: not stated
    };

    bool findRoute();
    bool findOrganisation();
    void readDeadline();
    bool endsBeforeShutdown();
    Milliseconds expectedDuration() const;
    void place();
    bool refuseUnreachableDeadline(const CostDecision&, MonotonicTime now);
    void send(std::shared_ptr<Forwarder::Upstream>, const CostDecision&);
    void beginAnswer(std::string_view firstBytes);
    void forwardEvents(std::string_view bytes);
    void forwardBytes(std::string_view bytes);
    void finishBuffered();
    void deliverBuffered();
    void attemptEnded(AttemptEnd, std::string_view reason);
    void applyVerdict(Verdict, std::string_view reason);
    void giveUp(std::string_view reason);
    AttemptSituation situation(MonotonicTime now) const;
    void closeAttempt();
    void recordHealth(AttemptEnd, bool keptConnection);
    void recordFirstByte(MonotonicTime now);
    void recordUnansweredWait(MonotonicTime now);
    bool mayRepeat() const;
    // The upstreams of the request's pool are engines.
    bool servedByEngines() const { return m_routedPool && m_routedPool->engine; }
    bool isSilent(MonotonicTime now) const;
    void answerLocally(const LocalAnswer&);
    void refuse(std::string_view reason);
    void finish(std::string_view outcome, int status, std::string_view reason);

    Forwarder& m_forwarder;
    std::list<std::unique_ptr<ForwardedRequest>>::iterator m_position; // in the forwarder's list
    IngressRequest m_request;
    CallerHandle m_caller; // empty when the caller has left or has its answer
    CallerFields m_fields;
    std::shared_ptr<const RoutingTable> m_table;
    const Route* m_route = nullptr;
    const RoutedOrganisation* m_organisation = nullptr;
    std::string m_pool;
    const RoutedPool* m_routedPool = nullptr; // null: the configuration does not describe the pool
    WorkItem m_item;
    MonotonicTime m_deadline;

    int m_attempts = 0; // handed to the network
    int m_detours = 0;
    bool m_mayHaveRun = false; // an earlier attempt
    std::vector<std::string> m_tried; // ids of upstreams

    std::shared_ptr<Forwarder::Upstream> m_upstream; // of the present attempt
    std::unique_ptr<OutgoingExchange> m_exchange;
    MonotonicTime m_sentAt;
    MonotonicTime m_lastByteAt;
    MonotonicTime m_firstByteAt; // of the first attempt that was answered
    CostDecision m_decision;
    double m_likelyMs = 0; // to the first byte, as learnt from answers of late
    UpstreamCandidate m_chosenCandidate; // what the decision saw of the upstream
    bool m_headReceived = false; // the present attempt has an answer's head

    AnswerMode m_mode = AnswerMode::None;
    HttpHead m_head; // of the present answer
    std::string m_buffered;
    EventRelay m_relay;
    bool m_answerBegun = false; // the caller has a part of the answer
    bool m_done = false;
};

} // namespace briarwharf
