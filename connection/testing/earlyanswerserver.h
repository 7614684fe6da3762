#pragma once

#include "base/endpoint.h"
#include <arpa/inet.h>
#include <chrono>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace briarwharf {

// What a server does with the connection after it has sent its answer.
enum class EarlyEnd {
    Reset, // at once
    CloseUnread, // closes although a part of the request is unread, which resets the connection
    HalfCloseThenReset, // ends its direction, and resets the connection a moment later
    HalfCloseThenRead, // ends its direction and reads the request to its end
    ReadThenClose, // reads the request to its end and closes
};

// A server of one connection that answers as soon as it has read the beginning of a request, in a thread of
// its own, so that its close does not depend on the loop of the client.
class EarlyAnswerServer {
public:
    EarlyAnswerServer(std::string answer, EarlyEnd end, std::size_t requestBytes)
        : m_answer(std::move(answer))
        , m_end(end)
        , m_requestBytes(requestBytes)
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int smallBuffer = 4096; // so that a large request is still being sent while the answer is read
        setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &smallBuffer, sizeof smallBuffer);
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener, reinterpret_cast<sockaddr*>(&name), sizeof name);
        listen(m_listener, 8);
        socklen_t length = sizeof name;
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&name), &length);
        m_endpoint = { "127.0.0.1", ntohs(name.sin_port) };
        m_thread = std::thread([this] { serve(); });
    }
    ~EarlyAnswerServer()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }
    EarlyAnswerServer(const EarlyAnswerServer&) = delete;
    EarlyAnswerServer& operator=(const EarlyAnswerServer&) = delete;

    const Endpoint& endpoint() const { return m_endpoint; }

private:
    void serve()
    {
        int connection = accept(m_listener, nullptr, nullptr);
        if (connection < 0)
            return;
        std::size_t received = read(connection, 1);
        send(connection, m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
        if (m_end == EarlyEnd::HalfCloseThenReset || m_end == EarlyEnd::HalfCloseThenRead)
            shutdown(connection, SHUT_WR);
        if (m_end == EarlyEnd::HalfCloseThenRead || m_end == EarlyEnd::ReadThenClose)
            read(connection, m_requestBytes - received);
        else
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        if (m_end == EarlyEnd::Reset || m_end == EarlyEnd::HalfCloseThenReset) {
            linger reset { 1, 0 };
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        }
        close(connection);
    }

    // Reads at least this many bytes, or to the end. Returns how many it read.
    static std::size_t read(int connection, std::size_t atLeast)
    {
        std::size_t received = 0;
        char buffer[1024];
        while (received < atLeast) {
            ssize_t count = recv(connection, buffer, sizeof buffer, 0);
            if (count <= 0)
                break;
            received += static_cast<std::size_t>(count);
        }
        return received;
    }

    std::string m_answer;
    EarlyEnd m_end;
    std::size_t m_requestBytes;
    int m_listener = -1;
    Endpoint m_endpoint;
    std::thread m_thread;
};

} // namespace briarwharf
