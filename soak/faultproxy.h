#pragma once

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/tcpstream.h"
#include <list>
#include <memory>

namespace briarwharf {

// A TCP proxy on loopback that misbehaves on demand. What it holds back is lost when it heals, as behind a
// partition whose ends have given up.
//
//   FaultProxy proxy(base, upstream.endpoint());
//   proxy.setDelay(Milliseconds(200));
//   proxy.cut(FaultProxy::Cut::ToServer);   // bytes towards the server vanish, and nobody is told
class FaultProxy {
public:
    enum class Cut {
        None,
        ToServer,
        ToClient,
        Both,
    };

    FaultProxy(event_base*, Endpoint target);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    Endpoint endpoint() const { return { "127.0.0.1", m_listener->port() }; }

    void setDelay(Milliseconds delay) { m_delay = delay; }
    // New connections hang as well, as towards a machine that is gone. Connections that lost bytes are reset
    // when the cut ends.
    void cut(Cut);
    void resetAll();

private:
    class Pair;

    void accept(int socket);

    event_base* m_base;
    Endpoint m_target;
    Milliseconds m_delay { 0 };
    Cut m_cut = Cut::None;
    std::list<std::unique_ptr<Pair>> m_pairs;
    std::unique_ptr<TcpListener> m_listener;
    Ticker m_sweeper;
};

} // namespace briarwharf
