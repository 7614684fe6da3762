#include "connection/connection.h"
#include "connection/testing/earlyanswerserver.h"
#include "connection/testing/loop.h"
#include "standins/scriptedserver.h"
#include <doctest/doctest.h>
#include <optional>

using namespace briarwharf;

namespace {

enum class End { None, Complete, Failed };

struct Client : OutgoingEvents {
    End end = End::None;
    int status = 0;
    std::string body;
    ExchangeFailure failure;

    void answerHead(const HttpHead& head) override { status = head.status; }
    void answerBody(std::string_view bytes) override { body += bytes; }
    void answerEnd() override { end = End::Complete; }
    void exchangeFailed(const ExchangeFailure& value) override
    {
        end = End::Failed;
        failure = value;
    }
};

OutgoingRequest requestNamed(const std::string& id, std::string body = {})
{
    OutgoingRequest request;
    request.head = "POST /x HTTP/1.1\r\nHost: a\r\nX-Id: " + id
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (!body.empty())
        request.body = std::make_shared<const std::string>(std::move(body));
    request.identifierField = "X-Id";
    request.identifier = id;
    return request;
}

std::string answer(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nX-Id: " + id
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct FaultCase {
    const char* fault;
    Script script; // for the first request
    End end;
    std::string body; // the bytes passed to the owner
    ExchangeFailureKind failure;
    bool reused; // the next request may use the connection
};

const std::vector<FaultCase> faultCases {
    { "none", { ScriptStep::send(answer("1", "ok")) }, End::Complete, "ok", {}, true },
    { "a head in two parts",
        { ScriptStep::send("HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Al"), ScriptStep::wait(Milliseconds(5)),
            ScriptStep::send("ive: timeout=5\r\nContent-Length: 2\r\n\r\nok") },
        End::Complete, "ok", {}, true },
    { "bytes after the answer", { ScriptStep::send(answer("1", "ok") + "junk") }, End::Complete, "ok", {},
        false },
    { "a second answer at once", { ScriptStep::send(answer("1", "ok") + answer("1", "ok")) }, End::Complete,
        "ok", {}, false },
    { "an answer to another request first", { ScriptStep::send(answer("0", "no") + answer("1", "ok")) },
        End::Complete, "ok", {}, false },
    { "only an answer to another request", { ScriptStep::send(answer("0", "no")), ScriptStep::close() },
        End::Failed, "", ExchangeFailureKind::Broken, false },
    { "an answer to another request without a length",
        { ScriptStep::send("HTTP/1.1 200 OK\r\nX-Id: 0\r\n\r\nno"), ScriptStep::close() }, End::Failed, "",
        ExchangeFailureKind::Broken, false },
    { "a truncated answer",
        { ScriptStep::send("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\npart"),
            ScriptStep::close() },
        End::Failed, "part", ExchangeFailureKind::Broken, false },
    { "a truncated chunked answer",
        { ScriptStep::send("HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"),
            ScriptStep::close() },
        End::Failed, "part", ExchangeFailureKind::Broken, false },
    { "an answer without a length",
        { ScriptStep::send("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole"), ScriptStep::close() }, End::Complete,
        "whole", {}, false },
    { "an answer without a length that is reset",
        { ScriptStep::send("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart"), ScriptStep::wait(Milliseconds(20)),
            ScriptStep::reset() },
        End::Failed, "part", ExchangeFailureKind::Broken, false },
    { "bytes that are no answer", { ScriptStep::send("garbage\r\n\r\n") }, End::Failed, "",
        ExchangeFailureKind::Invalid, false },
    { "a reset before the answer", { ScriptStep::reset() }, End::Failed, "", ExchangeFailureKind::Broken,
        false },
    { "a close before the answer", { ScriptStep::close() }, End::Failed, "", ExchangeFailureKind::Broken,
        false },
    { "a close announced",
        { ScriptStep::send(
            "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok") },
        End::Complete, "ok", {}, false },
};

} // namespace

// Guards against answers that are passed to the wrong request, and against truncated answers that count as
// complete.
TEST_CASE("each fault of an upstream's connection ends the exchange with the expected result")
{
    for (const FaultCase& faultCase : faultCases) {
        CAPTURE(faultCase.fault);
        Base base = makeBase();
        ScriptedServer server(base.get(), [&](const ScriptedRequest& request) {
            return request.head.fields.find("X-Id") == "1" ? faultCase.script
                                                           : Script { ScriptStep::send(answer("2", "next")) };
        });
        HttpPool pool(base.get(), {});
        Client first;
        auto exchange = pool.start(server.endpoint(), requestNamed("1"), first);
        REQUIRE(exchange);
        runUntil(base.get(), [&] { return first.end != End::None; });
        CHECK(first.end == faultCase.end);
        CHECK(first.body == faultCase.body);
        if (faultCase.end == End::Failed)
            CHECK(first.failure.kind == faultCase.failure);

        Client second;
        auto next = pool.start(server.endpoint(), requestNamed("2"), second);
        REQUIRE(next);
        runUntil(base.get(), [&] { return second.end != End::None; });
        CHECK(second.end == End::Complete);
        CHECK(second.body == "next");
        CHECK(server.connections() == (faultCase.reused ? 1 : 2));
    }
}

// Guards against an answer that arrives on an idle connection and is passed to the next request.
TEST_CASE("an idle connection is closed when anything arrives on it")
{
    Base base = makeBase();
    ScriptedServer server(
        base.get(), [](const ScriptedRequest&) { return Script { ScriptStep::send(answer("1", "ok")) }; });
    HttpPool pool(base.get(), {});
    Client first;
    auto exchange = pool.start(server.endpoint(), requestNamed("1"), first);
    runUntil(base.get(), [&] { return first.end != End::None; });
    CHECK(pool.connections(server.endpoint()) == 1);
    server.sendOnAll(answer("1", "late"));
    runUntil(base.get(), [&] { return pool.connections(server.endpoint()) == 0; });
    CHECK(pool.counters().strayAnswers == 1);
}

TEST_CASE("nothing is written to an address that refuses the connection")
{
    Base base = makeBase();
    Endpoint endpoint;
    {
        ScriptedServer closedServer(base.get(), [](const ScriptedRequest&) { return Script {}; });
        endpoint = closedServer.endpoint();
    }
    HttpPool pool(base.get(), {});
    Client client;
    auto exchange = pool.start(endpoint, requestNamed("1"), client);
    REQUIRE(exchange);
    runUntil(base.get(), [&] { return client.end != End::None; });
    CHECK(client.failure.kind == ExchangeFailureKind::NotConnected);
    CHECK_FALSE(exchange.value()->written());
}

// Guards against the rest of a long body being parsed as the next request, if the answer arrives before the
// body was sent and the connection is reused.
TEST_CASE("after an early answer the connection is not reused unless the long body was sent completely")
{
    Base base = makeBase();
    std::string body(3 * 1024 * 1024, 'b');
    ScriptedServer server(base.get(), [](const ScriptedRequest& request) {
        return Script { ScriptStep::send(answer(std::string(request.head.fields.find("X-Id")), "ok")) };
    });
    HttpPool pool(base.get(), {});
    Client first;
    auto exchange = pool.start(server.endpoint(), requestNamed("1", body), first);
    runUntil(base.get(), [&] { return first.end != End::None; });
    Client second;
    auto next = pool.start(server.endpoint(), requestNamed("2"), second);
    runUntil(base.get(), [&] { return second.end != End::None; });
    CHECK(second.body == "ok");
    REQUIRE(server.requests().size() == 2);
    CHECK(server.requests()[0].body.size() == body.size());
    CHECK(server.requests()[1].head.fields.find("X-Id") == "2");
}

TEST_CASE("destroying an exchange before its end closes its connection")
{
    Base base = makeBase();
    ScriptedServer server(
        base.get(), [](const ScriptedRequest&) { return Script { ScriptStep::silence() }; });
    HttpPool pool(base.get(), {});
    Client client;
    auto exchange = pool.start(server.endpoint(), requestNamed("1"), client);
    runUntil(base.get(), [&] { return server.requests().size() == 1; });
    exchange.value().reset();
    runUntil(base.get(), [&] { return server.openConnections() == 0; });
    CHECK(pool.connections(server.endpoint()) == 0);
    CHECK(client.end == End::None);
}

// Guards against a request that must not run twice being sent on an idle connection that the other side is
// just closing.
TEST_CASE("a request that asks for a fresh connection does not use one that was idle")
{
    Base base = makeBase();
    ScriptedServer server(base.get(), [](const ScriptedRequest& request) {
        return Script { ScriptStep::send(answer(std::string(request.head.fields.find("X-Id")), "ok")) };
    });
    HttpPool pool(base.get(), {});
    Client first;
    auto exchange = pool.start(server.endpoint(), requestNamed("1"), first);
    runUntil(base.get(), [&] { return first.end != End::None; });
    OutgoingRequest fresh = requestNamed("2");
    fresh.maxIdle = Milliseconds(-1);
    Client second;
    auto next = pool.start(server.endpoint(), fresh, second);
    runUntil(base.get(), [&] { return second.end != End::None; });
    CHECK(server.connections() == 2);
}

TEST_CASE("connections to one address are bounded")
{
    Base base = makeBase();
    ScriptedServer server(
        base.get(), [](const ScriptedRequest&) { return Script { ScriptStep::silence() }; });
    HttpPool pool(base.get(), {});
    Client first;
    Client second;
    OutgoingRequest request = requestNamed("1");
    request.maxConnections = 1;
    auto exchange = pool.start(server.endpoint(), request, first);
    REQUIRE(exchange);
    auto refused = pool.start(server.endpoint(), request, second);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == ErrorKind::Overloaded);
}

