// Upstreams that say in their answers that they leave or take no request for some time.

#include "base/base.h"
#include "process/testing/forwardfixture.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace briarwharf;

namespace {

const std::string leavingLine = "X-Briarwharf-Leaving: 1\r\n";
const std::string notRunLine = "X-Briarwharf-Not-Run: 1\r\n";
const std::string body = "id: 1\ndata: part 1\n\n"; // of calls and of streams

ScriptedServer::Handler answering(int status, const std::string& extraLines)
{
    return [=](const ScriptedRequest& request) {
        return Script { ScriptStep::send(upstreamAnswer(request, status, body, extraLines)) };
    };
}

void callUntilReached(ForwardFixture& fixture, ForwardDaemon& daemon, const ScriptedServer& server)
{
    constexpr int maxCalls = 200;
    std::size_t before = server.requests().size();
    for (int call = 0; server.requests().size() == before; ++call) {
        REQUIRE(call < maxCalls);
        fixture.call(daemon, "/read/x");
    }
}

// Two requests were sent and what the answers stated about the upstream counts for nothing. An answer of 421
// only shows that the entry is stale, so the second request is not sent there.
void checkUnmarked(ForwardFixture& fixture, ForwardDaemon& daemon, const ScriptedServer& upstream, int status)
{
    bool isStale = status == 421;
    CHECK(upstream.requests().size() == (isStale ? 1 : 2));
    auto shown = parseJson(fixture.admin(daemon, "/show/upstreams")->body, "the list of upstreams");
    REQUIRE(shown);
    const Json& row = shown.value()["rows"][0];
    CHECK(row["leaving"] == false);
    CHECK(row["pause_left_ms"] == 0);
    CHECK(row["stale"] == isStale);
}

// A listening socket that takes one connection; all further ones stay incomplete.
class FullListener {
public:
    FullListener()
        : m_listener(newSocket())
    {
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(m_listener, address(), sizeof m_address) == 0);
        REQUIRE(::listen(m_listener, 0) == 0);
        socklen_t size = sizeof m_address;
        REQUIRE(::getsockname(m_listener, address(), &size) == 0);
    }
    ~FullListener()
    {
        for (int socket : m_sockets)
            ::close(socket);
    }
    FullListener(const FullListener&) = delete;
    FullListener& operator=(const FullListener&) = delete;

    Endpoint endpoint() const { return { "127.0.0.1", ntohs(m_address.sin_port) }; }

    bool hasReceivedRequest()
    {
        if (m_accepted < 0)
            m_accepted = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
        if (m_accepted < 0)
            return false;
        m_sockets.insert(m_accepted);
        pollfd readable { m_accepted, POLLIN, 0 };
        return ::poll(&readable, 1, 0) == 1;
    }

    // Connects until a connection stays incomplete because the queue of the socket is full.
    void fillQueue()
    {
        constexpr int waitMs = 50;
        pollfd connected { -1, POLLOUT, 0 };
        do {
            connected.fd = newSocket();
            (void)::connect(connected.fd, address(), sizeof m_address);
        } while (::poll(&connected, 1, waitMs) == 1);
    }

