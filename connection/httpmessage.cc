#include "connection/httpmessage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <strings.h>

namespace briarwharf {

namespace {

    HttpParser* parserOf(http_parser* parser) { return static_cast<HttpParser*>(parser->data); }

    // http_parser accepts spaces in field names. Another parser may take such a line for the field without
    // the spaces, so these names are rejected here.
    bool isFieldName(std::string_view name)
    {
        return !name.empty() && name.find_first_of(" \t") == std::string_view::npos;
    }

    // 1xx answers, such as 100 Continue, precede the final answer to the request.
    bool isInterim(int status) { return status >= 100 && status < 200; }

    // Up to the first line feed, or all if there is none.
    std::string_view firstLine(std::string_view text)
    {
        std::size_t end = text.find('\n');
        return end == std::string_view::npos ? text : text.substr(0, end + 1);
    }

    // Whether a status line such as "HTTP/1.1 200 OK" begins in the text.
    bool containsStatusLine(std::string_view text)
    {
        constexpr std::string_view protocol = "HTTP/1.";
        constexpr std::string_view example = "1 200"; // the minor version and the status
        auto isDigit = [](char character) { return character >= '0' && character <= '9'; };
        for (std::size_t at = text.find(protocol); at != std::string_view::npos;
             at = text.find(protocol, at + 1)) {
            std::string_view rest = text.substr(at + protocol.size(), example.size());
            bool digits = rest.size() == example.size() && isDigit(rest[0])
                && std::all_of(rest.begin() + 2, rest.end(), isDigit);
            if (digits && rest[1] == ' ')
                return true;
        }
        return false;
    }

    // Maximum number of bytes without a byte of the body in between. Only names and values of fields count
    // towards the limit of a head, so interim answers, chunk extensions and line ends could follow each other
    // without end.
    std::size_t maxBytesWithoutBody(std::size_t maxHeadBytes)
    {
        constexpr std::size_t allowance = 4096; // for line ends and interim answers
        return 2 * maxHeadBytes + allowance;
    }

} // namespace

bool equalHeaderNames(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    // An empty view may have no data, and strncasecmp() must not be given a null pointer.
    return left.empty() || strncasecmp(left.data(), right.data(), left.size()) == 0;
}

HttpFields::Field HttpFields::at(std::size_t index) const
{
    const Entry& entry = m_entries[index];
    std::string_view bytes = m_bytes;
    return { bytes.substr(entry.name, entry.nameLength), bytes.substr(entry.value, entry.valueLength) };
}

std::string_view HttpFields::find(std::string_view name) const
{
    for (std::size_t index = 0; index < size(); ++index) {
        Field field = at(index);
        if (equalHeaderNames(field.name, name))
            return field.value;
    }
    return {};
}

bool HttpFields::has(std::string_view name) const
{
    for (std::size_t index = 0; index < size(); ++index) {
        if (equalHeaderNames(at(index).name, name))
            return true;
    }
    return false;
}

void HttpFields::add(std::string_view name, std::string_view value)
{
    Entry entry {};
    entry.name = static_cast<std::uint32_t>(m_bytes.size());
    entry.nameLength = static_cast<std::uint32_t>(name.size());
    m_bytes += name;
    entry.value = static_cast<std::uint32_t>(m_bytes.size());
    entry.valueLength = static_cast<std::uint32_t>(value.size());
    m_bytes += value;
    m_entries.push_back(entry);
}

void HttpFields::clear()
{
    m_bytes.clear();
    m_entries.clear();
}

std::string_view statusPhrase(int status)
{
    const char* phrase = http_status_str(static_cast<http_status>(status));
    return phrase == nullptr ? std::string_view("Unknown") : std::string_view(phrase);
}

void appendField(std::string& out, std::string_view name, std::string_view value)
{
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
}

void appendChunk(std::string& out, std::string_view bytes)
{
    std::array<char, 16> size {};
    auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    out.append(size.data(), end.ptr);
    out += "\r\n";
    out += bytes;
    out += "\r\n";
}

HttpParser::HttpParser(Kind kind, std::size_t maxHeadBytes)
    : m_kind(kind)
    , m_maxHeadBytes(maxHeadBytes)
{
    // http_parser has a limit of its own, for the process, above which a head counts as malformed.
    http_parser_set_max_header_size(std::numeric_limits<std::uint32_t>::max());
    next();
}

void HttpParser::next()
{
    http_parser_init(&m_parser, m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_head = HttpHead {};
    m_reason.clear();
    m_carriageReturnPending = false;
    m_headBytes = 0;
    m_bytesWithoutBody = 0;
    m_valueSeen = true;
    m_complete = false;
    m_started = false;
    m_headDone = false;
}

std::size_t HttpParser::feed(std::string_view bytes, HttpMessageSink& sink)
{
    if (m_failed || m_complete || bytes.empty())
        return 0;
    m_started = true;
    m_sink = &sink;
    m_bodyReceived = false;
    std::size_t used = 0;
    while (used < bytes.size() && !m_failed) {
        std::string_view piece = bytes.substr(used);
        if (!m_headDone) {
            piece = firstLine(piece);
            m_failed = !takeLineEnd(piece);
        }
        if (m_failed)
            break;
        used += http_parser_execute(&m_parser, &callbacks(), piece.data(), piece.size());
        auto error = HTTP_PARSER_ERRNO(&m_parser);
        if (error == HPE_PAUSED || m_complete)
            return used;
        m_failed = error != HPE_OK || m_parser.upgrade != 0;
    }
    m_bytesWithoutBody = m_bodyReceived ? 0 : m_bytesWithoutBody + used;
    m_failed = m_failed || m_bytesWithoutBody > maxBytesWithoutBody(m_maxHeadBytes);
    return used;
}

// Checks a part of the head that ends with its line or before. http_parser takes any byte for the line feed
// after the carriage return of some lines, and would lose the first byte of an answer that follows a head
// without its last byte.
bool HttpParser::takeLineEnd(std::string_view piece)
{
    if (m_carriageReturnPending && piece.front() != '\n')
        return false;
    std::size_t at = piece.find('\r');
    m_carriageReturnPending = at + 1 == piece.size();
    return at == std::string_view::npos || m_carriageReturnPending || piece[at + 1] == '\n';
}

bool HttpParser::feedEnd(HttpMessageSink& sink)
{
    if (m_failed || m_complete || !m_headDone || m_head.framing != BodyFraming::UntilClose)
        return false;
    m_sink = &sink;
    http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
    return m_complete;
}

const http_parser_settings& HttpParser::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings value;
        http_parser_settings_init(&value);
        value.on_url = &HttpParser::onUrl;
        value.on_status = &HttpParser::onReason;
        value.on_header_field = &HttpParser::onName;
        value.on_header_value = &HttpParser::onValue;
        value.on_headers_complete = &HttpParser::onHeadDone;
        value.on_body = &HttpParser::onBody;
        value.on_message_complete = &HttpParser::onComplete;
        return value;
    }();
    return settings;
}

