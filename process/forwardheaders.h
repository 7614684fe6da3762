#pragma once

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/httpmessage.h"
#include "request/partmemory.h"
#include "request/request.h"
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// Names of the header fields that callers, instances and upstreams exchange. A directory source replaces the
// defaults with the names that its platform uses. A field with an empty name is neither read nor sent.
struct ForwardingHeaders {
    std::string requestId = "X-Briarwharf-Request-Id";
    std::string deadline = "X-Briarwharf-Deadline-Ms"; // time in ms that the caller waits for its answer
    std::string key = "X-Briarwharf-Key"; // an organisation's key, by which it is identified
    std::string organisation = "X-Briarwharf-Organisation"; // the organisation's name, sent to the upstream
    std::string expectedUpstream = "X-Briarwharf-Expect-Upstream"; // any other upstream answers 421
    std::string notRun = "X-Briarwharf-Not-Run"; // on an upstream's answer: it did not run the request
    // On an upstream's answer: the requests a second that it takes from all instances together, while it has
    // the field.
    std::string rateLimit = "X-Briarwharf-Rate-Limit";
    std::string leaving = "X-Briarwharf-Leaving"; // 1 on an upstream's answers: it takes no new requests
    std::string coldFor = "X-Briarwharf-Cold-Ms"; // on an upstream's answers: how much longer it is cold
    std::string signature = "X-Briarwharf-Signature"; // on upstreams' 2xx answers; empty: not required
    std::string promptSegments = "X-Briarwharf-Prompt-Parts"; // "id:tokens,..." with hexadecimal ids
    std::string tokens = "X-Briarwharf-Tokens"; // "prompt tokens,maximum output tokens"
    std::string outputHint = "X-Briarwharf-Output-Hint"; // the caller's estimate of the output, in tokens
    std::string urgency = "X-Briarwharf-Urgency"; // sent to the upstream; 0 is the most urgent
    // Sent to the upstream: the address of another one from which it copies what that one caches of the
    // prompt.
    std::string copyFrom = "X-Briarwharf-Copy-From";
    std::string lastEvent = "Last-Event-Id";
    std::vector<std::string> reserved; // set only by instances; removed from callers' requests
    std::vector<std::string> internal; // removed from upstreams' answers before these are sent to callers
};

// Values of a caller's header fields.
struct CallerFields {
    std::string_view requestId;
    std::string_view key;
    std::optional<Milliseconds> deadline;
    std::vector<PromptSegment> segments;
    std::size_t malformedSegments = 0; // entries of the caller's list that were left out
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
    std::int64_t outputHint = 0;
    std::optional<std::uint64_t> lastEvent;
};

// Views in the result point into `fields`. Values that cannot be parsed count as absent.
CallerFields readCallerFields(const HttpFields& fields, const ForwardingHeaders&);

// Without the spaces and tabs around it.
std::string_view trimmed(std::string_view);

// Removes the text up to and including the separator, and returns it trimmed and without the separator.
std::string_view takeUntil(std::string_view& text, char separator);

// Values of the header fields that the forwarder sets on a request to an upstream.
struct UpstreamFields {
    std::string_view upstream; // its id
    std::string_view organisation;
    Milliseconds timeLeft { 0 };
    std::optional<std::uint64_t> lastEvent; // replaces the caller's value; nullopt: the caller's is sent
    std::optional<int> urgency;
    std::optional<Endpoint> copyFrom;
};

// The value of a Retry-After field in seconds, whole or with a fraction. Returns nullopt for anything else,
// such as a negative number, an exponent or a date: a date would need a clock in step with the upstream's. A
// time over maxRetryAfter counts as maxRetryAfter.
std::optional<Milliseconds> parseRetryAfter(std::string_view);
constexpr Milliseconds maxRetryAfter { std::chrono::hours(365 * 24) };

// The time for which an upstream says that it stays cold, up to maxColdTime. Returns nullopt for text that is
// no positive number.
std::optional<Milliseconds> parseColdTime(std::string_view);

// Request line and header lines for an upstream: the caller's, without the key, the fields that concern one
// connection and those that the forwarder sets, and then the forwarder's own.
std::string upstreamHead(
    const HttpHead& caller, const ForwardingHeaders&, const UpstreamFields&, std::size_t bodyBytes);

// Header lines of an upstream's answer for the caller, without the fields that concern one connection or the
// framing of the body, and without those that concern only the upstream. Among them is the Retry-After of a
// failure: it says when this upstream takes requests again, and not when another one would.
std::string callerHeaderLines(const HttpHead& answer, const ForwardingHeaders&);

} // namespace briarwharf