    void answer(const std::string& bytes)
    {
        REQUIRE(::send(m_accepted, bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
    }

private:
    int newSocket()
    {
        int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        REQUIRE(socket >= 0);
        m_sockets.insert(socket);
        return socket;
    }
    sockaddr* address() { return reinterpret_cast<sockaddr*>(&m_address); }

    std::set<int> m_sockets; // all that the destructor closes
    int m_listener;
    int m_accepted = -1;
    sockaddr_in m_address {};
};

} // namespace

// Guards against new requests to an upstream that leaves, while the source still lists it as ready.
TEST_CASE("an upstream that says in an answer that it leaves gets no new request, its next lifetime does")
{
    ForwardFixture fixture;
    ScriptedServer& leaving = fixture.addUpstream("desk-1", answering(200, leavingLine));
    // Requests that this one refuses are tried again elsewhere.
    ScriptedServer& other = fixture.addUpstream("desk-2", answering(503, notRunLine));
    ForwardDaemon& daemon = fixture.startDaemon();
    fixture.waitReady(daemon);
    callUntilReached(fixture, daemon, leaving);

    std::size_t before = leaving.requests().size();
    auto checkUnused = [&](int status) {
        for (const char* target : { "/read/x", "/book/x", "/chat/x" }) {
            for (int call = 0; call < 5; ++call)
                CHECK(fixture.call(daemon, target)->head.status == status);
        }
        CHECK(leaving.requests().size() == before);
    };
    checkUnused(503);
    fixture.runUntil([&] { return leaving.openConnections() == 0; });
    fixture.directory.publishUpstreams(); // the same lifetime, still ready
    other.setHandler(answering(200, ""));
    checkUnused(200);
    CHECK(
        fixture.admin(daemon, "/metrics")->body.find("briarwharf_leaving_upstreams 1") != std::string::npos);
    CHECK(fixture.admin(daemon, "/show/upstreams")->body.find("\"leaving\":true") != std::string::npos);

    leaving.setHandler(answering(200, ""));
    other.setHandler(answering(503, notRunLine));
    fixture.directory.upstreams.front().started = 2;
    fixture.directory.upstreams.front().revision = ++fixture.directory.revision;
    fixture.directory.publishUpstreams();
    callUntilReached(fixture, daemon, leaving);
}

// Guards against answers of some kind that are not looked at.
TEST_CASE("refusals, failures, at-most-once calls and the heads of streams can say that an upstream leaves")
{
    struct Case {
        const char* target;
        int status;
        std::string extraLines;
    };
    for (const Case& row : { Case { "/read/x", 503, notRunLine }, Case { "/read/x", 500, "" },
             Case { "/book/x", 200, "" }, Case { "/chat/x", 200, "Content-Type: text/event-stream\r\n" } }) {
        CAPTURE(row.target);
        CAPTURE(row.status);
        ForwardFixture fixture;
        ScriptedServer& leaving
            = fixture.addUpstream("desk-1", answering(row.status, row.extraLines + leavingLine));
        ForwardDaemon& daemon = fixture.startDaemon();
        fixture.waitReady(daemon);
        fixture.call(daemon, row.target);
        REQUIRE(leaving.requests().size() == 1);
        auto refused = fixture.call(daemon, "/read/x");
        CHECK(refused->head.status == 503);
        CHECK(refused->head.fields.has("Retry-After"));
        CHECK(leaving.requests().size() == 1);
    }
}

// Guards against cutting off requests in progress at an upstream that leaves.
TEST_CASE("a stream goes on at an upstream that says in its head that it leaves, and the caller is not told")
{
    ForwardFixture fixture;
    ScriptedServer& leaving = fixture.addUpstream("desk-1", [](const ScriptedRequest& request) {
        std::string head = streamHead(request);
        head.insert(head.size() - 2, leavingLine);
        return Script { ScriptStep::send(head + streamEvents(1, 1)), ScriptStep::wait(Milliseconds(200)),
            ScriptStep::send(streamEvents(2, 3) + streamEnd()) };
    });
    ForwardDaemon& daemon = fixture.startDaemon();
    fixture.waitReady(daemon);
    auto stream = fixture.send(daemon, "/chat/x");
    fixture.runUntil([&] { return !stream->body.empty(); });
    CHECK(fixture.call(daemon, "/chat/x")->head.status == 503);
    fixture.runUntil([&] { return stream->done(); });
    CHECK(stream->complete);
    CHECK(stream->body.find("part 3") != std::string::npos);
    CHECK_FALSE(stream->head.fields.has("X-Briarwharf-Leaving"));
    CHECK(leaving.requests().size() == 1);
}

// Guards against taking an upstream out of use for what another one said.
TEST_CASE("a mark of leaving counts only with the value 1 and from the upstream that was asked")
{
    struct Case {
        int status;
        std::string extraLines;
    };
    for (const Case& row : { Case { 421, leavingLine }, Case { 200, "X-Briarwharf-Leaving: 0\r\n" },
             Case { 200, "X-Briarwharf-Leaving: yes\r\n" }, Case { 200, "X-Briarwharf-Leaving: \r\n" } }) {
        CAPTURE(row.extraLines);
        ForwardFixture fixture;
        ScriptedServer& upstream = fixture.addUpstream("desk-1", answering(row.status, row.extraLines));
        ForwardDaemon& daemon = fixture.startDaemon();
        fixture.waitReady(daemon);
        fixture.call(daemon, "/read/x");
        fixture.call(daemon, "/read/x");
        checkUnmarked(fixture, daemon, upstream, row.status);
    }
}

// Guards against a mark on the process that has taken the place of the one that left.
TEST_CASE("an answer of an earlier lifetime says nothing about the lifetime that is listed now")
{
    ForwardFixture fixture;
    ScriptedServer& upstream = fixture.addUpstream("desk-1", [](const ScriptedRequest& request) {
        return Script { ScriptStep::wait(Milliseconds(300)),
            ScriptStep::send(upstreamAnswer(request, 200, body, leavingLine)) };
    });
    ForwardDaemon& daemon = fixture.startDaemon();
    fixture.waitReady(daemon);
    auto early = fixture.send(daemon, "/read/x");
    fixture.runUntil([&] { return !upstream.requests().empty(); });
    fixture.directory.upstreams.front().started = 2;
    fixture.directory.upstreams.front().revision = ++fixture.directory.revision;
    fixture.directory.publishUpstreams();
    fixture.runUntil([&] { return early->done(); });
    upstream.setHandler(answering(200, ""));
    CHECK(fixture.call(daemon, "/read/x")->head.status == 200);
}

// Guards against requests to an upstream that has asked this instance for a pause.
TEST_CASE("an upstream that refuses a request for some time gets no request until the time has passed")
{
    constexpr Milliseconds pause { 2000 };
    ForwardFixture fixture;
    std::vector<MonotonicTime> arrivals;
    ScriptedServer& pausing = fixture.addUpstream("desk-1", [&](const ScriptedRequest& request) {
        arrivals.push_back(clockNow());
        if (arrivals.size() > 1)
            return Script { ScriptStep::send(upstreamAnswer(request, 200, body)) };
        return Script { ScriptStep::send(
            upstreamAnswer(request, 503, body, notRunLine + "Retry-After: 2\r\n")) };
    });
    // Its requests are tried again elsewhere.
    fixture.addUpstream("desk-2", answering(503, notRunLine));
    ForwardDaemon& daemon = fixture.startDaemon();
    fixture.waitReady(daemon);
    callUntilReached(fixture, daemon, pausing);
    CHECK(fixture.admin(daemon, "/metrics")->body.find("briarwharf_upstream_pauses_total 1")
        != std::string::npos);
    // Each call is a new connection. Without a bound on their rate, a fast machine runs out of ports.
    constexpr Milliseconds minInterval { 1 };
    while (arrivals.size() < 2) {
        MonotonicTime next = clockNow() + minInterval;
        for (const char* target : { "/read/x", "/book/x", "/chat/x" })
            fixture.call(daemon, target);
        std::this_thread::sleep_until(next);
    }
    CHECK(arrivals[1] - arrivals[0] >= pause);
}

// Guards against callers that are held, or sent away for a time that has nothing to do with the pause.
TEST_CASE("callers get the time that is left of the shortest pause if all upstreams of the pool pause")
{
    ForwardFixture fixture;
    ScriptedServer& longer
        = fixture.addUpstream("desk-1", answering(503, notRunLine + "Retry-After: 86400\r\n"));
    ForwardDaemon& daemon = fixture.startDaemon();
    fixture.waitReady(daemon);
    auto retryAfter = [&] {
        auto answer = fixture.call(daemon, "/read/x");
        CHECK(answer->head.status == 503);
        return parseRetryAfter(answer->head.fields.find("Retry-After")).value_or(Milliseconds(0));
    };
    constexpr Milliseconds longest { 5000 };
    CHECK(retryAfter() == longest);
    CHECK(retryAfter() == longest);
    CHECK(longer.requests().size() == 1);

    ScriptedServer& shorter
        = fixture.addUpstream("desk-2", answering(503, notRunLine + "Retry-After: 3.5\r\n"));
    fixture.directory.publishUpstreams();
    callUntilReached(fixture, daemon, shorter);
    CHECK(retryAfter() <= Milliseconds(3500));
    CHECK(longer.requests().size() == 1);
}

// Guards against pauses that no upstream asked for.
TEST_CASE("only a Retry-After in seconds with status 503 of the upstream that was asked is a pause")
{
    struct Case {
        int status;
        std::string extraLines;
    };
    for (const Case& row : { Case { 421, "Retry-After: 60\r\n" }, Case { 500, "Retry-After: 60\r\n" },
             Case { 200, "Retry-After: 60\r\n" }, Case { 503, "Retry-After: -60\r\n" },
             Case { 503, "Retry-After: Fri, 31 Dec 2999 23:59:59 GMT\r\n" },
             Case { 503, "Retry-After: inf\r\n" }, Case { 503, "" } }) {
        CAPTURE(row.status);
        CAPTURE(row.extraLines);
        ForwardFixture fixture;
        ScriptedServer& upstream = fixture.addUpstream("desk-1", answering(row.status, row.extraLines));
        ForwardDaemon& daemon = fixture.startDaemon();
        fixture.waitReady(daemon);
        fixture.call(daemon, "/read/x");
        fixture.call(daemon, "/read/x");
        checkUnmarked(fixture, daemon, upstream, row.status);
    }
}

// Guards against requests that reach an upstream after its statement because their connection was still being
// opened: each of them would wait for the connection's timeout and count as a failure of the upstream.
TEST_CASE("requests whose connection is being opened are placed anew when the upstream says that it leaves")
{
    constexpr int waitingRequests = 3; // that many failures make an upstream unusable
    ForwardFixture fixture;
    FullListener listener;
    fixture.addEntry("desk-1", listener.endpoint());
    ForwardDaemon& daemon = fixture.startDaemon();
    fixture.waitReady(daemon);
    auto first = fixture.send(daemon, "/once/x");
    fixture.runUntil([&] { return listener.hasReceivedRequest(); });
    listener.fillQueue();
    std::vector<std::shared_ptr<CallerAnswer>> waiting(waitingRequests);
    for (auto& answer : waiting)
        answer = fixture.send(daemon, "/once/x");
    fixture.runUntil([&] { return daemon.forwarder().counters().requests == 1 + waitingRequests; });
    listener.answer("HTTP/1.1 200 OK\r\nX-Briarwharf-Request-Id: request-1\r\n"
                    "X-Briarwharf-Signature: signed\r\nContent-Length: 0\r\n"
        + leavingLine + "\r\n");
    for (const auto& answer : waiting) {
        fixture.runUntil([&] { return answer->done(); });
        CHECK(answer->head.status == 503);
    }
    fixture.runUntil([&] { return first->done(); });
    CHECK(first->head.status == 200);
    CHECK(fixture.admin(daemon, "/show/upstreams")->body.find("\"usable\":true") != std::string::npos);
}

// Guards against requests that reach an evacuated domain because their connection was still being opened.
TEST_CASE("requests of which nothing was written are placed again when their domain is evacuated")
{
    ForwardFixture fixture;
    FullListener listener;
    fixture.addEntry("desk-1", listener.endpoint());
    ForwardDaemon& daemon = fixture.startDaemon();
    fixture.waitReady(daemon);
    auto begun = fixture.send(daemon, "/once/x");
    fixture.runUntil([&] { return listener.hasReceivedRequest(); });
    listener.fillQueue();
    std::vector<std::shared_ptr<CallerAnswer>> waiting(3);
    for (auto& answer : waiting)
        answer = fixture.send(daemon, "/once/x");
    fixture.runUntil([&] { return daemon.forwarder().counters().requests == 4; });
    ScriptedServer& other = fixture.addUpstream("desk-2", answering(200, ""));
    fixture.directory.upstreams.back().failureDomain = "z1";
    fixture.directory.publishUpstreams();
    fixture.directory.publishEvacuations({ "a" }); // that of desk-1
    for (const auto& answer : waiting) {
        fixture.runUntil([&] { return answer->done(); });
        CHECK(answer->head.status == 200);
    }
    CHECK(other.requests().size() == 3);
    CHECK_FALSE(begun->done());
    // Their connections did not have to time out first.
    CHECK(fixture.admin(daemon, "/show/upstreams")->body.find("\"usable\":false") == std::string::npos);
    listener.answer("HTTP/1.1 200 OK\r\nX-Briarwharf-Request-Id: request-1\r\n"
                    "X-Briarwharf-Signature: signed\r\nContent-Length: 0\r\n\r\n");
    fixture.runUntil([&] { return begun->done(); });
    CHECK(begun->head.status == 200);
}

// Guards against a hedge that reaches an evacuated domain because its connection was still being opened, and
// against evacuations that end the other attempt, which was written.
TEST_CASE("of two attempts, an evacuation ends the one of which nothing was written")
{
    constexpr std::size_t learnt = 30; // answers from which the daemon learns when to hedge
    ForwardFixture fixture;
    fixture.hedgeRatio = 1;
    Milliseconds answerTime { 50 };
    ScriptedServer& first = fixture.addUpstream("desk-1", [&](const ScriptedRequest& request) {
        return Script { ScriptStep::wait(answerTime), ScriptStep::send(upstreamAnswer(request, 200, body)) };
    });
    ForwardDaemon& daemon = fixture.startDaemon();
    fixture.waitReady(daemon);
    for (std::size_t call = 0; call < learnt; ++call)
        REQUIRE(fixture.call(daemon, "/read/x")->head.status == 200);
    answerTime = Milliseconds(1500);
    auto answer = fixture.send(daemon, "/read/x");
    fixture.runUntil([&] { return first.requests().size() == learnt + 1; });
    FullListener listener;
    listener.fillQueue();
    fixture.addEntry("desk-2", listener.endpoint());
    fixture.directory.upstreams.back().failureDomain = "z1";
    fixture.directory.publishUpstreams();
    fixture.runUntil([&] { return daemon.forwarder().counters().hedges == 1; });
    auto inProgress = [&] {
        auto shown = parseJson(fixture.admin(daemon, "/show/upstreams")->body, "the list of upstreams");
        REQUIRE(shown);
        const Json& rows = shown.value()["rows"];
        return std::vector<int> { rows[0]["requests"], rows[1]["requests"] };
    };
    CHECK(inProgress() == std::vector<int> { 1, 1 });
    fixture.directory.publishEvacuations({ "a" }); // that of desk-1, where the attempt was written
    CHECK(inProgress() == std::vector<int> { 1, 1 });
    fixture.directory.publishEvacuations({ "a", "z1" });
    CHECK(inProgress() == std::vector<int> { 1, 0 });
    CHECK_FALSE(answer->done());
    fixture.runUntil([&] { return answer->done(); });
    CHECK(answer->head.status == 200);
    CHECK(daemon.forwarder().counters().hedgesWon == 0);
    CHECK(fixture.admin(daemon, "/show/upstreams")->body.find("\"usable\":false") == std::string::npos);
}
