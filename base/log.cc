#include "base/log.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace briarwharf {

namespace {

    // Rate limit of each kind of line, as a token bucket: the refill rate and the capacity in lines.
    constexpr double linesPerSecond = 200;
    constexpr double lineBurst = 400;

    // Maximum size of the lines that wait to be written; lines that do not fit are dropped.
    constexpr std::size_t maxBufferedBytes = 256 * 1024;

    // A pipe that polls as writable accepts this many bytes (PIPE_BUF) without blocking.
    constexpr std::size_t maxWriteBytes = 4096;

    // In the order of LogLevel.
    constexpr std::array<std::string_view, 4> levelNames { "debug", "info", "warning", "error" };
    constexpr std::array<spdlog::level::level_enum, 4> libraryLevels { spdlog::level::debug,
        spdlog::level::info, spdlog::level::warn, spdlog::level::err };

    bool isWritable(int descriptor)
    {
        pollfd request { descriptor, POLLOUT, 0 };
        return poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
    }

    // Keeps lines in a bounded buffer and writes them only while standard output accepts them without
    // blocking.
    class BoundedSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
    public:
        ~BoundedSink() override { writeBuffered(); }

        void setFlush(LogFlush flush) { m_flush = flush; }
        std::uint64_t dropped() const { return m_dropped; }
        std::string_view buffered() const { return m_buffer; }
        void countDropped() { ++m_dropped; }
        void writeBuffered()
        {
            std::size_t written = 0;
            while (written < m_buffer.size() && isWritable(STDOUT_FILENO)) {
                std::size_t length = std::min(maxWriteBytes, m_buffer.size() - written);
                ssize_t count = ::write(STDOUT_FILENO, m_buffer.data() + written, length);
                if (count <= 0)
                    break;
                written += static_cast<std::size_t>(count);
            }
            m_buffer.erase(0, written);
        }

    protected:
        void sink_it_(const spdlog::details::log_msg& message) override
        {
            spdlog::memory_buf_t line;
            formatter_->format(message, line);
            if (m_buffer.size() + line.size() > maxBufferedBytes) {
                ++m_dropped;
                return;
            }
            m_buffer.append(line.data(), line.size());
            if (m_flush == LogFlush::EachLine || m_buffer.size() >= maxWriteBytes)
                writeBuffered();
        }
        void flush_() override { writeBuffered(); }

    private:
        LogFlush m_flush = LogFlush::EachLine;
        std::string m_buffer;
        std::uint64_t m_dropped = 0;
    };

    struct Bucket {
        double tokens = lineBurst;
        std::chrono::steady_clock::time_point lastRefill;
    };

    struct Logging {
        std::shared_ptr<BoundedSink> sink = std::make_shared<BoundedSink>();
        spdlog::logger logger { "briarwharf", sink };
        LogLevel minLevel = LogLevel::Warning;
        std::map<std::string, Bucket, std::less<>> buckets; // by kind of line: part/event
        std::uint64_t reportedDroppedLines = 0;
        std::chrono::steady_clock::time_point lastDropReport;

        Logging()
        {
            auto formatter = std::make_unique<spdlog::pattern_formatter>(
                R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ",%v})", spdlog::pattern_time_type::utc);
            sink->set_formatter(std::move(formatter));
            logger.set_level(spdlog::level::debug);
        }
    };

    Logging& logging()
    {
        static Logging instance;
        return instance;
    }

    bool takeToken(std::string_view part, std::string_view event)
    {
        std::array<char, 64> key {};
        std::size_t length = part.copy(key.data(), 30);
        key[length++] = '/';
        length += event.copy(key.data() + length, 30);
        std::string_view kind(key.data(), length);
        auto now = std::chrono::steady_clock::now();
        auto found = logging().buckets.find(kind);
        if (found == logging().buckets.end())
            found = logging().buckets.emplace(kind, Bucket { lineBurst, now }).first;
        Bucket& bucket = found->second;
        double elapsed = std::chrono::duration<double>(now - bucket.lastRefill).count();
        bucket.tokens = std::min(lineBurst, bucket.tokens + elapsed * linesPerSecond);
        bucket.lastRefill = now;
        if (bucket.tokens < 1)
            return false;
        bucket.tokens -= 1;
        return true;
    }

    // Escapes bytes outside printable ASCII, since identifiers come from outside and may not be valid UTF-8.
    void appendEscaped(std::string& out, std::string_view text)
    {
        for (char character : text) {
            auto byte = static_cast<unsigned char>(character);
            if (character == '"' || character == '\\') {
                out += '\\';
                out += character;
            } else if (byte < 0x20 || byte >= 0x7f) {
                std::array<char, 8> escaped {};
                std::snprintf(escaped.data(), escaped.size(), "\\u%04x", byte);
                out += escaped.data();
            } else {
                out += character;
            }
        }
    }

    void appendText(std::string& out, std::string_view name, std::string_view value)
    {
        out += '"';
        out += name;
        out += "\":\"";
        appendEscaped(out, value);
        out += '"';
    }

    std::string formatNumber(double value)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.6g", value);
        return text.data();
    }

} // namespace

