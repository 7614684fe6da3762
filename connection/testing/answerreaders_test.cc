#include "connection/connection.h"
#include "connection/operatorclient.h"
#include "connection/testing/brokenanswers.h"
#include "connection/testing/earlyanswerserver.h"
#include "connection/testing/loop.h"
#include "standins/scriptedserver.h"
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace briarwharf;

// Each part of the product that reads answers, with each kind of answer that is none.

namespace {

// The outcome of one request: whether its owner took the bytes for an answer.
struct Reading {
    std::optional<bool> taken;
};

class ExchangeEvents : public OutgoingEvents {
public:
    explicit ExchangeEvents(Reading& reading)
        : m_reading(reading)
    {
    }
    void answerHead(const HttpHead&) override { }
    void answerBody(std::string_view) override { }
    void answerEnd() override { m_reading.taken = true; }
    void exchangeFailed(const ExchangeFailure&) override { m_reading.taken = false; }

private:
    Reading& m_reading;
};

// Starts a request with a body and keeps what it needs; the result goes to the reading.
class AnswerReader {
public:
    virtual ~AnswerReader() = default;
    virtual void start(event_base*, const Endpoint&, const std::string& body, Reading&) = 0;
    // Lines that the reader expects in each answer.
    virtual std::string expectedFields() const { return {}; }
    // Whether an answer that ends with its connection may count as whole.
    virtual bool takesUntilClose() const { return false; }
};

class PoolReader : public AnswerReader {
public:
    void start(event_base* base, const Endpoint& endpoint, const std::string& body, Reading& reading) override
    {
        m_pool.emplace(base, HttpPoolOptions {});
        m_events.emplace(reading);
        OutgoingRequest request;
        request.head
            = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        request.body = std::make_shared<const std::string>(body);
        m_exchange = std::move(m_pool->start(endpoint, request, *m_events).value());
    }
    bool takesUntilClose() const override { return true; }

private:
    std::optional<HttpPool> m_pool;
    std::optional<ExchangeEvents> m_events;
    std::unique_ptr<OutgoingExchange> m_exchange;
};

// Of the platform's store.
class CallReader : public AnswerReader {
public:
    void start(event_base* base, const Endpoint& endpoint, const std::string& body, Reading& reading) override
    {
        m_pool.emplace(base, HttpPoolOptions {});
        m_caller.emplace(base, *m_pool, endpoint);
        m_caller->call(
            { .method = "POST", .target = "/objects", .body = body, .timeout = Milliseconds(5000) },
            [&reading](const Result<HttpAnswer>& answer) { reading.taken = answer.has_value(); });
    }
    bool takesUntilClose() const override { return true; }

private:
    std::optional<HttpPool> m_pool;
    std::optional<HttpCaller> m_caller;
};

// Of chats, calls to services, polls and spans.
class ClientReader : public AnswerReader {
public:
    void start(event_base* base, const Endpoint& endpoint, const std::string& body, Reading& reading) override
    {
        m_client.emplace(base, endpoint.address, endpoint.port);
        UpstreamRequest request;
        request.target = "/";
        request.body = body;
        m_client->start(request, { nullptr, nullptr, [&reading](const ExchangeResult& result) {
                                      reading.taken = result.end == ExchangeEnd::Complete;
                                  } });
    }

private:
    std::optional<UpstreamClient> m_client;
};

class OperatorReader : public AnswerReader {
public:
    void start(event_base* base, const Endpoint& endpoint, const std::string& body, Reading& reading) override
    {
        m_client.emplace(base,
            OperatorClientOptions { .servers = { { endpoint.address, endpoint.port } }, .token = "token" });
        m_client->send(body, "1", [&reading](const OperatorReply& reply) {
            reading.taken = reply.delivery == CommandDelivery::Answered;
        });
    }

private:
    std::optional<OperatorClient> m_client;
};

class StoreReader : public AnswerReader {
public:
    std::string expectedFields() const override { return "ETag: \"7\"\r\n"; }

protected:
    HttpStore& open(event_base* base, const Endpoint& endpoint)
    {
        HttpStoreOptions options;
        options.address = endpoint.address;
        options.port = endpoint.port;
        options.callDeadline = Milliseconds(5000);
        return m_store.emplace(base, options);
    }

private:
    std::optional<HttpStore> m_store;
};

class StoredObjectReader : public StoreReader {
public:
    void start(event_base* base, const Endpoint& endpoint, const std::string&, Reading& reading) override
    {
        open(base, endpoint).read("key", [&reading](const Result<std::optional<StoredObject>>& object) {
            reading.taken = object.has_value();
        });
    }
};

class StoreWriteReader : public StoreReader {
public:
    void start(event_base* base, const Endpoint& endpoint, const std::string& body, Reading& reading) override
    {
        open(base, endpoint).create("key", body, [&reading](const WriteResult& result) {
            reading.taken = result.outcome != WriteOutcome::Unknown;
        });
    }
};

struct NamedReader {
    const char* name;
    std::function<std::unique_ptr<AnswerReader>()> make;
    bool sendsBody = true;
};

const std::vector<NamedReader>& readers()
{
    static const std::vector<NamedReader> list {
        { "upstreams of forwarded routes", [] { return std::make_unique<PoolReader>(); } },
        { "the platform's store", [] { return std::make_unique<CallReader>(); } },
        { "chats, services, polls", [] { return std::make_unique<ClientReader>(); } },
        { "operators' commands", [] { return std::make_unique<OperatorReader>(); } },
        { "the store's objects", [] { return std::make_unique<StoredObjectReader>(); }, false },
        { "the store's writes", [] { return std::make_unique<StoreWriteReader>(); } },
    };
    return list;
}

bool takes(const NamedReader& named, const std::function<Script(const AnswerReader&)>& script)
{
    Base base = makeBase();
    std::unique_ptr<AnswerReader> reader = named.make();
    ScriptedServer server(base.get(), [&](const ScriptedRequest&) { return script(*reader); });
    Reading reading;
    reader->start(base.get(), server.endpoint(), "body", reading);
    runUntil(base.get(), [&reading] { return reading.taken.has_value(); });
    return *reading.taken;
}

} // namespace

