#include "process/configservice.h"

#include "base/base.h"
#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    LogOptions logOptions(const std::string& keyPrefix)
    {
        LogOptions options;
        options.name = keyPrefix + "-configuration";
        options.writer = randomToken();
        return options;
    }

} // namespace

ConfigService::ConfigService(
    Store& store, const std::string& keyPrefix, MonotonicClock clock, ChangeCallback onChange)
    : m_onChange(std::move(onChange))
    , m_log(logOptions(keyPrefix), store, *this, std::move(clock))
{
}

std::uint64_t ConfigService::revision() const
{
    return m_log.loaded() || !m_index ? m_log.head() : m_index->revision();
}

void ConfigService::submit(std::vector<Command> commands, const ChangeOrigin& origin, MonotonicTime deadline,
    SubmitCallback callback)
{
    if (!m_log.loaded() && m_index)
        return callback(Error { ErrorKind::Unavailable,
            "the store came back from an older copy and the configuration is read again, nothing was "
            "written: "
            "retry" });
    // A command that fails against the applied configuration would fail in the log as well, unless a command
    // that this instance does not know yet precedes it there. Refusing it here saves a write to the store.
    auto checked = applyCommands(m_config, commands, origin);
    if (!checked)
        return callback(checked.error());
    m_log.append(encodeRecord({ std::move(commands), origin }), deadline,
        [this, callback = std::move(callback)](Result<LogPosition> position) {
            publish();
            if (!position)
                return callback(position.error());
            callback(position.value().number);
        });
}

void ConfigService::publish()
{
    if (!m_log.loaded())
        return;
    // After a restore of the store, another state may have the same revision.
    std::uint64_t restores = m_log.statistics().restores;
    if (m_index && m_index->revision() == m_config.revision && restores == m_publishedRestores)
        return;
    m_publishedRestores = restores;
    m_index = std::make_shared<ConfigIndex>(std::make_shared<Config>(m_config));
    BW_LOG(INFO, "config") << "revision " << m_config.revision << " is in force";
    m_onChange(m_index);
}

Status ConfigService::apply(const LogPosition& position, std::string_view command)
{
    // A record of the log may hold several commands. Each is applied as the direct successor of the previous
    // revision, so that all of them take effect at the number of the record.
    Config before = m_config;
    before.revision = position.number - 1;
    auto applied = applyRecord(before, position.number, command);
    if (!applied) {
        BW_LOG(ERROR, "config") << "record " << position.number
                                << " was not applied: " << applied.error().message;
        return applied.error();
    }
    m_config = std::move(applied.value().config);
    if (applied.value().refusal)
        return *applied.value().refusal;
    return ok();
}

void ConfigService::recordApplied(std::uint64_t number) { m_config.revision = number; }

std::vector<std::string> ConfigService::snapshot() const
{
    std::string encoded = encodeSnapshot(m_config);
    std::vector<std::string> pages;
    for (std::size_t start = 0; start < encoded.size(); start += maxSnapshotPageBytes)
        pages.push_back(encoded.substr(start, maxSnapshotPageBytes));
    return pages;
}

Status ConfigService::restore(std::uint64_t number, const std::vector<std::string>& pages)
{
    std::string encoded;
    for (const auto& page : pages)
        encoded += page;
    auto decoded = decodeSnapshot(encoded);
    if (!decoded)
        return decoded.error();
    m_config = std::move(decoded.value());
    m_config.revision = number;
    return ok();
}

} // namespace briarwharf
