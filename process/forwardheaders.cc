#include "process/forwardheaders.h"

#include "base/number.h"
#include "coordination/directory.h"
#include "process/promptsegments.h"
#include <algorithm>
#include <array>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

namespace briarwharf {

namespace {

    // Fields that concern one connection, and the framing of the body, which is set for each hop.
    constexpr std::array<std::string_view, 11> connectionFields { "Connection", "Keep-Alive",
        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding",
        "Upgrade", "Content-Length", "Expect" };

    template <typename Names> bool contains(const Names& names, std::string_view name)
    {
        return std::any_of(names.begin(), names.end(),
            [name](const auto& candidate) { return equalHeaderNames(candidate, name); });
    }

    std::string lowerCase(std::string_view text)
    {
        std::string lower(text);
        std::transform(lower.begin(), lower.end(), lower.begin(),
            [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
        return lower;
    }

    // The names that a message's Connection fields list: those fields concern one connection only. They are
    // sorted, because a caller may list as many names as its head has room for.
    class ConnectionOptions {
    public:
        explicit ConnectionOptions(const HttpFields& fields)
        {
            for (std::size_t index = 0; index < fields.size(); ++index) {
                HttpFields::Field field = fields.at(index);
                if (equalHeaderNames(field.name, "Connection"))
                    add(field.value);
            }
            std::sort(m_names.begin(), m_names.end());
        }

        bool contains(std::string_view name) const
        {
            return !m_names.empty() && std::binary_search(m_names.begin(), m_names.end(), lowerCase(name));
        }

    private:
        void add(std::string_view list)
        {
            while (!list.empty())
                m_names.push_back(lowerCase(takeUntil(list, ',')));
        }

        std::vector<std::string> m_names; // in lower case
    };

    // Far more than any prompt or answer has. Sums and products of such numbers do not overflow.
    constexpr std::int64_t maxTokens = 1'000'000'000;

    // 0 for text that is no number.
    std::int64_t readTokens(std::string_view text)
    {
        return std::clamp<std::int64_t>(parseNumber<std::int64_t>(text).value_or(0), 0, maxTokens);
    }

    bool isSetByForwarder(const ForwardingHeaders& headers, std::string_view name)
    {
        return equalHeaderNames(name, headers.key) || equalHeaderNames(name, headers.organisation)
            || equalHeaderNames(name, headers.expectedUpstream) || equalHeaderNames(name, headers.deadline)
            || equalHeaderNames(name, headers.urgency) || equalHeaderNames(name, headers.copyFrom)
            || contains(headers.reserved, name);
    }

} // namespace

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view whitespace = " \t";
    std::size_t begin = text.find_first_not_of(whitespace);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(whitespace) - begin + 1);
}

std::string_view takeUntil(std::string_view& text, char separator)
{
    std::size_t end = text.find(separator);
    std::string_view taken = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return trimmed(taken);
}

CallerFields readCallerFields(const HttpFields& fields, const ForwardingHeaders& headers)
{
    CallerFields result;
    result.requestId = fields.find(headers.requestId);
    result.key = fields.find(headers.key);
    auto deadline = parseNumber<double>(fields.find(headers.deadline));
    constexpr double maxDeadlineMs = 24 * 3600 * 1000.0;
    if (deadline && *deadline >= 0)
        result.deadline = Milliseconds(static_cast<std::int64_t>(std::min(*deadline, maxDeadlineMs)));
    std::string_view tokens = fields.find(headers.tokens);
    result.promptTokens = readTokens(takeUntil(tokens, ','));
    result.maxOutputTokens = readTokens(trimmed(tokens));
    double hint = parseNumber<double>(fields.find(headers.outputHint)).value_or(0);
    result.outputHint
        = hint > 0 ? static_cast<std::int64_t>(std::min(hint, static_cast<double>(maxTokens))) : 0;
    PromptSegments prompt = readPromptSegments(fields, headers.promptSegments);
    result.segments = std::move(prompt.segments);
    result.malformedSegments = prompt.malformed;
    result.lastEvent = parseNumber<std::uint64_t>(fields.find(headers.lastEvent));
    return result;
}

std::optional<Milliseconds> parseRetryAfter(std::string_view text)
{
    // The digits beyond these change no time below maxRetryAfter by a millisecond, but could make the number
    // too large for a double.
    constexpr std::size_t maxDigits = 300;
    if (text.find_first_not_of("0123456789.") != std::string_view::npos)
        return std::nullopt;
    auto seconds = parseNumber<double>(text.substr(0, maxDigits));
    if (!seconds)
        return std::nullopt;
    std::chrono::duration<double> duration(*seconds);
    if (duration >= maxRetryAfter)
        return maxRetryAfter;
    return std::chrono::ceil<Milliseconds>(duration);
}

std::optional<Milliseconds> parseColdTime(std::string_view text)
{
    auto milliseconds = parseNumber<double>(text);
    if (!milliseconds || !(*milliseconds > 0))
        return std::nullopt;
    double limited = std::min(std::ceil(*milliseconds), static_cast<double>(maxColdTime.count()));
    return Milliseconds(static_cast<std::int64_t>(limited));
}

std::string upstreamHead(const HttpHead& caller, const ForwardingHeaders& headers,
    const UpstreamFields& fields, std::size_t bodyBytes)
{
    std::string out;
    out.reserve(1024);
    out += caller.method;
    out += ' ';
    out += caller.target;
    out += " HTTP/1.1\r\n";
    ConnectionOptions connection(caller.fields);
    for (std::size_t index = 0; index < caller.fields.size(); ++index) {
        HttpFields::Field field = caller.fields.at(index);
        bool replaced = fields.lastEvent && equalHeaderNames(field.name, headers.lastEvent);
        if (replaced || contains(connectionFields, field.name) || isSetByForwarder(headers, field.name)
            || connection.contains(field.name))
            continue;
        appendField(out, field.name, field.value);
    }
    appendField(out, headers.deadline, std::to_string(fields.timeLeft.count()));
    if (!headers.expectedUpstream.empty())
        appendField(out, headers.expectedUpstream, fields.upstream);
    if (!fields.organisation.empty() && !headers.organisation.empty())
        appendField(out, headers.organisation, fields.organisation);
    if (fields.urgency && !headers.urgency.empty())
        appendField(out, headers.urgency, std::to_string(*fields.urgency));
    if (fields.copyFrom && !headers.copyFrom.empty())
        appendField(out, headers.copyFrom, printEndpoint(*fields.copyFrom));
    if (fields.lastEvent)
        appendField(out, headers.lastEvent, std::to_string(*fields.lastEvent));
    if (bodyBytes > 0 || caller.framing != BodyFraming::None)
        appendField(out, "Content-Length", std::to_string(bodyBytes));
    out += "\r\n";
    return out;
}

std::string callerHeaderLines(const HttpHead& answer, const ForwardingHeaders& headers)
{
    constexpr int firstServerError = 500;
    std::string out;
    out.reserve(512);
    ConnectionOptions connection(answer.fields);
    for (std::size_t index = 0; index < answer.fields.size(); ++index) {
        HttpFields::Field field = answer.fields.at(index);
        bool isInternal = equalHeaderNames(field.name, headers.leaving)
            || equalHeaderNames(field.name, headers.coldFor) || contains(headers.internal, field.name)
            || (answer.status >= firstServerError && equalHeaderNames(field.name, "Retry-After"));
        if (isInternal || contains(connectionFields, field.name) || connection.contains(field.name))
            continue;
        appendField(out, field.name, field.value);
    }
    return out;
}

} // namespace briarwharf
