#pragma once

#include <string>
#include <vector>

namespace briarwharf {

// The part of an answer in which it is broken.
enum class BrokenPart {
    StatusLine,
    Fields,
    Length,
    Chunks,
};

// An answer that a faulty server sends: bytes that are no answer in the protocol, or a body that cannot be
// known to be the server's.
struct BrokenAnswer {
    BrokenPart part;
    std::string what;
    std::string statusLine;
    std::string fields; // lines; without those that the request's identifier asks for
    std::string body;

    // `extraFields`: lines that a reader expects in each answer.
    std::string bytes(const std::string& extraFields = {}) const
    {
        return statusLine + "\r\n" + extraFields + fields + "\r\n" + body;
    }
};

inline std::string lengthLine(const std::string& value) { return "Content-Length: " + value + "\r\n"; }

inline std::vector<BrokenAnswer> brokenStatusLines()
{
    std::vector<BrokenAnswer> answers;
    for (const char* line :
        { "HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 0 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2 OK",
            "HTTP/1.1 099 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
            "HTTP/1.1 -200 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 2e2 OK", "HTTP/1.1 0xc8 OK", "HTTP/1.1 OK",
            "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200OK", "HTTP/1.1 200.5 OK",
            "HTTP/1.1", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/11 200 OK", "HTTP/1.1.1 200 OK",
            "HTTP/1 200 OK", "HTTP/a.b 200 OK", "http/1.1 200 OK", "HTTQ/1.1 200 OK", "ICY 200 OK",
            " HTTP/1.1 200 OK", "XHTTP/1.1 200 OK", "200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK" })
        answers.push_back({ BrokenPart::StatusLine, line, line, lengthLine("5"), "bytes" });
    return answers;
}

inline std::vector<BrokenAnswer> brokenFields()
{
    std::vector<BrokenAnswer> answers;
    for (const char* field : { "X One: 1", "X\tOne: 1", "X-One : 1", "X-One\t: 1", " X-One: 1", "\tX-One: 1",
             "X-\x01One: 1", "X-One\x1f: 1", "X-\x7fOne: 1", "X-One\x80: 1", "X-(One): 1", "X,One: 1",
             "X/One: 1", "X@One: 1", "X\"One: 1", "X[One]: 1", "X{One}: 1", "X;One: 1", ": 1", "X-One",
             "X-One: 1\x01", "X-One: \x7f", "X-One: a\rb", "X-One: 1\r\n folded", "X-One: 1\r\n\tfolded" })
        answers.push_back({ BrokenPart::Fields, field, "HTTP/1.1 200 OK",
            std::string(field) + "\r\n" + lengthLine("5"), "bytes" });
    std::string nul("X-\0One: 1\r\n", 11);
    answers.push_back({ BrokenPart::Fields, "zero byte", "HTTP/1.1 200 OK", nul + lengthLine("5"), "bytes" });
    return answers;
}

inline std::vector<BrokenAnswer> brokenLengths()
{
    std::vector<BrokenAnswer> answers;
    for (const char* value : { "", "-1", "+5", "5x", "x", "0x5", "5 5", "5,5", "5, 6", "5.0", "1e1",
             "18446744073709551616", "99999999999999999999999" })
        answers.push_back({ BrokenPart::Length, std::string("length ") + value, "HTTP/1.1 200 OK",
            lengthLine(value), "bytes" });
    for (const std::string& fields : { lengthLine("5") + lengthLine("5"), lengthLine("5") + lengthLine("4"),
             lengthLine("5") + "Transfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\n" + lengthLine("5"), std::string("Content-Length: 1\r\n 0\r\n"),
             std::string("Content-Length : 5\r\n"), std::string("Transfer-Encoding : chunked\r\n") })
        answers.push_back(
            { BrokenPart::Length, fields, "HTTP/1.1 200 OK", fields, "5\r\nbytes\r\n0\r\n\r\n" });
    for (const char* coding : { "", "gzip", "identity", "xchunked", "chunked, gzip", "gzip, chunked",
             "chunked, chunked", "chunked\r\nTransfer-Encoding: chunked", "chunked;x=1", "\"chunked\"" })
        answers.push_back({ BrokenPart::Length, std::string("coding ") + coding, "HTTP/1.1 200 OK",
            std::string("Transfer-Encoding: ") + coding + "\r\n", "5\r\nbytes\r\n0\r\n\r\n" });
    return answers;
}

inline std::vector<BrokenAnswer> brokenChunks()
{
    std::vector<BrokenAnswer> answers;
    for (const char* body : { "x\r\nbytes\r\n0\r\n\r\n", "\r\nbytes\r\n0\r\n\r\n", "-5\r\nbytes\r\n0\r\n\r\n",
             "0x5\r\nbytes\r\n0\r\n\r\n", "5x\r\nbytes\r\n0\r\n\r\n", " 5\r\nbytes\r\n0\r\n\r\n",
             "5\nbytes\r\n0\r\n\r\n", "5\r\nbytesXX0\r\n\r\n", "5\r\nbytes0\r\n\r\n", "5\r\nbytes\n0\r\n\r\n",
             "5\r\nbytes\rX0\r\n\r\n", "4\r\nbytes\r\n0\r\n\r\n", "6\r\nbytes\r\n0\r\n\r\n",
             "5\rXbytes\r\n0\r\n\r\n", "10000000000000005\r\nbytes\r\n0\r\n\r\n",
             "5;a\x01\r\nbytes\r\n0\r\n\r\n", "5\r\nbytes\r\n0\rX\r\n", "5\r\nbytes\r\n0\r\nX One: 1\r\n\r\n",
             "5\r\nbytes\r\n0\r\nX\x01: 1\r\n\r\n", "5\r\nbytes\r\n0\r\nX-One: \x01\r\n\r\n",
             "5\r\nbytes\r\n0\r\n folded\r\n\r\n", "5\r\nbytes\r\n0\r\nX-One\r\n\r\n",
             "5\r\nbytes\r\n0\r\n\rX" })
        answers.push_back(
            { BrokenPart::Chunks, body, "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", body });
    return answers;
}

inline std::vector<BrokenAnswer> brokenAnswers()
{
    std::vector<BrokenAnswer> all;
    for (const auto& answers : { brokenStatusLines(), brokenFields(), brokenLengths(), brokenChunks() })
        all.insert(all.end(), answers.begin(), answers.end());
    return all;
}

} // namespace briarwharf
