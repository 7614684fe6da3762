#pragma once

#include "base/time.h"
#include "connection/connection.h"
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// One thing that a scripted server does with a connection.
struct ScriptStep {
    enum class Kind {
        Send,
        Wait,
        Close, // in order
        Reset,
        Silence, // nothing more, and the connection stays open
    };
    Kind kind = Kind::Send;
    std::string bytes; // Send
    Milliseconds delay { 0 }; // Wait

    static ScriptStep send(std::string bytes) { return { Kind::Send, std::move(bytes), {} }; }
    static ScriptStep wait(Milliseconds delay) { return { Kind::Wait, {}, delay }; }
    static ScriptStep close() { return { Kind::Close, {}, {} }; }
    static ScriptStep reset() { return { Kind::Reset, {}, {} }; }
    static ScriptStep silence() { return { Kind::Silence, {}, {} }; }
};

using Script = std::vector<ScriptStep>;

// A request as the server read it.
struct ScriptedRequest {
    HttpHead head;
    std::string body;
    int connection = 0; // number of the connection, from 1
};

// An upstream that does exactly what a test tells it, down to the bytes: it reads whole requests and runs the
// script that the handler returns for each.
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

    Endpoint endpoint() const { return { "127.0.0.1", m_listener->port() }; }
    const std::vector<ScriptedRequest>& requests() const { return m_requests; }
    int connections() const { return m_accepted; }
    int openConnections() const;

    // Sends bytes on every open connection, whatever they carry.
    void sendOnAll(std::string_view bytes);
    void setHandler(Handler handler) { m_handler = std::move(handler); }
    void stopListening() { m_listener.reset(); }

private:
    class Connection;

    event_base* m_base;
    Handler m_handler;
    std::unique_ptr<TcpListener> m_listener;
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::vector<ScriptedRequest> m_requests;
    int m_accepted = 0;
};

} // namespace briarwharf
