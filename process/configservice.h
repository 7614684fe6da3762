#pragma once

#include "coordination/coordination.h"
#include "version/index.h"
#include "version/version.h"
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarwharf {

// The configuration in force at this instance, implemented as the state machine of the configuration log. The
// revision never decreases. While the store is unavailable, or the log is read again because the store came
// back from an older copy, the revision in force stays in force.
class ConfigService : private LogStateMachine {
public:
    using ChangeCallback = std::function<void(std::shared_ptr<const ConfigIndex>)>;
    // Receives the revision at which the commands took effect. Errors: those of applyCommands(), Unavailable
    // (the commands were not written) and Unknown (they may have been written: SHOW REVISION tells).
    using SubmitCallback = std::function<void(Result<std::uint64_t>)>;

    // `onChange` is called with each revision that is put in force, including the first one.
    ConfigService(Store&, const std::string& keyPrefix, MonotonicClock, ChangeCallback);

    void start() { m_log.start(); }
    void tick() { m_log.tick(); }
    void follow(LogFollow mode) { m_log.follow(mode); }

    // True after a configuration has been loaded from the store or from a peer.
    bool loaded() const { return m_log.loaded(); }
    std::uint64_t revision() const;
    std::shared_ptr<const ConfigIndex> index() const { return m_index; }

    void submit(std::vector<Command>, const ChangeOrigin&, MonotonicTime deadline, SubmitCallback);

    Log& log() { return m_log; }

    // Puts the configuration in force that the log has applied since the last call. Must be called after each
    // callback of the log.
    void publish();

private:
    Status apply(const LogPosition&, std::string_view command) override;
    void recordApplied(std::uint64_t number) override;
    std::vector<std::string> snapshot() const override;
    Status restore(std::uint64_t number, const std::vector<std::string>& pages) override;

    Config m_config; // state of the log; may be newer than m_index until publish()
    std::shared_ptr<const ConfigIndex> m_index; // in force
    std::uint64_t m_publishedRestores = 0; // LogStatistics::restores when m_index was put in force
    ChangeCallback m_onChange;
    Log m_log;
};

} // namespace briarwharf
