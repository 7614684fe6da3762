#pragma once

#include "coordination/coordination.h"
#include "version/index.h"
#include "version/version.h"
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarwharf {

// The configuration in force at this instance: the state machine of the configuration log. The revision only
// rises; an outage of the store leaves the revision in force as it is.
class ConfigService : private LogStateMachine {
public:
    using ChangeCallback = std::function<void(std::shared_ptr<const ConfigIndex>)>;
    // The revision at which the commands took effect. Errors: those of applyCommands(), and Unavailable (not
    // written) or Unknown (may have been written: see SHOW REVISION).
    using SubmitCallback = std::function<void(Result<std::uint64_t>)>;

    // Called with each revision that is put in force, the first one included.
    ConfigService(Store&, const std::string& keyPrefix, MonotonicClock, ChangeCallback);

    void start() { m_log.start(); }
    void tick() { m_log.tick(); }
    void follow(LogFollow mode) { m_log.follow(mode); }

    // True once a configuration was loaded from the store or from a peer.
    bool loaded() const { return m_log.loaded(); }
    std::uint64_t revision() const { return m_log.head(); }
    std::shared_ptr<const ConfigIndex> index() const { return m_index; }

    void submit(std::vector<Command>, const ChangeOrigin&, MonotonicTime deadline, SubmitCallback);

    Log& log() { return m_log; }

    // Puts what the log has applied since the last call in force; called after each of its callbacks.
    void publish();

private:
    Status apply(const LogPosition&, std::string_view command) override;
    void recordApplied(std::uint64_t number) override;
    std::vector<std::string> snapshot() const override;
    Status restore(std::uint64_t number, const std::vector<std::string>& pages) override;

    Config m_config;
    std::shared_ptr<const ConfigIndex> m_index;
    ChangeCallback m_onChange;
    Log m_log;
};

} // namespace briarwharf
