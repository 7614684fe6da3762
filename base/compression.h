#pragma once

#include "base/error.h"
#include <cstddef>
#include <string>
#include <string_view>

namespace briarwharf {

// Compresses in the zlib format (RFC 1950).
std::string compress(std::string_view bytes);

// Reverses compress(). Errors: Corrupt (not in the zlib format, truncated, or with trailing bytes), TooLarge
// (the result would exceed `maxBytes`), Unavailable (out of memory).
Result<std::string> decompress(std::string_view compressed, std::size_t maxBytes);

} // namespace briarwharf
