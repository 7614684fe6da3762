#include "request/residence.h"

#include <algorithm>

namespace briarwharf {

ResidenceDirectory::ResidenceDirectory(std::size_t maxBytes, std::chrono::seconds lifetime)
    : m_maxEntries(maxBytes / entryBytes)
    , m_lifetime(lifetime)
{
}

void ResidenceDirectory::put(ChatKey chat, UpstreamId upstream, MonotonicTime now)
{
    if (m_maxEntries == 0)
        return;
    auto found = m_index.find(chat);
    if (found != m_index.end()) {
        *found->second = { chat, upstream, now };
        m_entries.splice(m_entries.begin(), m_entries, found->second);
        return;
    }
    if (m_index.size() >= m_maxEntries) {
        m_index.erase(m_entries.back().chat);
        m_entries.pop_back();
    }
    m_entries.push_front({ chat, upstream, now });
    m_index[chat] = m_entries.begin();
}

std::optional<UpstreamId> ResidenceDirectory::find(ChatKey chat, MonotonicTime now)
{
    auto found = m_index.find(chat);
    if (found == m_index.end())
        return std::nullopt;
    if (now - found->second->lastUsed > m_lifetime) {
        m_entries.erase(found->second);
        m_index.erase(found);
        return std::nullopt;
    }
    found->second->lastUsed = now;
    m_entries.splice(m_entries.begin(), m_entries, found->second);
    return found->second->upstream;
}

void ResidenceDirectory::erase(ChatKey chat)
{
    auto found = m_index.find(chat);
    if (found == m_index.end())
        return;
    m_entries.erase(found->second);
    m_index.erase(found);
}

void ResidenceDirectory::removeUpstream(UpstreamId upstream)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (entry->upstream != upstream) {
            ++entry;
            continue;
        }
        m_index.erase(entry->chat);
        entry = m_entries.erase(entry);
    }
}

ResidentChats::ResidentChats(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

std::size_t ResidentChats::entryBytes(const Entry& entry)
{
    constexpr std::size_t nodeBytes = 64; // list links, hash node and bucket
    return sizeof(Entry) + nodeBytes + entry.resident.organisation.size() + entry.resident.chat.size();
}

void ResidentChats::recordTurn(std::string_view organisation, std::string_view chat, UpstreamId upstream,
    std::int64_t tokens, MonotonicTime now)
{
    remove(organisation, chat);
    ChatKey key = chatKey(organisation, chat);
    m_entries.push_front({ key, upstream, { std::string(organisation), std::string(chat), tokens, now } });
    m_index[key] = m_entries.begin();
    m_bytes += entryBytes(m_entries.front());
    while (m_bytes > m_maxBytes)
        erase(std::prev(m_entries.end()));
}

void ResidentChats::remove(std::string_view organisation, std::string_view chat)
{
    auto found = m_index.find(chatKey(organisation, chat));
    if (found != m_index.end())
        erase(found->second);
}

void ResidentChats::removeUpstream(UpstreamId upstream)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        auto next = std::next(entry);
        if (entry->upstream == upstream)
            erase(entry);
        entry = next;
    }
}

std::vector<ResidentChat> ResidentChats::handoverOrder(
    UpstreamId upstream, MonotonicTime since, std::size_t limit) const
{
    std::vector<ResidentChat> order;
    for (const Entry& entry : m_entries) {
        if (order.size() >= limit || entry.resident.lastTurn < since)
            break;
        if (entry.upstream == upstream)
            order.push_back(entry.resident);
    }
    return order;
}

std::size_t ResidentChats::count(UpstreamId upstream) const
{
    auto isOnUpstream = [upstream](const Entry& entry) { return entry.upstream == upstream; };
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), isOnUpstream));
}

void ResidentChats::erase(std::list<Entry>::iterator entry)
{
    m_bytes -= entryBytes(*entry);
    m_index.erase(entry->key);
    m_entries.erase(entry);
}

} // namespace briarwharf