bool configureLogging(std::string_view level, LogFlush flush)
{
    logging().sink->setFlush(flush);
    for (std::size_t index = 0; index < levelNames.size(); ++index) {
        if (levelNames[index] == level) {
            logging().minLevel = static_cast<LogLevel>(index);
            return true;
        }
    }
    return false;
}

void flushLogs()
{
    constexpr std::chrono::seconds reportInterval { 1 };
    Logging& state = logging();
    auto now = std::chrono::steady_clock::now();
    std::uint64_t dropped = state.sink->dropped();
    if (dropped > state.reportedDroppedLines && now - state.lastDropReport >= reportInterval) {
        LogLine(LogLevel::Warning, "log", "dropped").field("lines", dropped - state.reportedDroppedLines);
        state.reportedDroppedLines = dropped;
        state.lastDropReport = now;
    }
    state.sink->writeBuffered();
}

std::string_view bufferedLogLines() { return logging().sink->buffered(); }

std::uint64_t droppedLogLines() { return logging().sink->dropped(); }

LogLine::LogLine(LogLevel level, std::string_view part, std::string_view event)
    : m_level(level)
    , m_enabled(level >= logging().minLevel)
{
    if (!m_enabled)
        return;
    if (!takeToken(part, event)) {
        logging().sink->countDropped();
        m_enabled = false;
        return;
    }
    m_fields.reserve(256);
    appendText(m_fields, "level", levelNames[static_cast<std::size_t>(level)]);
    field("part", part);
    if (!event.empty())
        field("event", event);
}

LogLine::~LogLine()
{
    if (!m_enabled)
        return;
    if (!m_message.empty())
        field("message", m_message);
    logging().logger.log(libraryLevels[static_cast<std::size_t>(m_level)], m_fields);
}

LogLine& LogLine::field(std::string_view name, std::string_view value)
{
    if (!m_enabled)
        return *this;
    m_fields += ',';
    appendText(m_fields, name, value);
    return *this;
}

LogLine& LogLine::field(std::string_view name, double value)
{
    return m_enabled ? raw(name, formatNumber(value)) : *this;
}

LogLine& LogLine::raw(std::string_view name, std::string_view text)
{
    if (!m_enabled)
        return *this;
    m_fields += ",\"";
    m_fields += name;
    m_fields += "\":";
    m_fields += text;
    return *this;
}

LogLine& LogLine::operator<<(std::string_view text)
{
    if (m_enabled)
        m_message += text;
    return *this;
}

LogLine& LogLine::operator<<(double value) { return m_enabled ? *this << formatNumber(value) : *this; }

} // namespace briarwharf
