#pragma once

#include "base/error.h"
#include "base/time.h"
#include "connection/eventloop.h"
#include <cstddef>
#include <event2/event.h>
#include <memory>
#include <string>
#include <string_view>

namespace briarwharf {

struct TcpOptions {
    Milliseconds connectTimeout { 1000 };
    // Longest time for which sent bytes may stay unacknowledged (TCP_USER_TIMEOUT); 0: the system's.
    Milliseconds unacknowledgedTimeout { 0 };
    // A connection without traffic is probed after this time, and closed after two more probes of the same
    // spacing without an answer; 0: never probed. Whole seconds.
    std::chrono::seconds keepAliveProbe { 0 };
};

// What a stream tells its owner. Each function may destroy the stream.
class TcpStreamEvents {
public:
    virtual ~TcpStreamEvents() = default;
    virtual void streamConnected() { }
    virtual void streamReceived(std::string_view bytes) = 0;
    // The other side sends no more; this side may still send.
    virtual void streamEnded() = 0;
    // Reset, timed out or not connected. `reason` is a short system text.
    virtual void streamFailed(std::string_view reason) = 0;
    // All output has been taken by the system after some of it had to wait.
    virtual void streamDrained() { }
};

// A TCP connection on the event loop. Writes go to the socket at once and wait in memory only when it is
// full, which saves a wake-up and a system call for most messages over a buffered event.
//
//   auto stream = TcpStream::connect(base, "10.0.0.1", 8080, options, events);
//   stream->write("GET / HTTP/1.1\r\n\r\n");   // sent once connected
class TcpStream {
public:
    // Starts to connect; streamConnected() or streamFailed() follows. Errors: InvalidArgument (not an IP
    // number), Unavailable (no descriptor or route).
    static Result<std::unique_ptr<TcpStream>> connect(
        event_base*, const std::string& address, std::uint16_t port, const TcpOptions&, TcpStreamEvents&);

    // Takes over a connected socket.
    static std::unique_ptr<TcpStream> adopt(event_base*, int socket, const TcpOptions&, TcpStreamEvents&);

    // Closes the connection without a call back. Output that waits in memory is lost.
    ~TcpStream();
    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    // Never calls back; a failure is reported from the loop.
    void write(std::string_view bytes);

    // Bytes that wait in memory for the other side.
    std::size_t pendingBytes() const { return m_output.size() - m_outputSent; }
    bool isConnected() const { return !m_connecting; }

    // The system stops taking bytes from the other side soon after its buffer is full.
    void pauseReading();
    void resumeReading();

    // Makes the destructor reset the connection instead of closing it.
    void resetOnClose();

private:
    TcpStream(event_base*, int socket, bool connecting, Milliseconds connectTimeout, TcpStreamEvents&);

    static void onReadable(int, short, void* self);
    static void onWritable(int, short what, void* self);
    static void onDeferred(int, short, void* self);

    void readOnce();
    void connectionReady(bool timedOut);
    void writeOut();
    void fail(int error);
    void failLater(int error);

    int m_socket;
    bool m_connecting;
    bool m_reading = false;
    bool m_ended = false;
    int m_deferredError = 0;
    TcpStreamEvents& m_events;
    std::string m_output;
    std::size_t m_outputSent = 0;
    std::unique_ptr<event, EventDeleter> m_readEvent;
    std::unique_ptr<event, EventDeleter> m_writeEvent;
    std::unique_ptr<event, EventDeleter> m_deferredEvent;
};

// A listening socket on the event loop.
class TcpListener {
public:
    using Accepted = std::function<void(int socket)>;

    // Port 0 lets the system choose. Errors: InvalidArgument, Unavailable (the address is taken).
    static Result<std::unique_ptr<TcpListener>> listen(
        event_base*, const std::string& address, std::uint16_t port, Accepted);
    ~TcpListener();
    TcpListener(const TcpListener&) = delete;
    TcpListener& operator=(const TcpListener&) = delete;

    std::uint16_t port() const;

private:
    TcpListener(event_base*, int socket, Accepted);
    static void onReadable(int, short, void* self);

    int m_socket;
    Accepted m_accepted;
    std::unique_ptr<event, EventDeleter> m_event;
};

} // namespace briarwharf
