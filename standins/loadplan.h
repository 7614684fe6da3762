#pragma once

#include "base/base.h"
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace briarwharf {

// Time since the start of a load run.
using RunTime = std::chrono::nanoseconds;

// The load of one organisation: a mean request rate, and one interval with a higher rate (the surge).
struct OrganisationLoad {
    std::string name;
    std::string key; // API key; empty: no Authorization header is sent
    double rate = 1; // requests per second
    double surgeFactor = 1;
    double surgeStart = 0; // seconds from the start of the run
    double surgeLength = 0; // seconds

    double rateAt(RunTime) const;
};

// Parses "name=clinic,key=K,rate=5,surge=10@3+4"; this surge is ten times the rate for 4 s from second 3 on.
// Errors: InvalidArgument.
Result<OrganisationLoad> parseOrganisation(const std::string& text);

struct LoadOptions {
    std::vector<OrganisationLoad> organisations;
    std::string model = "model";
    std::string runId = "run"; // prefix of chat names and idempotency keys
    std::uint64_t seed = 1;
    std::size_t chats = 50; // chats of each organisation that exist at a time
    std::uint32_t turns = 6; // turns until a chat ends
    double pauseSeconds = 2; // mean time from an answer to the chat's next turn
    double hintShare = 0.5; // share of chats that return the residence hint of their last answer
    double streamShare = 0.5; // share of requests with a streamed answer
    double longShare = 0.1; // share of requests with the long prompt and answer
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
    std::uint32_t turn = 0; // number of turns answered so far
    std::int64_t promptTokens = 0; // of the last answered turn
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

// Plans the requests of a load run: for each organisation, random arrivals at its rate (open load: arrivals
// do not wait for answers), from chats that return after a pause. The same seed gives the same arrivals. Uses
// no sockets and no clock.
class LoadPlan {
public:
    explicit LoadPlan(LoadOptions);

    // Time of the next arrival of any organisation.
    RunTime nextArrival() const;
    // Returns the request of the next arrival and schedules the one after it.
    PlannedTurn takeArrival();
    // Records a completed answer: it becomes part of the chat, which returns after a pause unless that was
    // its last turn.
    void recordAnswer(const PlannedTurn&, const std::string& text, std::int64_t promptTokens, RunTime now);
    // Records a failed request: the chat returns after a pause and repeats the turn with a new prompt.
    void recordFailure(const PlannedTurn&, RunTime now);

    const LoadOptions& options() const { return m_options; }

private:
    struct State {
        explicit State(std::uint64_t seed)
            : arrivalRandom(seed)
            , contentRandom(combineHashes(seed, 1))
        {
        }

        Random arrivalRandom;
        Random contentRandom;
        RunTime next { 0 }; // time of the next arrival
        // Paused chats, by the time of their return.
        std::multimap<RunTime, std::shared_ptr<PlannedChat>> pausedChats;
        std::size_t liveChats = 0; // chats that have not ended
        std::uint64_t startedChats = 0; // gives each chat the number in its name
        std::uint64_t turns = 0; // planned so far; gives each turn the number in its nonce
    };

    void advanceArrival(std::size_t organisation);
    std::shared_ptr<PlannedChat> chooseChat(std::size_t organisation, RunTime now);
    std::shared_ptr<PlannedChat> startChat(std::size_t organisation);
    void pause(std::shared_ptr<PlannedChat>, RunTime now);

    LoadOptions m_options;
    std::vector<State> m_states;
};

} // namespace briarwharf
