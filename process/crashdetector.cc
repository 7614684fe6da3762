#include "process/crashdetector.h"

#include "base/base.h"
#include <unordered_set>
#include <utility>

namespace briarwharf {

namespace {

    // A process that ends may close its connections shortly before its listening socket.
    constexpr Milliseconds checkDelay { 50 };
    constexpr Milliseconds connectTimeout { 500 };
    // Further connections to the same upstream that break in this time belong to the same crash.
    constexpr Milliseconds checkLifetime { 1500 };

    constexpr std::size_t maxChecks = 256;

} // namespace

// Connects to an upstream once.
class CrashDetector::Check : public TcpStreamEvents {
public:
    Check(CrashDetector& detector, Endpoint endpoint, std::uint32_t upstream)
        : m_detector(detector)
        , m_endpoint(std::move(endpoint))
        , m_upstream(upstream)
        , m_brokeAt(clockNow())
        , m_timer(detector.m_base, [this] { connect(); })
    {
        m_timer.start(checkDelay);
    }

    void addSegments(std::span<const std::uint64_t> segments)
    {
        std::vector<std::uint64_t> added;
        for (std::uint64_t segment : segments) {
            if (m_known.insert(segment).second)
                added.push_back(segment);
        }
        m_segments.insert(m_segments.end(), added.begin(), added.end());
        if (m_ended && !added.empty())
            m_detector.m_callback(m_upstream, added, m_brokeAt);
    }

    bool isFinished(MonotonicTime now) const { return now - m_brokeAt >= checkLifetime; }

    void streamConnected() override { m_timer.start(Milliseconds(0)); }
    void streamReceived(std::string_view) override { }
    void streamEnded() override { }
    void streamFailed(std::string_view) override
    {
        m_timer.start(Milliseconds(0));
        if (!m_stream->wasRefused() || std::exchange(m_ended, true))
            return;
        LogLine(LogLevel::Info, "request", "upstream-ended")
            .field("address", printEndpoint(m_endpoint))
            .field("segments", m_segments.size());
        m_detector.m_callback(m_upstream, m_segments, m_brokeAt);
    }

private:
    void connect()
    {
        if (std::exchange(m_connecting, true))
            return m_stream.reset(); // the result is known
        TcpOptions options;
        options.connectTimeout = connectTimeout;
        auto stream
            = TcpStream::connect(m_detector.m_base, m_endpoint.address, m_endpoint.port, options, *this);
        if (stream)
            m_stream = std::move(stream.value());
    }

    CrashDetector& m_detector;
    Endpoint m_endpoint;
    std::uint32_t m_upstream;
    MonotonicTime m_brokeAt;
    Timer m_timer;
    std::unique_ptr<TcpStream> m_stream;
    std::vector<std::uint64_t> m_segments; // of the requests that broke off, in their order
    std::unordered_set<std::uint64_t> m_known; // the same
    bool m_connecting = false;
    bool m_ended = false; // the upstream refused the connection
};

CrashDetector::CrashDetector(event_base* base, Callback callback)
    : m_base(base)
    , m_callback(std::move(callback))
    , m_cleanupTimer(base, [this] { removeFinished(); })
{
}

CrashDetector::~CrashDetector() = default;

void CrashDetector::connectionBroke(
    const Endpoint& endpoint, std::uint32_t upstream, std::span<const std::uint64_t> segments)
{
    auto check = m_checks.find(upstream);
    if (check == m_checks.end()) {
        if (m_checks.size() >= maxChecks) {
            ++m_skippedUpstreams;
            LogLine(LogLevel::Warning, "request", "crash-check-skipped")
                .field("address", printEndpoint(endpoint))
                .field("limit", maxChecks);
            return;
        }
        check = m_checks.emplace(upstream, std::make_unique<Check>(*this, endpoint, upstream)).first;
        m_cleanupTimer.start(checkLifetime);
    }
    check->second->addSegments(segments);
}

void CrashDetector::removeFinished()
{
    MonotonicTime now = clockNow();
    std::erase_if(m_checks, [now](const auto& check) { return check.second->isFinished(now); });
    if (!m_checks.empty())
        m_cleanupTimer.start(checkLifetime);
}

} // namespace briarwharf
