// A heartbeat of a server whose answer the store lost is carried out some seconds late, after the server has
// reported `draining`. The fleet must not send the server new work because of it.
#include "../standins-3/rig.hpp"

using namespace rig;

namespace {

constexpr double drainSeconds = 2; // DrainMs
constexpr double beatSeconds = 1.2; // HeartbeatMs
constexpr double drainAt
    = 3.1; // when the server reports draining: the store has been undisturbed for ContactMs
constexpr double lateSeconds = 5.6; // how much later the store carries out the lost write: 1 to 6 s are named
constexpr std::size_t nodeCount = 9;
constexpr int clientCount = 12;

struct Sent {
    double at;
    int status;
};
std::mutex sentMutex;
std::map<std::string, Sent> sentRequests;
std::atomic<bool> ending { false };

// A client with a kept channel: a short safe request every 100 ms.
void runClient(const Node& node, int number)
{
    Socket socket;
    std::unique_ptr<Reader> reader;
    sleepFor(number * 0.005);
    while (!ending) {
        if (socket.fd < 0) {
            socket = connectTo(node.ip, node.front);
            reader = std::make_unique<Reader>(socket.fd);
            if (socket.fd < 0) {
                sleepFor(0.1);
                continue;
            }
        }
        std::string id = newId();
        double at = now();
        {
            std::lock_guard lock(sentMutex);
            sentRequests[id] = { at, 0 };
        }
        std::optional<Message> answer;
        if (socket.send(request("GET", "/quote/a/" + id, id, 1000)))
            answer = reader->next(at + 1.2, true);
        {
            std::lock_guard lock(sentMutex);
            sentRequests[id].status = answer ? answer->status() : -1;
        }
        if (!answer || answer->field("Connection") == "close")
            socket.close();
        sleepUntil(at + 0.1);
    }
}

} // namespace

int main()
{
    endInTime();
    Store store;
    std::vector<std::unique_ptr<Server>> servers;
    const std::vector<std::string> zones { "pkc-a", "pkc-b", "pkc-c", "pkc-d" };
    for (int index = 0; index < 4; ++index)
        servers.push_back(std::make_unique<Server>("i-desk-" + std::to_string(index + 1), "booking-desk",
            zones[index], 6, [](const Message& call, Socket& socket) {
                sleepFor(0.03);
                return socket.send(success(call, "quote", "Keep-Alive: timeout=5\r\n"));
            }));
    store.put("config", "main",
        config(3, Json::array({ route("quote-fetch", "/quote/", "safe", "booking-desk", 1000, 2) }),
            Json::array(
                { { { "Name", "booking-desk" }, { "HealthPath", "/health" }, { "MaxConnections", 110 } } })));
    Server& leaver = *servers[0];
    std::mutex beatMutex;
    std::string leaverState = "ready";
    for (auto& server : servers)
        store.put("servers", server->id(), server->beat("ready"));
    std::thread([&] {
        for (double next = now() + beatSeconds; !ending; next += beatSeconds) {
            sleepUntil(next);
            for (std::size_t index = 1; index < servers.size(); ++index)
                store.put("servers", servers[index]->id(), servers[index]->beat("ready"));
        }
    }).detach();

    Fleet fleet(nodeCount, zones, store);
    fleetToEnd = &fleet;
    fleet.startAll();
    if (!fleet.awaitReady(15))
        cannotRun("the fleet did not become ready");
    for (int number = 0; number < clientCount; ++number)
        std::thread(runClient, std::cref(fleet[number % nodeCount]), number).detach();
    sleepFor(5); // steady

    // The leaver's own writes from here on, one every HeartbeatMs.
    double lost = now();
    Json lostBeat = leaver.beat("ready");
    if (trouble()) {
        record("heartbeat %d (ready) of %s: the store loses the answer, and carries it out %.1f s later",
            leaver.sequence(), leaver.id().c_str(), lateSeconds);
        std::thread([&] {
            sleepUntil(lost + lateSeconds);
            auto revision = store.put("servers", leaver.id(), lostBeat);
            record("the store carries out heartbeat %d (ready) of %s: revision %llu",
                lostBeat["Sequence"].get<int>(), leaver.id().c_str(),
                static_cast<unsigned long long>(revision));
        }).detach();
    } else {
        store.put("servers", leaver.id(), lostBeat);
    }
    double acknowledged = 0;
    const std::vector<double> beats { 1.2, 2.4, drainAt, drainAt + 1.2, drainAt + 2.4, drainAt + 3.6,
        drainAt + 4.8 };
    for (double beat : beats) {
        sleepUntil(lost + beat);
        bool leaves = beat >= drainAt;
        auto revision = store.put("servers", leaver.id(), leaver.beat(leaves ? "draining" : "ready"));
        record("heartbeat %d (%s) of %s acknowledged: revision %llu", leaver.sequence(),
            leaves ? "draining" : "ready", leaver.id().c_str(), static_cast<unsigned long long>(revision));
        if (leaves && acknowledged == 0)
            acknowledged = now();
    }
    ending = true;
    sleepFor(1.3);

    int before = 0;
    int late = 0;
    for (const Arrival& arrival : leaver.arrivals()) {
        double sent = sentRequests.at(arrival.id).at;
        before += sent < acknowledged ? 1 : 0;
        if (sent <= acknowledged + drainSeconds)
            continue;
        ++late;
        record("%s, sent %.3f s after the acknowledgement of draining, reached %s at %.3f s",
            arrival.id.c_str(), sent - acknowledged, leaver.id().c_str(), arrival.at - acknowledged);
    }
    std::map<std::string, std::string> ranAt;
    for (auto& server : servers) {
        for (const Arrival& arrival : server->arrivals())
            ranAt[arrival.id] += " " + server->id();
    }
    int answered = 0;
    for (const auto& [id, sent] : sentRequests) {
        answered += sent.status == 200 ? 1 : 0;
        note("%s, sent %.3f s after the acknowledgement: status %d, ran at%s", id.c_str(),
            sent.at - acknowledged, sent.status, ranAt[id].c_str());
    }
    record("%zu requests, %d answered with 200; %d reached the leaving server before it said so, %d later "
           "than DrainMs after",
        sentRequests.size(), answered, before, late);
    if (before == 0)
        cannotRun("the leaving server had no work before");
    finish(late > 0 ? 1 : 0);
}
