#pragma once

#include "process/forwarder.h"
#include "process/upstreamattempt.h"
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// Whether callers take the status as a guarantee that the request did not run. Such a status is sent only if
// that is certain.
constexpr bool statusMeansNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

// One caller's request: chooses an upstream, sends the request there, forwards the answer, and applies the
// verdict when an attempt ends. decideNext() contains the rules for further attempts; this class does the
// network I/O.
class ForwardedRequest : public CallerEvents {
public:
    ForwardedRequest(Forwarder&, IngressRequest, CallerExchange&);
    ~ForwardedRequest() override;
    ForwardedRequest(const ForwardedRequest&) = delete;
    ForwardedRequest& operator=(const ForwardedRequest&) = delete;

    // Looks up the route and the organisation, and starts the first attempt.
    void start();

    // Ends the attempts in progress if the deadline has passed or the upstream is silent, and sends a hedge
    // that is due.
    void checkTimeouts(MonotonicTime now);
    // Answers the caller because this instance exits. An answer that has begun is cut.
    void endForShutdown();

    bool isDone() const { return m_done; }

    // Ends the attempts of which nothing was handed to the network and whose upstream is given up, and
    // chooses another upstream if no attempt is left in progress.
    void giveUpUnwritten(const std::function<bool(const Forwarder::Upstream&)>& isGivenUp);

    void callerLeft() override;
    void callerDrained() override;

private:
    friend class Forwarder;
    friend struct UpstreamAttempt; // passes the events of its exchange on
    using AnswerMode = UpstreamAttempt::AnswerMode;

    // What the answers of further upstreams must have in common with the one that began the stream.
    struct StreamStart {
        int status = 0;
        std::string mediaType;
    };

    // An upstream's complete failure answer, kept until another upstream has answered.
    struct KeptAnswer {
        HttpHead head;
        std::string body;
    };

    // An answer that this instance gives itself, instead of an upstream's.
    struct LocalAnswer {
        int status = 503;
        std::string_view type; // stable identifier, for programs
        std::string_view message; // for people: the fault and the remedy
        Milliseconds retryAfter { 0 }; // 0: no Retry-After field
    };

    bool findRoute();
    bool findOrganisation();
    void readDeadline();
    bool endsBeforeShutdown(MonotonicTime now);
    Milliseconds expectedDuration() const;
    bool refuseByShare();
    void place();
    std::vector<std::shared_ptr<Forwarder::Upstream>> upstreamsToTry();
    bool refuseQuarantined(MonotonicTime now);
    std::optional<CostDecision> chooseWithinLimits(const std::vector<std::shared_ptr<Forwarder::Upstream>>&,
        std::vector<UpstreamCandidate>&, MonotonicTime now);
    void refuseOverLimits(MonotonicTime now);
    bool refuseUnreachableDeadline(const CostDecision&, MonotonicTime now);
    void send(std::shared_ptr<Forwarder::Upstream>, const CostDecision&, std::optional<Endpoint> copyFrom);
    void select(UpstreamAttempt&);
    void planHedge(MonotonicTime now);
    void tryHedge(MonotonicTime now);
    bool mayHedge(MonotonicTime now) const;
    void endOther(std::string_view reason);
    void awaitOther();
    void observeFirstByte(const UpstreamAttempt&, MonotonicTime now);
    void recordSlowness(const UpstreamAttempt&, double waitedMs, MonotonicTime now);
    void answerHead(const HttpHead&);
    void answerBody(std::string_view);
    void answerEnd();
    void exchangeFailed(const ExchangeFailure&);
    void beginAnswer(std::string_view firstBytes);
    bool continuesStream(const HttpHead&) const;
    void forwardLargeAnswer();
    void countBuffered();
    bool exceedsBuffers() const;
    void forwardEvents(std::string_view bytes, MonotonicTime now);
    void forwardBytes(std::string_view bytes);
    void finishBuffered();
    void deliverBuffered();
    void deliverFailure(KeptAnswer);
    void attemptEnded(AttemptEnd, std::string_view reason);
    void applyVerdict(AttemptVerdict, std::string_view reason);
    void giveUp(std::string_view reason);
    bool mayWait(MonotonicTime now) const;
    AttemptSituation situation(MonotonicTime now) const;
    void recordHealth(AttemptEnd, bool keptConnection);
    void recordFirstByte(MonotonicTime now);
    void recordRateLimit(const HttpHead&);
    void recordAvailability(const HttpHead&);
    void recordEvents(MonotonicTime now);
    void recordSoundAnswer(MonotonicTime now);
    void recordServed(MonotonicTime now);
    void reportBrokenConnection();
    void recordUnansweredWait(const UpstreamAttempt&, MonotonicTime now);
    void recordUnansweredWaits(MonotonicTime now);
    bool mayRepeat() const;
    // Whether the upstreams of the request's pool are model engines.
    bool servedByEngines() const { return m_routedPool && m_routedPool->engine; }
    bool isSilent(const UpstreamAttempt&, MonotonicTime now) const;
    bool recordSilence(UpstreamAttempt&, MonotonicTime now);
    bool mayMoveOn(MonotonicTime now) const;
    void answerLocally(const LocalAnswer&);
    void refuse(std::string_view reason);
    void finish(std::string_view outcome, int status, std::string_view reason);

