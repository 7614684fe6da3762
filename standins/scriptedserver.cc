#include "standins/scriptedserver.h"

#include <algorithm>

namespace briarwharf {

namespace {

    constexpr std::size_t maxHeadBytes = 1024 * 1024;

} // namespace

class ScriptedServer::Connection : public TcpStreamEvents, public HttpMessageSink {
public:
    Connection(ScriptedServer& server, int socket, int number)
        : m_server(server)
        , m_number(number)
        , m_parser(HttpParser::Kind::Request, maxHeadBytes)
        , m_timer(server.m_base, [this] { runScript(); })
    {
        m_stream = TcpStream::adopt(server.m_base, socket, {}, *this);
    }

    bool isOpen() const { return m_stream != nullptr; }
    void send(std::string_view bytes)
    {
        if (m_stream)
            m_stream->write(bytes);
    }

    void reset()
    {
        m_timer.stop();
        if (m_stream)
            m_stream->resetOnClose();
        m_stream.reset();
    }

    void streamReceived(std::string_view bytes) override
    {
        m_input += bytes;
        readRequests();
    }
    void streamEnded() override { m_timer.start(Milliseconds(0)), m_closed = true; }
    void streamFailed(std::string_view) override { m_timer.start(Milliseconds(0)), m_closed = true; }

    void messageHead(const HttpHead& head) override { m_request.head = head; }
    void messageBody(std::string_view bytes) override { m_request.body += bytes; }
    void messageEnd() override { }

private:
    void readRequests()
    {
        while (m_script.empty() && !m_input.empty() && !m_parser.failed()) {
            std::size_t used = m_parser.feed(m_input, *this);
            m_input.erase(0, used);
            if (!m_parser.complete())
                return;
            m_request.connection = m_number;
            m_server.m_requests.push_back(std::exchange(m_request, {}));
            m_parser.next();
            m_script = m_server.m_handler(m_server.m_requests.back());
            std::reverse(m_script.begin(), m_script.end());
            runScript();
        }
    }

    void runScript()
    {
        if (m_closed)
            return m_stream.reset();
        while (!m_script.empty() && m_stream) {
            ScriptStep step = std::move(m_script.back());
            switch (step.kind) {
            case ScriptStep::Kind::Send:
                m_stream->write(step.bytes);
                break;
            case ScriptStep::Kind::Wait:
                m_script.pop_back();
                return m_timer.start(step.delay);
            case ScriptStep::Kind::Silence:
                return;
            case ScriptStep::Kind::Crash:
                return m_server.m_crashTimer.start(Milliseconds(0));
            case ScriptStep::Kind::Reset:
                m_stream->resetOnClose();
                [[fallthrough]];
            case ScriptStep::Kind::Close:
                m_closed = true;
                return m_timer.start(Milliseconds(0));
            }
            m_script.pop_back();
        }
        if (m_stream && !m_input.empty())
            readRequests();
    }

    ScriptedServer& m_server;
    int m_number;
    std::unique_ptr<TcpStream> m_stream;
    HttpParser m_parser;
    Timer m_timer;
    std::string m_input;
    ScriptedRequest m_request;
    Script m_script; // remaining steps in reverse order: the next one is at the back
    bool m_closed = false;
};

ScriptedServer::ScriptedServer(event_base* base, Handler handler)
    : m_base(base)
    , m_handler(std::move(handler))
    , m_crashTimer(base, [this] { crash(); })
{
    auto listener = TcpListener::listen(base, "127.0.0.1", 0, [this](int socket) {
        m_connections.push_back(std::make_unique<Connection>(*this, socket, ++m_accepted));
    });
    m_listener = std::move(listener.value());
    m_endpoint = { "127.0.0.1", m_listener->port() };
}

ScriptedServer::~ScriptedServer() = default;

void ScriptedServer::crash()
{
    m_crashed = true;
    m_listener.reset();
    for (auto& connection : m_connections)
        connection->reset();
}

int ScriptedServer::openConnections() const
{
    return static_cast<int>(std::count_if(m_connections.begin(), m_connections.end(),
        [](const auto& connection) { return connection->isOpen(); }));
}

void ScriptedServer::sendOnAll(std::string_view bytes)
{
    for (auto& connection : m_connections)
        connection->send(bytes);
}

} // namespace briarwharf
