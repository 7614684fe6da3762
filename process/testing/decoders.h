#pragma once

#include "base/base.h"
#include "connection/connection.h"
#include "coordination/coordination.h"
#include "coordination/directorymessage.h"
#include "process/chatrequest.h"
#include "process/settings.h"
#include "process/trace.h"
#include "request/request.h"
#include "version/testing/decoders.h"
#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

// Each function passes untrusted bytes to a decoder and checks the properties that must hold for any input.
// The fuzz targets and the test that replays the corpus share them.
namespace briarwharf::testing {

// Frames from other instances. A frame that decodes must be the same after it is encoded and decoded again.
inline void exercisePeerFrame(std::string_view bytes)
{
    auto frame = decodePeerFrame(bytes);
    if (!frame)
        return;
    std::string encoded = encodePeerFrame(frame.value());
    auto again = decodePeerFrame(std::string_view(encoded).substr(peerFrameHeaderBytes));
    require(again.has_value() && again.value().body.type == frame.value().body.type);
}

// Lists of upstreams from other instances, compressed and not. Every decoded entry must be usable, and the
// same after it is encoded and decoded again.
inline void exerciseDirectoryList(std::string_view bytes)
{
    for (const std::string& compressed : { std::string(bytes), compress(bytes) }) {
        auto changes = decompressChanges(compressed);
        require(changes || !changes.error().message.empty());
        if (!changes)
            continue;
        for (const UpstreamEntry& entry : changes.value().entries)
            require(!entry.id.empty() && entry.slots >= 1 && entry.endpoint.port > 0);
        auto again = decompressChanges(compressChanges(changes.value()));
        require(again && again.value().entries == changes.value().entries);
    }
}

// Settings files. The error for an invalid file must have a message.
inline void exerciseSettings(std::string_view bytes)
{
    auto settings = parseSettings(bytes, { "fuzz.ini", {} });
    require(settings.has_value() || !settings.error().message.empty());
}

// Bodies and headers of callers' requests, and event streams of engines. The events of a stream must not
// depend on how its bytes are split.
inline void exerciseCaller(std::string_view bytes)
{
    auto request = parseChatRequest(bytes);
    require(request.has_value() || !request.error().message.empty());
    auto context = parseTraceparent(bytes);
    require(!context || parseTraceparent(formatTraceparent(*context)).has_value());
    static const HintSigner signer = HintSigner::create({ "fuzz-hint-key-0123456789", "" }).value();
    require(signer.verify(bytes, "organisation", "chat", WallTime {}).verdict != HintVerdict::Valid);
    std::vector<std::string> atOnce;
    std::vector<std::string> bytewise;
    EventStreamParser atOnceParser(1 << 20, [&](std::string_view data) { atOnce.emplace_back(data); });
    EventStreamParser bytewiseParser(1 << 20, [&](std::string_view data) { bytewise.emplace_back(data); });
    atOnceParser.feed(bytes);
    for (char byte : bytes)
        bytewiseParser.feed({ &byte, 1 });
    require(atOnce == bytewise);
}

// HTTP messages and event streams. The result must not depend on how the bytes are split. Whatever is
// reported as a message must be one in the protocol.
inline void exerciseHttp(std::string_view bytes)
{
    struct Collected : HttpMessageSink {
        std::string text;
        void messageHead(const HttpHead& head) override
        {
            text += head.method + " " + head.target + " " + std::to_string(head.status) + "\n";
            require(!head.method.empty() || (head.status >= 200 && head.status <= 599));
            for (std::size_t index = 0; index < head.fields.size(); ++index)
                takeField(head.fields.at(index));
        }
        void takeField(const HttpFields::Field& field)
        {
            require(!field.name.empty() && std::all_of(field.name.begin(), field.name.end(), &isTokenByte));
            require(std::all_of(field.value.begin(), field.value.end(), &isTextByte));
            appendField(text, field.name, field.value);
        }
        void messageBody(std::string_view data) override { text += data; }
        void messageEnd() override { text += "\nend\n"; }
    };
    constexpr std::size_t maxHead = 4096;
    for (auto kind : { HttpParser::Kind::Request, HttpParser::Kind::Answer }) {
        HttpParser atOnce(kind, maxHead);
        HttpParser bytewise(kind, maxHead);
        Collected atOnceText;
        Collected bytewiseText;
        atOnce.feed(bytes, atOnceText);
        for (std::size_t at = 0; at < bytes.size() && !bytewise.failed() && !bytewise.complete(); ++at)
            bytewise.feed(bytes.substr(at, 1), bytewiseText);
        require(atOnce.complete() == bytewise.complete());
        require(!atOnce.complete() || atOnceText.text == bytewiseText.text);
    }
    EventRelay atOnceRelay;
    EventRelay bytewiseRelay;
    std::string atOnceOut;
    std::string bytewiseOut;
    bool atOnceValid = atOnceRelay.feed(bytes, atOnceOut).has_value();
    bool bytewiseValid = true;
    for (char byte : bytes)
        bytewiseValid = bytewiseValid && bytewiseRelay.feed({ &byte, 1 }, bytewiseOut).has_value();
    require(atOnceValid == bytewiseValid && atOnceOut == bytewiseOut);
}

// Records and snapshots of claims, as the store returns them.
inline void exerciseClaims(std::string_view bytes)
{
    ClaimIndex index;
    static_cast<void>(index.apply({ 1, 0 }, bytes));
    index.recordApplied(1);
    ClaimIndex restored;
    static_cast<void>(restored.restore(1, { std::string(bytes) }));
    require(restored.snapshot().size() <= 1 + bytes.size());
}

} // namespace briarwharf::testing