TEST_CASE("a call ends with the complete answer or tells whether it may have run")
{
    Base base = makeBase();
    ScriptedServer server(base.get(), [](const ScriptedRequest& request) {
        if (request.head.target == "/silent")
            return Script { ScriptStep::silence() };
        if (request.head.target == "/reset")
            return Script { ScriptStep::reset() };
        return Script { ScriptStep::send("HTTP/1.1 409 Conflict\r\nContent-Length: 4\r\n\r\nbody") };
    });
    HttpPool pool(base.get(), {});
    HttpCaller caller(base.get(), pool, server.endpoint());
    std::optional<Result<HttpAnswer>> answered;
    std::optional<Result<HttpAnswer>> silent;
    std::optional<Result<HttpAnswer>> reset;
    caller.call({ "GET", "/x", "", Milliseconds(5000) }, [&](auto result) { answered = std::move(result); });
    caller.call({ "GET", "/silent", "", Milliseconds(30) }, [&](auto result) { silent = std::move(result); });
    caller.call(
        { "PUT", "/reset", "{}", Milliseconds(5000) }, [&](auto result) { reset = std::move(result); });
    runUntil(base.get(), [&] { return answered && silent && reset; });
    REQUIRE(*answered);
    CHECK(answered->value().status == 409);
    CHECK(answered->value().body == "body");
    CHECK(silent->error().kind == ErrorKind::DeadlineExceeded);
    CHECK(reset->error().kind == ErrorKind::Unknown);
}

