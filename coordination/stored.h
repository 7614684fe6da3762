#pragma once

// Internal to the coordination library: encodes and decodes the objects of stored.fbs.

#include "base/error.h"
#include "coordination/stored_generated.h"
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

template <typename Table> std::string packStored(const typename Table::NativeTableType& object)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Table::Pack(builder, &object));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

// Verifies and decodes an object. `what` names the kind of object in the error message. Errors: Corrupt.
template <typename Table>
Result<typename Table::NativeTableType> unpackStored(std::string_view bytes, std::string_view what)
{
    // The verifier requires an aligned buffer, and a slice of a message is not necessarily aligned.
    std::vector<std::uint64_t> aligned((bytes.size() + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t));
    std::copy(bytes.begin(), bytes.end(), reinterpret_cast<char*>(aligned.data()));
    const auto* data = reinterpret_cast<const std::uint8_t*>(aligned.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<Table>(nullptr))
        return Error { ErrorKind::Corrupt,
            std::string(what) + " of " + std::to_string(bytes.size())
                + " bytes fails verification: check whether another program writes to the store's log/ and "
                  "lease/ keys" };
    typename Table::NativeTableType object;
    flatbuffers::GetRoot<Table>(data)->UnPackTo(&object);
    return object;
}

inline std::vector<std::uint8_t> toBytes(std::string_view text) { return { text.begin(), text.end() }; }

inline std::string fromBytes(const std::vector<std::uint8_t>& bytes)
{
    return { bytes.begin(), bytes.end() };
}

} // namespace briarwharf
