#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

// Log lines are JSON objects on standard output, one per line. A line with a free-text message:
//
//   BW_LOG(INFO, "config") << "revision " << revision << " is in force";
//
// prints {"time":"...","level":"info","part":"config","message":"revision 12 is in force"}. A line about a
// decision has an event name and the decision's inputs as fields, so that lines can be searched and joined:
//
//   LogLine(LogLevel::Info, "request", "placed").field("id", id).field("upstream", name).field("load", 3);
#define BW_LOG(level, part) ::briarwharf::LogLine(::briarwharf::logLevel##level, (part))

namespace briarwharf {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

inline constexpr LogLevel logLevelDEBUG = LogLevel::Debug;
inline constexpr LogLevel logLevelINFO = LogLevel::Info;
inline constexpr LogLevel logLevelWARNING = LogLevel::Warning;
inline constexpr LogLevel logLevelERROR = LogLevel::Error;

enum class LogFlush {
    EachLine, // write each line at once; for tools and tests
    Buffered, // for programs that call flushLogs() from their event loop
};

// Sets the process's minimum level ("debug", "info", "warning", "error") and flush mode. Returns false for an
// unknown level, and then keeps the level. Programs call it once before the first log line. Without a call
// only warnings and errors are printed.
bool configureLogging(std::string_view level, LogFlush = LogFlush::EachLine);

// Writes as much of the buffered lines as standard output accepts without blocking.
void flushLogs();

// The lines that wait to be written. Allocates nothing; for the handler of a signal that ends the process.
std::string_view bufferedLogLines();

// Number of lines dropped because their kind exceeded its rate limit or standard output was not read.
std::uint64_t droppedLogLines();

// One log line, written when the object is destroyed. Each kind of line (part and event) has a rate limit;
// lines over the limit are dropped and counted.
class LogLine {
public:
    LogLine(LogLevel, std::string_view part, std::string_view event = {});
    ~LogLine();
    LogLine(const LogLine&) = delete;
    LogLine& operator=(const LogLine&) = delete;

    LogLine& field(std::string_view name, std::string_view value);
    LogLine& field(std::string_view name, const char* value) { return field(name, std::string_view(value)); }
    LogLine& field(std::string_view name, double value);
    template <typename Value>
    std::enable_if_t<std::is_integral_v<Value>, LogLine&> field(std::string_view name, Value value)
    {
        if constexpr (std::is_same_v<Value, bool>)
            return raw(name, value ? "true" : "false");
        else
            return m_enabled ? raw(name, std::to_string(value)) : *this;
    }

    // Appends to the line's message.
    LogLine& operator<<(std::string_view);
    LogLine& operator<<(const char* text) { return *this << std::string_view(text); }
    LogLine& operator<<(char character) { return *this << std::string_view(&character, 1); }
    LogLine& operator<<(double);
    template <typename Value> std::enable_if_t<std::is_integral_v<Value>, LogLine&> operator<<(Value value)
    {
        return m_enabled ? *this << std::to_string(value) : *this;
    }

private:
    LogLine& raw(std::string_view name, std::string_view text);

    LogLevel m_level;
    bool m_enabled;
    std::string m_fields;
    std::string m_message;
};

} // namespace briarwharf
