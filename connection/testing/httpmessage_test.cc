#include "connection/httpmessage.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace briarwharf;

namespace {

struct CollectedMessage : HttpMessageSink {
    HttpHead head;
    std::string body;
    int heads = 0;
    int ends = 0;

    void messageHead(const HttpHead& value) override
    {
        head = value;
        ++heads;
    }
    void messageBody(std::string_view bytes) override { body += bytes; }
    void messageEnd() override { ++ends; }
};

constexpr std::size_t maxHead = 4096;

struct MalformedRequest {
    std::string what;
    std::string bytes;
};

// Each of these allows request smuggling if two parsers read it differently.
const std::vector<MalformedRequest> malformedRequests {
    { "length and chunks",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
    { "two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!" },
    { "length that is no number", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5x\r\n\r\nhello" },
    { "space before the colon", "POST / HTTP/1.1\r\nHost : a\r\n\r\n" },
    { "chunk size that is no number",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" },
    { "no HTTP", "hello there\r\n\r\n" },
    { "another byte than the line feed at the end of the head",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\rXhello" },
    { "another byte than the line feed at the end of the request line",
        "POST / HTTP/1.1\rXHost: a\r\nContent-Length: 0\r\n\r\n" },
};

} // namespace

TEST_CASE("a request is parsed the same however its bytes are split")
{
    std::string bytes
        = "POST /a/b?c=d HTTP/1.1\r\nHost: desk.example\r\nX-One: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (std::size_t fragmentBytes = 1; fragmentBytes <= bytes.size(); ++fragmentBytes) {
        HttpParser parser(HttpParser::Kind::Request, maxHead);
        CollectedMessage collected;
        for (std::size_t at = 0; at < bytes.size(); at += fragmentBytes)
            parser.feed(std::string_view(bytes).substr(at, fragmentBytes), collected);
        REQUIRE(parser.complete());
        CHECK(collected.head.method == "POST");
        CHECK(collected.head.target == "/a/b?c=d");
        CHECK(collected.head.fields.find("x-one") == "1");
        CHECK(collected.head.framing == BodyFraming::Chunked);
        CHECK(collected.body == "abcde");
    }
}

// Guards against request smuggling: one request hidden in another.
TEST_CASE("requests that can be read in two ways are refused")
{
    for (const auto& malformed : malformedRequests) {
        CAPTURE(malformed.what);
        HttpParser parser(HttpParser::Kind::Request, maxHead);
        CollectedMessage collected;
        parser.feed(malformed.bytes, collected);
        CHECK(parser.failed());
        CHECK(collected.ends == 0);
    }
}

TEST_CASE("the parser stops after one message and does not consume the rest")
{
    std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::string second = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    HttpParser parser(HttpParser::Kind::Answer, maxHead);
    CollectedMessage collected;
    CHECK(parser.feed(first + second, collected) == first.size());
    CHECK(collected.body == "ok");
    parser.next();
    CHECK(parser.feed(second, collected) == second.size());
    CHECK(collected.head.status == 404);
    CHECK(collected.ends == 2);
}

TEST_CASE("an answer without a length ends only when its connection closes")
{
    HttpParser parser(HttpParser::Kind::Answer, maxHead);
    CollectedMessage collected;
    parser.feed("HTTP/1.1 200 OK\r\n\r\npart", collected);
    CHECK_FALSE(parser.complete());
    CHECK(parser.head().framing == BodyFraming::UntilClose);
    CHECK(parser.feedEnd(collected));
    CHECK(collected.body == "part");
    CHECK(collected.ends == 1);
}

// Guards against a truncated answer that counts as complete.
TEST_CASE("an answer with a length does not end with its connection")
{
    HttpParser parser(HttpParser::Kind::Answer, maxHead);
    CollectedMessage collected;
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart", collected);
    CHECK_FALSE(parser.feedEnd(collected));
    CHECK(collected.ends == 0);
}

TEST_CASE("interim answers are skipped")
{
    HttpParser parser(HttpParser::Kind::Answer, maxHead);
    CollectedMessage collected;
    parser.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", collected);
    CHECK(parser.complete());
    CHECK(collected.heads == 1);
    CHECK(collected.head.status == 200);
}

TEST_CASE("a head over the limit is rejected")
{
    HttpParser parser(HttpParser::Kind::Request, 100);
    CollectedMessage collected;
    parser.feed("GET / HTTP/1.1\r\nX-Long: " + std::string(200, 'x') + "\r\n\r\n", collected);
    CHECK(parser.failed());
    CHECK(parser.headTooLarge());
}

// Guards against a faulty upstream that keeps a connection and the loop busy without ever sending an answer.
TEST_CASE("bytes without end that are no answer are rejected, wherever they come")
{
    struct Endless {
        const char* where;
        std::string start;
        std::string repeated;
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<Endless> rows {
        { "status line", "HTTP/1.1 200 ", "x" },
        { "name of a field", "HTTP/1.1 200 OK\r\n", "x" },
        { "value of a field", "HTTP/1.1 200 OK\r\nX-Long: ", "x" },
        { "fields", "HTTP/1.1 200 OK\r\n", "a: b\r\n" },
        { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "extension of a chunk", chunked + "5;", "x" },
        { "trailer", chunked + "0\r\nX-Trailer: ", "x" },
        { "trailers", chunked + "0\r\n", "a: b\r\n" },
    };
    constexpr std::size_t bound = 128 * 1024; // a few times the limit of a head
    for (const Endless& row : rows) {
        CAPTURE(row.where);
        HttpParser parser(HttpParser::Kind::Answer, maxHead);
        CollectedMessage collected;
        parser.feed(row.start, collected);
        std::string piece;
        while (piece.size() < 1000)
            piece += row.repeated;
        std::size_t sent = 0;
        for (; sent < bound && !parser.failed(); sent += piece.size())
            parser.feed(piece, collected);
        CHECK(parser.failed());
        CHECK(collected.ends == 0);
    }
}

// Guards against taking the framing of many short chunks for bytes without end.
TEST_CASE("a long body in short chunks is no endless head")
{
    HttpParser parser(HttpParser::Kind::Answer, maxHead);
    CollectedMessage collected;
    parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", collected);
    for (std::size_t count = 0; count < 10 * maxHead; ++count) {
        for (std::string_view piece : { "1", "\r\n", "x", "\r\n" })
            parser.feed(piece, collected);
    }
    parser.feed(lastChunk, collected);
    CHECK(parser.complete());
    CHECK(collected.body.size() == 10 * maxHead);
}

// Guards against the status of one answer with the fields of another: a faulty server wrote a part of an
// earlier refusal before the answer of a request that ran.
TEST_CASE("a head that breaks off and goes on as another answer is rejected")
{
    const std::string earlier = "HTTP/1.1 421 Misdirected Request\r\nX-Id: earlier\r\nX-Not-Run: 1\r\n"
                                "Content-Length: 2\r\n\r\n";
    const std::string own = "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 2\r\n\r\nok";
    for (std::size_t cut = 1; cut < earlier.size(); ++cut) {
        for (bool inOnePiece : { true, false }) {
            CAPTURE(cut);
            HttpParser parser(HttpParser::Kind::Answer, maxHead);
            CollectedMessage collected;
            if (inOnePiece) {
                parser.feed(earlier.substr(0, cut) + own, collected);
            } else {
                parser.feed(std::string_view(earlier).substr(0, cut), collected);
                parser.feed(own, collected);
            }
            CHECK(parser.failed());
            CHECK(collected.heads == 0);
        }
    }
}

TEST_CASE("a value that names a protocol version is no status line")
{
    HttpParser parser(HttpParser::Kind::Answer, maxHead);
    CollectedMessage collected;
    parser.feed("HTTP/1.1 200 OK\r\nVia: HTTP/1.1 desk\r\nServer: HTTP/1.0 1\r\nContent-Length: 0\r\n\r\n",
        collected);
    CHECK(parser.complete());
}

// Guards against a null pointer that reaches strncasecmp(), which the undefined-behaviour sanitizer reports:
// the value of an absent field is a view without data.
TEST_CASE("an absent value equals an empty one and no other")
{
    HttpFields fields;
    fields.add("Empty", "");
    CHECK(equalHeaderNames(fields.find("Absent"), fields.find("Absent")));
    CHECK(equalHeaderNames(fields.find("Absent"), fields.find("Empty")));
    CHECK(equalHeaderNames("", std::string_view()));
    CHECK_FALSE(equalHeaderNames(std::string_view(), "a"));
    CHECK(equalHeaderNames("CONTENT-type", "Content-Type"));
    CHECK_FALSE(equalHeaderNames("Content-Type", "Content-Typo"));
}
