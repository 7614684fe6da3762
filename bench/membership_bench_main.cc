// Measures membership, configuration relay, load table and rate shares in a simulated fleet within this
// process, whose messages, losses and delays follow a seed. Prints control traffic, time to detect a dead
// peer, time to distribute a configuration change, error of the rate shares, and processor time and memory.
// Each measurement prints its seed.

#include "base/log.h"
#include "coordination/testing/exchange.h"
#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <ctime>
#include <fstream>
#include <iostream>
#include <iterator>

namespace {

using namespace briarwharf;
using namespace briarwharf::testing;

constexpr double requestTokens = 500;

// Bytes that an instance sends for one call: request line and headers, plus the TCP and IP headers of the
// request and of the acknowledgement of the response. Connections are kept open, so their set-up is not
// counted.
constexpr double storeCallBytes = 150 + 2 * packetOverhead;
constexpr double loadPollBytes = 110 + 2 * packetOverhead;

double asSeconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

struct Settings {
    std::uint64_t seed = 1;
    std::size_t instances = 9;
    std::size_t upstreams = 16;
    std::size_t organisations = 10;
    double loss = 0;
    int duration = 60; // seconds of simulated time
};

// Time until members that start together know each other; a large fleet takes longer.
Milliseconds warmUp(const Settings& settings)
{
    return Milliseconds(settings.instances > 100 ? 60000 : 20000);
}

FleetSimulationOptions simulationOptions(const Settings& settings)
{
    FleetSimulationOptions options;
    options.seed = settings.seed;
    options.instances = settings.instances;
    options.domains = settings.instances > 100 ? 8 : 4;
    options.upstreams = settings.upstreams;
    options.organisations = settings.organisations;
    options.loss = settings.loss;
    return options;
}

void heading(const std::string& title, const Settings& settings)
{
    std::cout << title << ": seed " << settings.seed << ", " << settings.instances << " instances, "
              << settings.upstreams << " upstreams, " << settings.organisations << " organisations, loss "
              << settings.loss << "\n";
}

// Upstream loads as random walks: each poll changes the load of an upstream by up to 10%.
class RandomWalkLoads {
public:
    explicit RandomWalkLoads(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::uint32_t next(std::uint32_t upstream)
    {
        auto [entry, added] = m_tokens.emplace(upstream, 0);
        if (added)
            entry->second = 2000 + 20000 * m_random.unit();
        entry->second = std::clamp(entry->second * (0.9 + 0.2 * m_random.unit()), 500.0, 50000.0);
        return static_cast<std::uint32_t>(entry->second);
    }

    double at(std::uint32_t upstream) const { return m_tokens.at(upstream); }

private:
    Random m_random;
    std::unordered_map<std::uint32_t, double> m_tokens;
};

// Demand of all organisations, divided evenly among the instances. Organisation k, counted from 0, has
// 1 / (k + 1) of the demand of the largest one.
class Demand {
public:
    Demand(FleetSimulation& simulation, std::uint64_t seed, double largest)
        : m_simulation(simulation)
        , m_random(seed)
        , m_organisations(FleetSimulation::organisationHashes(simulation.options.organisations))
        , m_largest(largest)
    {
    }

    // Must be called after each step of the simulation.
    void step()
    {
        if (++m_steps % 10 != 0)
            return;
        for (std::size_t i = 0; i < m_simulation.size(); ++i)
            for (std::size_t k = 0; k < m_organisations.size(); ++k)
                arrive(m_simulation.at(i), k);
    }

private:
    void arrive(Instance& instance, std::size_t k)
    {
        if (!instance.running)
            return;
        double perInstance
            = m_largest / static_cast<double>(k + 1) / static_cast<double>(m_simulation.size());
        double expected = perInstance * 0.1 / requestTokens;
        for (double time = m_random.exponential(1); time < expected; time += m_random.exponential(1))
            instance.shares.admit(m_organisations[k], requestTokens, m_simulation.now());
    }

    FleetSimulation& m_simulation;
    Random m_random;
    std::vector<std::uint32_t> m_organisations;
    double m_largest;
    std::uint64_t m_steps = 0;
};

void resetTraffic(FleetSimulation& simulation)
{
    for (std::size_t i = 0; i < simulation.size(); ++i)
        simulation.at(i).traffic = {};
}

double residentMegabytes()
{
    std::ifstream status("/proc/self/statm");
    double pages = 0;
    status >> pages >> pages;
    constexpr double pageBytes = 4096;
    return pages * pageBytes / 1e6;
}

struct TrafficSum {
    double frames = 0;
    double acknowledgements = 0;
    double loads = 0;
    double usage = 0;
    double members = 0;
    double messages = 0;
    double store = 0;
    double polls = 0;

