#pragma once

#include "connection/connection.h"
#include "connection/testing/loop.h"
#include "platform/testing/standinstore.h"
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <sys/wait.h>

namespace briarwharf {

// What one caller sends and how it reads.
struct CallerScript {
    std::string opening; // sent first
    std::string piece; // sent `pieces` times after it
    std::size_t pieces = 0;
    std::string closing; // sent last; the connection stays open
    bool reads = true; // false: the answers stay unread
};

// One connection to the daemon that sends its script without waiting for answers.
class ScriptedCaller : public TcpStreamEvents {
public:
    ScriptedCaller(event_base*, const Endpoint&, CallerScript);

    // Whether everything was sent, or the connection has ended.
    bool isDone() const { return m_ended || (m_closingSent && m_stream->pendingBytes() == 0); }
    bool hasEnded() const { return m_ended; }
    // Status of the first answer; 0: none.
    int status() const;
    std::size_t bytesSent() const { return m_sent - (m_stream ? m_stream->pendingBytes() : 0); }

    void streamConnected() override;
    void streamReceived(std::string_view) override;
    void streamEnded() override { m_ended = true; }
    void streamFailed(std::string_view) override { m_ended = true; }
    void streamDrained() override { sendMore(); }

private:
    void sendMore();

    CallerScript m_script;
    std::unique_ptr<TcpStream> m_stream;
    std::string m_received; // the beginning of the first answer
    std::size_t m_sent = 0;
    bool m_closingSent = false;
    bool m_ended = false;
};

// One daemon as a process of its own. The store, the upstream and the callers run in this process.
//
//   HostileRig rig({ .memoryMb = 112 });
//   rig.runCrowd(200, script);
//   CHECK(rig.isAlive());
//   CHECK(rig.peakMemoryBytes() < bound);
class HostileRig {
public:
    struct Options {
        int memoryMb = 112; // of the machine
        int maxConnections = 1500;
        // Runs in the daemon's process before its program begins; only with functions that are safe after
        // fork().
        void (*prepare)() = nullptr;
        Milliseconds storeDelay { 0 }; // before each answer of the store
    };
    explicit HostileRig(const Options&);
    ~HostileRig(); // ends the daemon, by its process id
    HostileRig(const HostileRig&) = delete;
    HostileRig& operator=(const HostileRig&) = delete;

    // Adds callers with this script and runs until each has sent all or its connection has ended, or nothing
    // more moves. The connections stay open.
    void runCrowd(std::size_t callers, const CallerScript&);
    // Sends one request and returns the status of its answer; 0: none came in time.
    int call(const std::string& method, const std::string& target, const std::string& body = {});
    // Status of the answer to a health check; 0: none came in time.
    int checkHealth() { return checkAdmin("/healthz"); }
    int checkAdmin(const std::string& path);
    // Sends the signal to the daemon.
    void signal(int number);
    // Runs until the daemon has ended, for 10 s at most. Returns whether it has.
    bool waitForEnd();
    // Starts requests with this body at once and returns how many were answered with 200.
    std::size_t callTogether(std::size_t requests, const std::string& body);
    void run(Milliseconds);

    // Head of a request up to the fields of its body.
    std::string requestHead(const std::string& method, const std::string& target);

    bool isAlive();
    // After its end: whether the daemon exited with status 0.
    bool hasSucceeded() const { return m_ended && WIFEXITED(m_status) && WEXITSTATUS(m_status) == 0; }
    std::size_t peakMemoryBytes() const; // highest resident size so far
    std::size_t openDescriptors() const;

private:
    void writeSettings(const Options&, const Endpoint& store);
    void startDaemon(const Options&);
    void endDaemon();
    bool waitUntilReady();
    int statusOf(ScriptedCaller&);
    std::string fullRequest(const std::string& method, const std::string& target, const std::string& body);

    Base m_base;
    platform::StandinStore m_store;
    Ingress m_upstream;
    Endpoint m_callers;
    Endpoint m_admin;
    std::string m_folder;
    pid_t m_pid = 0;
    bool m_ended = false;
    int m_status = 0; // as by waitpid()
    std::uint64_t m_requests = 0;
    std::list<ScriptedCaller> m_crowd;
};

} // namespace briarwharf
