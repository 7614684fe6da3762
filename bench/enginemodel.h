#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <queue>
#include <unordered_map>
#include <vector>

namespace briarwharf {

struct EngineModelSettings {
    double streamRate = 30; // maximum tokens generated per second for one request
    double totalRate = 3000; // tokens generated per second for all requests
    double prefillRate = 8000; // prompt tokens per second
    std::size_t batch = 256; // maximum concurrent requests; others wait in order of arrival
    std::int64_t cacheTokens = 2000000; // capacity of the prefix cache
};

// The properties of a request that the engine model uses.
struct ModelRequest {
    std::uint64_t ticket = 0;
    std::uint64_t chat = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    std::int64_t load = 0; // prompt tokens plus the maximum number of generated tokens
};

// Models an engine: continuous batching as processor sharing, in which all running requests advance at the
// same rate, and a prefix cache with a capacity in tokens that evicts the least recently used chat.
class EngineModel {
public:
    explicit EngineModel(EngineModelSettings settings)
        : m_settings(settings)
    {
    }

    void submit(const ModelRequest& request)
    {
        m_load += request.load;
        m_waiting.push_back(request);
    }

    // Advances by `seconds`, returns the tickets that finished, and appends those that left the queue to
    // `started`.
    std::vector<std::uint64_t> advance(double seconds, std::vector<std::uint64_t>& started)
    {
        while (!m_waiting.empty() && m_running.size() < m_settings.batch) {
            start(m_waiting.front());
            started.push_back(m_waiting.front().ticket);
            m_waiting.pop_front();
        }
        std::vector<std::uint64_t> finished;
        if (m_running.empty())
            return finished;
        double rate
            = std::min(m_settings.streamRate, m_settings.totalRate / static_cast<double>(m_running.size()));
        m_served += rate * seconds;
        while (!m_running.empty() && m_running.top().finishesAt <= m_served) {
            m_load -= m_running.top().load;
            finished.push_back(m_running.top().ticket);
            m_running.pop();
        }
        return finished;
    }

    // Drops all requests, as a crash does. They are not returned; the caller keeps its own list.
    void dropRequests()
    {
        m_running = {};
        m_waiting.clear();
        m_load = 0;
    }

    void clearCache()
    {
        m_cache.clear();
        m_recent.clear();
        m_cached = 0;
    }

    // Cached tokens of the chat's prefix; fewer than its context if another engine served its last turn.
    std::int64_t cachedTokens(std::uint64_t chat) const
    {
        auto cached = m_cache.find(chat);
        return cached == m_cache.end() ? 0 : cached->second->tokens;
    }

    void store(std::uint64_t chat, std::int64_t tokens)
    {
        drop(chat);
        m_recent.push_front({ chat, tokens });
        m_cache[chat] = m_recent.begin();
        m_cached += tokens;
        while (m_cached > m_settings.cacheTokens)
            drop(m_recent.back().chat);
    }

    std::int64_t load() const { return m_load; }
    bool idle() const { return m_running.empty() && m_waiting.empty(); }

private:
    struct Running {
        double finishesAt = 0; // value of m_served at which the request finishes
        std::uint64_t ticket = 0;
        std::int64_t load = 0;
        bool operator<(const Running& other) const { return finishesAt > other.finishesAt; }
    };

    struct Cached {
        std::uint64_t chat = 0;
        std::int64_t tokens = 0;
    };

    void start(const ModelRequest& request)
    {
        std::int64_t cached = cachedTokens(request.chat);
        auto uncached = static_cast<double>(std::max<std::int64_t>(0, request.promptTokens - cached));
        double prefill = uncached * m_settings.streamRate / m_settings.prefillRate;
        double work = prefill + static_cast<double>(request.outputTokens);
        m_running.push({ m_served + work, request.ticket, request.load });
        store(request.chat, request.promptTokens + request.outputTokens);
    }

    void drop(std::uint64_t chat)
    {
        auto found = m_cache.find(chat);
        if (found == m_cache.end())
            return;
        m_cached -= found->second->tokens;
        m_recent.erase(found->second);
        m_cache.erase(found);
    }

    EngineModelSettings m_settings;
    std::deque<ModelRequest> m_waiting;
    std::priority_queue<Running> m_running;
    double m_served = 0; // tokens generated so far for a request that has run since the start
    std::int64_t m_load = 0;
    std::list<Cached> m_recent;
    std::unordered_map<std::uint64_t, std::list<Cached>::iterator> m_cache;
    std::int64_t m_cached = 0;
};

} // namespace briarwharf
