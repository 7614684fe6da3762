#pragma once

#include "base/error.h"
#include "connection/chunkdecoder.h"
#include <cstddef>
#include <cstdint>
#include <http_parser.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace briarwharf {

// Whether two header names are equal, ignoring case.
bool equalHeaderNames(std::string_view, std::string_view);

// Header fields in the order in which they were added. All names and values share one string, so that a field
// needs no memory block of its own.
class HttpFields {
public:
    struct Field {
        std::string_view name;
        std::string_view value;
    };

    std::size_t size() const { return m_entries.size(); }
    bool empty() const { return m_entries.empty(); }
    Field at(std::size_t index) const;

    // The first value with that name; empty if there is none.
    std::string_view find(std::string_view name) const;
    bool has(std::string_view name) const;

    void add(std::string_view name, std::string_view value);
    // Replaces all fields with that name by one, which comes last.
    void set(std::string_view name, std::string_view value);
    void clear();

    // Memory allocated for the fields.
    std::size_t heldBytes() const { return m_bytes.capacity() + m_entries.capacity() * sizeof(Entry); }

private:
    friend class HttpParser;
    struct Entry {
        std::uint32_t name;
        std::uint32_t nameLength;
        std::uint32_t value;
        std::uint32_t valueLength;
    };

    std::string m_bytes;
    std::vector<Entry> m_entries;
};

// How the end of a message body is marked.
enum class BodyFraming {
    None,
    Length,
    Chunked,
    UntilClose, // answers only
};

// The start line and header lines of a message.
struct HttpHead {
    std::string method; // requests
    std::string target; // requests: path and query, or "*" for OPTIONS
    int minorVersion = 1; // of HTTP/1
    int status = 0; // answers
    HttpFields fields;
    BodyFraming framing = BodyFraming::None;
    std::uint64_t contentLength = 0; // with BodyFraming::Length
    bool keepAlive = true; // whether the connection may be reused, according to the message

    // Memory allocated for the head.
    std::size_t heldBytes() const { return method.capacity() + target.capacity() + fields.heldBytes(); }
};

// The standard reason phrase of a status code ("Not Found").
std::string_view statusPhrase(int status);

// Appends "name: value" and a line end.
void appendField(std::string& out, std::string_view name, std::string_view value);

// Appends one chunk of a chunked body. `bytes` must not be empty, because an empty chunk ends the body.
void appendChunk(std::string& out, std::string_view bytes);

inline constexpr std::string_view lastChunk = "0\r\n\r\n";

// Receives one message while it is parsed: the head, any number of body fragments, the end.
class HttpMessageSink {
public:
    virtual ~HttpMessageSink() = default;
    virtual void messageHead(const HttpHead&) = 0;
    virtual void messageBody(std::string_view) = 0;
    virtual void messageEnd() = 0;
};

// Parses HTTP/1.1 messages one after another. It is strict: conflicting lengths, unknown transfer codings and
// malformed lines are errors, because two parsers that read a message differently allow request smuggling
// (one request hidden in another), and because bytes that a faulty server wrote by mistake are no answer. So
// is a status that is not three digits from 100 to 599, and an answer's head in which another one begins: a
// faulty server wrote a part of an earlier answer before it, and fields of one answer would count with the
// status of the other. Of a request, the target must be valid, and the Host field in it at most once; a
// target in absolute form is split into target and Host.
//
// http_parser reads the head, with further checks here, since it is lenient as Debian builds it; the body is
// read here.
//
//   HttpParser parser(HttpParser::Kind::Request, maxHeadBytes);
//   std::size_t used = parser.feed(bytes, sink);    // stops after one message
//   if (parser.failed()) ...
class HttpParser {
public:
    enum class Kind {
        Request,
        Answer,
    };

    HttpParser(Kind, std::size_t maxHeadBytes);
    HttpParser(const HttpParser&) = delete;
    HttpParser& operator=(const HttpParser&) = delete;

