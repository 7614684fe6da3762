#include "connection/requesttarget.h"

#include "connection/httpmessage.h"
#include <algorithm>
#include <cctype>

namespace briarwharf {

namespace {

    bool isLetterOrDigit(char c)
    {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    }

    bool isHexDigit(char c) { return std::isxdigit(static_cast<unsigned char>(c)) != 0; }

    // Unreserved characters and sub-delimiters of RFC 3986.
    bool isNameByte(char c)
    {
        constexpr std::string_view marks = "-._~!$&'()*+,;=";
        return isLetterOrDigit(c) || marks.find(c) != std::string_view::npos;
    }

    // Whether the text consists of name bytes, the further ones, and valid percent encodings.
    bool consistsOf(std::string_view text, std::string_view further)
    {
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '%') {
                if (text.size() - at < 3 || !isHexDigit(text[at + 1]) || !isHexDigit(text[at + 2]))
                    return false;
                at += 2;
            } else if (!isNameByte(text[at]) && further.find(text[at]) == std::string_view::npos) {
                return false;
            }
        }
        return true;
    }

    bool isPath(std::string_view text) { return consistsOf(text, ":@/"); }

    // RFC 3986 does not allow the brackets and marks behind "?", but browsers send them as they are.
    bool isQuery(std::string_view text) { return consistsOf(text, ":@/?[]{}|^`"); }

    bool isPathAndQuery(std::string_view text)
    {
        std::size_t question = text.find('?');
        bool hasQuery = question != std::string_view::npos;
        return isPath(text.substr(0, question)) && (!hasQuery || isQuery(text.substr(question)));
    }

    bool isPort(std::string_view text)
    {
        constexpr std::size_t maxDigits = 5;
        return text.size() <= maxDigits
            && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    }

    // An address in brackets, such as [2001:db8::1].
    bool isIpLiteral(std::string_view text)
    {
        return text.size() > 2 && text.back() == ']'
            && std::all_of(
                text.begin() + 1, text.end() - 1, [](char c) { return isNameByte(c) || c == ':'; });
    }

    // Removes "http://" or "https://" from the beginning. Returns false if there is neither.
    bool takeScheme(std::string_view& target)
    {
        for (std::string_view scheme : { std::string_view("http://"), std::string_view("https://") }) {
            if (!equalHeaderNames(target.substr(0, scheme.size()), scheme))
                continue;
            target.remove_prefix(scheme.size());
            return true;
        }
        return false;
    }

} // namespace

bool isHostValue(std::string_view text)
{
    std::size_t hostEnd = text.starts_with('[') ? text.find(']') : text.find(':');
    if (text.starts_with('[')) {
        if (hostEnd == std::string_view::npos)
            return false;
        ++hostEnd;
    }
    std::string_view host = text.substr(0, hostEnd);
    std::string_view rest = hostEnd < text.size() ? text.substr(hostEnd) : std::string_view();
    if (!rest.empty() && (host.empty() || rest.front() != ':' || !isPort(rest.substr(1))))
        return false;
    return host.starts_with('[') ? isIpLiteral(host) : consistsOf(host, {});
}

std::optional<RequestTarget> parseRequestTarget(std::string_view method, std::string_view target)
{
    if (target == "*" && method == "OPTIONS")
        return RequestTarget { {}, "*" };
    if (target.starts_with('/'))
        return isPathAndQuery(target) ? std::optional(RequestTarget { {}, std::string(target) })
                                      : std::nullopt;
    if (!takeScheme(target))
        return std::nullopt;
    std::size_t end = std::min(target.find_first_of("/?"), target.size());
    std::string_view authority = target.substr(0, end);
    std::string_view rest = target.substr(end);
    if (authority.empty() || !isHostValue(authority) || !isPathAndQuery(rest))
        return std::nullopt;
    if (rest.empty() && method == "OPTIONS")
        return RequestTarget { std::string(authority), "*" };
    return RequestTarget { std::string(authority), (rest.starts_with('/') ? "" : "/") + std::string(rest) };
}

} // namespace briarwharf
