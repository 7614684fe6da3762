#include "soak/faultproxy.h"

#include <deque>
#include <string>
#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds cleanupInterval { 200 };

} // namespace

// A client's connection and one to the server; writes the bytes of each to the other.
class FaultProxy::Pair {
public:
    Pair(FaultProxy& proxy, int socket)
        : m_proxy(proxy)
        , m_client(*this, false)
        , m_server(*this, true)
        , m_timer(proxy.m_base, [this] { deliver(); })
    {
        m_client.stream = TcpStream::adopt(proxy.m_base, socket, {}, m_client);
        auto server
            = TcpStream::connect(proxy.m_base, proxy.m_target.address, proxy.m_target.port, {}, m_server);
        if (server)
            m_server.stream = std::move(server.value());
        else
            m_dead = true;
    }

    bool isDead() const { return m_dead; }
    bool lostBytes() const { return m_lostBytes; }
    void reset()
    {
        for (End* end : { &m_client, &m_server }) {
            if (end->stream)
                end->stream->resetOnClose();
        }
        m_dead = true;
    }

private:
    struct End : TcpStreamEvents {
        End(Pair& owner, bool isServer)
            : pair(owner)
            , server(isServer)
        {
        }
        void streamReceived(std::string_view bytes) override { pair.received(server, bytes); }
        void streamEnded() override { pair.queue(server, {}, true); }
        void streamFailed(std::string_view) override { pair.reset(); }

        Pair& pair;
        bool server;
        std::unique_ptr<TcpStream> stream;
    };
    struct Chunk {
        MonotonicTime due;
        bool fromServer = false;
        bool end = false;
        std::string bytes;
    };

    void received(bool fromServer, std::string_view bytes)
    {
        Cut cut = m_proxy.m_cut;
        if (cut == Cut::Both || cut == (fromServer ? Cut::ToClient : Cut::ToServer)) {
            m_lostBytes = true;
            return;
        }
        queue(fromServer, std::string(bytes), false);
    }

    void queue(bool fromServer, std::string bytes, bool end)
    {
        MonotonicTime due = clockNow() + m_proxy.m_delay;
        m_chunks.push_back({ due, fromServer, end, std::move(bytes) });
        if (!m_timer.isPending())
            m_timer.start(m_proxy.m_delay);
    }

    void deliver()
    {
        MonotonicTime now = clockNow();
        while (!m_chunks.empty() && m_chunks.front().due <= now && !m_dead) {
            Chunk chunk = std::move(m_chunks.front());
            m_chunks.pop_front();
            End& to = chunk.fromServer ? m_client : m_server;
            if (chunk.end)
                m_dead = true;
            else if (to.stream)
                to.stream->write(chunk.bytes);
        }
        if (!m_chunks.empty())
            m_timer.start(toMilliseconds(m_chunks.front().due - now) + Milliseconds(1));
    }

    FaultProxy& m_proxy;
    End m_client;
    End m_server;
    Timer m_timer;
    std::deque<Chunk> m_chunks;
    bool m_lostBytes = false;
    bool m_dead = false;
};

FaultProxy::FaultProxy(event_base* base, Endpoint target)
    : m_base(base)
    , m_target(std::move(target))
    , m_cleanupTicker(base, cleanupInterval, [this] { cleanUp(); })
{
    listen();
}

FaultProxy::~FaultProxy() = default;

// Fails if another program got the port while it was closed; the next call tries again.
void FaultProxy::listen()
{
    auto listener
        = TcpListener::listen(m_base, "127.0.0.1", m_port, [this](int socket) { connected(socket); });
    if (!listener)
        return;
    m_listener = std::move(listener.value());
    m_port = m_listener->port();
}

void FaultProxy::connected(int socket) { m_pairs.push_back(std::make_unique<Pair>(*this, socket)); }

void FaultProxy::cleanUp()
{
    m_pairs.remove_if([](const auto& pair) { return pair->isDead(); });
    if (!m_listener && !m_refusing)
        listen();
}

void FaultProxy::cut(Cut cut)
{
    m_cut = cut;
    if (cut != Cut::None)
        return;
    for (auto& pair : m_pairs) {
        if (pair->lostBytes())
            pair->reset();
    }
}

void FaultProxy::resetAll()
{
    for (auto& pair : m_pairs)
        pair->reset();
}

void FaultProxy::refuse()
{
    m_refusing = true;
    m_listener.reset();
    resetAll();
}

void FaultProxy::accept()
{
    m_refusing = false;
    if (!m_listener)
        listen();
}

} // namespace briarwharf
