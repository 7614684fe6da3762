#pragma once

#include "base/json.h"
#include "coordination/log.h"
#include <algorithm>

namespace briarwharf {

// State machine for tests. Its state is the list of the applied commands; it refuses the command "bad".
class ListMachine : public LogStateMachine {
public:
    Status apply(const LogPosition&, std::string_view command) override
    {
        if (command == "bad")
            return Error { ErrorKind::InvalidArgument, "the command is bad" };
        m_commands.emplace_back(command);
        return ok();
    }

    // One page for every eight commands, so that full pages do not change.
    std::vector<std::string> snapshot() const override
    {
        std::vector<std::string> pages;
        for (std::size_t start = 0; start < m_commands.size(); start += 8) {
            auto end = std::min(start + 8, m_commands.size());
            pages.push_back(dumpJson(
                Json(std::vector<std::string>(m_commands.begin() + static_cast<std::ptrdiff_t>(start),
                    m_commands.begin() + static_cast<std::ptrdiff_t>(end)))));
        }
        return pages;
    }

    Status restore(std::uint64_t, const std::vector<std::string>& pages) override
    {
        m_commands.clear();
        for (const auto& page : pages) {
            auto parsed = parseJson(page, "page");
            for (const auto& command : parsed.value())
                m_commands.push_back(command.get<std::string>());
        }
        return ok();
    }

    const std::vector<std::string>& commands() const { return m_commands; }

    std::size_t count(const std::string& command) const
    {
        return static_cast<std::size_t>(std::count(m_commands.begin(), m_commands.end(), command));
    }

private:
    std::vector<std::string> m_commands;
};

} // namespace briarwharf
