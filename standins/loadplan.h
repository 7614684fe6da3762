#pragma once

#include "base/base.h"
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace briarwharf {

// Time since the start of a run.
using RunTime = std::chrono::nanoseconds;

// The load of one organisation: a mean rate of requests and a surge.
struct OrganisationLoad {
    std::string name;
    std::string key; // API key; empty: none is sent
    double rate = 1; // requests per second
    double surgeFactor = 1;
    double surgeStart = 0; // seconds from the start
    double surgeLength = 0; // seconds

    double rateAt(RunTime) const;
};

// Reads "name=clinic,key=K,rate=5,surge=10@3+4" (ten times the rate for 4 s from second 3).
// Errors: InvalidArgument.
Result<OrganisationLoad> parseOrganisation(const std::string& text);

struct LoadOptions {
    std::vector<OrganisationLoad> organisations;
    std::string model = "model";
    std::string runId = "run"; // part of chat names and idempotency keys
    std::uint64_t seed = 1;
    std::size_t chats = 50; // of each organisation at a time
    std::uint32_t turns = 6; // of a chat
    double pauseSeconds = 2; // mean, between an answer and the chat's return
    double hintShare = 0.5; // of the chats that send the residence hint back
    double streamShare = 0.5;
    double longShare = 0.1;
    std::uint32_t shortPromptTokens = 100;
    std::uint32_t longPromptTokens = 2000;
    std::uint32_t shortAnswerTokens = 16;
    std::uint32_t longAnswerTokens = 128;
};

struct PlannedChat {
    std::string name;
    std::size_t organisation = 0;
    bool usesHint = false;
    std::string hint;
    Json messages = Json::array();
    std::uint32_t turn = 0; // answered
    std::int64_t promptTokens = 0; // of the last turn that was answered
};

struct PlannedTurn {
    std::shared_ptr<PlannedChat> chat;
    bool longRequest = false;
    bool stream = false;
    std::uint32_t answerTokens = 0;
    std::string nonce; // first word of the answer
    std::string body;
    std::string userText;
};

// Decides who asks what and when: arrivals of each organisation at random with its rate, as open load; chats
// that return after a pause. The same seed gives the same arrivals. Knows no sockets and no clock.
class LoadPlan {
public:
    explicit LoadPlan(LoadOptions);

    // When the next request arrives, of any organisation.
    RunTime nextArrival() const;
    // The request of that arrival; makes the next one due.
    PlannedTurn takeArrival();
    // The chat goes on with the answer and returns after a pause.
    void answered(const PlannedTurn&, const std::string& text, std::int64_t promptTokens, RunTime now);
    // The chat repeats its turn later, with other words.
    void failed(const PlannedTurn&, RunTime now);

    const LoadOptions& options() const { return m_options; }

private:
    struct State {
        explicit State(std::uint64_t seed)
            : arrivals(seed)
            , contents(combineHashes(seed, 1))
        {
        }

        Random arrivals;
        Random contents;
        RunTime next { 0 };
        std::multimap<RunTime, std::shared_ptr<PlannedChat>> waiting; // by return
        std::size_t live = 0;
        std::uint64_t started = 0;
        std::uint64_t turns = 0;
    };

    void advanceArrival(std::size_t organisation);
    std::shared_ptr<PlannedChat> chooseChat(std::size_t organisation, RunTime now);
    std::shared_ptr<PlannedChat> startChat(std::size_t organisation);
    void pause(std::shared_ptr<PlannedChat>, RunTime now);

    LoadOptions m_options;
    std::vector<State> m_states;
};

} // namespace briarwharf
