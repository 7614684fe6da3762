#pragma once

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// A log line of one instance.
struct TracedLine {
    std::string time; // as the line states it
    std::string origin; // of the file it stands in
    std::string text; // the JSON object
};

// Gathers the lines about one request from the logs of several instances.
//
//   LogTrace trace("9c41d07be2a35f68");
//   trace.read(file, "entry-1.log");
//   for (const TracedLine& line : trace.lines()) ...    // in order of time
class LogTrace {
public:
    explicit LogTrace(std::string id);

    // Lines that are no JSON objects, or name another request, are passed over. Text before the object, such
    // as a collector's stamp, is dropped.
    void read(std::istream&, const std::string& origin);

    // In order of time; lines of the same time in the order in which they were read.
    std::vector<TracedLine> lines() const;

private:
    std::string m_id;
    std::vector<TracedLine> m_lines;
};

} // namespace briarwharf
