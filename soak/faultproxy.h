#pragma once

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/tcpstream.h"
#include <list>
#include <memory>

namespace briarwharf {

// A TCP proxy on loopback that injects faults: delays, resets and one-way or two-way partitions. Bytes that
// arrive during a cut are dropped, and their connections are reset when the cut ends, as if both ends had
// given the connection up during a partition.
//
//   FaultProxy proxy(base, upstream.endpoint());
//   proxy.setDelay(Milliseconds(200));
//   proxy.cut(FaultProxy::Cut::ToServer);   // drops bytes towards the server; neither end is notified
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

    Endpoint endpoint() const { return { "127.0.0.1", m_port }; }

    void setDelay(Milliseconds delay) { m_delay = delay; }
    // Drops the bytes of the given direction. New connections hang as well, as they do towards an unreachable
    // machine. Connections that lost bytes are reset when the cut ends.
    void cut(Cut);
    void resetAll();
    // Resets all connections and refuses new ones until accept(), as if the server's process had ended.
    void refuse();
    void accept();

private:
    class Pair;

    void listen();
    void connected(int socket);
    void cleanUp();

    event_base* m_base;
    Endpoint m_target;
    Milliseconds m_delay { 0 };
    Cut m_cut = Cut::None;
    std::list<std::unique_ptr<Pair>> m_pairs;
    std::uint16_t m_port = 0;
    bool m_refusing = false;
    std::unique_ptr<TcpListener> m_listener;
    Ticker m_cleanupTicker;
};

} // namespace briarwharf
