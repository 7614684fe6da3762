#pragma once

#include "connection/testing/loop.h"
#include "process/process.h"
#include "standins/scriptedserver.h"
#include <memory>
#include <string>
#include <vector>

namespace briarwharf {

// A source of directories that a test fills by hand. Several daemons may follow the same one.
struct FakeDirectory {
    RoutingConfig routing;
    std::vector<UpstreamEntry> upstreams;
    std::uint64_t revision = 1;
    bool unreachable = false; // tells nothing
    std::vector<DirectoryCallbacks*> followers;

    void publishRouting();
    void publishUpstreams();
};

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

// What a caller saw.
struct CallerAnswer : OutgoingEvents {
    HttpHead head;
    std::string body;
    bool complete = false;
    bool failed = false;
    std::unique_ptr<OutgoingExchange> exchange;

    bool done() const { return complete || failed; }
    void answerHead(const HttpHead& value) override { head = value; }
    void answerBody(std::string_view bytes) override { body += bytes; }
    void answerEnd() override { complete = true; }
    void exchangeFailed(const ExchangeFailure&) override { failed = true; }
};

// Daemons that forward to scripted upstreams, with callers over real loopback sockets.
class ForwardFixture {
public:
    ForwardFixture();
    ~ForwardFixture();

    // Adds an upstream that answers as the handler says, to the pool "desk".
    ScriptedServer& addUpstream(const std::string& id, ScriptedServer::Handler);
    // An upstream of which only the entry exists.
    void addEntry(const std::string& id, const Endpoint&);

    // Starts one more daemon. `seeds`: it knows the daemons before it.
    ForwardDaemon& startDaemon(bool seeds = false, FakeDirectory* directory = nullptr);
    void waitReady(ForwardDaemon&);
    // Destroys all daemons, as at the end of their processes.
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

// A whole answer of an upstream to the request, with the signature that a success needs.
std::string upstreamAnswer(
    const ScriptedRequest&, int status, const std::string& body, const std::string& extraLines = {});
// The head of a stream of events.
std::string streamHead(const ScriptedRequest&);
std::string streamEvents(int first, int last); // in chunks
std::string streamEnd();

} // namespace briarwharf
