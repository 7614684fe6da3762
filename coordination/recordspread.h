#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace briarwharf {

// Passes records on to every linked peer: records of this instance and those received from others, in the
// order in which they were added. Each link carries a record once in each direction, so that it crosses the
// fleet on whatever links there are. The owner adds a record only if it is new to this instance, which ends
// its way.
template <typename Record> class RecordSpread {
public:
    void add(const Record& record) { m_records.emplace(m_nextSequence++, record); }

    // Calls the function with each of the records, at most `most`, that the peer has not been sent.
    template <typename Function> void send(const std::string& peer, std::size_t most, Function function)
    {
        std::uint64_t& sentUpTo = m_sentUpTo[peer];
        auto record = m_records.upper_bound(sentUpTo);
        for (; record != m_records.end() && most > 0; ++record, --most) {
            function(record->second);
            sentUpTo = record->first;
        }
    }

    bool hasNewsFor(const std::string& peer) const
    {
        if (m_records.empty())
            return false;
        auto sent = m_sentUpTo.find(peer);
        return sent == m_sentUpTo.end() || m_records.rbegin()->first > sent->second;
    }

    std::size_t size() const { return m_records.size(); }

    // A peer with a new link is sent all records again.
    void linkDown(const std::string& peer) { m_sentUpTo.erase(peer); }

    // Removes the records that no longer matter to anyone.
    template <typename Predicate> void removeIf(Predicate predicate)
    {
        std::erase_if(m_records, [&](const auto& entry) { return predicate(entry.second); });
    }

private:
    std::map<std::uint64_t, Record> m_records; // by sequence number
    std::uint64_t m_nextSequence = 1;
    std::map<std::string, std::uint64_t, std::less<>> m_sentUpTo; // sequence numbers, by peer
};

} // namespace briarwharf
