// LOST: after an outage of all model servers, sound requests are refused although the servers are back.
// See claim.txt. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

#include "../standins/fleet.hpp"
#include "../standins/server.hpp"
#include "../standins/store.hpp"
#include <fstream>
#include <iostream>

namespace {

constexpr int engines = 6;
constexpr int instances = 3;
constexpr double contact = 3; // ContactMs of the site, in seconds

// The plan, in seconds from the start of traffic.
constexpr double promptsFrom = 8; // requests with the part that crashes servers begin
constexpr double promptGap = 1.5;
constexpr double outageAt = 22; // all model servers crash, and are back after outageFor
constexpr double outageFor = 4;
constexpr double end = 44;

constexpr double soundPerSecond = 50;
const std::string systemPrompt = "5c1e07a2:512"; // the first part of all prompts of the route
const std::string crashPart = "91bd3f06:410";

struct Result {
    double sentAt = 0;
    bool sound = true;
    int status = 0; // 0: no answer
    bool begun = false; // a success with its first event, at the first attempt
    bool whole = false;
    std::string retryAfter;
};

class Case : public ServerObserver {
public:
    explicit Case(bool trouble)
        : m_trouble(trouble)
        , m_record("review/2/record.txt")
    {
        char folder[] = "/tmp/briarwharf-review-XXXXXX";
        m_folder = mkdtemp(folder);
    }

    int run()
    {
        std::signal(SIGPIPE, SIG_IGN);
        writeConfiguration();
        for (int index = 0; index < engines; ++index) {
            ServerOptions options;
            options.service = "estimator";
            options.zone = std::string("pkc-") + static_cast<char>('a' + index % 4);
            auto server
                = std::make_unique<ModelServer>(m_store, *this, options, "i-" + std::to_string(index));
            server->crashesOn = [](const Message& request) {
                return request.field("X-Prompt-Prefix").find(crashPart) != std::string::npos;
            };
            m_servers.push_back(std::move(server));
        }
        Fleet fleet(m_folder, m_store.port(), instances);
        m_fleet = &fleet;
        fleet.startAll();
        if (!fleet.waitReady(15)) {
            note("the fleet is not ready");
            return 2;
        }
        sleepFor(2);
        m_start = Clock::now();
        play();
        return judge();
    }

    void arrived(const std::string& id, const Message& request) override
    {
        note("server " + id + " runs " + request.field("X-Request-Id"));
    }
    void crashed(const std::string& id, const std::string& why) override
    {
        note("server " + id + " crashes: " + why);
        std::lock_guard lock(m_mutex);
        if (why != outageText) {
            ++m_promptCrashes;
            if (m_promptCrashes <= 5)
                m_lastCrash = now();
        }
    }

private:
    static constexpr const char* outageText = "outage of all model servers";

    void writeConfiguration()
    {
        Json route { { "Name", "r-1" }, { "Host", "desk.example" }, { "PathPrefix", "/full/" },
            { "Kind", "streaming" }, { "TimeoutMs", 12000 }, { "TargetLatencyMs", 600 }, { "Priority", 1 },
            { "Service", "estimator" }, { "MaxAttempts", 2 }, { "Anonymous", false }, { "Sticky", true },
            { "Resumable", true }, { "GapAimMs", 400 } };
        Json service { { "Name", "estimator" }, { "MaxConnections", 370 }, { "HealthPath", "/health" },
            { "Engine", { { "Slots", 64 }, { "KvCapacityTokens", 697428 } } } };
        m_store.write("config", "main",
            { { "Version", 7 }, { "Routes", { route } }, { "Services", { service } },
                { "Tenants", { { { "Name", "t1" }, { "ApiKeys", { "key-1" } } } } },
                { "Limits",
                    { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 4194304 }, { "HeaderTimeoutMs", 5000 },
                        { "IdleTimeoutMs", 30000 } } } });
    }

    double now() const { return seconds(Clock::now() - m_start); }

    void note(const std::string& text)
    {
        char time[32];
        snprintf(time, sizeof time, "%8.3f ", m_start == Clock::time_point {} ? 0 : now());
        std::lock_guard lock(m_recordMutex);
        m_record << time << text << "\n";
    }

    void play()
    {
        std::vector<std::thread> clients;
        int number = 0;
        double nextPrompt = promptsFrom;
        bool outageDone = false;
        for (double at = 0; at < end; at += 1 / soundPerSecond) {
            sleepFor(std::max(0.0, at - now()));
            if (m_trouble && at >= nextPrompt) {
                nextPrompt += promptGap;
                clients.emplace_back([this, id = ++number] { send(id, false); });
            }
            if (m_trouble && at >= outageAt && !outageDone) {
                outageDone = true;
                for (auto& server : m_servers) {
                    server->restartAfter = outageFor;
                    server->crash(outageText);
                    server->restartAfter = 2;
                }
            }
            clients.emplace_back([this, id = ++number] { send(id, true); });
        }
        for (std::thread& client : clients)
            client.join();
    }

