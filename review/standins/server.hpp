// A stand-in for a model server: registers itself in the store, answers requests with event streams, and can
// crash as a whole and start again under a new Id.
#pragma once

#include "net.hpp"
#include "store.hpp"
#include <functional>
#include <memory>
#include <set>

struct ServerOptions {
    std::string service;
    std::string zone;
    int slots = 64;
    int events = 6;
    double firstEventAfter = 0.1; // seconds
    double eventInterval = 0.08;
};

// What a server did, for the record of the case.
struct ServerObserver {
    virtual ~ServerObserver() = default;
    virtual void arrived(const std::string& id, const Message& request) = 0;
    virtual void crashed(const std::string& id, const std::string& why) = 0;
};

class ModelServer {
public:
    ModelServer(Store& store, ServerObserver& observer, ServerOptions options, std::string name)
        : m_store(store)
        , m_observer(observer)
        , m_options(std::move(options))
        , m_name(std::move(name))
    {
        start();
        std::thread([this] { beat(); }).detach();
    }

    // If set, a request for which it returns true crashes the server as it begins to write the answer.
    std::function<bool(const Message&)> crashesOn;
    std::atomic<double> restartAfter { 2 };

    std::string id() const
    {
        std::lock_guard lock(m_mutex);
        return m_id;
    }
    int port() const { return m_port; }
    bool isUp() const { return m_listener >= 0; }

    // The process ends: all its connections are reset and its port is closed.
    void crash(const std::string& why)
    {
        std::string id;
        {
            std::lock_guard lock(m_mutex);
            if (m_listener < 0)
                return;
            id = m_id;
            ++m_lifetime;
            shutdown(m_listener, SHUT_RDWR);
            close(m_listener);
            m_listener = -1;
            for (int socket : m_sockets) {
                resetSocket(socket);
                shutdown(socket, SHUT_RDWR);
            }
        }
        m_observer.crashed(id, why);
        double after = restartAfter;
        std::thread([this, id, after] {
            // The entry of a server that is silent goes after three check-in intervals.
            std::thread([this, id] {
                sleepFor(3 * beatInterval);
                m_store.erase("servers", id);
            }).detach();
            sleepFor(after);
            start();
        }).detach();
    }

    // A planned shutdown: the server reports that it drains, serves on for `serveFor` seconds and exits.
    // Returns after the store has accepted the report.
    void drain(double serveFor)
    {
        {
            std::lock_guard lock(m_mutex);
            m_state = "draining";
            m_store.write("servers", m_id, entry());
        }
        std::thread([this, serveFor] {
            sleepFor(serveFor);
            std::lock_guard lock(m_mutex);
            ++m_lifetime;
            shutdown(m_listener, SHUT_RDWR);
            close(m_listener);
            m_listener = -1;
            m_store.erase("servers", m_id);
        }).detach();
    }

private:
    static constexpr double beatInterval = 1.2; // seconds

    void start()
    {
        std::lock_guard lock(m_mutex);
        int socket = -1;
        for (int attempt = 0; socket < 0 && attempt < 50; ++attempt) {
            socket = listenOn("127.0.0.1", m_port);
            if (socket < 0)
                sleepFor(0.02);
        }
        m_port = portOf(socket);
        m_id = m_name + "-" + std::to_string(m_lifetime);
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
                     .count();
        m_listener = socket;
        m_store.write("servers", m_id, entry());
        std::thread([this, socket, lifetime = m_lifetime] { acceptLoop(socket, lifetime); }).detach();
    }

    Json entry()
    {
        return { { "Service", m_options.service }, { "Address", "127.0.0.1:" + std::to_string(m_port) },
            { "Zone", m_options.zone }, { "Version", "v1" }, { "Slots", m_options.slots },
            { "State", m_state }, { "ColdRemainingMs", 0 }, { "Sequence", ++m_sequence },
            { "born", m_born } };
    }

    void beat()
    {
        for (;;) {
            sleepFor(beatInterval);
            std::lock_guard lock(m_mutex);
            if (m_listener >= 0)
                m_store.write("servers", m_id, entry());
        }
    }

    void acceptLoop(int listener, int lifetime)
    {
        for (;;) {
            int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            std::lock_guard lock(m_mutex);
            if (lifetime != m_lifetime) {
                if (socket >= 0) {
                    resetSocket(socket);
                    close(socket);
                }
                return;
            }
            if (socket < 0)
                continue;
            m_sockets.insert(socket);
            std::thread([this, socket, lifetime] { serve(socket, lifetime); }).detach();
        }
    }

    void serve(int socket, int lifetime)
    {
        Reader reader(socket);
        Message request;
        auto idle = std::chrono::seconds(3);
        while (
            reader.readHead(request, Clock::now() + idle) && reader.readBody(request, Clock::now() + idle)) {
            if (!answer(socket, request, lifetime))
                break;
        }
        std::lock_guard lock(m_mutex);
        m_sockets.erase(socket);
        close(socket);
    }

    bool answer(int socket, const Message& request, int lifetime)
    {
        std::string id = this->id();
        std::string echo = "X-Request-Id: " + request.field("X-Request-Id") + "\r\n";
        std::string expected = request.field("X-Expect-Instance");
        if (!expected.empty() && expected != id)
            return sendAll(socket,
                "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nX-Instance-Id: " + id + "\r\n"
                    + echo + "\r\n");
        m_observer.arrived(id, request);
        sleepFor(m_options.firstEventAfter);
        if (crashesOn && crashesOn(request)) {
            if (isCurrent(lifetime))
                crash("a part of the prompt of " + request.field("X-Request-Id"));
            return false;
        }
        if (!sendAll(socket,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + echo
                    + "X-Response-Signature: " + id + "." + request.field("X-Request-Id") + "\r\n\r\n"))
            return false;
        int first = std::atoi(request.field("Last-Event-Id").c_str()) + 1;
        for (int number = first; number <= m_options.events; ++number) {
            if (number > first)
                sleepFor(m_options.eventInterval);
            std::string event
                = "id: " + std::to_string(number) + "\ndata: part " + std::to_string(number) + "\n\n";
            if (!isCurrent(lifetime) || !sendAll(socket, chunk(event)))
                return false;
        }
        return sendAll(socket, "0\r\n\r\n");
    }

    bool isCurrent(int lifetime) const
    {
        std::lock_guard lock(m_mutex);
        return lifetime == m_lifetime && m_listener >= 0;
    }

    Store& m_store;
    ServerObserver& m_observer;
    ServerOptions m_options;
    std::string m_name;
    mutable std::mutex m_mutex;
    std::atomic<int> m_listener { -1 };
    std::atomic<int> m_port { 0 };
    int m_lifetime = 1;
    std::string m_id;
    std::int64_t m_born = 0;
    int m_sequence = 0;
    std::string m_state = "ready";
    std::set<int> m_sockets;
};
