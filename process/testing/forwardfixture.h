#pragma once

#include "connection/testing/loop.h"
#include "process/process.h"
#include "standins/scriptedserver.h"
#include <memory>
#include <string>
#include <vector>

namespace briarwharf {

// The contents of a directory source, set by the test. Several daemons may follow the same one.
struct FakeDirectory {
    RoutingConfig routing;
    std::vector<UpstreamEntry> upstreams;
    std::uint64_t revision = 1;
    std::vector<SavedQuarantine> quarantines;
    std::optional<EvacuationChanges> evacuations; // nullopt: not reported
    bool unreachable = false; // publishes nothing and confirms nothing
    std::vector<DirectoryCallbacks*> followers;

    void publishRouting();
    void publishUpstreams();
    void publishEvacuations(std::vector<std::string> domains);
    // The contents are those of an older copy; the saved quarantines are listed again.
    void publishRestored();
};

// A directory source that reports the contents of a FakeDirectory.
class FakeSource : public DirectorySource {
public:
    explicit FakeSource(FakeDirectory& directory)
        : m_directory(directory)
    {
    }
    ~FakeSource() override;

    ForwardingHeaders headers() const override { return {}; }
    void start(DirectoryCallbacks) override;
    void follow(WatchDuty) override { }
    std::optional<MonotonicTime> confirmedAt() const override;
    void save(const SavedQuarantine&, std::function<void(Status)>) override;
    void remove(const SavedQuarantine&, std::function<void(Status)>) override;
    void leave() override { hasLeft = true; }
    void setEndpoint(const Endpoint&) override { }
    Result<RoutingConfig> decodeRouting(std::string_view document) const override;
    bool reachable() const override { return !m_directory.unreachable; }
    DirectoryCounters counters() const override { return {}; }

    bool hasLeft = false;

private:
    FakeDirectory& m_directory;
    DirectoryCallbacks m_callbacks;
};

// The answer that a caller received.
struct CallerAnswer : OutgoingEvents {
    HttpHead head;
    std::string body;
    bool complete = false;
    bool failed = false;
    ExchangeFailure failure; // if failed
    std::unique_ptr<OutgoingExchange> exchange;

    bool done() const { return complete || failed; }
    void answerHead(const HttpHead& value) override { head = value; }
    void answerBody(std::string_view bytes) override { body += bytes; }
    void answerEnd() override { complete = true; }
    void exchangeFailed(const ExchangeFailure& value) override
    {
        failed = true;
        failure = value;
    }
};

// Daemons that forward to scripted upstreams; callers connect through loopback sockets.
class ForwardFixture {
public:
    ForwardFixture();
    ~ForwardFixture();

    // Adds an upstream to the pool "desk"; `Handler` gives its answers.
    ScriptedServer& addUpstream(const std::string& id, ScriptedServer::Handler);
    // Adds an upstream's entry without starting a server for it.
    void addEntry(const std::string& id, const Endpoint&);

    // Starts another daemon. `seeds`: its settings list the addresses of the daemons started before it.
    ForwardDaemon& startDaemon(bool seeds = false, FakeDirectory* directory = nullptr);
    void waitReady(ForwardDaemon&);
    // Destroys all daemons, as when their processes exit.
    void stopDaemons() { m_daemons.clear(); }

    std::shared_ptr<CallerAnswer> send(ForwardDaemon&, const std::string& target,
        const std::string& body = {}, const std::string& extraLines = {});
    std::shared_ptr<CallerAnswer> call(ForwardDaemon&, const std::string& target,
        const std::string& body = {}, const std::string& extraLines = {});
    std::shared_ptr<CallerAnswer> admin(ForwardDaemon&, const std::string& target);

    template <typename Condition> void runUntil(Condition condition)
    {
        briarwharf::runUntil(m_base.get(), condition);
    }

    event_base* base() { return m_base.get(); }
    FakeDirectory directory;
    // Of the daemons started from now on.
    Milliseconds shutdownGrace { 8000 };
    bool followsEvacuations = false;
    double hedgeRatio = 0;
    std::string settingsFile; // read by reload(); may be empty

    static constexpr const char* host = "desk.example";
    static constexpr const char* key = "key-of-saqib";

private:
    std::shared_ptr<CallerAnswer> start(std::uint16_t port, const std::string& head, const std::string& body);

    Base m_base;
    HttpPool m_pool;
    std::vector<std::unique_ptr<ScriptedServer>> m_servers;
    std::vector<std::unique_ptr<ForwardDaemon>> m_daemons;
    std::vector<std::shared_ptr<CallerAnswer>> m_answers;
    std::vector<Endpoint> m_peerAddresses;
    int m_requests = 0;
};

// An upstream's complete answer to the request, with the signature that a 2xx answer needs.
std::string upstreamAnswer(
    const ScriptedRequest&, int status, const std::string& body, const std::string& extraLines = {});
// The head of an upstream's answer with a stream of events.
std::string streamHead(const ScriptedRequest&);
std::string streamEvents(int first, int last); // in HTTP chunks, one per event
std::string streamEnd();

} // namespace briarwharf
