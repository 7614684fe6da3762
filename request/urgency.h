#pragma once

#include <cstdint>

namespace briarwharf {

// The scale of urgency that engines use; 0 is the most urgent.
constexpr int mostUrgent = 0;
constexpr int leastUrgent = 9;

// Reading more prompt tokens than this noticeably delays the prompts queued behind it: 17 ms at 60 tokens per
// millisecond.
constexpr std::int64_t longReadTokens = 1000;

// The urgency of a request at an engine. The priority decides first (0 is the most urgent). Within a
// priority, prompts with few tokens to read go first, so that a short question never waits behind a long
// prompt. The scale has two steps for each priority, so the priorities from 4 on share the last two steps.
int engineUrgency(int priority, std::int64_t tokensToRead);

} // namespace briarwharf
