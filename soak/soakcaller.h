#pragma once

#include "connection/connection.h"
#include "process/forwardheaders.h"
#include <functional>
#include <memory>
#include <string>

namespace briarwharf {

// A request and the answer that its caller received.
struct SoakAnswer {
    std::string requestId;
    std::string target;
    int status = 0; // 0: no answer
    bool complete = false;
    std::string body;
    bool atMostOnce = false;
    bool stream = false;
};

// How a caller behaves, and the prompt that it describes.
struct CallerManner {
    std::string segments; // "id:tokens,..."; empty for none
    std::string tokens; // "prompt tokens,maximum output tokens"; empty for none
    Milliseconds readPause { 0 }; // between the head of the answer and the rest; 0: none
    Milliseconds leavesAfter { 0 }; // 0: it waits for the answer
};

// Sends one request of the soak test and collects its answer.
class SoakCaller : public OutgoingEvents {
public:
    using Done = std::function<void(const SoakAnswer&)>;

    SoakCaller(event_base*, HttpPool&, const Endpoint&, const ForwardingHeaders&, SoakAnswer,
        const CallerManner&, Done);

    bool isDone() const { return !m_done; }

    void answerHead(const HttpHead&) override;
    void answerBody(std::string_view bytes) override { m_answer.body += bytes; }
    void answerEnd() override;
    void exchangeFailed(const ExchangeFailure&) override { finish(); }

private:
    void finish();

    SoakAnswer m_answer;
    Done m_done;
    Milliseconds m_readPause;
    Timer m_timer;
    Timer m_readTimer;
    std::unique_ptr<OutgoingExchange> m_exchange;
};

} // namespace briarwharf