    double total() const { return frames + acknowledgements + store + polls; }
};

TrafficSum trafficOf(const Traffic& traffic, double seconds)
{
    TrafficSum sum;
    sum.frames = static_cast<double>(traffic.bytes) / seconds;
    sum.acknowledgements = static_cast<double>(traffic.acknowledgements) / seconds;
    sum.loads = static_cast<double>(traffic.loadBytes) / seconds;
    sum.usage = static_cast<double>(traffic.usageBytes) / seconds;
    sum.members = static_cast<double>(traffic.memberBytes) / seconds;
    sum.messages = static_cast<double>(traffic.messages) / seconds;
    sum.store = static_cast<double>(traffic.storeCalls) * storeCallBytes / seconds;
    sum.polls = static_cast<double>(traffic.polls) * loadPollBytes / seconds;
    return sum;
}

void print(const std::string& name, const TrafficSum& sum)
{
    std::cout << "  " << name << " B/s: total " << std::lround(sum.total()) << " = frames "
              << std::lround(sum.frames) << " (of these loads " << std::lround(sum.loads) << ", usage "
              << std::lround(sum.usage) << ", members " << std::lround(sum.members) << "; " << sum.messages
              << " messages/s) + acknowledgements " << std::lround(sum.acknowledgements) << " + store calls "
              << std::lround(sum.store) << " + load polls " << std::lround(sum.polls) << "\n";
}

void measureTraffic(const Settings& settings)
{
    heading("traffic", settings);
    double before = residentMegabytes();
    FleetSimulation simulation(simulationOptions(settings));
    RandomWalkLoads loads(settings.seed);
    simulation.tokensOf = [&loads](std::uint32_t upstream, MonotonicTime) { return loads.next(upstream); };
    Demand demand(simulation, settings.seed, 4000.0 * static_cast<double>(settings.instances));
    simulation.run(warmUp(settings), [&demand] { demand.step(); });
    resetTraffic(simulation);
    std::clock_t cpu = std::clock();
    simulation.run(std::chrono::seconds(settings.duration), [&demand] { demand.step(); });
    double cpuSeconds = static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC;

    auto instances = static_cast<double>(simulation.size());
    Traffic all;
    TrafficSum worst;
    double ageSum = 0;
    double maxAge = 0;
    std::size_t known = 0;
    std::vector<double> errors;
    auto upstreams = FleetSimulation::upstreamHashes(settings.upstreams);
    std::size_t maxLinks = 0;
    std::size_t maxTreeLinks = 0;
    for (std::size_t i = 0; i < simulation.size(); ++i) {
        const Traffic& traffic = simulation.at(i).traffic;
        all.messages += traffic.messages;
        all.bytes += traffic.bytes;
        all.acknowledgements += traffic.acknowledgements;
        all.loadBytes += traffic.loadBytes;
        all.usageBytes += traffic.usageBytes;
        all.memberBytes += traffic.memberBytes;
        all.storeCalls += traffic.storeCalls;
        all.polls += traffic.polls;
        TrafficSum sum = trafficOf(traffic, settings.duration);
        if (sum.total() > worst.total())
            worst = sum;
        maxLinks = std::max(maxLinks, simulation.at(i).membership.linkedPeers().size());
        maxTreeLinks = std::max(maxTreeLinks, simulation.at(i).membership.treeLinkCount());
        for (std::uint32_t upstream : upstreams) {
            auto load = simulation.at(i).loads.load(upstream, simulation.now());
            if (!load)
                continue;
            ++known;
            ageSum += asSeconds(load->age);
            maxAge = std::max(maxAge, asSeconds(load->age));
            errors.push_back(std::abs(load->tokens - loads.at(upstream)) / loads.at(upstream));
        }
    }
    print("mean ", trafficOf(all, settings.duration * instances));
    print("worst", worst);
    std::cout << "  links: at most " << maxLinks << ", in the tree at most " << maxTreeLinks
              << "; load entries known "
              << 100.0 * static_cast<double>(known) / (instances * static_cast<double>(upstreams.size()))
              << "%, age mean " << ageSum / static_cast<double>(std::max<std::size_t>(known, 1))
              << " s, most " << maxAge << " s\n";
    std::sort(errors.begin(), errors.end());
    if (!errors.empty())
        std::cout << "  load against the upstream's own: error median " << 100 * errors[errors.size() / 2]
                  << "%, 95th percentile " << 100 * errors[errors.size() * 95 / 100] << "%\n";
    std::cout << "  processor: " << 100 * cpuSeconds / settings.duration / instances
              << "% of a core per instance, exchange and coding included; memory "
              << (residentMegabytes() - before) / instances << " MB per instance\n";
}

void measureDetection(const Settings& settings)
{
    heading("detection of a silent peer", settings);
    int trials = settings.instances > 100 ? 3 : 20;
    double suspectedSum = 0;
    double maxSuspected = 0;
    double deadSum = 0;
    double maxDead = 0;
    for (int trial = 0; trial < trials; ++trial) {
        Settings trialSettings = settings;
        trialSettings.seed = settings.seed + static_cast<std::uint64_t>(trial);
        FleetSimulation simulation(simulationOptions(trialSettings));
        simulation.run(Milliseconds(10000));
        std::size_t killedIndex = trialSettings.seed % simulation.size();
        std::string id = FleetSimulation::idOf(killedIndex);
        simulation.kill(killedIndex);
        MonotonicTime killed = simulation.now();
        double suspected = 0;
        double dead = 0;
        while (dead == 0 && asSeconds(simulation.now() - killed) < 60) {
            simulation.run(Milliseconds(10));
            std::size_t deadViews = 0;
            for (std::size_t i = 0; i < simulation.size(); ++i) {
                if (i == killedIndex)
                    continue;
                MemberState state = simulation.at(i).membership.members().at(id).state;
                if (suspected == 0 && state == MemberState::Suspect)
                    suspected = asSeconds(simulation.now() - killed);
                deadViews += state == MemberState::Dead ? 1 : 0;
            }
            if (deadViews + 1 == simulation.size())
                dead = asSeconds(simulation.now() - killed);
        }
        suspectedSum += suspected;
        maxSuspected = std::max(maxSuspected, suspected);
        deadSum += dead;
        maxDead = std::max(maxDead, dead);
    }
    std::cout << "  " << trials << " trials: first suspicion after " << suspectedSum / trials << " s (most "
              << maxSuspected << "), dead at all after " << deadSum / trials << " s (most " << maxDead
              << ")\n";
}

void measureFalseSuspicions(const Settings& settings)
{
    heading("false suspicions", settings);
    FleetSimulation simulation(simulationOptions(settings));
    simulation.run(warmUp(settings));
    std::map<std::pair<std::size_t, std::string>, MemberState> last;
    std::size_t suspicions = 0;
    std::size_t deaths = 0;
    std::uint64_t steps = 0;
    simulation.run(std::chrono::seconds(settings.duration), [&] {
        if (++steps % 10 != 0)
            return;
        for (std::size_t i = 0; i < simulation.size(); ++i)
            for (const auto& [id, view] : simulation.at(i).membership.members()) {
                MemberState& known = last[{ i, id }];
                bool changed = view.state != known;
                suspicions += changed && view.state == MemberState::Suspect ? 1 : 0;
                deaths += changed && view.state == MemberState::Dead ? 1 : 0;
                known = view.state;
            }
    });
    std::size_t wrong = 0;
    for (std::size_t i = 0; i < simulation.size(); ++i)
        for (const auto& [id, view] : simulation.at(i).membership.members())
            wrong += view.state == MemberState::Alive ? 0 : 1;
    double hours = static_cast<double>(settings.duration) / 3600;
    std::cout << "  " << settings.duration << " s: views that turned to suspect " << suspicions << " ("
              << static_cast<double>(suspicions) / static_cast<double>(simulation.size()) / hours
              << " per instance and hour), to dead " << deaths << "; not alive at the end " << wrong << "\n";
}

// Also counts the instances that report a younger confirmation of the store's head than they have.
void measureSpread(const Settings& settings)
{
    heading("configuration spread", settings);
    FleetSimulation simulation(simulationOptions(settings));
    simulation.run(warmUp(settings));
    std::size_t watchers = 0;
    for (std::size_t i = 0; i < simulation.size(); ++i)
        watchers += simulation.at(i).relay.watches() ? 1 : 0;
    int commits = 20;
    double sum = 0;
    double maxSpread = 0;
    double maxAge = 0;
    std::uint64_t notCurrent = 0;
    std::uint64_t observed = 0;
    std::uint64_t tooFreshReports = 0;
    for (int commit = 0; commit < commits; ++commit) {
        simulation.commit();
        MonotonicTime committed = simulation.now();
        double spread = 0;
        simulation.run(Milliseconds(4700), [&] {
            bool everywhere = true;
            for (std::size_t i = 0; i < simulation.size(); ++i) {
                const ConfigurationRelay& relay = simulation.at(i).relay;
                everywhere = everywhere && relay.revision() == simulation.head();
                auto age = relay.confirmedAge(simulation.now());
                ++observed;
                notCurrent += relay.current(simulation.now()) ? 0 : 1;
                if (!age)
                    continue;
                maxAge = std::max(maxAge, asSeconds(*age));
                bool missed = relay.revision() < simulation.head()
                    && simulation.committedAt(relay.revision() + 1) < simulation.now() - *age;
                tooFreshReports += missed ? 1 : 0;
            }
            if (everywhere && spread == 0)
                spread = asSeconds(simulation.now() - committed);
        });
        sum += spread == 0 ? 4.7 : spread;
        maxSpread = std::max(maxSpread, spread == 0 ? 4.7 : spread);
    }
    std::cout << "  " << watchers << " watchers; " << commits << " changes in force everywhere after "
              << sum / commits << " s (most " << maxSpread << "); head confirmation at most " << maxAge
              << " s old, not current "
              << 100 * static_cast<double>(notCurrent) / static_cast<double>(observed)
              << "% of the time, claimed too fresh " << tooFreshReports << " times\n";
}

struct SharePhase {
    const char* name;
    double demand; // ratio of the fleet's demand to the limit
    double surge; // factor on the demand at instance 0
    int seconds;
};

void measureShares(const Settings& settings)
{
    heading("shares", settings);
    constexpr double limit = 100000;
    FleetSimulation simulation(simulationOptions(settings));
    std::uint32_t organisation = FleetSimulation::organisationHashes(1).front();
    Random random(settings.seed + 7);
    auto phase = [&](const SharePhase& given) {
        double admitted = 0;
        double offered = 0;
        double worst = 0;
        double window = 0;
        std::uint64_t steps = 0;
        simulation.run(std::chrono::seconds(given.seconds), [&] {
            ++steps;
            for (std::size_t i = 0; i < simulation.size(); ++i) {
                Instance& instance = simulation.at(i);
                if (!instance.running || simulation.now() < instance.pausedUntil)
                    continue;
                double rate = given.demand * limit / static_cast<double>(simulation.size());
                rate *= i == 0 ? given.surge : 1;
                double expected = rate * 0.01 / requestTokens;
                for (double time = random.exponential(1); time < expected; time += random.exponential(1)) {
                    offered += requestTokens;
                    bool taken = instance.shares.admit(organisation, requestTokens, simulation.now());
                    admitted += taken ? requestTokens : 0;
                    window += taken ? requestTokens : 0;
                }
            }
            constexpr std::uint64_t stepsPerWindow = 500;
            if (steps % stepsPerWindow == 0) {
                worst = std::max(worst, window / (limit * 5));
                window = 0;
            }
        });
        double possible = std::min(offered, limit * given.seconds);
        std::cout << "  " << given.name << ": offered " << offered / (limit * given.seconds)
                  << " of the limit, admitted " << admitted / (limit * given.seconds) << ", error "
                  << 100 * (admitted - possible) / possible << "%; busiest 5 s " << worst << "\n";
    };
    phase({ "start", 3, 1, 20 });
    phase({ "steady, demand three times the limit", 3, 1, 30 });
    phase({ "demand at 80% of the limit", 0.8, 1, 30 });
    phase({ "surge at one instance", 0.8, 1 + static_cast<double>(simulation.size()) * 2, 30 });
    phase({ "after the surge", 3, 1, 30 });
    simulation.kill(1);
    phase({ "one peer killed", 3, 1, 30 });
    simulation.replace(1);
    simulation.at(1).running = true;
    phase({ "the peer replaced", 3, 1, 30 });
    simulation.pause(2, Milliseconds(10000));
    phase({ "one peer paused for 10 s", 3, 1, 30 });
    for (std::size_t i = 0; i < simulation.size(); ++i)
        simulation.at(i).partition = static_cast<int>(i);
    phase({ "nobody hears another", 3, 1, 30 });
}

using MeasurementFunction = void (*)(const Settings&);
const std::map<std::string, MeasurementFunction> measurements = {
    { "traffic", measureTraffic },
    { "detection", measureDetection },
    { "suspicions", measureFalseSuspicions },
    { "spread", measureSpread },
    { "shares", measureShares },
};

} // namespace

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    Settings settings;
    std::string part;
    options::options_description description("membership-bench");
    auto add = description.add_options();
    add("help", "print this help");
    add("part", options::value(&part)->default_value("all"),
        "traffic, detection, suspicions, spread, shares or all");
    add("seed", options::value(&settings.seed)->default_value(1));
    add("instances", options::value(&settings.instances)->default_value(9));
    add("upstreams", options::value(&settings.upstreams)->default_value(16));
    add("organisations", options::value(&settings.organisations)->default_value(10));
    add("loss", options::value(&settings.loss)->default_value(0), "probability that a message is lost");
    add("duration", options::value(&settings.duration)->default_value(60), "seconds of simulated time");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, description), given);
    options::notify(given);
    if (given.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    configureLogging("warning");
    for (const auto& [name, measure] : measurements)
        if (part == "all" || part == name)
            measure(settings);
    return 0;
}