bool HttpParser::countHeadBytes(std::size_t count)
{
    m_headBytes += count;
    m_headTooLarge = m_headBytes > m_maxHeadBytes;
    return !m_headTooLarge;
}

int HttpParser::onUrl(http_parser* parser, const char* bytes, std::size_t length)
{
    parserOf(parser)->m_head.target.append(bytes, length);
    return parserOf(parser)->countHeadBytes(length) ? 0 : 1;
}

int HttpParser::onReason(http_parser* parser, const char* bytes, std::size_t length)
{
    parserOf(parser)->m_reason.append(bytes, length);
    return parserOf(parser)->countHeadBytes(length) ? 0 : 1;
}

int HttpParser::onName(http_parser* parser, const char* bytes, std::size_t length)
{
    HttpParser* self = parserOf(parser);
    if (self->m_headDone) // trailers are dropped
        return 0;
    self->extendName(std::string_view(bytes, length));
    return self->countHeadBytes(length) ? 0 : 1;
}

int HttpParser::onValue(http_parser* parser, const char* bytes, std::size_t length)
{
    HttpParser* self = parserOf(parser);
    if (self->m_headDone)
        return 0;
    self->extendValue(std::string_view(bytes, length));
    return self->countHeadBytes(length) ? 0 : 1;
}

void HttpParser::extendName(std::string_view bytes)
{
    HttpFields& fields = m_head.fields;
    if (m_valueSeen) {
        fields.add(bytes, {});
        m_valueSeen = false;
        return;
    }
    fields.m_bytes += bytes;
    fields.m_entries.back().nameLength += static_cast<std::uint32_t>(bytes.size());
}

void HttpParser::extendValue(std::string_view bytes)
{
    HttpFields& fields = m_head.fields;
    auto& entry = fields.m_entries.back();
    if (!m_valueSeen) {
        entry.value = static_cast<std::uint32_t>(fields.m_bytes.size());
        m_valueSeen = true;
    }
    fields.m_bytes += bytes;
    entry.valueLength += static_cast<std::uint32_t>(bytes.size());
}

int HttpParser::onHeadDone(http_parser* parser) { return parserOf(parser)->finishHead(); }

bool HttpParser::isJoinedHead() const
{
    if (m_kind == Kind::Request)
        return false;
    for (std::size_t index = 0; index < m_head.fields.size(); ++index) {
        if (containsStatusLine(m_head.fields.at(index).value))
            return true;
    }
    return containsStatusLine(m_reason);
}

int HttpParser::finishHead()
{
    for (std::size_t index = 0; index < m_head.fields.size(); ++index) {
        if (!isFieldName(m_head.fields.at(index).name))
            return -1;
    }
    if (isJoinedHead())
        return -1;
    if (m_kind == Kind::Request)
        m_head.method = http_method_str(static_cast<http_method>(m_parser.method));
    else
        m_head.status = static_cast<int>(m_parser.status_code);
    m_head.keepAlive = http_should_keep_alive(&m_parser) != 0;
    bool hasNoBody = m_kind == Kind::Answer
        && (isInterim(m_head.status) || m_head.status == 204 || m_head.status == 304);
    if ((m_parser.flags & F_CHUNKED) != 0)
        m_head.framing = BodyFraming::Chunked;
    else if ((m_parser.flags & F_CONTENTLENGTH) != 0)
        m_head.framing = BodyFraming::Length;
    else if (m_kind == Kind::Answer && !hasNoBody)
        m_head.framing = BodyFraming::UntilClose;
    if (m_head.framing == BodyFraming::Length)
        m_head.contentLength = m_parser.content_length;
    m_headDone = true;
    if (!isInterim(m_head.status) || m_kind == Kind::Request)
        m_sink->messageHead(m_head);
    return 0;
}

int HttpParser::onBody(http_parser* parser, const char* bytes, std::size_t length)
{
    parserOf(parser)->m_bodyReceived = true;
    parserOf(parser)->m_sink->messageBody(std::string_view(bytes, length));
    return 0;
}

int HttpParser::onComplete(http_parser* parser)
{
    HttpParser* self = parserOf(parser);
    if (self->m_kind == Kind::Answer && isInterim(self->m_head.status)) {
        self->m_head = HttpHead {};
        self->m_reason.clear();
        self->m_headDone = false;
        self->m_valueSeen = true;
        return 0;
    }
    self->m_complete = true;
    http_parser_pause(parser, 1);
    self->m_sink->messageEnd();
    return 0;
}

} // namespace briarwharf