// Guards against an answer of which only a part of the head came, and that counts as an answer with an empty
// body.
TEST_CASE("an answer whose head is cut at any byte is a broken exchange")
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for (const char* framing : { "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", "" }) {
        for (const std::string& before : { std::string(), interim }) {
            for (const ScriptStep& end : { ScriptStep::close(), ScriptStep::reset() }) {
                const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + std::string(framing) + "\r\n";
                std::size_t cut = 0;
                Base base = makeBase();
                ScriptedServer server(base.get(), [&](const ScriptedRequest& request) {
                    if (request.head.fields.find("X-Id") == "2")
                        return Script { ScriptStep::send(answer("2", "sound")) };
                    return Script { ScriptStep::send(before + head.substr(0, cut)), end };
                });
                HttpPool pool(base.get(), {});
                for (cut = 0; cut < head.size(); ++cut) {
                    CAPTURE(cut);
                    Client sound;
                    auto first = pool.start(server.endpoint(), requestNamed("2"), sound);
                    runUntil(base.get(), [&] { return sound.end != End::None; });
                    for (Milliseconds maxIdle : { Milliseconds(5000), Milliseconds(-1) }) { // kept and new
                        OutgoingRequest request = requestNamed("1");
                        request.maxIdle = maxIdle;
                        Client client;
                        auto exchange = pool.start(server.endpoint(), request, client);
                        REQUIRE(exchange);
                        runUntil(base.get(), [&] { return client.end != End::None; });
                        CHECK(client.end == End::Failed);
                        CHECK(client.failure.kind == ExchangeFailureKind::Broken);
                        CHECK(client.status == 0);
                    }
                }
            }
        }
    }
}

