#include "coordination/directorymessage.h"

#include "base/compression.h"
#include "base/endpoint.h"
#include <algorithm>

namespace briarwharf {

namespace {

    // Bound for decompression; a list of this size has far more upstreams than a fleet can use.
    constexpr std::size_t maxListBytes = 16 * 1024 * 1024;

    // The same bounds as for the entries of the platform.
    constexpr std::uint32_t maxSlots = 100000;

    std::unique_ptr<DirectoryUpstreamT> toMessage(const UpstreamEntry& entry)
    {
        auto message = std::make_unique<DirectoryUpstreamT>();
        message->id = entry.id;
        message->pool = entry.pool;
        message->address = printEndpoint(entry.endpoint);
        message->failureDomain = entry.failureDomain;
        message->slots = static_cast<std::uint32_t>(entry.slots);
        message->draining = entry.draining;
        message->started = entry.started;
        message->sequence = sequenceField(entry.sequence);
        message->revision = entry.revision;
        // 0: not stated, or no longer cold.
        message->coldMs = static_cast<std::uint32_t>(entry.coldRemaining.value_or(Milliseconds(0)).count());
        return message;
    }

    // Returns nullopt for an entry without an id or with an address that cannot be parsed.
    std::optional<UpstreamEntry> fromMessage(const DirectoryUpstreamT& message)
    {
        auto endpoint = parseEndpoint(message.address);
        if (!endpoint || message.id.empty())
            return std::nullopt;
        UpstreamEntry entry;
        entry.id = message.id;
        entry.pool = message.pool;
        entry.endpoint = endpoint.value();
        entry.failureDomain = message.failureDomain;
        entry.slots = static_cast<int>(std::clamp(message.slots, std::uint32_t { 1 }, maxSlots));
        entry.draining = message.draining;
        entry.started = message.started;
        entry.sequence = sequenceOf(message.sequence);
        entry.revision = message.revision;
        if (message.coldMs > 0)
            entry.coldRemaining = std::min(maxColdTime, Milliseconds(message.coldMs));
        return entry;
    }

    // `Message` is DirectoryPushT or DirectoryListT, which have the same fields for the list.
    template <typename Message> void fillList(const DirectoryChanges& changes, Message& message)
    {
        message.from = changes.from;
        message.revision = changes.revision;
        for (const UpstreamEntry& entry : changes.entries)
            message.upstreams.push_back(toMessage(entry));
        for (const RemovedUpstream& removed : changes.removed) {
            auto removal = std::make_unique<DirectoryRemovalT>();
            removal->id = removed.id;
            removal->revision = removed.revision;
            message.removed.push_back(std::move(removal));
        }
    }

    template <typename Message> DirectoryChanges readList(const Message& message)
    {
        DirectoryChanges changes;
        changes.from = message.from;
        changes.revision = message.revision;
        for (const auto& upstream : message.upstreams) {
            if (auto entry = fromMessage(*upstream))
                changes.entries.push_back(std::move(*entry));
        }
        for (const auto& removal : message.removed)
            changes.removed.push_back({ removal->id, removal->revision });
        return changes;
    }

} // namespace

std::uint64_t sequenceField(std::optional<std::uint64_t> sequence) { return sequence ? *sequence + 1 : 0; }

std::optional<std::uint64_t> sequenceOf(std::uint64_t field)
{
    if (field == 0)
        return std::nullopt;
    return field - 1;
}

void addChanges(const DirectoryChanges& changes, DirectoryPushT& push) { fillList(changes, push); }

DirectoryChanges changesOf(const DirectoryPushT& push) { return readList(push); }

std::string compressChanges(const DirectoryChanges& changes)
{
    DirectoryListT list;
    fillList(changes, list);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(DirectoryList::Pack(builder, &list));
    return compress({ reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() });
}

Result<DirectoryChanges> decompressChanges(std::string_view compressed)
{
    auto bytes = decompress(compressed, maxListBytes);
    if (!bytes)
        return bytes.error();
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.value().data());
    flatbuffers::Verifier verifier(data, bytes.value().size());
    if (!verifier.VerifyBuffer<DirectoryList>(nullptr))
        return Error { ErrorKind::Corrupt, "list of upstreams fails verification: request it again" };
    DirectoryListT list;
    flatbuffers::GetRoot<DirectoryList>(data)->UnPackTo(&list);
    return readList(list);
}

} // namespace briarwharf
