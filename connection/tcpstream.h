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
    // Maximum time for which sent bytes may stay unacknowledged (TCP_USER_TIMEOUT); 0 for the system's
    // default.
    Milliseconds unacknowledgedTimeout { 0 };
    // TCP keep-alive: a connection without traffic is probed after this time and then at the same interval,
    // and is closed when two probes stay unanswered. 0 sends no probes. The socket options take whole
    // seconds.
    std::chrono::seconds keepAliveInterval { 0 };
};

// Events that a stream reports to its owner. Each function may destroy the stream.
class TcpStreamEvents {
public:
    virtual ~TcpStreamEvents() = default;
    virtual void streamConnected() { }
    virtual void streamReceived(std::string_view bytes) = 0;
    // The other side has closed its sending direction; this side may still send.
    virtual void streamEnded() = 0;
    // The connection was reset, timed out or could not be made. `reason` is the system's error text.
    virtual void streamFailed(std::string_view reason) = 0;
    // All buffered output has been written to the socket. Not called if no output had to be buffered.
    virtual void streamDrained() { }
};

// A TCP connection on the event loop. Writes go to the socket at once and are buffered in memory only
// while it connects or is full. Compared with a libevent bufferevent, this saves a wake-up of the loop and a
// system call for most messages.
//
//   auto stream = TcpStream::connect(base, "10.0.0.1", 8080, options, events);
//   stream->write("GET / HTTP/1.1\r\n\r\n");   // sent once connected
class TcpStream {
public:
    // Starts to connect; streamConnected() or streamFailed() follows. Errors: InvalidArgument (not an IP
    // number), Unavailable (no file descriptor or no route).
    static Result<std::unique_ptr<TcpStream>> connect(
        event_base*, const std::string& address, std::uint16_t port, const TcpOptions&, TcpStreamEvents&);

    // Takes ownership of a connected socket.
    static std::unique_ptr<TcpStream> adopt(event_base*, int socket, const TcpOptions&, TcpStreamEvents&);

    // Closes the connection without calling back. Buffered output is dropped.
    ~TcpStream();
    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    // Never calls back before it returns; a failure is reported later, from the event loop.
    void write(std::string_view bytes);
    // The same without a copy of what the socket does not accept at once.
    void write(std::shared_ptr<const std::string> bytes);

    // Output bytes that the socket has not accepted yet.
    std::size_t pendingBytes() const { return m_output.size() - m_outputSent + pendingSharedBytes(); }
    // How far the output has got once the other side has closed its direction. Asks the system, and takes a
    // pending error from it.
    enum class OutputState {
        Failed, // the connection was reset or timed out
        Pending, // bytes are not sent, or not acknowledged
        Delivered,
    };
    OutputState outputState() const;
    // Bytes that were written and not acknowledged by the other side.
    std::size_t undeliveredBytes() const;
    // Memory allocated for output, shared bytes excepted.
    std::size_t heldOutputBytes() const;
    bool isConnected() const { return !m_connecting; }
    // In streamFailed(): whether nothing listens at the address.
    bool wasRefused() const { return m_refused; }

    // Stops reading from the socket. Once the system's receive buffer is full, TCP flow control makes the
    // other side stop sending.
    void pauseReading();
    void resumeReading();

    // Makes the destructor reset the connection (TCP RST) instead of closing it in order.
    void resetOnClose();

private:
    TcpStream(event_base*, int socket, bool connecting, Milliseconds connectTimeout, TcpStreamEvents&);

    static void onReadable(int, short, void* self);
    static void onWritable(int, short what, void* self);
    static void onDeferred(int, short, void* self);

    void readInput();
    void finishConnecting(bool timedOut);
    void flushOutput();
    bool sendPending();
    void appendOutput(std::string_view);
    void freeSentOutput();
    std::size_t pendingSharedBytes() const { return m_shared ? m_shared->size() - m_sharedSent : 0; }
    void fail(int error);
    void failLater(int error);

    int m_socket;
    bool m_connecting;
    bool m_reading = false;
    bool m_ended = false;
    bool m_refused = false;
    int m_deferredError = 0;
    TcpStreamEvents& m_events;
    std::string m_output;
    std::size_t m_outputSent = 0;
    std::shared_ptr<const std::string> m_shared; // follows m_output; null: nothing
    std::size_t m_sharedSent = 0;
    std::unique_ptr<event, EventDeleter> m_readEvent;
    std::unique_ptr<event, EventDeleter> m_writeEvent;
    std::unique_ptr<event, EventDeleter> m_deferredEvent;
};

// A listening socket on the event loop.
class TcpListener {
public:
    using Accepted = std::function<void(int socket)>;

    // Port 0 lets the system choose a port. Errors: InvalidArgument (not an IP number), Unavailable (for
    // example, the address is in use).
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
