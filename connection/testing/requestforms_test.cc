// The forms of requests that RFC 9110 and RFC 9112 allow and those that they forbid, as raw bytes to an
// ingress that listens for callers.

#include "connection/connection.h"
#include "connection/testing/loop.h"
#include "connection/testing/rawcaller.h"
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace briarwharf;

namespace {

struct AllowedForm {
    std::string what;
    std::string head; // without the empty line
    std::string body; // as sent
    std::string target; // as handed over
    std::string host;
    std::string content;
};

const std::string get = "GET /a HTTP/1.1\r\nHost: a.example";

std::vector<AllowedForm> allowedTargets()
{
    std::vector<AllowedForm> forms;
    for (const char* target :
        { "/", "/a", "/a/", "//a", "/a/../b", "/a?", "/a?b=c&d", "/a?b?c/d", "/a;p=1", "/%C3%84", "/a%2Fb",
            "/:@!$&'()*+,;=-._~", "/?:@!$&'()*+,;=-._~/?", "/a//b", "/a?b=[c]&d[]=e", "/a?{b}|c^d`e" })
        forms.push_back({ target, "GET " + std::string(target) + " HTTP/1.1\r\nHost: a.example", "", target,
            "a.example", "" });
    return forms;
}

std::vector<AllowedForm> absoluteTargets()
{
    auto form = [](const std::string& target, const std::string& path, const std::string& host) {
        return AllowedForm { target, "GET " + target + " HTTP/1.1\r\nHost: other.example", "", path, host,
            "" };
    };
    return {
        form("http://a.example/b?c", "/b?c", "a.example"),
        form("HTTP://A.example:8080/b", "/b", "A.example:8080"),
        form("https://a.example/b", "/b", "a.example"),
        form("http://a.example", "/", "a.example"),
        form("http://a.example?c", "/?c", "a.example"),
        form("http://[2001:db8::1]:80/", "/", "[2001:db8::1]:80"),
        { "absolute form without Host in HTTP/1.0", "GET http://a.example/b HTTP/1.0", "", "/b", "a.example",
            "" },
    };
}

std::vector<AllowedForm> allowedFields()
{
    std::vector<AllowedForm> forms;
    for (const char* host :
        { "a", "a.example:80", "a.example:", "127.0.0.1:8080", "[::1]", "[::1]:80", "a%20b", "a_b", "" })
        forms.push_back({ host, "GET /a HTTP/1.1\r\nHost: " + std::string(host), "", "/a", host, "" });
    for (const char* fields :
        { "X: ", "X:1", "X: \t1\t ", "!#$%&'*+-.^_`|~09aZ: 1", "X: \xc3\x84", "X: a\r\nX: b",
            "Connection: keep-alive", "Connection: X, keep-alive\r\nX: 1",
            "Connection: Upgrade\r\nUpgrade: websocket",
            "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA",
            "Upgrade: h2c", "TE: trailers\r\nConnection: TE", "Expect: something", "Content-Length: 0",
            "content-length:0" })
        forms.push_back({ fields, get + "\r\n" + fields, "", "/a", "a.example", "" });
    return forms;
}

std::vector<AllowedForm> allowedBodies()
{
    auto post = [](const std::string& fields, const std::string& body, const std::string& content) {
        return AllowedForm { fields + body, "POST /a HTTP/1.1\r\nHost: a.example\r\n" + fields, body, "/a",
            "a.example", content };
    };
    return {
        post("Content-Length: 5", "hello", "hello"),
        post("Content-Length: \t005 ", "hello", "hello"),
        post("Transfer-Encoding: chunked", "5\r\nhello\r\n0\r\n\r\n", "hello"),
        post("transfer-encoding:\tCHUNKED ", "05\r\nhello\r\n00\r\n\r\n", "hello"),
        post("Transfer-Encoding: chunked", "2;a=b\r\nhe\r\n3;c=\"d e\"\r\nllo\r\n0;x\r\nX: 1\r\n\r\n",
            "hello"),
        post("Transfer-Encoding: chunked", "0\r\n\r\n", ""),
        { "body of GET", get + "\r\nContent-Length: 2", "hi", "/a", "a.example", "hi" },
        { "HTTP/1.0 with a length", "POST /a HTTP/1.0\r\nHost: a.example\r\nContent-Length: 2", "hi", "/a",
            "a.example", "hi" },
    };
}

std::vector<AllowedForm> allowedForms()
{
    std::vector<AllowedForm> forms {
        { "empty lines before the request", "\r\n\r\n" + get, "", "/a", "a.example", "" },
        { "a later minor version", "GET /a HTTP/1.2\r\nHost: a.example", "", "/a", "a.example", "" },
        { "HTTP/1.0 without Host", "GET /a HTTP/1.0", "", "/a", "", "" },
        { "HTTP/1.0 that stays open", "GET /a HTTP/1.0\r\nHost: a.example\r\nConnection: keep-alive", "",
            "/a", "a.example", "" },
    };
    for (const char* method : { "HEAD", "PUT", "DELETE", "OPTIONS", "PATCH", "TRACE", "PROPFIND", "QUERY" }) {
        if (std::string(method) != "QUERY") // http_parser does not know it
            forms.push_back({ method, std::string(method) + " /a HTTP/1.1\r\nHost: a.example", "", "/a",
                "a.example", "" });
    }
    for (auto more : { &allowedTargets, &absoluteTargets, &allowedFields, &allowedBodies }) {
        for (AllowedForm& form : more())
            forms.push_back(std::move(form));
    }
    return forms;
}

struct ForbiddenForm {
    std::string what;
    std::string bytes;
};

std::vector<ForbiddenForm> forbiddenRequestLines()
{
    std::vector<ForbiddenForm> forms;
    for (const char* line :
        { "GET  /a HTTP/1.1", "GET /a  HTTP/1.1", "GET\t/a HTTP/1.1", "GET /a\tHTTP/1.1", " GET /a HTTP/1.1",
            "GET /a HTTP/1.1 ", "GET /a", "GET /a HTTP", "GET /a HTTP/1", "GET /a HTTP/1.", "GET /a HTTP/.1",
            "GET /a HTTP/2.0", "GET /a HTTP/0.9", "GET /a HTTP/11", "GET /a HTTP/1.1.1", "GET /a HTTP/01.1",
            "GET /a HTTP/1.01", "GET /a http/1.1", "GET /a HTTQ/1.1", "GET /a ICY/1.1", "GET /a HTTP/a.b",
            "GET", "GET HTTP/1.1", "GE\x01T /a HTTP/1.1", "G(T /a HTTP/1.1", "GET /a b HTTP/1.1" })
        forms.push_back({ line, std::string(line) + "\r\nHost: a.example\r\n\r\n" });
    for (const char* target : { "a", "a/b", "?a", "*", "/a#b", "/\x01", "/\x7f", "/\xc3\x84", "/a\"b", "/a<b",
             "/a>b", "/a\\b", "/a^b", "/a`b", "/a{b", "/a|b", "/a}b", "/[a]", "/%", "/%4", "/%zz", "/?%g0",
             "/?\x01", "/?\x7f", "/?\xc3\x84", "/?a\"b", "/?a<b", "/?a>b", "/?a\\b", "/?a#b",
             "http:", "http:/a", "http:///a", "http://", "http://u@a.example/", "http://u:p@a.example/",
             "http://a.example:x/", "http://a.example:123456/", "http://[::1/", "http://a b/",
             "ftp://a.example/", "a.example:80", "//a.example#b", "HTTP://a.example/#b", "http://:80/" })
        forms.push_back({ target, "GET " + std::string(target) + " HTTP/1.1\r\nHost: a.example\r\n\r\n" });
    return forms;
}

std::vector<ForbiddenForm> forbiddenFields()
{
    std::vector<ForbiddenForm> forms {
        { "no Host", "GET /a HTTP/1.1\r\n\r\n" },
        { "no Host in absolute form", "GET http://a.example/ HTTP/1.1\r\n\r\n" },
        { "two Hosts", get + "\r\nHost: b.example\r\n\r\n" },
        { "two equal Hosts", get + "\r\nhost: a.example\r\n\r\n" },
        { "two Hosts in HTTP/1.0", "GET /a HTTP/1.0\r\nHost: a\r\nHost: b\r\n\r\n" },
        { "a field before the first line's end", "GET /a HTTP/1.1 Host: a.example\r\n\r\n" },
        { "a space before the first field", "GET /a HTTP/1.1\r\n Host: a.example\r\n\r\n" },
    };
    for (const char* host :
        { "a b", "a/b", "a@b", "a,b c", "a?b", "a#b", "a\\b", "a:b", "a:80:80", "a:123456", ":80", "[::1",
            "[]", "[::1]a", "::1", "a\"", "<a>", "a%zz", "http://a", "\xc3\x84.example" })
        forms.push_back({ host, "GET /a HTTP/1.1\r\nHost: " + std::string(host) + "\r\n\r\n" });
    for (const char* field : { "X Y: 1", "X : 1", "X\t: 1", ": 1", "X", "X\x01: 1", "X\x80: 1", "X(: 1",
             "X: \x01", "X: \x7f", "X: a\rb", "X: 1\r\n folded", "X: 1\r\n\tfolded" })
        forms.push_back({ field, get + "\r\n" + field + "\r\n\r\n" });
    forms.push_back({ "zero byte in a value", get + std::string("\r\nX: a\0b\r\n\r\n", 12) });
    forms.push_back({ "zero byte in a name", get + std::string("\r\nX\0: 1\r\n\r\n", 11) });
    return forms;
}

std::vector<ForbiddenForm> forbiddenFraming()
{
    std::vector<ForbiddenForm> forms;
    auto add = [&forms](
                   const std::string& fields, const std::string& body, const char* version = "HTTP/1.1") {
        forms.push_back({ std::string(version) + " " + fields + " " + body,
            "POST /a " + std::string(version) + "\r\nHost: a.example\r\n" + fields + "\r\n\r\n" + body });
    };
    for (const char* length : { "", "-1", "+5", "5x", "0x5", "5.0", "5e0", "5 5", "5,5", "5, 6", "'5'",
             "99999999999999999999", "5;", "five" })
        add("Content-Length: " + std::string(length), "hello");
    add("Content-Length: 5\r\nContent-Length: 5", "hello");
    add("Content-Length: 5\r\ncontent-length: 6", "hello!");
    add("Content-Length: 5\r\nTransfer-Encoding: chunked", "0\r\n\r\n");
    add("Transfer-Encoding: chunked\r\nContent-Length: 5", "0\r\n\r\n");
    add("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "0\r\n\r\n");
    for (const char* coding : { "", "gzip", "identity", "chunked, gzip", "gzip, chunked", "chunked, chunked",
             "xchunked", "chunked;q=1", "\"chunked\"", "chunke" })
        add("Transfer-Encoding: " + std::string(coding), "0\r\n\r\n");
    add("Transfer-Encoding: chunked", "0\r\n\r\n", "HTTP/1.0");
    add("Transfer-Encoding: chunked\r\nConnection: keep-alive", "0\r\n\r\n", "HTTP/1.0");
    add("Transfer-Encoding: chunked\r\nContent-Length: 5", "0\r\n\r\n", "HTTP/1.0");
    for (const char* body : { "x\r\n", "-1\r\n\r\n", "+1\r\na\r\n", "0x1\r\na\r\n", " 1\r\na\r\n", "\r\n\r\n",
             "1\r\nab\r\n", "1\r\na0\r\n\r\n", "1\na\r\n0\r\n\r\n", "1\r\na\n0\r\n\r\n", "1 x\ra\r\n",
             "1;\x01\r\na\r\n0\r\n\r\n", "fffffffffffffffff\r\na", "0\r\nX Y: 1\r\n\r\n", "0\r\nX\r\n\r\n",
             "0\r\n X: 1\r\n\r\n", "0\r\n\rx" })
        add("Transfer-Encoding: chunked", body);
    return forms;
}

std::vector<ForbiddenForm> forbiddenForms()
{
    std::vector<ForbiddenForm> forms;
    for (auto more : { &forbiddenRequestLines, &forbiddenFields, &forbiddenFraming }) {
        for (ForbiddenForm& form : more())
            forms.push_back(std::move(form));
    }
    return forms;
}

// An ingress that answers each request with 200 and keeps the latest.
struct Callers {
    Base base = makeBase();
    std::vector<IngressRequest> requests;
    Ingress ingress { base.get(), limits(), [this](IngressRequest request, CallerExchange& caller) {
                         requests.push_back(std::move(request));
                         caller.answer(200, "", "");
                     } };
    std::uint16_t port = ingress.listen({ "127.0.0.1", 0 }).value();

    static IngressLimits limits()
    {
        IngressLimits limits;
        limits.requiresHost = true;
        return limits;
    }

    std::string exchange(const std::string& bytes, std::size_t pieceBytes)
    {
        RawCaller caller(base.get(), port, std::string_view(bytes).substr(0, pieceBytes));
        for (std::size_t at = pieceBytes; at < bytes.size(); at += pieceBytes) {
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
            caller.write(std::string_view(bytes).substr(at, pieceBytes));
        }
        runUntil(base.get(),
            [&] { return caller.ended || caller.received.find("\r\n\r\n") != std::string::npos; });
        return caller.received;
    }
};

constexpr std::size_t whole = 1 << 20;

} // namespace

// Guards against requests that callers may send and that are refused or handed over as other ones.
TEST_CASE("each form of a request that the protocol allows is served")
{
    Callers callers;
    for (const AllowedForm& form : allowedForms()) {
        for (std::size_t pieceBytes : { std::size_t { 1 }, std::size_t { 7 }, whole }) {
            CAPTURE(form.what);
            CAPTURE(pieceBytes);
            callers.requests.clear();
            CHECK(
                callers.exchange(form.head + "\r\n\r\n" + form.body, pieceBytes).starts_with("HTTP/1.1 200"));
            REQUIRE(callers.requests.size() == 1);
            const IngressRequest& request = callers.requests.front();
            CHECK(request.head.target == form.target);
            CHECK(request.head.fields.find("Host") == form.host);
            CHECK((request.body ? *request.body : "") == form.content);
        }
    }
}

// Guards against requests that two readers read in two ways, and against what follows them on a connection.
TEST_CASE("each form of a request that the protocol forbids gets 400 and ends its connection")
{
    Callers callers;
    const std::string next = "GET /next HTTP/1.1\r\nHost: a.example\r\n\r\n";
    for (const ForbiddenForm& form : forbiddenForms()) {
        CAPTURE(form.what);
        callers.requests.clear();
        std::string answer = callers.exchange(form.bytes + next, whole);
        CHECK(answer.starts_with("HTTP/1.1 400"));
        CHECK(answer.find("Connection: close\r\n") != std::string::npos);
        CHECK(callers.requests.empty());
    }
}

TEST_CASE("OPTIONS of the whole server is answered, and a method that is not supported gets 501")
{
    Callers callers;
    for (const char* target : { "*", "http://a.example" }) {
        std::string request = "OPTIONS " + std::string(target) + " HTTP/1.1\r\nHost: a.example\r\n\r\n";
        std::string answer = callers.exchange(request, whole);
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(answer.find("Allow: ") != std::string::npos);
    }
    for (const char* line : { "BREW /a", "get /a", "GETX /a", "CONNECT a.example:80", "CONNECT a.example" }) {
        std::string request = std::string(line) + " HTTP/1.1\r\nHost: a.example\r\n\r\n";
        CHECK(callers.exchange(request, whole).starts_with("HTTP/1.1 501"));
    }
    CHECK(callers.requests.empty());
}

// Guards against an interim answer that a caller of HTTP/1.0 takes for the answer.
TEST_CASE("a request of HTTP/1.0 gets no 100 Continue")
{
    Callers callers;
    std::string request = "POST /a HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nhi";
    CHECK(callers.exchange(request, whole).starts_with("HTTP/1.1 200"));
}
