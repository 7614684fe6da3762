#pragma once

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// A log line of one instance.
struct TracedLine {
    std::string time; // the line's "time" field
    std::string origin; // the name of the log file
    std::string text; // the JSON object
};

// Collects the log lines about one request from the logs of several instances.
//
//   LogTrace trace("9c41d07be2a35f68");
//   trace.read(file, "entry-1.log");
//   for (const TracedLine& line : trace.lines()) ...    // by time
class LogTrace {
public:
    explicit LogTrace(std::string id);

    // Skips lines that are not JSON objects or have another request's id. Removes text before the object,
    // such as the time stamp of a log collector.
    void read(std::istream&, const std::string& origin);

    // The collected lines sorted by time; lines with the same time are in the order in which they were read.
    std::vector<TracedLine> lines() const;

private:
    std::string m_id;
    std::vector<TracedLine> m_lines;
};

} // namespace briarwharf