    void send(int number, bool sound)
    {
        Result result;
        result.sound = sound;
        result.sentAt = now();
        char id[32];
        snprintf(id, sizeof id, "%016x", static_cast<unsigned>(number * 2654435761u));
        char own[32];
        snprintf(own, sizeof own, "e4%08x:250", static_cast<unsigned>(number));
        // The second part is the subject: one of 40, each with its home at one of the servers.
        std::string subject = sound ? "77" + std::to_string(1000 + number % 40) + ":1000" : crashPart;
        const Instance& instance = m_fleet->instances[static_cast<std::size_t>(number % instances)];
        std::string request
            = "POST /full/2f HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + std::string(id)
            + "\r\nX-Model: m\r\nX-Token-Usage: 1762,60\r\nX-Prompt-Prefix: " + systemPrompt + "," + subject
            + "," + own + "\r\nX-Deadline-Ms: 12000\r\nApi-Key: key-1\r\nContent-Length: 2\r\n\r\nhi";
        int socket = connectTo(instance.ip, instance.front);
        Message answer;
        Reader reader(socket);
        auto deadline = Clock::now() + std::chrono::seconds(12);
        if (socket >= 0 && sendAll(socket, request) && reader.readHead(answer, deadline)) {
            result.status = answer.status();
            result.retryAfter = answer.field("Retry-After");
            result.whole = reader.readBody(answer, deadline);
            result.begun = result.status == 200 && answer.body.find("data:") != std::string::npos;
        }
        if (socket >= 0)
            close(socket);
        note(std::string(sound ? "client: sound request " : "client: request with the crashing part ") + id
            + " to " + instance.name + " sent at " + std::to_string(result.sentAt) + ": status "
            + std::to_string(result.status) + (result.whole ? "" : ", not whole")
            + (result.retryAfter.empty() ? "" : ", Retry-After " + result.retryAfter));
        std::lock_guard lock(m_mutex);
        m_results.push_back(result);
    }

    // Asks a server without the fleet between.
    bool serverAnswers(const ModelServer& server)
    {
        int socket = connectTo("127.0.0.1", server.port());
        if (socket < 0)
            return false;
        Reader reader(socket);
        Message answer;
        auto deadline = Clock::now() + std::chrono::seconds(3);
        bool ok = sendAll(socket,
                      "POST /full/2f HTTP/1.1\r\nX-Request-Id: direct\r\nX-Prompt-Prefix: " + systemPrompt
                          + ",77:1000,1:1\r\nContent-Length: 0\r\n\r\n")
            && reader.readHead(answer, deadline) && answer.status() == 200
            && reader.readBody(answer, deadline);
        close(socket);
        return ok;
    }

    int judge()
    {
        int answering = 0;
        for (const auto& server : m_servers)
            answering += serverAnswers(*server);
        // Outside unplanned disturbance: before the first request that crashes a server.
        int before = 0, beforeBegun = 0, after = 0, afterBegun = 0, prompts = 0, lastPrompts = 0;
        // In force from 2 x ContactMs after the fifth crash (the last, if there are fewer). What the outage
        // itself breaks is left out, with ContactMs after its end.
        double from = std::max(m_lastCrash + 2 * contact, outageAt + outageFor + contact);
        for (const Result& result : m_results) {
            if (!result.sound) {
                ++prompts;
                lastPrompts += result.sentAt > from;
            } else if (result.sentAt < promptsFrom) {
                ++before;
                beforeBegun += result.begun;
            } else if (result.sentAt > from) {
                ++after;
                afterBegun += result.begun;
            }
        }
        note("crashes by the part: " + std::to_string(m_promptCrashes) + ", the fifth or last at "
            + std::to_string(m_lastCrash) + " s; judged from " + std::to_string(from) + " s");
        note("requests with that part: " + std::to_string(prompts) + ", " + std::to_string(lastPrompts)
            + " of them in the judged time");
        note("servers that answer a direct request at the end: " + std::to_string(answering) + " of "
            + std::to_string(engines));
        note("sound requests before: " + std::to_string(before) + ", begun " + std::to_string(beforeBegun));
        note("sound requests in the judged time: " + std::to_string(after) + ", begun "
            + std::to_string(afterBegun));
        m_record.flush();
        if (before < 20 || after < 20 || answering < engines)
            return 2;
        bool broken = static_cast<double>(afterBegun) / after < 0.5 * beforeBegun / before;
        note(broken ? "LOST: broken" : "LOST: held");
        m_record.flush();
        return broken ? 1 : 0;
    }

    bool m_trouble;
    std::ofstream m_record;
    std::string m_folder;
    Store m_store;
    std::vector<std::unique_ptr<ModelServer>> m_servers;
    Fleet* m_fleet = nullptr;
    Clock::time_point m_start;
    std::mutex m_mutex;
    std::mutex m_recordMutex;
    std::vector<Result> m_results;
    int m_promptCrashes = 0;
    double m_lastCrash = 0;
};

} // namespace

int main()
{
    const char* trouble = std::getenv("TROUBLE");
    auto* played = new Case(!trouble || std::string(trouble) != "0"); // its threads run until the end
    int status = played->run();
    std::cout << (status == 0 ? "held" : status == 1 ? "broken" : "could not run") << std::endl;
    std::_Exit(status);
}
