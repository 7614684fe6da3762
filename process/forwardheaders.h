#pragma once

#include "base/time.h"
#include "connection/httpmessage.h"
#include "request/partmemory.h"
#include "request/request.h"
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// Names of the header fields between callers, this system and upstreams. A source of directories replaces the
// defaults by the names of its platform. An empty name is neither read nor sent.
struct ForwardingHeaders {
    std::string requestId = "X-Briarwharf-Request-Id";
    std::string deadline = "X-Briarwharf-Deadline-Ms"; // milliseconds that the caller will wait
    std::string key = "X-Briarwharf-Key"; // of an organisation
    std::string organisation = "X-Briarwharf-Organisation"; // its name, for the upstream
    std::string expectedUpstream = "X-Briarwharf-Expect-Upstream"; // any other upstream answers 421
    std::string notRun = "X-Briarwharf-Not-Run"; // the upstream says that it did not run the request
    std::string signature = "X-Briarwharf-Signature"; // on every success of an upstream; empty: not required
    std::string promptParts = "X-Briarwharf-Prompt-Parts"; // "hex id:tokens,..."
    std::string tokens = "X-Briarwharf-Tokens"; // "prompt,most output"
    std::string outputHint = "X-Briarwharf-Output-Hint"; // tokens, as the caller estimates
    std::string urgency = "X-Briarwharf-Urgency"; // 0 is first, to the upstream
    std::string lastEvent = "Last-Event-Id";
    std::vector<std::string> reserved; // set by this system only, taken out of callers' requests
    std::vector<std::string> internal; // of upstreams' answers, not for callers
};

// What a caller's header fields say.
struct CallerFields {
    std::string_view requestId;
    std::string_view key;
    std::optional<Milliseconds> deadline;
    std::vector<PromptSegment> parts;
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
    std::int64_t outputHint = 0;
    std::optional<std::uint64_t> lastEvent;
};

// Views point into `fields`. Values that cannot be read count as absent.
CallerFields readCallerFields(const HttpFields& fields, const ForwardingHeaders&);

// What this system sets on a request to an upstream.
struct UpstreamFields {
    std::string_view upstream; // id
    std::string_view organisation;
    Milliseconds timeLeft { 0 };
    std::optional<std::uint64_t> lastEvent; // where it differs from the caller's
    std::optional<int> urgency;
};

// Start line and header lines for an upstream: the caller's, without those of one connection, those that this
// system sets, and the key.
std::string upstreamHead(
    const HttpHead& caller, const ForwardingHeaders&, const UpstreamFields&, std::size_t bodyBytes);

// Header lines of an upstream's answer for the caller, without those of one connection or of the body's
// framing.
std::string callerHeaderLines(const HttpFields& answer, const ForwardingHeaders&);

} // namespace briarwharf