// Guards against an earlier answer that is written once more and taken for the answer to the next request on
// the connection, above all a refusal: the next request would count as not run.
TEST_CASE("on a kept connection only an answer with the request's identifier is its answer")
{
    const std::string refusal = "HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nno";
    Base base = makeBase();
    ScriptedServer server(base.get(), [&](const ScriptedRequest& request) {
        std::string id(request.head.fields.find("X-Id"));
        return Script { ScriptStep::send(id == "1" ? answer(id, "ok") : refusal + answer(id, "ok")) };
    });
    HttpPool pool(base.get(), {});
    for (const char* id : { "1", "2" }) {
        Client client;
        auto exchange = pool.start(server.endpoint(), requestNamed(id), client);
        runUntil(base.get(), [&] { return client.end != End::None; });
        CHECK(client.status == 200);
        CHECK(client.body == "ok");
    }
    CHECK(server.connections() == 1);
    CHECK(pool.counters().strayAnswers == 1);
    CHECK(pool.connections(server.endpoint()) == 0);
}

// Guards against connections on which a repeated answer could not be told from the answer to the next
// request.
TEST_CASE("a connection is used again only if answers on it can be told apart by their identifiers")
{
    Base base = makeBase();
    bool echoes = true;
    ScriptedServer server(base.get(), [&](const ScriptedRequest& request) {
        std::string id(request.head.fields.find("X-Id"));
        return Script { ScriptStep::send(answer(echoes ? id : std::string(), "ok")) };
    });
    HttpPool pool(base.get(), {});
    auto connectionsAfter = [&](const std::string& id) {
        Client client;
        auto exchange = pool.start(server.endpoint(), requestNamed(id), client);
        runUntil(base.get(), [&] { return client.end != End::None; });
        CHECK(client.body == "ok");
        return server.connections();
    };
    CHECK(connectionsAfter("1") == 1);
    CHECK(connectionsAfter("2") == 1);
    CHECK(connectionsAfter("1") == 2); // the first connection has carried this identifier
    CHECK(connectionsAfter("") == 3); // a request without an identifier
    pool.closeIdle(server.endpoint());
    echoes = false;
    CHECK(connectionsAfter("3") == 4);
    CHECK(connectionsAfter("4") == 5);
}

// The client that the chat interface and /v1/services use.
TEST_CASE("the upstream client takes no head that is cut at any byte for an answer")
{
    for (const char* framing : { "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", "" }) {
        for (const ScriptStep& end : { ScriptStep::close(), ScriptStep::reset() }) {
            const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + std::string(framing) + "\r\n";
            std::size_t cut = 0;
            Base base = makeBase();
            ScriptedServer server(base.get(), [&](const ScriptedRequest& request) {
                if (request.head.target == "/sound")
                    return Script { ScriptStep::send(answer("2", "sound")) };
                return Script { ScriptStep::send(head.substr(0, cut)), end };
            });
            UpstreamClient client(base.get(), "127.0.0.1", server.endpoint().port);
            bool headReceived = false;
            auto call = [&](const std::string& target, bool freshConnection) {
                UpstreamRequest request;
                request.target = target;
                request.freshConnection = freshConnection;
                headReceived = false;
                std::optional<ExchangeResult> result;
                client.start(request,
                    { [&](const ResponseHead&) { headReceived = true; }, nullptr,
                        [&](const ExchangeResult& value) { result = value; } });
                runUntil(base.get(), [&] { return result.has_value(); });
                return result->end;
            };
            for (cut = 0; cut < head.size(); ++cut) {
                CAPTURE(cut);
                CHECK(call("/sound", false) == ExchangeEnd::Complete);
                for (bool freshConnection : { false, true }) {
                    CHECK(call("/cut", freshConnection) != ExchangeEnd::Complete);
                    CHECK_FALSE(headReceived);
                }
            }
        }
    }
}

