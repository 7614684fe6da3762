#include "connection/httpmessage.h"

#include "base/number.h"
#include "connection/requesttarget.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <strings.h>

namespace briarwharf {

namespace {

    HttpParser* parserOf(http_parser* parser) { return static_cast<HttpParser*>(parser->data); }

    bool isToken(std::string_view text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), &isTokenByte);
    }

    bool isText(std::string_view text) { return std::all_of(text.begin(), text.end(), &isTextByte); }

    bool isDigit(char character) { return character >= '0' && character <= '9'; }

    // "HTTP/1.1 200", and the byte after it.
    constexpr std::size_t statusLineBytes = 13;

    constexpr std::size_t versionBytes = 8; // of "HTTP/1.1"
    constexpr std::size_t requestLineEndBytes = versionBytes + 2; // with the line end

    std::string_view lastBytes(std::string_view text, std::size_t count)
    {
        return text.substr(text.size() - std::min(text.size(), count));
    }

    // Whether the beginning of a status line has a version of this protocol and a status from 100 to 599.
    // http_parser also takes statuses of fewer digits, leading zeros and up to 999.
    bool isStatusLine(std::string_view line)
    {
        constexpr std::string_view protocol = "HTTP/1.";
        constexpr std::string_view ends = " \r\n";
        if (line.size() < statusLineBytes || line.substr(0, protocol.size()) != protocol)
            return false;
        std::string_view rest = line.substr(protocol.size());
        bool hasDigits
            = isDigit(rest[0]) && rest[1] == ' ' && rest[2] >= '1' && rest[2] <= '5' && isDigit(rest[3]);
        return hasDigits && isDigit(rest[4]) && ends.find(rest[5]) != std::string_view::npos;
    }

    // 1xx answers, such as 100 Continue, precede the final answer to the request.
    bool isInterim(int status) { return status >= 100 && status < 200; }

    bool hasNoBody(int status) { return isInterim(status) || status == 204 || status == 304; }

    std::string_view trimEnd(std::string_view text)
    {
        std::size_t last = text.find_last_not_of(" \t");
        return text.substr(0, last + 1);
    }

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
        for (std::size_t at = text.find(protocol); at != std::string_view::npos;
             at = text.find(protocol, at + 1)) {
            std::string_view rest = text.substr(at + protocol.size(), example.size());
            bool digits = rest.size() == example.size() && isDigit(rest[0])
                && std::all_of(rest.begin() + 2, rest.end(), &isDigit);
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

void HttpFields::set(std::string_view name, std::string_view value)
{
    HttpFields fields;
    for (std::size_t index = 0; index < size(); ++index) {
        Field field = at(index);
        if (!equalHeaderNames(field.name, name))
            fields.add(field.name, field.value);
    }
    fields.add(name, value);
    *this = std::move(fields);
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
    m_carriageReturnPending = false;
    m_headBytes = 0;
    m_bytesWithoutBody = 0;
    m_lineBegins = true;
    m_complete = false;
    m_started = false;
    beginHead();
}

void HttpParser::beginHead()
{
    m_head = HttpHead {};
    m_firstLine.clear();
    m_firstLineEnd.clear();
    m_firstLineBytes = 0;
    m_reason.clear();
    m_firstLineDone = false;
    m_valueSeen = true;
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
    while (used < bytes.size() && !m_failed && !m_complete) {
        std::string_view rest = bytes.substr(used);
        used += m_headDone ? feedBody(rest) : feedHead(rest);
    }
    if (m_complete)
        return used;
    m_bytesWithoutBody = m_bodyReceived ? 0 : m_bytesWithoutBody + used;
    m_failed = m_failed || m_bytesWithoutBody > maxBytesWithoutBody(m_maxHeadBytes);
    return used;
}

// Parses up to the end of the first line.
std::size_t HttpParser::feedHead(std::string_view bytes)
{
    std::string_view piece = firstLine(bytes);
    if (!takeLine(piece)) {
        m_failed = true;
        return 0;
    }
    std::size_t used = http_parser_execute(&m_parser, &callbacks(), piece.data(), piece.size());
    // A request to change the protocol may be served as an ordinary one (RFC 9110, section 7.8).
    bool changesProtocol
        = m_parser.upgrade != 0 && (m_kind == Kind::Answer || m_parser.method == HTTP_CONNECT);
    m_failed = HTTP_PARSER_ERRNO(&m_parser) != HPE_OK || changesProtocol;
    bool isEmpty = m_head.framing == BodyFraming::None
        || (m_head.framing == BodyFraming::Length && m_head.contentLength == 0);
    if (m_headDone && !m_failed && isEmpty)
        finishMessage();
    return used;
}

std::size_t HttpParser::feedBody(std::string_view bytes)
{
    std::size_t used = bytes.size();
    if (m_head.framing == BodyFraming::Chunked) {
        used = m_chunks.feed(bytes, [this](std::string_view data) { reportBody(data); });
        m_failed = m_chunks.failed();
    } else if (m_head.framing == BodyFraming::Length) {
        used = static_cast<std::size_t>(std::min<std::uint64_t>(m_bodyLeft, bytes.size()));
        m_bodyLeft -= used;
        reportBody(bytes.substr(0, used));
    } else {
        reportBody(bytes);
    }
    bool isEnd = (m_head.framing == BodyFraming::Chunked && m_chunks.complete())
        || (m_head.framing == BodyFraming::Length && m_bodyLeft == 0);
    if (isEnd)
        finishMessage();
    return used;
}

void HttpParser::reportBody(std::string_view bytes)
{
    m_bodyReceived = true;
    m_sink->messageBody(bytes);
}

void HttpParser::finishMessage()
{
    m_complete = true;
    m_sink->messageEnd();
}

// Checks a part of the head that ends with its line or before.
bool HttpParser::takeLine(std::string_view piece)
{
    bool begins = std::exchange(m_lineBegins, piece.back() == '\n');
    // A line that continues the one before is obsolete, and readers disagree on its value.
    bool isContinued = begins && m_firstLineDone && (piece.front() == ' ' || piece.front() == '\t');
    if (!m_firstLineDone)
        takeFirstLine(piece);
    return !isContinued && takeLineEnd(piece);
}

// Empty lines before the first one are skipped.
void HttpParser::takeFirstLine(std::string_view piece)
{
    std::size_t start = m_firstLine.empty() ? piece.find_first_not_of("\r\n") : 0;
    if (start == std::string_view::npos)
        return;
    std::string_view line = piece.substr(start);
    if (m_firstLine.size() < statusLineBytes)
        m_firstLine += line.substr(0, statusLineBytes - m_firstLine.size());
    m_firstLineBytes += line.size();
    m_firstLineEnd += lastBytes(line, requestLineEndBytes);
    m_firstLineEnd = lastBytes(m_firstLineEnd, requestLineEndBytes);
    m_firstLineDone = piece.back() == '\n';
}

// http_parser takes any byte for the line feed after the carriage return of some lines, and would lose the
// first byte of an answer that follows a head without its last byte.
bool HttpParser::takeLineEnd(std::string_view piece)
{
    if (m_carriageReturnPending && piece.front() != '\n')
        return false;
    std::size_t at = piece.find('\r');
    m_carriageReturnPending = at + 1 == piece.size();
    return at == std::string_view::npos || m_carriageReturnPending || piece[at + 1] == '\n';
}

bool HttpParser::hasUnsupportedMethod() const
{
    if (!m_failed || m_kind != Kind::Request || m_headDone)
        return false;
    std::string_view method = std::string_view(m_firstLine).substr(0, m_firstLine.find(' '));
    bool isKnown = HTTP_PARSER_ERRNO(&m_parser) != HPE_INVALID_METHOD && method != "CONNECT";
    return !isKnown && method.size() < m_firstLine.size() && isToken(method);
}

bool HttpParser::feedEnd(HttpMessageSink& sink)
{
    if (m_failed || m_complete || !m_headDone || m_head.framing != BodyFraming::UntilClose)
        return false;
    m_sink = &sink;
    finishMessage();
    return true;
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
    self->extendName(std::string_view(bytes, length));
    return self->countHeadBytes(length) ? 0 : 1;
}

int HttpParser::onValue(http_parser* parser, const char* bytes, std::size_t length)
{
    HttpParser* self = parserOf(parser);
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

// What http_parser does not check, or not as it is built.
bool HttpParser::checkHead()
{
    if (m_kind == Kind::Answer && !isStatusLine(m_firstLine))
        return false;
    if (m_parser.http_major != 1 || !isText(m_reason))
        return false;
    for (std::size_t index = 0; index < m_head.fields.size(); ++index) {
        HttpFields::Field field = m_head.fields.at(index);
        if (!isToken(field.name) || !isText(field.value))
            return false;
    }
    return !isJoinedHead();
}

// Whether the parts are separated by one space each, and the version is one of this protocol. http_parser
// takes more spaces, and other names of protocols.
bool HttpParser::isRequestLine() const
{
    std::string_view version = m_firstLineEnd;
    version = version.substr(0, version.find_last_not_of("\r\n") + 1);
    std::size_t endBytes = m_firstLineEnd.size() - version.size();
    version = lastBytes(version, versionBytes);
    std::size_t partBytes = m_head.method.size() + m_head.target.size() + versionBytes;
    return version.starts_with("HTTP/1.") && m_firstLineBytes == partBytes + 2 + endBytes;
}

// Returns false if the target or the Host field is not valid.
bool HttpParser::readTarget()
{
    std::optional<std::string_view> host;
    for (std::size_t index = 0; index < m_head.fields.size(); ++index) {
        HttpFields::Field field = m_head.fields.at(index);
        if (!equalHeaderNames(field.name, "Host"))
            continue;
        if (host)
            return false;
        host = trimEnd(field.value);
    }
    bool lacksHost = !host && m_requiresHost && m_head.minorVersion > 0;
    if (lacksHost || (host && !isHostValue(*host)))
        return false;
    auto target = parseRequestTarget(m_head.method, m_head.target);
    if (!target)
        return false;
    if (!target->authority.empty())
        m_head.fields.set("Host", target->authority);
    m_head.target = std::move(target->path);
    return true;
}

// Returns false if the fields do not say in one way only where the body ends.
bool HttpParser::readFraming()
{
    std::optional<std::string_view> length;
    std::optional<std::string_view> coding;
    for (std::size_t index = 0; index < m_head.fields.size(); ++index) {
        HttpFields::Field field = m_head.fields.at(index);
        bool isLength = equalHeaderNames(field.name, "Content-Length");
        bool isCoding = equalHeaderNames(field.name, "Transfer-Encoding");
        if ((isLength || isCoding) && (length || coding))
            return false;
        if (isLength)
            length = trimEnd(field.value);
        if (isCoding)
            coding = trimEnd(field.value);
    }
    if (coding && !equalHeaderNames(*coding, "chunked"))
        return false;
    // HTTP/1.0 has no chunks: something between has passed on a coding that it does not know (RFC 9112, 6.1).
    if (coding && m_head.minorVersion == 0) {
        if (m_kind == Kind::Request)
            return false;
        m_head.keepAlive = false;
    }
    auto bytes = length ? parseNumber<std::uint64_t>(*length) : std::nullopt;
    if (length && !bytes)
        return false;
    if (m_kind == Kind::Answer && (m_expectsNoBody || hasNoBody(m_head.status)))
        return true;
    if (coding)
        m_head.framing = BodyFraming::Chunked;
    else if (bytes)
        m_head.framing = BodyFraming::Length;
    else if (m_kind == Kind::Answer)
        m_head.framing = BodyFraming::UntilClose;
    m_head.contentLength = bytes.value_or(0);
    m_bodyLeft = m_head.contentLength;
    m_chunks = ChunkDecoder();
    return true;
}

int HttpParser::finishHead()
{
    constexpr int failed = -1;
    constexpr int skipBody = 1; // of http_parser; feedBody() reads it
    if (!checkHead())
        return failed;
    if (m_kind == Kind::Request)
        m_head.method = http_method_str(static_cast<http_method>(m_parser.method));
    else
        m_head.status = static_cast<int>(m_parser.status_code);
    m_head.minorVersion = m_parser.http_minor;
    m_head.keepAlive = http_should_keep_alive(&m_parser) != 0;
    if (m_kind == Kind::Request && !(isRequestLine() && readTarget()))
        return failed;
    if (!readFraming())
        return failed;
    m_headDone = true;
    if (m_kind == Kind::Request || !isInterim(m_head.status))
        m_sink->messageHead(m_head);
    return skipBody;
}

// Called at the end of each head. An interim answer's is followed by another one.
int HttpParser::onComplete(http_parser* parser)
{
    HttpParser* self = parserOf(parser);
    if (self->m_kind == Kind::Answer && isInterim(self->m_head.status))
        self->beginHead();
    return 0;
}

} // namespace briarwharf