// Guards against bytes that are no answer in the protocol and count as one: as success, as refusal, or as the
// proof that a request did not run.
TEST_CASE("MIXED: no reader takes an answer that is broken in any part")
{
    for (const NamedReader& named : readers()) {
        for (const BrokenAnswer& broken : brokenAnswers()) {
            for (const ScriptStep& end : { ScriptStep::close(), ScriptStep::reset() }) {
                CAPTURE(named.name);
                CAPTURE(broken.what);
                CHECK_FALSE(takes(named, [&](const AnswerReader& reader) {
                    return Script { ScriptStep::send(broken.bytes(reader.expectedFields())), end };
                }));
            }
        }
    }
}

// Guards against a part of an answer that counts as the whole.
TEST_CASE("MIXED: no reader takes an answer that ends early")
{
    struct CutAnswer {
        const char* fields;
        const char* body;
        bool endsWithConnection;
    };
    for (const CutAnswer& cut : {
             CutAnswer { "Content-Length: 6\r\n", "bytes", false },
             CutAnswer { "Content-Length: 6\r\n", "", false },
             CutAnswer { "Transfer-Encoding: chunked\r\n", "5\r\nbytes\r\n", false },
             CutAnswer { "Transfer-Encoding: chunked\r\n", "5\r\nbytes\r\n0\r\n", false },
             CutAnswer { "Transfer-Encoding: chunked\r\n", "5\r\nbyt", false },
             CutAnswer { "", "bytes", true },
             CutAnswer { "", "", true },
         }) {
        for (const NamedReader& named : readers()) {
            CAPTURE(named.name);
            CAPTURE(cut.fields);
            CAPTURE(cut.body);
            auto answer = [&cut](const AnswerReader& reader) {
                return ScriptStep::send(
                    "HTTP/1.1 200 OK\r\n" + reader.expectedFields() + cut.fields + "\r\n" + cut.body);
            };
            bool mayBeWhole = cut.endsWithConnection && named.make()->takesUntilClose();
            CHECK(takes(named, [&](const AnswerReader& reader) {
                return Script { answer(reader), ScriptStep::close() };
            }) == mayBeWhole);
            CHECK_FALSE(takes(named, [&](const AnswerReader& reader) {
                return Script { answer(reader), ScriptStep::wait(Milliseconds(5)), ScriptStep::reset() };
            }));
        }
    }
}

// Guards against the same while a long request is still being sent.
TEST_CASE("MIXED: no reader takes an answer without a length that is reset during its request")
{
    for (const NamedReader& named : readers()) {
        if (!named.sendsBody)
            continue;
        for (EarlyEnd end : { EarlyEnd::Reset, EarlyEnd::CloseUnread, EarlyEnd::HalfCloseThenReset }) {
            CAPTURE(named.name);
            CAPTURE(static_cast<int>(end));
            Base base = makeBase();
            std::unique_ptr<AnswerReader> reader = named.make();
            std::string answer = "HTTP/1.1 200 OK\r\n" + reader->expectedFields() + "\r\npart";
            EarlyAnswerServer server(answer, end, 0);
            Reading reading;
            reader->start(base.get(), server.endpoint(), std::string(4000000, 'b'), reading);
            runUntil(base.get(), [&reading] { return reading.taken.has_value(); });
            CHECK_FALSE(*reading.taken);
        }
    }
}

TEST_CASE("each reader takes a sound answer")
{
    for (const NamedReader& named : readers()) {
        for (const char* answer : { "Content-Length: 5\r\n\r\nbytes",
                 "Transfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n\r\n" }) {
            CAPTURE(named.name);
            CHECK(takes(named, [&](const AnswerReader& reader) {
                return Script { ScriptStep::send("HTTP/1.1 200 OK\r\n" + reader.expectedFields() + answer) };
            }));
        }
    }
}
