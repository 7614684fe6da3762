#pragma once

#include "base/hash.h"
#include "coordination/coordination.h"
#include <functional>
#include <memory>
#include <queue>

// An in-process exchange of messages between decision objects, with an injected clock and seeded faults. Used
// by the fault tests and by the membership benchmark; it stands in for connections, the store and the
// platform's list, and decides nothing itself.
namespace briarwharf::testing {

struct ExchangeOptions {
    std::uint64_t seed = 1;
    std::size_t instances = 9;
    std::size_t domains = 4;
    std::size_t upstreams = 16;
    std::size_t organisations = 10;
    double loss = 0; // of each message; harsher than TCP, which delays instead
    Milliseconds delay { 1 };
    Milliseconds jitter { 2 }; // mean of an exponential addition
    bool reorder = false; // otherwise a link keeps the order
    Milliseconds watchTimeout { 1000 };
    MembershipOptions membership;
    RelayOptions relay;
    LoadTableOptions loads;
    RateShareOptions shares;
};

// Bytes of TCP and IP headers for each write, and for the pure acknowledgement of a received one.
constexpr std::size_t packetOverhead = 40;

struct Traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; // frames with packetOverhead for each write
    std::uint64_t acknowledgements = 0; // packetOverhead for each frame received
    std::uint64_t loadBytes = 0; // part of `bytes`
    std::uint64_t usageBytes = 0; // part of `bytes`
    std::uint64_t memberBytes = 0; // part of `bytes`, estimated
    std::uint64_t storeCalls = 0;
    std::uint64_t polls = 0; // of upstreams' loads
};

struct Instance {
    Instance(const ExchangeOptions&, InstanceIdentity, std::uint64_t seed);

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
    std::vector<std::function<void()>> deferred; // while paused
};

class Exchange {
public:
    explicit Exchange(const ExchangeOptions&);

    MonotonicTime now() const { return m_now; }
    std::size_t size() const { return m_instances.size(); }
    Instance& at(std::size_t index) { return *m_instances[index]; }
    static std::string idOf(std::size_t index) { return "entry-" + std::to_string(index); }

    // Advances the clock in steps of 10 ms, calling `onStep` after each.
    void run(Milliseconds, const std::function<void()>& onStep = {});

    void kill(std::size_t index); // its links go silent; nothing is closed
    void replace(std::size_t index, std::int64_t clockStepMs = 1); // same id, new incarnation
    void pause(std::size_t index, Milliseconds);
    void halfOpen(std::size_t left, std::size_t right); // the present link carries nothing more
    void breakAllLinks(double probability);

    // Appends a record at the store.
    void commit();
    std::uint64_t head() const { return m_log.size(); }
    // When record `number` was created.
    MonotonicTime committedAt(std::uint64_t number) const { return m_log[number - 1]; }
    bool storeUp = true;
    std::function<std::uint32_t(std::uint32_t upstream, MonotonicTime)> tokensOf;
    ExchangeOptions options;

    static std::vector<std::uint32_t> upstreamHashes(std::size_t count);
    static std::vector<std::uint32_t> organisationHashes(std::size_t count);

private:
    struct Connection {
        std::uint64_t number = 0;
        bool up[2] = { false, false }; // seen by the lower and the higher index
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
    void store(std::size_t index);
    void apply(std::size_t index, const std::vector<LogRecordT>&, const std::string& from);
    void forgetLinks(std::size_t index);
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
