#pragma once

#include "base/base.h"
#include "connection/connection.h"
#include "coordination/coordination.h"
#include "process/chatrequest.h"
#include "process/settings.h"
#include "process/trace.h"
#include "request/request.h"
#include "version/testing/decoders.h"
#include <string>
#include <string_view>
#include <vector>

// Entry points that feed outside bytes to a decoder and check what it promises. Shared by the fuzz targets
// and by the test that replays the corpus.
namespace briarwharf::testing {

// Frames from other instances. What decodes must decode to the same again.
inline void exercisePeerFrame(std::string_view bytes)
{
    auto frame = decodePeerFrame(bytes);
    if (!frame)
        return;
    std::string encoded = encodePeerFrame(frame.value());
    auto again = decodePeerFrame(std::string_view(encoded).substr(peerFrameHeaderBytes));
    require(again.has_value() && again.value().body.type == frame.value().body.type);
}

// Settings files. A refused file says why.
inline void exerciseSettings(std::string_view bytes)
{
    auto settings = parseSettings(bytes, "fuzz.ini");
    require(settings.has_value() || !settings.error().message.empty());
}

// Bodies and headers of callers, and event streams of engines. However a stream is cut, its events are the
// same.
inline void exerciseCaller(std::string_view bytes)
{
    auto request = parseChatRequest(bytes);
    require(request.has_value() || !request.error().message.empty());
    auto context = parseTraceparent(bytes);
    require(!context || parseTraceparent(formatTraceparent(*context)).has_value());
    static const HintSigner signer = HintSigner::create({ "fuzz-hint-key-0123456789", "" }).value();
    require(signer.verify(bytes, "organisation", "chat", WallTime {}).verdict != HintVerdict::Valid);
    std::vector<std::string> whole;
    std::vector<std::string> cut;
    EventStreamParser wholeParser(1 << 20, [&](std::string_view data) { whole.emplace_back(data); });
    EventStreamParser cutParser(1 << 20, [&](std::string_view data) { cut.emplace_back(data); });
    wholeParser.feed(bytes);
    for (char byte : bytes)
        cutParser.feed({ &byte, 1 });
    require(whole == cut);
}

// HTTP messages and event streams. However the bytes are cut, they are read the same.
inline void exerciseHttp(std::string_view bytes)
{
    struct Collected : HttpMessageSink {
        std::string text;
        void messageHead(const HttpHead& head) override
        {
            text += head.method + " " + head.target + " " + std::to_string(head.status) + "\n";
            for (std::size_t index = 0; index < head.fields.size(); ++index)
                appendField(text, head.fields.at(index).name, head.fields.at(index).value);
        }
        void messageBody(std::string_view part) override { text += part; }
        void messageEnd() override { text += "\nend\n"; }
    };
    constexpr std::size_t maxHead = 4096;
    for (auto kind : { HttpParser::Kind::Request, HttpParser::Kind::Answer }) {
        HttpParser whole(kind, maxHead);
        HttpParser cut(kind, maxHead);
        Collected wholeText;
        Collected cutText;
        whole.feed(bytes, wholeText);
        for (std::size_t at = 0; at < bytes.size() && !cut.failed() && !cut.complete(); ++at)
            cut.feed(bytes.substr(at, 1), cutText);
        require(whole.complete() == cut.complete());
        require(!whole.complete() || wholeText.text == cutText.text);
    }
    EventRelay wholeRelay;
    EventRelay cutRelay;
    std::string wholeOut;
    std::string cutOut;
    bool wholeFine = wholeRelay.feed(bytes, wholeOut).has_value();
    bool cutFine = true;
    for (char byte : bytes)
        cutFine = cutFine && cutRelay.feed({ &byte, 1 }, cutOut).has_value();
    require(wholeFine == cutFine && wholeOut == cutOut);
}

// Records and snapshots of claims, as the store answers them.
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
