#pragma once

#include "base/hash.h"
#include "coordination/coordination.h"
#include <functional>
#include <memory>
#include <queue>

// An in-process simulation of a fleet: it passes messages between the protocol objects of its instances, with
// an injected clock and seeded faults. It replaces the connections, the store and the platform's list, and
// contains no protocol logic of its own. Used by the fault tests and the membership benchmark.
namespace briarwharf::testing {

struct FleetSimulationOptions {
    std::uint64_t seed = 1;
    std::size_t instances = 9;
    std::size_t domains = 4;
    std::size_t upstreams = 16;
    std::size_t organisations = 10;
    double loss = 0; // probability for each message; harsher than TCP, which delays messages instead
    Milliseconds delay { 1 };
    Milliseconds jitter { 2 }; // mean of an exponentially distributed addition to `delay`
    bool reorder = false; // if false, each link preserves the order of messages
    Milliseconds watchTimeout { 1000 };
    MembershipOptions membership;
    RelayOptions relay;
    LoadTableOptions loads;
    RateShareOptions shares;
};

// Bytes of TCP and IP headers per write, and per pure acknowledgement of a received frame.
constexpr std::size_t packetOverhead = 40;

struct Traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; // frames, plus packetOverhead for each write
    std::uint64_t acknowledgements = 0; // packetOverhead for each frame received
    std::uint64_t loadBytes = 0; // included in `bytes`
    std::uint64_t usageBytes = 0; // included in `bytes`
    std::uint64_t memberBytes = 0; // included in `bytes`, estimated
    std::uint64_t storeCalls = 0;
    std::uint64_t polls = 0; // polls of upstreams for their load
};

struct Instance {
    Instance(const FleetSimulationOptions&, InstanceIdentity, std::uint64_t seed);

    Outbox outbox;
    Membership membership;
    ConfigurationRelay relay;
    LoadTable loads;
    RateShare shares;
    UpstreamHealth health;
    bool running = true;
    bool leaves = false;
    bool storeReachable = true;
    bool receivesList = true;
    MonotonicTime pausedUntil;
    MonotonicTime nextWatch;
    MonotonicTime nextList;
    MonotonicTime nextPolls;
    MonotonicTime started;
    int partition = 0;
    Traffic traffic;
    std::uint64_t highestRevision = 0;
    // Events that arrived while the instance was paused; run when it resumes.
    std::vector<std::function<void()>> deferred;
};

class FleetSimulation {
public:
    explicit FleetSimulation(const FleetSimulationOptions&);

    MonotonicTime now() const { return m_now; }
    std::size_t size() const { return m_instances.size(); }
    Instance& at(std::size_t index) { return *m_instances[index]; }
    static std::string idOf(std::size_t index) { return "entry-" + std::to_string(index); }

    // Advances the clock in steps of 10 ms, calling `onStep` after each.
    void run(Milliseconds, const std::function<void()>& onStep = {});

    void kill(std::size_t index); // its links become silent; no connection is closed
    void replace(std::size_t index, std::int64_t clockStepMs = 1); // same id, new incarnation
    void pause(std::size_t index, Milliseconds);
    void makeHalfOpen(std::size_t left, std::size_t right); // the current link drops all messages from now on
    void breakLinks(double probability);

    // Appends a record at the store.
    void commit();
    std::uint64_t head() const { return m_log.size(); }
    // When record `number` was created.
    MonotonicTime committedAt(std::uint64_t number) const { return m_log[number - 1]; }
    bool storeUp = true;
    std::function<std::uint32_t(std::uint32_t upstream, MonotonicTime)> tokensOf;
    FleetSimulationOptions options;

    static std::vector<std::uint32_t> upstreamHashes(std::size_t count);
    static std::vector<std::uint32_t> organisationHashes(std::size_t count);

private:
    struct Connection {
        std::uint64_t number = 0;
        bool up[2] = { false, false }; // as seen by the instance with the lower and the higher index
        bool silent = false;
        MonotonicTime lastArrival[2];
    };
    struct Message {
        MonotonicTime at;
        std::uint64_t order = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t connection = 0;
        std::string bytes;
        bool operator>(const Message& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    std::size_t indexOf(const std::string& id) const { return std::stoul(id.substr(6)); }
    Connection& connection(std::size_t left, std::size_t right);
    bool reachable(std::size_t from, std::size_t to) const;
    void step();
    void tick(std::size_t index);
    void deliver(const Message&);
    void flush(std::size_t index);
    void account(Traffic&, const PeerFrameT&, std::size_t bytes) const;
    void dial(std::size_t from, std::size_t to);
    void close(std::size_t from, std::size_t to);
    void callStore(std::size_t index);
    void apply(std::size_t index, const std::vector<LogRecordT>&, const std::string& from);
    void dropLinks(std::size_t index);
    std::unique_ptr<Instance> start(std::size_t index, std::uint64_t incarnation);
    std::vector<ListedInstance> list() const;
    std::vector<LogRecordT> records(std::uint64_t from) const;
    static InstanceIdentity identity(std::size_t index, std::size_t domains, std::uint64_t incarnation);

    Random m_random;
    MonotonicTime m_now { std::chrono::hours(1) };
    std::uint64_t m_step = 0;
    std::uint64_t m_order = 0;
    std::uint64_t m_connections = 0;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::map<std::pair<std::size_t, std::size_t>, Connection> m_pairs;
    std::priority_queue<Message, std::vector<Message>, std::greater<>> m_messages;
    std::vector<MonotonicTime> m_log;
    std::vector<std::uint64_t> m_incarnations;
};

} // namespace briarwharf::testing
