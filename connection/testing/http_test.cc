#include "connection/eventloop.h"
#include "connection/eventstream.h"
#include "connection/httpserver.h"
#include "connection/testing/loop.h"
#include "connection/upstreamclient.h"
#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

using namespace briarwharf;

namespace {

struct Loop {
    Base base = makeBase();

    template <typename Done> void runUntil(Done done) { briarwharf::runUntil(base.get(), done); }
};

// Accepts connections, answers the first read on each with fixed bytes, and closes them if `closes` is set.
class RawServer {
public:
    RawServer(event_base* base, std::string answer, bool closes)
        : m_base(base)
        , m_answer(std::move(answer))
        , m_closes(closes)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_listener = evconnlistener_new_bind(base, &RawServer::accepted, this,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<sockaddr*>(&address),
            sizeof(address));
        socklen_t size = sizeof(address);
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
    }

    ~RawServer()
    {
        for (auto* connection : m_open)
            bufferevent_free(connection);
        evconnlistener_free(m_listener);
    }

    std::uint16_t port = 0;
    int connections = 0;

private:
    static void accepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* argument)
    {
        auto* self = static_cast<RawServer*>(argument);
        ++self->connections;
        self->m_answered = false;
        auto* connection = bufferevent_socket_new(self->m_base, socket, BEV_OPT_CLOSE_ON_FREE);
        self->m_open.push_back(connection);
        bufferevent_setcb(connection, &RawServer::read, &RawServer::written, nullptr, self);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
    }

    static void read(bufferevent* connection, void* argument)
    {
        auto* self = static_cast<RawServer*>(argument);
        evbuffer_drain(
            bufferevent_get_input(connection), evbuffer_get_length(bufferevent_get_input(connection)));
        if (self->m_answered)
            return;
        self->m_answered = true;
        bufferevent_write(connection, self->m_answer.data(), self->m_answer.size());
        if (self->m_answer.empty())
            written(connection, self);
    }

    static void written(bufferevent* connection, void* argument)
    {
        auto* self = static_cast<RawServer*>(argument);
        if (self->m_answered && self->m_closes)
            shutdown(bufferevent_getfd(connection), SHUT_WR);
    }

    event_base* m_base;
    std::string m_answer;
    bool m_closes;
    bool m_answered = false;
    evconnlistener* m_listener;
    std::vector<bufferevent*> m_open;
};

struct Received {
    int status = 0;
    std::string body;
    std::optional<ExchangeResult> result;
};

Received call(Loop& loop, UpstreamClient& client, const UpstreamRequest& request)
{
    Received received;
    client.start(request,
        { [&](const ResponseHead& head) { received.status = head.status; },
            [&](std::string_view data) { received.body += data; },
            [&](const ExchangeResult& result) { received.result = result; } });
    loop.runUntil([&] { return received.result.has_value(); });
    return received;
}

ExchangeEnd endFor(const std::string& answer, bool closes)
{
    Loop loop;
    RawServer server(loop.base.get(), answer, closes);
    UpstreamClient client(loop.base.get(), "127.0.0.1", server.port);
    UpstreamRequest request;
    request.target = "/";
    request.silenceTimeout = Milliseconds(100);
    return call(loop, client, request).result->end;
}

} // namespace

TEST_CASE("a request passes through server and client, and the connection is reused")
{
    Loop loop;
    HttpServer server(loop.base.get(), {}, [](const std::shared_ptr<HttpExchange>& exchange) {
        exchange->reply(201, { { "X-Echo", "yes" } },
            exchange->request().method + " " + exchange->request().path + "?" + exchange->request().query
                + " " + exchange->request().body);
    });
    UpstreamClient client(loop.base.get(), "127.0.0.1", server.listen("127.0.0.1", 0).value());
    UpstreamRequest request;
    request.target = "/a/b?c=d";
    request.body = "hello";
    for (int i = 0; i < 3; ++i) {
        Received received = call(loop, client, request);
        CHECK(received.result->end == ExchangeEnd::Complete);
        CHECK(received.result->requestWritten);
        CHECK(received.status == 201);
        CHECK(received.body == "POST /a/b?c=d hello");
    }
    CHECK(client.idleConnections() == 1);
    CHECK(server.connections() == 1);
}

