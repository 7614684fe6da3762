#include "base/base.h"
#include "request/request.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace briarwharf;

namespace {

const std::string key = "0123456789abcdef";
const std::string otherKey = "fedcba9876543210";
constexpr WallTime noon { std::chrono::hours(480000) };

HintSigner signer(const std::string& current = key, const std::string& previous = "")
{
    return HintSigner::create({ current, previous }).value();
}

} // namespace

TEST_CASE("a hint yields its upstream only for the same chat and organisation")
{
    std::string text = signer().issue("saqib", "chat-1", 42, noon);
    CHECK(text.size() == hintTextBytes);
    CHECK(text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_")
        == std::string::npos);
    HintCheck check = signer().verify(text, "saqib", "chat-1", noon);
    CHECK(check.verdict == HintVerdict::Valid);
    CHECK(check.upstream == 42);
    CHECK(signer().verify(text, "hallsberg", "chat-1", noon).verdict == HintVerdict::ForeignOrganisation);
    CHECK(signer().verify(text, "saqib", "chat-2", noon).verdict == HintVerdict::ForeignChat);
    CHECK(signer().verify("", "saqib", "chat-1", noon).verdict == HintVerdict::Absent);
    CHECK(signer().verify(text + "A", "saqib", "chat-1", noon).verdict == HintVerdict::Malformed);
}

TEST_CASE("hints expire, and hints with an issue time in the future are refused")
{
    std::string text = signer().issue("saqib", "chat-1", 42, noon);
    CHECK(signer().verify(text, "saqib", "chat-1", noon + std::chrono::hours(24 * 8)).verdict
        == HintVerdict::Expired);
    CHECK(signer().verify(text, "saqib", "chat-1", noon - std::chrono::seconds(30)).verdict
        == HintVerdict::Valid);
    CHECK(signer().verify(text, "saqib", "chat-1", noon - std::chrono::hours(1)).verdict
        == HintVerdict::FromFuture);
}

// Guards against losing the residence of every chat when the key is rotated.
TEST_CASE("hints signed with the previous key are accepted, hints signed with an older key are refused")
{
    std::string text = signer(key).issue("saqib", "chat-1", 42, noon);
    CHECK(signer(otherKey, key).verify(text, "saqib", "chat-1", noon).verdict == HintVerdict::Valid);
    CHECK(signer(otherKey).verify(text, "saqib", "chat-1", noon).verdict == HintVerdict::Forged);
    CHECK(HintSigner::create({ "short" }).has_error());
    CHECK(HintSigner::create({ key, "short" }).has_error());
}

// Guards against accepting a hint with a changed byte at any position, and against a crash on arbitrary text.
TEST_CASE("no changed or arbitrary text is valid")
{
    CHECK(rc::check("changed letter", [] {
        std::string text = signer().issue("saqib", "chat-1", 42, noon);
        auto index = static_cast<std::size_t>(*rc::gen::inRange(0, 64));
        char character = *rc::gen::arbitrary<char>();
        RC_PRE(character != text[index]);
        text[index] = character;
        RC_ASSERT(signer().verify(text, "saqib", "chat-1", noon).verdict != HintVerdict::Valid);
    }));
    CHECK(rc::check("arbitrary text", [](const std::string& text) {
        RC_ASSERT(signer().verify(text, "saqib", "chat-1", noon).verdict != HintVerdict::Valid);
    }));
}

// Guards against an organisation that uses copied hints to direct the chats of another, or its own chats to
// an unsuitable upstream.
TEST_CASE("a foreign hint has no effect on the decision")
{
    CHECK(rc::check("foreign hint", [](std::uint64_t upstream, const std::string& chat) {
        std::vector<UpstreamView> views(5);
        for (std::size_t index = 0; index < views.size(); ++index)
            views[index].id = index + 1;
        std::string text = signer().issue("other", chat, upstream % 5 + 1, noon);
        HintCheck check = signer().verify(text, "saqib", chat, noon);
        RC_ASSERT(check.verdict == HintVerdict::ForeignOrganisation);
        PlacementRequest plain { chatKey("saqib", chat), 1000 };
        PlacementRequest hinted = plain;
        if (check.verdict == HintVerdict::Valid)
            hinted.hint = check.upstream;
        auto placement = makePlacement(PlacementKind::BoundedRendezvous, placementSettings("reuse").value());
        RC_ASSERT(placement->decide(plain, views).upstream == placement->decide(hinted, views).upstream);
    }));
}

TEST_CASE("the directory keeps the most recently used entries within its size in bytes")
{
    MonotonicTime now { std::chrono::hours(1) };
    ResidenceDirectory directory(3 * ResidenceDirectory::entryBytes, std::chrono::seconds(60));
    for (ChatKey chat = 1; chat <= 3; ++chat)
        directory.put(chat, chat * 10, now);
    CHECK(directory.find(1, now) == 10);
    directory.put(4, 40, now);
    CHECK(directory.size() == 3);
    CHECK(directory.bytes() <= 3 * ResidenceDirectory::entryBytes);
    CHECK_FALSE(directory.find(2, now).has_value());
    CHECK(directory.find(1, now) == 10);
    directory.removeUpstream(10);
    CHECK_FALSE(directory.find(1, now).has_value());
    CHECK_FALSE(directory.find(4, now + std::chrono::seconds(61)).has_value());
    CHECK(ResidenceDirectory(0).find(1, now) == std::nullopt);
}

TEST_CASE("the handover order starts with the latest turn, and the records stay within their size in bytes")
{
    MonotonicTime now { std::chrono::hours(1) };
    ResidentChats chats(1 << 20);
    for (int index = 0; index < 5; ++index)
        chats.recordTurn("saqib", "c" + std::to_string(index), 7, 100, now + std::chrono::seconds(index));
    chats.recordTurn("saqib", "c1", 7, 200, now + std::chrono::seconds(9));
    chats.recordTurn("saqib", "c2", 8, 200, now + std::chrono::seconds(9));
    auto order = chats.handoverOrder(7, now + std::chrono::seconds(1), 10);
    REQUIRE(order.size() == 3);
    CHECK(order[0].chat == "c1");
    CHECK(order[0].tokens == 200);
    CHECK(order[1].chat == "c4");
    CHECK(chats.handoverOrder(7, now, 1).size() == 1);
    chats.removeUpstream(7);
    CHECK(chats.size() == 1);

    ResidentChats small(1000);
    for (int index = 0; index < 100; ++index)
        small.recordTurn("saqib", std::to_string(index), 7, 100, now + std::chrono::seconds(index));
    CHECK(small.bytes() <= 1000);
    CHECK(small.handoverOrder(7, now, 1).front().chat == "99");
}
