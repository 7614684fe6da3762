// A stand-in for the platform's store: lists, watches, creation, replacement and removal of objects, as
// PROTOCOL.md describes them.
#pragma once

#include "net.hpp"
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>

using Json = nlohmann::json;

class Store {
public:
    Store()
        : m_listener(listenOn("127.0.0.1", 0))
    {
        std::thread([this] { acceptLoop(); }).detach();
    }

    int port() const { return portOf(m_listener); }

    // Stands in a Spec for a value that this program's JSON library cannot hold.
    static constexpr const char* unreadableMarker = "@unreadable@";
    // That value as JSON text: escapes of two bytes that are no text, as programs write them that decode
    // bytes leniently: lone surrogates, which JSON's grammar allows (RFC 8259, section 8.2).
    std::string unreadable = "\"\\udcff\\udcfe\"";

    // Writes as an operator or a server does. Creates the object or replaces its Spec.
    void write(const std::string& kind, const std::string& name, const Json& spec)
    {
        std::lock_guard lock(m_mutex);
        Json& object = m_kinds[kind][name];
        if (!object.is_null() && object["Spec"] == spec)
            return;
        ++m_revision;
        std::uint64_t created
            = object.is_null() ? m_revision : object["Metadata"]["CreatedRev"].get<std::uint64_t>();
        object = { { "Metadata",
                       { { "Name", name }, { "Revision", m_revision }, { "CreatedRev", created },
                           { "Finalizers", Json::array() }, { "Deleting", false } } },
            { "Spec", spec }, { "Status", nullptr } };
        record(kind, object, false);
    }

    void erase(const std::string& kind, const std::string& name)
    {
        std::lock_guard lock(m_mutex);
        auto found = m_kinds[kind].find(name);
        if (found == m_kinds[kind].end())
            return;
        ++m_revision;
        Json object = found->second;
        m_kinds[kind].erase(found);
        record(kind, object, true);
    }

private:
    struct Event {
        std::uint64_t revision;
        std::string kind;
        Json event;
    };

    void record(const std::string& kind, const Json& object, bool removed)
    {
        m_events.push_back({ m_revision, kind, { { "Removed", removed }, { "Object", object } } });
        m_changed.notify_all();
    }

    void acceptLoop()
    {
        for (;;) {
            int socket = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket >= 0)
                std::thread([this, socket] { serve(socket); }).detach();
        }
    }

    void serve(int socket)
    {
        Reader reader(socket);
        Message request;
        auto idle = std::chrono::seconds(120);
        while (
            reader.readHead(request, Clock::now() + idle) && reader.readBody(request, Clock::now() + idle)) {
            int status = 200;
            Json answer = handle(request, status);
            std::string body = withUnreadable(answer.dump());
            std::string out = "HTTP/1.1 " + std::to_string(status)
                + " X\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            sleepFor(0.004);
            if (!sendAll(socket, out))
                break;
        }
        close(socket);
    }

    // Replaces the marker by what the other writer wrote in its place.
    std::string withUnreadable(std::string text)
    {
        std::string quoted = "\"" + std::string(unreadableMarker) + "\"";
        for (std::size_t at = text.find(quoted); at != std::string::npos;
             at = text.find(quoted, at + unreadable.size()))
            text.replace(at, quoted.size(), unreadable);
        return text;
    }

    static std::string queryValue(const std::string& target, const std::string& name)
    {
        std::size_t at = target.find(name + "=");
        if (at == std::string::npos)
            return {};
        at += name.size() + 1;
        return target.substr(at, target.find('&', at) - at);
    }

    Json handle(const Message& request, int& status)
    {
        std::string target = request.target();
        std::string path = target.substr(0, target.find('?'));
        std::string rest = path.substr(std::min(path.size(), std::strlen("/objects/")));
        std::string kind = rest.substr(0, rest.find('/'));
        std::string name = rest.size() > kind.size() ? rest.substr(kind.size() + 1) : std::string();
        std::string method = request.method();
        if (method == "GET" && name.empty())
            return queryValue(target, "Watch").empty() ? list(kind) : watch(kind, target);
        Json body = Json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
        std::unique_lock lock(m_mutex);
        bool exists = m_kinds[kind].count(name.empty() ? body["Metadata"].value("Name", "") : name) > 0;
        lock.unlock();
        if (method == "POST") {
            name = body["Metadata"].value("Name", "");
            if (exists) {
                status = 409;
                return Json::object();
            }
            write(kind, name, body["Spec"]);
        } else if (!exists) {
            status = 404;
            return Json::object();
        } else if (method == "PUT") {
            write(kind, name, body["Spec"]);
        } else if (method == "DELETE") {
            erase(kind, name);
            return Json::object();
        }
        lock.lock();
        return m_kinds[kind][name];
    }

    Json list(const std::string& kind)
    {
        std::lock_guard lock(m_mutex);
        Json items = Json::array();
        for (const auto& [name, object] : m_kinds[kind])
            items.push_back(object);
        return { { "Items", items }, { "HasMore", false }, { "StoreRevision", m_revision } };
    }

    Json watch(const std::string& kind, const std::string& target)
    {
        std::uint64_t from = std::strtoull(queryValue(target, "Watch").c_str(), nullptr, 10);
        long waitMs = std::strtol(queryValue(target, "WaitMs").c_str(), nullptr, 10);
        auto deadline = Clock::now() + std::chrono::milliseconds(waitMs);
        std::unique_lock lock(m_mutex);
        for (;;) {
            Json events = Json::array();
            for (const Event& event : m_events) {
                if (event.revision > from && event.kind == kind)
                    events.push_back(event.event);
            }
            if (!events.empty() || m_changed.wait_until(lock, deadline) == std::cv_status::timeout)
                return { { "events", events }, { "StoreRevision", m_revision } };
        }
    }

    int m_listener;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 1;
    std::map<std::string, std::map<std::string, Json>> m_kinds;
    std::vector<Event> m_events;
};
