#pragma once

#include "base/time.h"
#include "connection/connection.h"
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// One action of a scripted server on a connection.
struct ScriptStep {
    enum class Kind {
        Send,
        Wait,
        Close, // orderly close, without a reset
        Reset,
        Silence, // sends nothing more and keeps the connection open
        Crash, // the whole server ends, as when its process crashes
    };
    Kind kind = Kind::Send;
    std::string bytes; // of Send
    Milliseconds delay { 0 }; // of Wait

    static ScriptStep send(std::string bytes) { return { Kind::Send, std::move(bytes), {} }; }
    static ScriptStep wait(Milliseconds delay) { return { Kind::Wait, {}, delay }; }
    static ScriptStep close() { return { Kind::Close, {}, {} }; }
    static ScriptStep reset() { return { Kind::Reset, {}, {} }; }
    static ScriptStep silence() { return { Kind::Silence, {}, {} }; }
    static ScriptStep crash() { return { Kind::Crash, {}, {} }; }
};

using Script = std::vector<ScriptStep>;

// A request that the server received.
struct ScriptedRequest {
    HttpHead head;
    std::string body;
    int connection = 0; // number of the connection in order of acceptance, starting at 1
};

// An upstream whose behaviour a test controls to the byte: it reads whole requests, and for each one runs the
// script that the handler returns.
//
//   ScriptedServer server(base, [](const ScriptedRequest& request) {
//       return Script { ScriptStep::send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") };
//   });
class ScriptedServer {
public:
    using Handler = std::function<Script(const ScriptedRequest&)>;

    ScriptedServer(event_base*, Handler);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    const Endpoint& endpoint() const { return m_endpoint; }
    const std::vector<ScriptedRequest>& requests() const { return m_requests; }
    int connections() const { return m_accepted; }
    int openConnections() const;

    // Sends bytes on every open connection, also while a script runs there.
    void sendOnAll(std::string_view bytes);
    void setHandler(Handler handler) { m_handler = std::move(handler); }
    void stopListening() { m_listener.reset(); }
    bool hasCrashed() const { return m_crashed; }

private:
    class Connection;

    void crash();

    event_base* m_base;
    Handler m_handler;
    std::unique_ptr<TcpListener> m_listener;
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::vector<ScriptedRequest> m_requests;
    int m_accepted = 0;
    Endpoint m_endpoint;
    Timer m_crashTimer; // a script that crashes the server runs on one of the connections to be closed
    bool m_crashed = false;
};

} // namespace briarwharf
