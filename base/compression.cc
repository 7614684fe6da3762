#include "base/compression.h"

#include <zlib.h>

namespace briarwharf {

std::string compress(std::string_view bytes)
{
    uLongf length = compressBound(static_cast<uLong>(bytes.size()));
    std::string compressed(length, '\0');
    // compress2() fails only if the buffer is too small, which compressBound() excludes, or if memory runs
    // out, which ends the process anyway.
    ::compress2(reinterpret_cast<Bytef*>(compressed.data()), &length,
        reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uLong>(bytes.size()),
        Z_DEFAULT_COMPRESSION);
    compressed.resize(length);
    return compressed;
}

Result<std::string> decompress(std::string_view compressed, std::size_t maxBytes)
{
    // The buffer grows as needed in these steps, since a length stated by the sender is not trusted.
    constexpr std::size_t growthBytes = 64 * 1024;
    z_stream stream {};
    if (inflateInit(&stream) != Z_OK)
        return Error { ErrorKind::Unavailable,
            "out of memory during decompression: free some memory and retry" };
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(compressed.data()));
    stream.avail_in = static_cast<uInt>(compressed.size());
    std::string bytes;
    int state = Z_OK;
    while (state == Z_OK && bytes.size() <= maxBytes) {
        std::size_t before = bytes.size();
        bytes.resize(before + growthBytes);
        stream.next_out = reinterpret_cast<Bytef*>(bytes.data() + before);
        stream.avail_out = growthBytes;
        state = inflate(&stream, Z_NO_FLUSH);
        bytes.resize(before + growthBytes - stream.avail_out);
    }
    inflateEnd(&stream);
    if (bytes.size() > maxBytes)
        return Error { ErrorKind::TooLarge,
            "decompressed data exceeds the limit of " + std::to_string(maxBytes)
                + " bytes: send a smaller document" };
    if (state != Z_STREAM_END || stream.avail_in != 0)
        return Error { ErrorKind::Corrupt, "compressed data is corrupt or truncated: send it again" };
    return bytes;
}

} // namespace briarwharf
