#pragma once

#include "base/time.h"
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace briarwharf {

struct RecentAnswersOptions {
    Milliseconds retention { std::chrono::seconds(30) };
    std::size_t maxSegments = 16384; // about 100 bytes each; those answered longest ago are forgotten first
};

// Remembers which prompt segments upstreams have lately answered and survived. Such a segment is unlikely to
// be what ends upstreams.
class RecentAnswers {
public:
    explicit RecentAnswers(RecentAnswersOptions options = {})
        : m_options(options)
    {
    }

    // `began`: start of the answer.
    void add(std::uint64_t segment, MonotonicTime began);
    void expire(MonotonicTime now);

    // The start of the latest answer.
    std::optional<MonotonicTime> latest(std::uint64_t segment) const;
    std::size_t size() const { return m_answers.size(); }

private:
    struct Answer {
        MonotonicTime began;
        std::list<std::uint64_t>::iterator position;
    };

    RecentAnswersOptions m_options;
    std::unordered_map<std::uint64_t, Answer> m_answers; // by segment
    std::list<std::uint64_t> m_order; // the segment whose answer was added longest ago first
};

} // namespace briarwharf
