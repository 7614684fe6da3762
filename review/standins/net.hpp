// Blocking sockets on loopback addresses and just enough HTTP/1.1 for the stand-ins of the cases.
#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using Clock = std::chrono::steady_clock;

inline double seconds(Clock::duration duration) { return std::chrono::duration<double>(duration).count(); }

inline void sleepFor(double time) { std::this_thread::sleep_for(std::chrono::duration<double>(time)); }

inline sockaddr_in socketAddress(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// Returns -1 if the address cannot be bound. Port 0 takes a free one.
inline int listenOn(const std::string& ip, int port)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = socketAddress(ip, port);
    if (bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0
        || listen(socket, 512) != 0) {
        close(socket);
        return -1;
    }
    return socket;
}

inline int portOf(int socket)
{
    sockaddr_in address {};
    socklen_t length = sizeof address;
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

// A port that is free on all the given addresses.
inline int freePort(const std::vector<std::string>& ips)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        int first = listenOn(ips.front(), 0);
        int port = portOf(first);
        bool free = true;
        for (std::size_t index = 1; index < ips.size() && free; ++index) {
            int other = listenOn(ips[index], port);
            free = other >= 0;
            if (free)
                close(other);
        }
        close(first);
        if (free)
            return port;
    }
    return -1;
}

inline int connectTo(const std::string& ip, int port)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = socketAddress(ip, port);
    if (connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        close(socket);
        return -1;
    }
    int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

inline void resetSocket(int socket)
{
    linger reset { 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

inline bool sendAll(int socket, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

struct LessNoCase {
    bool operator()(const std::string& left, const std::string& right) const
    {
        return strcasecmp(left.c_str(), right.c_str()) < 0;
    }
};
using Fields = std::map<std::string, std::string, LessNoCase>;

// The start line, the fields and the body of one message.
struct Message {
    std::string start;
    Fields fields;
    std::string body;

    std::string field(const std::string& name) const
    {
        auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        std::size_t from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
};

// Reads messages from one connection. Every read ends at the deadline.
class Reader {
public:
    explicit Reader(int socket)
        : m_socket(socket)
    {
    }

    bool readHead(Message& message, Clock::time_point deadline)
    {
        std::size_t end;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline))
                return false;
        }
        std::string head = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 4);
        message = Message {};
        std::size_t line = head.find("\r\n");
        message.start = head.substr(0, line);
        while (line != std::string::npos) {
            std::size_t begin = line + 2;
            line = head.find("\r\n", begin);
            std::string text = head.substr(begin, line == std::string::npos ? line : line - begin);
            std::size_t colon = text.find(':');
            if (colon == std::string::npos)
                continue;
            std::size_t value = text.find_first_not_of(' ', colon + 1);
            message.fields[text.substr(0, colon)] = value == std::string::npos ? "" : text.substr(value);
        }
        return true;
    }

    // Reads the body by its length or chunks. Returns false if it ends early.
    bool readBody(Message& message, Clock::time_point deadline)
    {
        if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0)
            return readChunks(message.body, deadline);
        std::size_t length = std::strtoul(message.field("Content-Length").c_str(), nullptr, 10);
        while (m_buffer.size() < length) {
            if (!fill(deadline))
                return false;
        }
        message.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return true;
    }

    bool hasBytes() const { return !m_buffer.empty(); }
    // Whether the other side has closed or reset the connection.
    bool isClosed() const { return m_closed; }

private:
    bool readChunks(std::string& body, Clock::time_point deadline)
    {
        for (;;) {
            std::size_t end;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(deadline))
                    return false;
            }
            std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!fill(deadline))
                    return false;
            }
            body += m_buffer.substr(end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    bool fill(Clock::time_point deadline)
    {
        double left = seconds(deadline - Clock::now());
        if (left <= 0)
            return false;
        pollfd wait { m_socket, POLLIN, 0 };
        if (poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0)
            return false;
        char bytes[16384];
        ssize_t count = recv(m_socket, bytes, sizeof bytes, 0);
        if (count <= 0) {
            m_closed = true;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int m_socket;
    std::string m_buffer;
    bool m_closed = false;
};

inline std::string chunk(const std::string& bytes)
{
    char size[20];
    snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}