// Guards against requests to upstreams that use up the descriptors for peers, the store and operators.
TEST_CASE("a pool opens no more connections than its limit, and closes idle ones for others")
{
    Base base = makeBase();
    auto answers = [](const std::string& id) {
        return [id](const ScriptedRequest&) { return Script { ScriptStep::send(answer(id, "ok")) }; };
    };
    ScriptedServer first(base.get(), answers("1"));
    ScriptedServer second(base.get(), answers("2"));
    HttpPoolOptions options;
    options.maxConnections = 1;
    HttpPool pool(base.get(), options);
    Client client;
    auto exchange = pool.start(first.endpoint(), requestNamed("1"), client);
    REQUIRE(exchange);
    Client refused;
    auto over = pool.start(second.endpoint(), requestNamed("2"), refused);
    REQUIRE(over.has_error());
    CHECK(over.error().kind == ErrorKind::Overloaded);
    runUntil(base.get(), [&] { return client.end != End::None; });
    CHECK(pool.connections(first.endpoint()) == 1);
    Client later;
    auto allowed = pool.start(second.endpoint(), requestNamed("2"), later);
    REQUIRE(allowed);
    runUntil(base.get(), [&] { return later.end != End::None; });
    CHECK(later.body == "ok");
    CHECK(pool.connections(first.endpoint()) == 0);
}

namespace {

struct EarlyFraming {
    const char* what;
    std::string fields;
    std::string body;
    bool endsByItself;
};

const std::vector<EarlyFraming> earlyFramings {
    { "until the close", "", "part", false },
    { "a length", "Content-Length: 4\r\n", "part", true },
    { "chunks", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\n\r\n", true },
};

} // namespace

// Guards against a part of an answer that counts as the whole: a server answers at once, without a length,
// and gives up while the request is still being sent. Its end looks orderly until the reset comes.
TEST_CASE("MIXED: an answer that ends with its connection is complete only if the whole request was taken")
{
    for (std::size_t bodyBytes :
        { std::size_t { 0 }, std::size_t { 20000 }, std::size_t { 200000 }, std::size_t { 16000000 } }) {
        for (EarlyEnd end : { EarlyEnd::Reset, EarlyEnd::CloseUnread, EarlyEnd::HalfCloseThenReset,
                 EarlyEnd::HalfCloseThenRead, EarlyEnd::ReadThenClose }) {
            for (const EarlyFraming& framing : earlyFramings) {
                CAPTURE(bodyBytes);
                CAPTURE(static_cast<int>(end));
                CAPTURE(framing.what);
                OutgoingRequest request = requestNamed("1", std::string(bodyBytes, 'b'));
                EarlyAnswerServer server(
                    "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + framing.fields + "\r\n" + framing.body, end,
                    request.head.size() + bodyBytes);
                Base base = makeBase();
                HttpPool pool(base.get(), {});
                Client client;
                auto exchange = pool.start(server.endpoint(), request, client);
                REQUIRE(exchange);
                runUntil(base.get(), [&] { return client.end != End::None; });
                // A request without a body is read at once, so that only a reset breaks its answer.
                bool isTaken = end == EarlyEnd::HalfCloseThenRead || end == EarlyEnd::ReadThenClose
                    || (bodyBytes == 0 && end != EarlyEnd::Reset);
                CHECK((client.end == End::Complete) == (framing.endsByItself || isTaken));
                if (client.end == End::Failed)
                    CHECK(client.failure.kind == ExchangeFailureKind::Broken);
            }
        }
    }
}

// Guards against a request that waits for a body that never comes, and a next answer that is taken for it.
TEST_CASE("an answer to a HEAD request ends with its head")
{
    Base base = makeBase();
    ScriptedServer server(base.get(), [](const ScriptedRequest& request) {
        if (request.head.method == "HEAD")
            return Script { ScriptStep::send(
                "HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 5\r\n\r\n") };
        return Script { ScriptStep::send(answer("2", "next")) };
    });
    HttpPool pool(base.get(), {});
    OutgoingRequest head = requestNamed("1");
    head.head.replace(0, 4, "HEAD");
    head.answerHasNoBody = true;
    Client first;
    auto exchange = pool.start(server.endpoint(), head, first);
    runUntil(base.get(), [&] { return first.end != End::None; });
    CHECK(first.end == End::Complete);
    CHECK(first.body.empty());
    Client second;
    auto next = pool.start(server.endpoint(), requestNamed("2"), second);
    runUntil(base.get(), [&] { return second.end != End::None; });
    CHECK(second.body == "next");
    CHECK(server.connections() == 1);
}
