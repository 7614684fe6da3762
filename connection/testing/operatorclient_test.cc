#include "connection/operatorclient.h"
#include <array>
#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <optional>

using namespace briarwharf;

namespace {

struct LoopDeleter {
    void operator()(event_base* base) const { event_base_free(base); }
};

// Loopback server that reads a request, then sends `answer` and closes. With `staysOpen` set it sends nothing
// and leaves the connection open and silent.
class OneAnswerServer {
public:
    OneAnswerServer(event_base* base, std::string answer, bool staysOpen)
        : m_base(base)
        , m_answer(std::move(answer))
        , m_staysOpen(staysOpen)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_listener = evconnlistener_new_bind(base, accepted, this, LEV_OPT_CLOSE_ON_FREE, -1,
            reinterpret_cast<sockaddr*>(&address), sizeof(address));
        socklen_t size = sizeof(address);
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
    }

    ~OneAnswerServer()
    {
        for (bufferevent* connection : m_connections)
            bufferevent_free(connection);
        evconnlistener_free(m_listener);
    }

    OneAnswerServer(const OneAnswerServer&) = delete;
    OneAnswerServer& operator=(const OneAnswerServer&) = delete;

    AdminAddress address() const { return { "127.0.0.1", m_port }; }
    int requests() const { return m_requests; }
    const std::string& received() const { return m_received; }

private:
    static void accepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self)
    {
        auto* server = static_cast<OneAnswerServer*>(self);
        auto* connection = bufferevent_socket_new(server->m_base, socket, BEV_OPT_CLOSE_ON_FREE);
        server->m_connections.push_back(connection);
        bufferevent_setcb(connection, readable, nullptr, nullptr, self);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
    }

    static void readable(bufferevent* connection, void* self)
    {
        auto* server = static_cast<OneAnswerServer*>(self);
        std::array<char, 4096> bytes {};
        std::size_t size = bufferevent_read(connection, bytes.data(), bytes.size());
        server->m_received.append(bytes.data(), size);
        ++server->m_requests;
        if (server->m_staysOpen)
            return;
        evutil_socket_t socket = bufferevent_getfd(connection);
        send(socket, server->m_answer.data(), server->m_answer.size(), MSG_NOSIGNAL);
        shutdown(socket, SHUT_RDWR);
    }

    event_base* m_base;
    std::string m_answer;
    bool m_staysOpen;
    evconnlistener* m_listener = nullptr;
    std::uint16_t m_port = 0;
    int m_requests = 0;
    std::string m_received;
    std::vector<bufferevent*> m_connections;
};

constexpr const char* answerBytes = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"ok\":true}";
constexpr const char* truncatedAnswerBytes = "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"ok\":true}";

struct Exchange {
    std::unique_ptr<event_base, LoopDeleter> base { event_base_new() };

    OperatorReply send(std::vector<AdminAddress> servers, Milliseconds timeout = Milliseconds(10000))
    {
        ignoreBrokenPipes();
        OperatorClient client(base.get(), { std::move(servers), "secret-token", timeout });
        std::optional<OperatorReply> reply;
        client.send(
            "DRAIN UPSTREAM e1", "request-1", [&](const OperatorReply& received) { reply = received; });
        while (!reply)
            event_base_loop(base.get(), EVLOOP_ONCE);
        return *reply;
    }

    // An address on which no server listens any more.
    AdminAddress closedAddress() { return OneAnswerServer(base.get(), "", false).address(); }
};

} // namespace

// Guards against a client that stops at the first unreachable instance, so that the operator would have to
// try the instances one by one while some of them are being replaced.
TEST_CASE("the next server is tried while none has received a byte")
{
    Exchange exchange;
    OneAnswerServer server(exchange.base.get(), answerBytes, false);
    OperatorReply reply = exchange.send({ exchange.closedAddress(), server.address() });
    CHECK(reply.delivery == CommandDelivery::Answered);
    CHECK(reply.status == 200);
    CHECK(reply.body == "{\"ok\":true}");
    CHECK(server.received().find("Authorization: Bearer secret-token") != std::string::npos);
    CHECK(server.received().find("X-Briarwharf-Request-Id: request-1") != std::string::npos);
}

// Guards against a command that runs twice because it was sent again after its first answer was lost.
TEST_CASE("after a byte was sent a lost answer is unknown and no other server is tried")
{
    Exchange exchange;
    OneAnswerServer second(exchange.base.get(), answerBytes, false);
    OneAnswerServer closing(exchange.base.get(), "", false);
    OneAnswerServer truncating(exchange.base.get(), truncatedAnswerBytes, false);
    OneAnswerServer silent(exchange.base.get(), "", true);
    CHECK(exchange.send({ closing.address(), second.address() }).delivery == CommandDelivery::Unknown);
    CHECK(exchange.send({ truncating.address(), second.address() }).delivery == CommandDelivery::Unknown);
    CHECK(exchange.send({ silent.address(), second.address() }, Milliseconds(200)).delivery
        == CommandDelivery::Unknown);
    CHECK(second.requests() == 0);
}

// Guards against reporting the delivery as unknown when no command can have run.
TEST_CASE("if no server listens, the delivery is reported as not sent")
{
    Exchange exchange;
    CHECK(exchange.send({ exchange.closedAddress() }).delivery == CommandDelivery::NotSent);
}
