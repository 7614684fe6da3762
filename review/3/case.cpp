// BUDGET: prompts whose parts have 128-bit identifiers and crash servers are sent on without end.
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
constexpr double promptsFrom = 5; // requests with the part that crashes servers begin
constexpr double promptGap = 1;
constexpr double end = 35;

constexpr double soundPerSecond = 20;

// IDS=short plays the same with identifiers of 8 digits, as in the pages' examples.
// IDS=many plays it with short identifiers and prompts of 67 parts, of which the crashing one is the 66th.
const std::string ids = std::getenv("IDS") ? std::getenv("IDS") : "";
const bool shortIds = !ids.empty();

// The identifier of a part: 32 hexadecimal digits.
std::string partId(unsigned number)
{
    char text[48];
    snprintf(text, sizeof text, shortIds ? "%08x" : "a7c3509e1f64d2b85c1e07a2%08x", number);
    return text;
}

// The first parts of all prompts of the route.
std::string commonParts()
{
    std::string parts = partId(0x5c1e07a2) + ":512";
    for (unsigned turn = 0; ids == "many" && turn < 64; ++turn)
        parts += "," + partId(0x61000000 + turn) + ":40";
    return parts;
}

const std::string systemPrompt = commonParts();
const std::string crashPart = partId(0x91bd3f06) + ":410";

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
        , m_record("review/3/record.txt")
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
        bool crashes = request.field("X-Prompt-Prefix").find(crashPart) != std::string::npos;
        note("server " + id + " gets " + request.field("X-Request-Id")
            + (crashes ? " with the crashing part" : ""));
        if (!crashes)
            return;
        std::lock_guard lock(m_mutex);
        m_crashingArrivals.push_back(now());
    }
    void crashed(const std::string& id, const std::string& why) override
    {
        note("server " + id + " crashes: " + why);
        std::lock_guard lock(m_mutex);
        ++m_promptCrashes;
        if (m_promptCrashes == 5)
            m_fifthCrash = now();
    }

private:
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
        for (double at = 0; at < end; at += 1 / soundPerSecond) {
            sleepFor(std::max(0.0, at - now()));
            if (m_trouble && at >= nextPrompt) {
                nextPrompt += promptGap;
                clients.emplace_back([this, id = ++number] { send(id, false); });
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
        std::string own = partId(0xe4000000 + static_cast<unsigned>(number)) + ":250";
        // The second part is the subject: one of 40, each with its home at one of the servers.
        std::string subject
            = sound ? partId(0x77000000 + static_cast<unsigned>(number % 40)) + ":1000" : crashPart;
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

    int judge()
    {
        std::lock_guard lock(m_mutex);
        int late = 0;
        for (double at : m_crashingArrivals)
            late += m_promptCrashes >= 5 && at > m_fifthCrash + contact;
        int sound = 0, begun = 0, whole = 0, prompts = 0;
        for (const Result& result : m_results) {
            prompts += !result.sound;
            sound += result.sound;
            begun += result.sound && result.begun;
            whole += result.sound && result.begun && result.whole;
        }
        note("sound requests: " + std::to_string(sound) + ", begun " + std::to_string(begun) + ", whole "
            + std::to_string(whole));
        note("requests with the crashing part from clients: " + std::to_string(prompts)
            + ", arrivals at servers " + std::to_string(m_crashingArrivals.size()) + ", crashes "
            + std::to_string(m_promptCrashes) + ", the fifth at " + std::to_string(m_fifthCrash) + " s");
        note("arrivals of them later than ContactMs after the fifth crash: " + std::to_string(late)
            + ", allowed 3");
        note(late > 3 ? "BUDGET: broken" : "BUDGET: held");
        m_record.flush();
        if (sound < 20 || (!m_trouble && whole < sound / 2))
            return 2;
        return late > 3 ? 1 : 0;
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
    double m_fifthCrash = 0;
    std::vector<double> m_crashingArrivals;
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
