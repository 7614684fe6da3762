// The main program of every test program. Test cases that KNOWN-RED.txt lists are not run, but printed.

#define DOCTEST_CONFIG_IMPLEMENT
#include <algorithm>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

namespace {

// Excludes the test cases of the lines "PROGRAM: NAME OF THE TEST CASE". Other lines are for people.
void excludeKnownFailures(doctest::Context& context, const std::string& program)
{
    std::ifstream list(BRIARWHARF_KNOWN_RED);
    const std::string prefix = program + ": ";
    for (std::string line; std::getline(list, line);) {
        if (line.rfind(prefix, 0) != 0)
            continue;
        std::string name = line.substr(prefix.size());
        std::cout << "not run, listed in KNOWN-RED.txt: " << name << "\n";
        // A comma would separate two filters; "?" matches any character.
        std::replace(name.begin(), name.end(), ',', '?');
        context.addFilter("test-case-exclude", name.c_str());
    }
}

} // namespace

int main(int argc, char** argv)
{
    doctest::Context context(argc, argv);
    // Whoever names test cases on the command line gets them.
    if (argc == 1)
        excludeKnownFailures(context, std::filesystem::path(argv[0]).filename());
    return context.run();
}
