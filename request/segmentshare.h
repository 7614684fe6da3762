#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace briarwharf {

// Estimates the share of each prompt segment in this instance's latest requests, to recognize a segment that
// gets much of the traffic. Counts are halved after each `window` requests, so that old requests lose their
// weight.
class SegmentShares {
public:
    explicit SegmentShares(std::size_t window = 64)
        : m_window(window)
    {
    }

    void record(std::uint64_t segment);

    // From 0 to 1. The segment's latest request is not counted, so that one that occurs now and then has a
    // share of 0.
    double repeatShare(std::uint64_t segment) const;

private:
    void halve();

    std::size_t m_window;
    std::size_t m_total = 0;
    std::unordered_map<std::uint64_t, std::size_t> m_counts; // at most m_window segments
};

} // namespace briarwharf
