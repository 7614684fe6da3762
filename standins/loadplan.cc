#include "standins/loadplan.h"
#include <algorithm>
#include <array>
#include <cstdlib>

namespace briarwharf {

namespace {

    constexpr std::size_t bytesPerToken = 4;
    constexpr std::uint32_t systemTokens = 40;

    // Random words of a fixed list, together about `tokens` tokens of four bytes.
    std::string makeFiller(Random& random, std::uint32_t tokens)
    {
        static constexpr std::array<std::string_view, 16> words { "tile", "floor", "lime", "sand", "grout",
            "seal", "polish", "chip", "heat", "firm", "foam", "sleep", "spring", "cover", "night", "weight" };
        std::string text;
        while (text.size() < tokens * bytesPerToken) {
            text += words[random.below(words.size())];
            text += ' ';
        }
        return text;
    }

    RunTime fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<RunTime>(std::chrono::duration<double>(seconds));
    }

    std::optional<double> parseDouble(const std::string& text)
    {
        char* end = nullptr;
        double value = std::strtod(text.c_str(), &end);
        if (text.empty() || *end != '\0')
            return std::nullopt;
        return value;
    }

    // Parses FACTOR@START+LENGTH; false if it is malformed.
    bool parseSurge(const std::string& text, OrganisationLoad& load)
    {
        auto at = text.find('@');
        auto plus = text.find('+', at == std::string::npos ? 0 : at);
        if (at == std::string::npos || plus == std::string::npos)
            return false;
        auto factor = parseDouble(text.substr(0, at));
        auto start = parseDouble(text.substr(at + 1, plus - at - 1));
        auto length = parseDouble(text.substr(plus + 1));
        if (!factor || !start || !length)
            return false;
        load.surgeFactor = *factor;
        load.surgeStart = *start;
        load.surgeLength = *length;
        return true;
    }

    bool setField(OrganisationLoad& load, const std::string& name, const std::string& value)
    {
        if (name == "name" || name == "key") {
            (name == "name" ? load.name : load.key) = value;
            return !value.empty();
        }
        if (name == "surge")
            return parseSurge(value, load);
        auto rate = parseDouble(value);
        if (name != "rate" || !rate || *rate <= 0)
            return false;
        load.rate = *rate;
        return true;
    }

} // namespace

double OrganisationLoad::rateAt(RunTime time) const
{
    double seconds = std::chrono::duration<double>(time).count();
    bool surges = seconds >= surgeStart && seconds < surgeStart + surgeLength;
    return surges ? rate * surgeFactor : rate;
}

Result<OrganisationLoad> parseOrganisation(const std::string& text)
{
    OrganisationLoad load;
    std::string_view rest = text;
    while (!rest.empty()) {
        auto part = rest.substr(0, rest.find(','));
        rest.remove_prefix(std::min(rest.size(), part.size() + 1));
        auto equals = part.find('=');
        bool set = equals != std::string_view::npos
            && setField(load, std::string(part.substr(0, equals)), std::string(part.substr(equals + 1)));
        if (!set)
            return Error { ErrorKind::InvalidArgument,
                "invalid field \"" + std::string(part)
                    + "\" of an organisation: write name=N,key=K,rate=R,surge=FACTOR@START+LENGTH" };
    }
    if (load.name.empty())
        return Error { ErrorKind::InvalidArgument, "an organisation needs a name: add name=N" };
    return load;
}

LoadPlan::LoadPlan(LoadOptions options)
    : m_options(std::move(options))
{
    for (std::size_t i = 0; i < m_options.organisations.size(); ++i) {
        m_states.emplace_back(combineHashes(m_options.seed, hash64(m_options.organisations[i].name)));
        advanceArrival(i);
    }
}

// Samples a Poisson process with a varying rate by thinning: draws arrivals at the maximum rate, and accepts
// each with the probability of the rate at that time divided by the maximum rate.
void LoadPlan::advanceArrival(std::size_t organisation)
{
    const auto& load = m_options.organisations[organisation];
    auto& state = m_states[organisation];
    double highest = load.rate * std::max(1.0, load.surgeFactor);
    do
        state.next += fromSeconds(state.arrivalRandom.exponential(1 / highest));
    while (!state.arrivalRandom.chance(load.rateAt(state.next) / highest));
}

