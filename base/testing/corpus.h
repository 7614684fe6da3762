#pragma once

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>

namespace briarwharf::testing {

// Finds a file or folder of the source tree, starting from the path that the compiler was given for this
// file, or from the working directory or its parent.
inline std::filesystem::path sourcePath(const std::filesystem::path& relative)
{
    std::filesystem::path source = std::filesystem::path(__FILE__).parent_path() / ".." / "..";
    for (const std::filesystem::path& root :
        { source, std::filesystem::path("."), std::filesystem::path("..") }) {
        if (std::filesystem::exists(root / relative))
            return root / relative;
    }
    return relative;
}

// Runs `exercise` on each input in fuzz/corpus/<name> and on all its truncations, because payloads may be cut
// off at any byte. Returns the number of inputs.
inline std::size_t replayCorpus(std::string_view name, void (*exercise)(std::string_view))
{
    std::size_t count = 0;
    for (const auto& entry :
        std::filesystem::directory_iterator(sourcePath(std::filesystem::path("fuzz") / "corpus" / name))) {
        std::ifstream file(entry.path(), std::ios::binary);
        std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        for (std::size_t size = 0; size <= bytes.size(); ++size)
            exercise(std::string_view(bytes).substr(0, size));
        ++count;
    }
    return count;
}

} // namespace briarwharf::testing
