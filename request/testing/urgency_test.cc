#include "request/urgency.h"

#include "base/random.h"
#include "base/time.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace briarwharf;

namespace {

constexpr double tokensPerMs = 60;

struct Prompt {
    double arrivalMs = 0;
    std::int64_t tokens = 0; // to read
    int urgency = 0;
};

struct OnTimeCount {
    int requests = 0;
    int onTime = 0;
    double onTimeShare() const { return static_cast<double>(onTime) / requests; }
};

struct SimulationResult {
    OnTimeCount shortPrompts;
    OnTimeCount longPrompts;
};

// Simulates an engine that reads one prompt after another, the most urgent first, and prompts of equal
// urgency in order of arrival.
SimulationResult simulate(std::vector<Prompt> prompts, double shortTargetMs, double longTargetMs)
{
    SimulationResult result;
    double now = 0;
    while (!prompts.empty()) {
        auto next = prompts.end();
        for (auto prompt = prompts.begin(); prompt != prompts.end(); ++prompt) {
            bool waits = prompt->arrivalMs <= now;
            if (waits && (next == prompts.end() || prompt->urgency < next->urgency))
                next = prompt;
        }
        if (next == prompts.end()) {
            now = prompts.front().arrivalMs;
            continue;
        }
        now += static_cast<double>(next->tokens) / tokensPerMs;
        bool isLong = next->tokens > longReadTokens;
        OnTimeCount& onTimeCount = isLong ? result.longPrompts : result.shortPrompts;
        ++onTimeCount.requests;
        onTimeCount.onTime += now - next->arrivalMs <= (isLong ? longTargetMs : shortTargetMs) ? 1 : 0;
        prompts.erase(next);
    }
    return result;
}

// The demand is 1.5 times what the engine can read for five seconds, and half of what it can read otherwise.
std::vector<Prompt> surgePrompts(int (*urgency)(int priority, std::int64_t tokensToRead))
{
    Random random(3);
    std::vector<Prompt> prompts;
    for (double now = 0; now < 20000;) {
        double load = now >= 3000 && now < 8000 ? 1.5 : 0.5;
        std::int64_t tokens = random.below(3) == 0 ? 4000 : 300;
        constexpr double meanTokens = (4000 + 2 * 300) / 3.0;
        now += random.unit() * 2 * meanTokens / (load * tokensPerMs);
        prompts.push_back({ now, tokens, urgency(0, tokens) });
    }
    return prompts;
}

} // namespace

// Guards against short prompts that wait behind long prompts while the demand exceeds what the engines can
// read. With a third of the engines lost and twice the demand, 26 in 100 short prompts were late.
TEST_CASE("in a surge on too few engines short prompts stay on time and long ones are not starved")
{
    SimulationResult byArrival = simulate(surgePrompts([](int, std::int64_t) { return 0; }), 300, 600);
    SimulationResult byUrgency = simulate(surgePrompts(engineUrgency), 300, 600);
    CHECK(byArrival.shortPrompts.onTimeShare() < 0.8);
    CHECK(byUrgency.shortPrompts.onTimeShare() > 0.99);
    CHECK(byUrgency.longPrompts.onTimeShare() > byArrival.longPrompts.onTimeShare() * 0.9);
}

// Guards against ordering by length in a way that puts an organisation or route of low priority before one of
// higher priority.
TEST_CASE("priority comes before length")
{
    for (int priority = 0; priority < 4; ++priority)
        CHECK(engineUrgency(priority, 1000000) < engineUrgency(priority + 1, 0));
    CHECK(engineUrgency(0, 10) < engineUrgency(0, 1000000));
}

TEST_CASE("urgencies stay on the engines' scale, whatever priority is configured")
{
    for (int priority : { -1000, -1, 0, 4, 5, 1000 }) {
        for (std::int64_t tokens : { std::int64_t(0), std::int64_t(1) << 40 }) {
            CHECK(engineUrgency(priority, tokens) >= mostUrgent);
            CHECK(engineUrgency(priority, tokens) <= leastUrgent);
        }
    }
}
