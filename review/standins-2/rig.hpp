#pragma once

// Stand-ins for the review's scripts: the platform's store, servers, clients, and a fleet of briarwharfd
// processes on loopback addresses. They follow PROTOCOL.md and DEPLOY.md. One thread for each connection.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point& startTime()
{
    static Clock::time_point start = Clock::now();
    return start;
}

inline double nowS() { return std::chrono::duration<double>(Clock::now() - startTime()).count(); }

inline void sleepMs(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

// The record of a run: what was sent, answered and run.
class Record {
public:
    static Record& get()
    {
        static Record record;
        return record;
    }
    void open(const std::string& path) { m_file.open(path, std::ios::trunc); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[2048];
        va_list arguments;
        va_start(arguments, format);
        vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        std::lock_guard lock(m_mutex);
        char stamp[32];
        snprintf(stamp, sizeof stamp, "%8.3f ", nowS());
        m_file << stamp << text << "\n";
        m_file.flush();
        std::printf("%s%s\n", stamp, text);
        std::fflush(stdout);
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

#define RECORD(...) rig::Record::get().line(__VA_ARGS__)

inline bool troubled()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

struct Address {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
    return name;
}

inline int listenOn(Address& address)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in name = socketAddress(address);
    if (bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0 || listen(fd, 1024) != 0) {
        close(fd);
        return -1;
    }
    socklen_t length = sizeof name;
    getsockname(fd, reinterpret_cast<sockaddr*>(&name), &length);
    address.port = ntohs(name.sin_port);
    return fd;
}

// A port that is free on all of the addresses.
inline int freePort(const std::vector<std::string>& ips)
{
    for (int attempt = 0; attempt < 50; ++attempt) {
        Address first { ips.front(), 0 };
        std::vector<int> held { listenOn(first) };
        bool ok = held.front() >= 0;
        for (std::size_t i = 1; ok && i < ips.size(); ++i) {
            Address other { ips[i], first.port };
            held.push_back(listenOn(other));
            ok = held.back() >= 0;
        }
        for (int fd : held)
            if (fd >= 0)
                close(fd);
        if (ok)
            return first.port;
    }
    return 0;
}

inline bool sendAll(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            if (sent < 0 && errno == EINTR)
                continue;
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

inline bool sameName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string findField(const Fields& fields, std::string_view name)
{
    for (const auto& [key, value] : fields)
        if (sameName(key, name))
            return value;
    return {};
}

struct Request {
    std::string method, target, path, body;
    std::map<std::string, std::string> query;
    Fields fields;
    std::string field(std::string_view name) const { return findField(fields, name); }
};

// Parses the lines of a head after its first one.
inline Fields parseFields(std::istringstream& lines)
{
    Fields fields;
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        fields.emplace_back(line.substr(0, colon), value);
    }
    return fields;
}

inline std::string unescape(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

// One accepted connection of a stand-in.
class Channel {
public:
    explicit Channel(int fd)
        : m_fd(fd)
    {
    }
    int fd() const { return m_fd; }
    bool write(std::string_view bytes) { return sendAll(m_fd, bytes); }
    void answer(int status, const std::string& body, const std::string& fields = "")
    {
        write("HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    void reset()
    {
        linger hard { 1, 0 };
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    }
    // Whether the other side has closed, without reading anything.
    bool peerClosed() const
    {
        pollfd wait { m_fd, POLLIN | POLLRDHUP, 0 };
        return poll(&wait, 1, 0) > 0 && (wait.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    // Reads one request; nullopt at the end of the connection.
    std::optional<Request> read()
    {
        std::size_t end;
        while ((end = m_input.find("\r\n\r\n")) == std::string::npos)
            if (!fill())
                return std::nullopt;
        std::istringstream lines(m_input.substr(0, end + 2));
        m_input.erase(0, end + 4);
        Request request;
        std::string version;
        lines >> request.method >> request.target >> version;
        std::string rest;
        std::getline(lines, rest);
        request.fields = parseFields(lines);
        auto mark = request.target.find('?');
        request.path = unescape(request.target.substr(0, mark));
        if (mark != std::string::npos) {
            std::istringstream query(request.target.substr(mark + 1));
            std::string pair;
            while (std::getline(query, pair, '&')) {
                auto equal = pair.find('=');
                if (equal != std::string::npos)
                    request.query[pair.substr(0, equal)] = unescape(pair.substr(equal + 1));
            }
        }
        std::string length = request.field("Content-Length");
        std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (m_input.size() < size)
            if (!fill())
                return std::nullopt;
        request.body = m_input.substr(0, size);
        m_input.erase(0, size);
        return request;
    }

private:
    bool fill()
    {
        char buffer[65536];
        ssize_t count;
        do
            count = recv(m_fd, buffer, sizeof buffer, 0);
        while (count < 0 && errno == EINTR);
        if (count <= 0)
            return false;
        m_input.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    int m_fd;
    std::string m_input;
};

// Answers requests, each connection on a thread of its own. The handler returns whether to keep the connection.
class Server {
public:
    using Handler = std::function<bool(const Request&, Channel&)>;

    Server(const std::string& ip, Handler handler, int port = 0)
        : address { ip, port }
        , m_handler(std::move(handler))
    {
        m_listener = listenOn(address);
        if (m_listener >= 0)
            std::thread([this] { acceptAll(); }).detach();
    }
    bool ok() const { return m_listener >= 0; }
    Address address;

    // Ends as a process does that exits: closes the listening socket and all channels.
    void stop()
    {
        std::lock_guard lock(m_mutex);
        m_stopped = true;
        shutdown(m_listener, SHUT_RDWR);
        for (int fd : m_channels)
            shutdown(fd, SHUT_RDWR);
    }

private:
    void acceptAll()
    {
        for (;;) {
            int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (m_stopped) {
                if (fd >= 0)
                    close(fd);
                close(m_listener);
                return;
            }
            if (fd < 0) {
                if (errno == EINTR || errno == ECONNABORTED || errno == EMFILE) {
                    sleepMs(1);
                    continue;
                }
                return;
            }
            int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                std::lock_guard lock(m_mutex);
                m_channels.insert(fd);
            }
            std::thread([this, fd] {
                Channel channel(fd);
                while (auto request = channel.read())
                    if (m_stopped || !m_handler(*request, channel))
                        break;
                std::lock_guard lock(m_mutex);
                m_channels.erase(fd);
                close(fd);
            }).detach();
        }
    }

    Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_stopped { false };
    std::mutex m_mutex;
    std::set<int> m_channels;
};

// The platform's store: objects by kind and name, lists in pages, watches, conditional writes.
class Store {
public:
    explicit Store(const std::string& ip)
        : m_server(ip, [this](const Request& request, Channel& channel) { return handle(request, channel); })
    {
    }
    bool ok() const { return m_server.ok(); }
    const Address& address() const { return m_server.address; }

    // Writes of the operator, the servers and other writers. `spec` is the text of the object's content.
    void put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        std::lock_guard lock(m_mutex);
        write(kind, name, spec);
    }
    void remove(const std::string& kind, const std::string& name)
    {
        std::lock_guard lock(m_mutex);
        erase(kind, name);
    }

private:
    struct Object {
        std::uint64_t revision = 0, created = 0;
        std::string spec;
    };
    struct Change {
        std::uint64_t revision;
        std::string kind, object;
        bool removed;
    };

    std::string render(const std::string& name, const Object& object) const
    {
        return "{\"Metadata\":{\"Name\":\"" + name + "\"" + ",\"Revision\":" + std::to_string(object.revision)
            + ",\"CreatedRev\":" + std::to_string(object.created)
            + ",\"Finalizers\":[],\"Deleting\":false},\"Spec\":" + object.spec + ",\"Status\":null}";
    }

    void write(const std::string& kind, const std::string& name, const std::string& spec)
    {
        Object& object = m_kinds[kind][name];
        if (object.revision > 0 && object.spec == spec)
            return; // changes nothing
        object.revision = ++m_revision;
        if (object.created == 0)
            object.created = m_revision;
        object.spec = spec;
        m_history.push_back({ m_revision, kind, render(name, object), false });
        m_changed.notify_all();
    }

    bool erase(const std::string& kind, const std::string& name)
    {
        auto found = m_kinds[kind].find(name);
        if (found == m_kinds[kind].end())
            return false;
        Object object = found->second;
        object.revision = ++m_revision;
        m_history.push_back({ m_revision, kind, render(name, object), true });
        m_kinds[kind].erase(found);
        m_changed.notify_all();
        return true;
    }

    bool handle(const Request& request, Channel& channel)
    {
        std::string path = request.path;
        const std::string prefix = "/objects/";
        if (path.rfind(prefix, 0) != 0) {
            channel.answer(404, "{}");
            return true;
        }
        path = path.substr(prefix.size());
        auto slash = path.find('/');
        std::string kind = path.substr(0, slash);
        std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        std::string body = "{}";
        int status = 200;
        if (request.method == "GET" && request.query.count("Watch"))
            return watch(kind, request, channel, lock);
        if (request.method == "GET" && name.empty()) {
            auto after = request.query.find("After");
            body = list(kind, after == request.query.end() ? "" : after->second);
        } else if (request.method == "GET") {
            auto found = m_kinds[kind].find(name);
            status = found == m_kinds[kind].end() ? 404 : 200;
            if (status == 200)
                body = render(name, found->second);
        } else if (request.method == "DELETE") {
            status = erase(kind, name) ? 200 : 404;
        } else {
            Json object = Json::parse(request.body, nullptr, false);
            if (object.is_discarded() || !object.contains("Spec")) {
                status = 400;
            } else {
                if (request.method == "POST")
                    name = object["Metadata"]["Name"].get<std::string>();
                bool exists = m_kinds[kind].count(name) > 0;
                if (request.method == "POST" && exists)
                    status = 409;
                else if (request.method == "PUT" && !exists)
                    status = 404;
                else
                    write(kind, name, object["Spec"].dump());
                if (m_kinds[kind].count(name))
                    body = render(name, m_kinds[kind][name]);
            }
        }
        lock.unlock();
        channel.answer(status, body, "Content-Type: application/json\r\n");
        return true;
    }

    // A page has at most 500 objects or 1 MB, but always one object.
    std::string list(const std::string& kind, const std::string& after)
    {
        std::string items;
        std::size_t count = 0;
        bool more = false;
        const auto& objects = m_kinds[kind];
        for (auto object = objects.upper_bound(after); object != objects.end(); ++object) {
            std::string text = render(object->first, object->second);
            if (count > 0 && (count >= 500 || items.size() + text.size() > 1048576)) {
                more = true;
                break;
            }
            items += (count++ ? "," : "") + text;
        }
        return "{\"Items\":[" + items + "],\"HasMore\":" + (more ? "true" : "false")
            + ",\"StoreRevision\":" + std::to_string(m_revision) + "}";
    }

    bool watch(const std::string& kind, const Request& request, Channel& channel, std::unique_lock<std::mutex>& lock)
    {
        std::uint64_t from = std::stoull(request.query.at("Watch"));
        int wait = request.query.count("WaitMs") ? std::stoi(request.query.at("WaitMs")) : 0;
        auto deadline = Clock::now() + std::chrono::milliseconds(wait);
        std::string events;
        auto collect = [&] {
            for (const Change& change : m_history)
                if (change.revision > from && change.kind == kind)
                    events += (events.empty() ? "" : ",") + std::string("{\"Removed\":")
                        + (change.removed ? "true" : "false") + ",\"Object\":" + change.object + "}";
            return !events.empty();
        };
        while (!collect() && Clock::now() < deadline)
            m_changed.wait_until(lock, deadline);
        std::string body = "{\"events\":[" + events + "],\"StoreRevision\":" + std::to_string(m_revision) + "}";
        lock.unlock();
        channel.answer(200, body, "Content-Type: application/json\r\n");
        return true;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_kinds;
    std::vector<Change> m_history;
    std::uint64_t m_revision = 100;
    Server m_server;
};

struct Answer {
    int status = 0; // 0: none came
    Fields fields;
    std::string body;
    bool complete = false;
    bool closed = false; // the other side closed or reset the connection
    bool reset = false;
};

// One client connection.
class Client {
public:
    ~Client() { end(); }
    Client() = default;
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // `segment` and `window` bound the connection's segments and receive buffer; 0: the system's defaults.
    bool connect(const Address& address, int segment = 0, int window = 0, int timeoutMs = 1000)
    {
        end();
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (segment > 0)
            setsockopt(m_fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
        if (window > 0)
            setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        fcntl(m_fd, F_SETFL, O_NONBLOCK);
        sockaddr_in name = socketAddress(address);
        if (::connect(m_fd, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0 && errno != EINPROGRESS) {
            end();
            return false;
        }
        pollfd wait { m_fd, POLLOUT, 0 };
        int error = 0;
        socklen_t length = sizeof error;
        if (poll(&wait, 1, timeoutMs) <= 0 || getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0
            || error != 0) {
            end();
            return false;
        }
        fcntl(m_fd, F_SETFL, 0);
        return true;
    }
    bool isOpen() const { return m_fd >= 0; }
    bool send(std::string_view bytes) { return m_fd >= 0 && sendAll(m_fd, bytes); }
    void end()
    {
        if (m_fd >= 0)
            close(m_fd);
        m_fd = -1;
        m_input.clear();
    }

    // Reads one answer until `deadline`. `bytesPerSecond` > 0: reads no faster.
    Answer read(Clock::time_point deadline, double bytesPerSecond = 0)
    {
        Answer answer;
        std::size_t end;
        while ((end = m_input.find("\r\n\r\n")) == std::string::npos)
            if (!fill(answer, deadline, bytesPerSecond))
                return answer;
        std::istringstream lines(m_input.substr(0, end + 2));
        m_input.erase(0, end + 4);
        std::string version, rest;
        lines >> version >> answer.status;
        std::getline(lines, rest);
        answer.fields = parseFields(lines);
        std::string length = findField(answer.fields, "Content-Length");
        if (!length.empty()) {
            std::size_t size = std::stoul(length);
            while (m_input.size() < size)
                if (!fill(answer, deadline, bytesPerSecond)) {
                    answer.body = m_input;
                    return answer;
                }
            answer.body = m_input.substr(0, size);
            m_input.erase(0, size);
            answer.complete = true;
        } else if (findField(answer.fields, "Transfer-Encoding") == "chunked") {
            for (;;) {
                std::size_t line;
                while ((line = m_input.find("\r\n")) == std::string::npos)
                    if (!fill(answer, deadline, bytesPerSecond))
                        return answer;
                std::size_t size = std::stoul(m_input.substr(0, line), nullptr, 16);
                while (m_input.size() < line + 2 + size + 2)
                    if (!fill(answer, deadline, bytesPerSecond))
                        return answer;
                answer.body += m_input.substr(line + 2, size);
                m_input.erase(0, line + 2 + size + 2);
                if (size == 0)
                    break;
            }
            answer.complete = true;
        }
        return answer;
    }
    Answer read(int timeoutMs) { return read(Clock::now() + std::chrono::milliseconds(timeoutMs)); }

private:
    bool fill(Answer& answer, Clock::time_point deadline, double bytesPerSecond)
    {
        char buffer[65536];
        std::size_t most = sizeof buffer;
        if (bytesPerSecond > 0) {
            constexpr double tick = 0.05;
            most = std::max<std::size_t>(1, static_cast<std::size_t>(bytesPerSecond * tick));
            std::this_thread::sleep_for(std::chrono::duration<double>(tick));
        }
        auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
        pollfd wait { m_fd, POLLIN, 0 };
        if (m_fd < 0 || left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0)
            return false;
        ssize_t count = recv(m_fd, buffer, most, 0);
        if (count <= 0) {
            answer.closed = true;
            answer.reset = count < 0;
            return false;
        }
        m_input.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    int m_fd = -1;
    std::string m_input;
};

// One machine of the fleet: a briarwharfd process with the settings of a small deployment.
struct Machine {
    std::string name, zone, ip;
    Address front, ready;
    std::string settings, log;
    int memoryMb = 260;
    pid_t pid = -1;

    bool running() const
    {
        int status;
        return pid > 0 && waitpid(pid, &status, WNOHANG) == 0;
    }
    long memoryKb(const char* key = "VmRSS:") const
    {
        std::ifstream file("/proc/" + std::to_string(pid) + "/status");
        std::string word;
        while (file >> word)
            if (word == key) {
                long value = 0;
                file >> value;
                return value;
            }
        return 0;
    }
    void signal(int number) const
    {
        if (pid > 0)
            kill(pid, number);
    }
    int status(int timeoutMs = 1000) const
    {
        Client client;
        if (!client.connect(ready, 0, 0, timeoutMs))
            return 0;
        client.send("GET /readyz HTTP/1.1\r\nHost: " + ready.text() + "\r\n\r\n");
        return client.read(timeoutMs).status;
    }
};

class Fleet {
public:
    Fleet(std::string work, const Address& store, int machines, int memoryMb = 260, int maxFds = 4100)
        : m_work(std::move(work))
        , m_store(store)
        , m_maxFds(maxFds)
    {
        std::vector<std::string> ips;
        for (int i = 1; i <= machines; ++i)
            ips.push_back("127.0.41." + std::to_string(i));
        int front = freePort(ips), ready = freePort(ips);
        m_peerPort = freePort(ips);
        for (int i = 1; i <= machines; ++i) {
            Machine machine;
            machine.name = "front-a-" + std::to_string(i);
            machine.zone = "a";
            machine.ip = ips[static_cast<std::size_t>(i - 1)];
            machine.front = { machine.ip, front };
            machine.ready = { machine.ip, ready };
            machine.settings = m_work + "/" + machine.name + ".ini";
            machine.log = m_work + "/" + machine.name + ".log";
            machine.memoryMb = memoryMb;
            this->machines.push_back(machine);
        }
    }
    ~Fleet() { stopAll(); }

    std::vector<Machine> machines;

    // The template of the deploy file, filled in as the platform does.
    void writeSettings(const Machine& machine) const
    {
        std::string seeds;
        for (const Machine& other : machines)
            seeds += (seeds.empty() ? "" : ",") + other.ip + ":" + std::to_string(m_peerPort);
        std::ofstream file(machine.settings, std::ios::trunc);
        file << "[instance]\nid = " << machine.name << "\nregion = r\nfailure_domain = " << machine.zone
             << "\n\n[listen]\ncallers = " << machine.front.text() << "\nadmin = " << machine.ready.text()
             << "\npeers = " << machine.ip << ":" << m_peerPort << "\n\n[store]\nendpoint = " << m_store.text()
             << "\n\n[directory]\nsource = platform\n\n[fleet]\nseeds = " << seeds
             << "\nretry_ratio = 0.2\nretry_window_ms = 10s\nretry_slack = 58\n\n[limits]\nshutdown_grace_ms = 8s\n"
             << "max_connections = 3000\nmemory_mb = " << machine.memoryMb << "\nmax_fds = " << m_maxFds << "\n";
    }

    void start(Machine& machine)
    {
        writeSettings(machine);
        std::string home = "HOME=/tmp", lang = "LANG=C.UTF-8";
        const char* path = std::getenv("PATH");
        std::string pathEntry = std::string("PATH=") + (path ? path : "/usr/bin:/bin");
        std::string node = "BRIARWHARF_NODE_FILE=" + machine.settings;
        pid_t child = fork();
        if (child == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the script
            int log = open(machine.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            int null = open("/dev/null", O_RDONLY);
            dup2(null, 0);
            dup2(log, 1);
            dup2(log, 2);
            const char* arguments[] = { "target/bin/briarwharfd", machine.settings.c_str(), nullptr };
            char* environment[] = { pathEntry.data(), home.data(), lang.data(), node.data(), nullptr };
            execve(arguments[0], const_cast<char**>(arguments), environment);
            _exit(127);
        }
        machine.pid = child;
    }

    bool waitReady(int timeoutMs = 15000) const
    {
        auto deadline = Clock::now() + std::chrono::milliseconds(timeoutMs);
        for (const Machine& machine : machines)
            while (machine.status() != 200) {
                if (Clock::now() > deadline)
                    return false;
                sleepMs(50);
            }
        return true;
    }

    void stopAll()
    {
        for (Machine& machine : machines) {
            if (machine.pid <= 0)
                continue;
            kill(machine.pid, SIGKILL);
            waitpid(machine.pid, nullptr, 0);
            machine.pid = -1;
        }
    }

private:
    std::string m_work;
    Address m_store;
    int m_peerPort = 0;
    int m_maxFds;
};

// The content of a server's entry.
inline std::string serverSpec(const std::string& service, const Address& address, int slots, long sequence,
    const std::string& state = "ready", const std::string& zone = "a")
{
    return Json { { "Service", service }, { "Address", address.text() }, { "Zone", zone }, { "Version", "1" },
        { "Slots", slots }, { "State", state }, { "ColdRemainingMs", 0 }, { "Sequence", sequence },
        { "born", 1700000000000 } }
        .dump();
}

inline Json limitsOf(long maxHeaderBytes = 16384)
{
    return { { "MaxHeaderBytes", maxHeaderBytes }, { "MaxBodyBytes", 4194304 }, { "HeaderTimeoutMs", 3000 },
        { "IdleTimeoutMs", 15000 } };
}

// A temporary folder that is removed at the end.
class WorkFolder {
public:
    WorkFolder()
    {
        char pattern[] = "/tmp/review2-XXXXXX";
        path = mkdtemp(pattern);
    }
    ~WorkFolder() { remove(); }
    void remove()
    {
        if (std::getenv("KEEP"))
            return;
        std::string command = "rm -rf '" + path + "'";
        [[maybe_unused]] int status = std::system(command.c_str());
    }
    std::string path;
};

// Ends the script at once: the threads of the stand-ins are still running.
[[noreturn]] inline void finish(Fleet& fleet, WorkFolder& work, int status)
{
    fleet.stopAll();
    work.remove();
    std::_Exit(status);
}

} // namespace rig