// Guards against a truncated answer that counts as complete.
TEST_CASE("an exchange ends as complete only if the answer is known to be complete")
{
    CHECK(endFor("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true) == ExchangeEnd::Complete);
    CHECK(endFor("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true)
        == ExchangeEnd::Complete);
    CHECK(endFor("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true) == ExchangeEnd::Truncated);
    CHECK(endFor("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true)
        == ExchangeEnd::Truncated);
    CHECK(endFor("HTTP/1.1 200 OK\r\n\r\nok", true) == ExchangeEnd::Truncated);
    CHECK(endFor("HTTP/1.1 200 OK\r\nConte", true) == ExchangeEnd::Truncated);
    CHECK(endFor("", true) == ExchangeEnd::Truncated);
    CHECK(endFor("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false) == ExchangeEnd::Silent);
    CHECK(endFor("nonsense\r\n\r\n", true) == ExchangeEnd::Invalid);
}

// Guards against reporting that a request did not run although a byte of it was written, and that it may have
// run although none was.
TEST_CASE("a refused connection writes nothing, a silent upstream may have run the request")
{
    Loop loop;
    std::uint16_t closedPort = 0;
    {
        RawServer closedServer(loop.base.get(), "", false);
        closedPort = closedServer.port;
    }
    UpstreamRequest request;
    request.target = "/";
    request.silenceTimeout = Milliseconds(100);
    UpstreamClient refused(loop.base.get(), "127.0.0.1", closedPort);
    Received notSent = call(loop, refused, request);
    CHECK(notSent.result->end == ExchangeEnd::ConnectFailed);
    CHECK_FALSE(notSent.result->requestWritten);

    RawServer silentServer(loop.base.get(), "", false);
    UpstreamClient silent(loop.base.get(), "127.0.0.1", silentServer.port);
    Received written = call(loop, silent, request);
    CHECK(written.result->end == ExchangeEnd::Silent);
    CHECK(written.result->requestWritten);
    CHECK(silent.idleConnections() == 0);
}

// Guards against a late answer that reaches the next request on the same connection.
TEST_CASE("the connection of a cancelled exchange is not reused")
{
    Loop loop;
    RawServer server(loop.base.get(), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nla", false);
    UpstreamClient client(loop.base.get(), "127.0.0.1", server.port);
    UpstreamRequest request;
    request.target = "/";
    request.silenceTimeout = Milliseconds(200);
    bool gotData = false;
    bool ended = false;
    std::shared_ptr<UpstreamExchange> exchange;
    exchange = client.start(request,
        { nullptr,
            [&](std::string_view) {
                gotData = true;
                exchange->cancel();
            },
            [&](const ExchangeResult&) { ended = true; } });
    loop.runUntil([&] { return gotData; });
    call(loop, client, request);
    CHECK_FALSE(ended);
    CHECK(server.connections == 2);
}

// Guards against work for a caller that has disconnected, and against use of a freed request.
TEST_CASE("the server reports a caller that leaves before its answer")
{
    Loop loop;
    std::shared_ptr<HttpExchange> held;
    bool closed = false;
    HttpServer server(loop.base.get(), {}, [&](std::shared_ptr<HttpExchange> exchange) {
        exchange->onClosed([&] { closed = true; });
        held = std::move(exchange);
    });
    UpstreamClient client(loop.base.get(), "127.0.0.1", server.listen("127.0.0.1", 0).value());
    UpstreamRequest request;
    request.target = "/";
    auto exchange = client.start(request, {});
    loop.runUntil([&] { return held != nullptr; });
    exchange->cancel();
    loop.runUntil([&] { return closed; });
    CHECK_FALSE(held->isOpen());
    held->reply(200, {}, "too late");
    CHECK(server.connections() == 0);
}

// Guards against unlimited memory for one request, and against closing the connection without an answer.
TEST_CASE("a body over the limit is dropped and marked")
{
    Loop loop;
    HttpServerOptions options;
    options.maxBodyBytes = 1000;
    HttpServer server(loop.base.get(), options, [](const std::shared_ptr<HttpExchange>& exchange) {
        CHECK(exchange->request().body.size() <= 1000);
        exchange->reply(exchange->request().bodyTooLarge ? 413 : 200, {}, "");
    });
    UpstreamClient client(loop.base.get(), "127.0.0.1", server.listen("127.0.0.1", 0).value());
    UpstreamRequest request;
    request.target = "/";
    request.body.assign(3000, 'x');
    CHECK(call(loop, client, request).status == 413);
    request.body.assign(1000, 'x');
    CHECK(call(loop, client, request).status == 200);
}

// Guards against an aborted stream that looks complete to the caller.
TEST_CASE("an aborted stream is truncated for the caller")
{
    Loop loop;
    HttpServer server(loop.base.get(), {}, [](const std::shared_ptr<HttpExchange>& exchange) {
        exchange->startStream(200, { { "Content-Type", "text/event-stream" } });
        exchange->write("data: one\n\n");
        if (exchange->request().path == "/whole")
            exchange->end();
        else
            exchange->abort();
    });
    UpstreamClient client(loop.base.get(), "127.0.0.1", server.listen("127.0.0.1", 0).value());
    UpstreamRequest request;
    request.target = "/whole";
    CHECK(call(loop, client, request).result->end == ExchangeEnd::Complete);
    request.target = "/cut";
    CHECK(call(loop, client, request).result->end != ExchangeEnd::Complete);
}

// Guards against events that depend on how the bytes were split in transit.
TEST_CASE("events are the same wherever the stream is split")
{
    std::string stream = ": comment\r\ndata: a\r\n\r\ndata:b\ndata: c\n\nevent: x\ndata: d\n\n";
    std::vector<std::string> expected { "a", "b\nc", "d" };
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        std::vector<std::string> events;
        EventStreamParser parser(100, [&](std::string_view data) { events.emplace_back(data); });
        CHECK(parser.feed(stream.substr(0, cut)));
        CHECK(parser.feed(stream.substr(cut)));
        CHECK(events == expected);
        CHECK(parser.isAtBoundary());
    }
    EventStreamParser bounded(10, [](std::string_view) {});
    CHECK_FALSE(bounded.feed("data: 123456789"));
}