    Forwarder& m_forwarder;
    std::list<std::unique_ptr<ForwardedRequest>>::iterator m_position; // in the forwarder's list of requests
    IngressRequest m_request;
    CallerHandle m_caller; // empty once the caller has disconnected or its answer has ended
    CallerFields m_fields;
    std::shared_ptr<const RoutingTable> m_table;
    const Route* m_route = nullptr;
    const RoutedOrganisation* m_organisation = nullptr;
    std::string m_pool;
    const RoutedPool* m_routedPool = nullptr; // null: the configuration does not describe the pool
    WorkItem m_item;
    std::vector<std::uint64_t> m_sharedSegments; // identifiers
    MonotonicTime m_deadline;
    std::optional<ShareRefusal> m_shareRefusal; // if the request was refused because of its pool's shares

    int m_attempts = 0; // handed to the network, uncounted attempts excepted
    int m_arrivals = 0; // at upstreams: written to the network, whether they count as attempts or not
    int m_uncountedAttempts = 0; // without a connection, or at an address that is another upstream's now
    MonotonicTime m_admittedAt; // by the quarantine, latest
    bool m_mayHaveRun = false; // an earlier attempt may have run the request
    std::vector<std::string> m_tried; // ids of the upstreams of all attempts so far, the latest last
    std::string m_reachable; // id of the one of them that may be tried again; empty if none

    // The latest attempt; of two in progress, the one whose event is handled. Never null.
    std::unique_ptr<UpstreamAttempt> m_attempt;
    std::unique_ptr<UpstreamAttempt> m_other; // of two attempts in progress; null otherwise
    std::optional<MonotonicTime> m_hedgeAt; // when the first attempt is old enough for a hedge
    std::optional<Timer> m_hedgeTimer;
    bool m_hedged = false; // a hedge was tried
    std::optional<MonotonicTime> m_placeAgainAt; // while a begun stream waits for an upstream
    MonotonicTime m_firstByteAt; // of the first answer, whichever attempt received it
    double m_likelyMs = 0; // expected time to the first byte, corrected by recent answers
    UpstreamCandidate m_chosenCandidate; // the chosen upstream's state when it was chosen

    std::optional<KeptAnswer> m_failure; // of an earlier attempt
    std::size_t m_countedBytes = 0; // of this request's buffers, in the forwarder's sum
    MemoryHold m_memory; // of the request and its buffers, without the body, which counts itself
    bool m_answerBegun = false; // a part of the answer was sent to the caller
    std::optional<StreamStart> m_stream; // if that answer is a stream
    bool m_done = false;
};

} // namespace briarwharf