RunTime LoadPlan::nextArrival() const
{
    auto next = RunTime::max();
    for (const auto& state : m_states)
        next = std::min(next, state.next);
    return next;
}

PlannedTurn LoadPlan::takeArrival()
{
    std::size_t organisation = 0;
    for (std::size_t i = 1; i < m_states.size(); ++i) {
        if (m_states[i].next < m_states[organisation].next)
            organisation = i;
    }
    auto& state = m_states[organisation];
    auto now = state.next;
    advanceArrival(organisation);

    PlannedTurn turn;
    turn.chat = chooseChat(organisation, now);
    turn.longRequest = state.contentRandom.chance(m_options.longShare);
    turn.stream = state.contentRandom.chance(m_options.streamShare);
    turn.answerTokens = turn.longRequest ? m_options.longAnswerTokens : m_options.shortAnswerTokens;
    turn.nonce = "nonce=" + turn.chat->name + '-' + std::to_string(state.turns++);
    turn.userText = turn.nonce + ' '
        + makeFiller(
            state.contentRandom, turn.longRequest ? m_options.longPromptTokens : m_options.shortPromptTokens);
    Json body = { { "model", m_options.model }, { "max_tokens", turn.answerTokens },
        { "stream", turn.stream }, { "messages", turn.chat->messages } };
    body["messages"].push_back({ { "role", "user" }, { "content", turn.userText } });
    if (turn.stream)
        body["stream_options"] = { { "include_usage", true } };
    turn.body = dumpJson(body);
    return turn;
}

// Returns the chat whose return has been due for longest. If none is due, returns a new chat, or, if the
// maximum number of chats exists, the one that would return next.
std::shared_ptr<PlannedChat> LoadPlan::chooseChat(std::size_t organisation, RunTime now)
{
    auto& state = m_states[organisation];
    bool due = !state.pausedChats.empty() && state.pausedChats.begin()->first <= now;
    if (!due && (state.liveChats < m_options.chats || state.pausedChats.empty()))
        return startChat(organisation);
    auto chat = state.pausedChats.begin()->second;
    state.pausedChats.erase(state.pausedChats.begin());
    return chat;
}

std::shared_ptr<PlannedChat> LoadPlan::startChat(std::size_t organisation)
{
    auto& state = m_states[organisation];
    const auto& name = m_options.organisations[organisation].name;
    auto chat = std::make_shared<PlannedChat>();
    chat->name = m_options.runId + '-' + name + '-' + std::to_string(state.startedChats++);
    chat->organisation = organisation;
    chat->usesHint = state.contentRandom.chance(m_options.hintShare);
    Random fixed(hash64(name));
    chat->messages.push_back({ { "role", "system" },
        { "content", "Assistant of " + name + ": " + makeFiller(fixed, systemTokens) } });
    ++state.liveChats;
    return chat;
}

void LoadPlan::recordAnswer(
    const PlannedTurn& turn, const std::string& text, std::int64_t promptTokens, RunTime now)
{
    auto& chat = *turn.chat;
    ++chat.turn;
    chat.promptTokens = promptTokens;
    chat.messages.push_back({ { "role", "user" }, { "content", turn.userText } });
    chat.messages.push_back({ { "role", "assistant" }, { "content", text } });
    if (chat.turn >= m_options.turns) {
        --m_states[chat.organisation].liveChats;
        return;
    }
    pause(turn.chat, now);
}

void LoadPlan::recordFailure(const PlannedTurn& turn, RunTime now) { pause(turn.chat, now); }

void LoadPlan::pause(std::shared_ptr<PlannedChat> chat, RunTime now)
{
    auto& state = m_states[chat->organisation];
    auto length = fromSeconds(state.contentRandom.exponential(m_options.pauseSeconds));
    state.pausedChats.emplace(now + length, std::move(chat));
}

} // namespace briarwharf