    // Parses up to the end of the message and returns the number of bytes consumed. The caller keeps the
    // bytes after the end and feeds them after next(). Consumes nothing after a failure.
    std::size_t feed(std::string_view bytes, HttpMessageSink&);

    // Reports that the other side closed the connection in order. Returns true if that completes the message,
    // which only an answer without a length or chunks can be.
    bool feedEnd(HttpMessageSink&);

    // Prepares for the next message on the connection.
    void next();

    // Whether the answers end with their head, whatever their fields say: they answer a HEAD request.
    void expectNoBody(bool expected) { m_expectsNoBody = expected; }

    // Whether an HTTP/1.1 request without a Host field is an error.
    void requireHost(bool required) { m_requiresHost = required; }

    // Takes effect at once, also in the middle of a head.
    void setMaxHeadBytes(std::size_t bytes) { m_maxHeadBytes = bytes; }
    std::size_t maxHeadBytes() const { return m_maxHeadBytes; }

    bool failed() const { return m_failed; }
    // Whether it failed at a request whose method is valid, but not supported.
    bool hasUnsupportedMethod() const;
    bool headTooLarge() const { return m_headTooLarge; }
    bool complete() const { return m_complete; }
    // Whether any byte of the message has been parsed.
    bool started() const { return m_started; }
    bool headDone() const { return m_headDone; }
    const HttpHead& head() const { return m_head; }
    // Leaves an empty head behind. Called after the message is complete.
    HttpHead takeHead() { return std::exchange(m_head, {}); }
    std::size_t heldBytes() const { return m_head.heldBytes() + m_reason.capacity(); }

private:
    static int onUrl(http_parser*, const char*, std::size_t);
    static int onReason(http_parser*, const char*, std::size_t);
    static int onName(http_parser*, const char*, std::size_t);
    static int onValue(http_parser*, const char*, std::size_t);
    static int onHeadDone(http_parser*);
    static int onComplete(http_parser*);
    static const http_parser_settings& callbacks();

    std::size_t feedHead(std::string_view bytes);
    std::size_t feedBody(std::string_view bytes);
    bool takeLine(std::string_view piece);
    void takeFirstLine(std::string_view piece);
    bool takeLineEnd(std::string_view piece);
    void beginHead();
    void extendName(std::string_view);
    void extendValue(std::string_view);
    bool checkHead();
    bool isRequestLine() const;
    bool readTarget();
    bool readFraming();
    int finishHead();
    void finishMessage();
    void reportBody(std::string_view);
    bool isJoinedHead() const;
    bool countHeadBytes(std::size_t);

    http_parser m_parser {};
    Kind m_kind;
    std::size_t m_maxHeadBytes;
    std::size_t m_headBytes = 0;
    std::size_t m_bytesWithoutBody = 0; // since the message began or the last byte of its body
    HttpHead m_head;
    std::string m_firstLine; // its beginning, up to the reason phrase of an answer
    std::string m_firstLineEnd; // the version and line end of a request
    std::size_t m_firstLineBytes = 0;
    std::string m_reason; // the answer's reason phrase
    std::uint64_t m_bodyLeft = 0; // with BodyFraming::Length
    ChunkDecoder m_chunks; // with BodyFraming::Chunked
    HttpMessageSink* m_sink = nullptr;
    bool m_valueSeen = true; // the next name starts a new header line
    bool m_failed = false;
    bool m_headTooLarge = false;
    bool m_complete = false;
    bool m_started = false;
    bool m_headDone = false;
    bool m_firstLineDone = false; // of the head
    bool m_lineBegins = true; // the next byte is the first one of a line
    bool m_carriageReturnPending = false; // the last byte of the head so far is a carriage return
    bool m_expectsNoBody = false;
    bool m_requiresHost = false;
    bool m_bodyReceived = false; // in the current call of feed()
};

} // namespace briarwharf
