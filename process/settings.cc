#include "process/settings.h"

#include "base/number.h"
#include "process/unrendered.h"
#include <algorithm>
#include <cmath>
#include <cstring>
#include <fstream>
#include <functional>
#include <ini.h>
#include <limits>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace briarwharf {

namespace {

    // One key of the settings file. `assign` stores a value; if the value is not allowed, it returns a
    // description of the allowed values, otherwise an empty string.
    struct Key {
        std::string_view section;
        std::string_view name;
        std::string help;
        std::string example;
        bool required;
        std::function<std::string(Settings&, const std::string&)> assign;
    };

    using Assign = std::function<std::string(Settings&, const std::string&)>;

    // Parses milliseconds as a whole number, or seconds with the suffix s.
    std::optional<Milliseconds> parseDuration(const std::string& value)
    {
        if (auto number = parseNumber<std::int64_t>(value))
            return Milliseconds(*number);
        if (value.empty() || value.back() != 's')
            return std::nullopt;
        constexpr double maxSeconds = 1e9;
        auto seconds = parseNumber<double>(std::string_view(value).substr(0, value.size() - 1));
        if (!seconds || !(std::abs(*seconds) < maxSeconds))
            return std::nullopt;
        return Milliseconds(static_cast<std::int64_t>(*seconds * 1000));
    }

    template <typename Section>
    Assign text(
        Section Settings::*section, std::string Section::*member, std::size_t minimum, std::size_t maximum)
    {
        return [=](Settings& settings, const std::string& value) -> std::string {
            if (value.size() < minimum || value.size() > maximum)
                return "a text of " + std::to_string(minimum) + " to " + std::to_string(maximum)
                    + " characters";
            settings.*section.*member = value;
            return {};
        };
    }

    template <typename Section> Assign name(Section Settings::*section, std::string Section::*member)
    {
        return [=](Settings& settings, const std::string& value) -> std::string {
            auto allowed = [](char c) {
                return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
            };
            if (value.empty() || value.size() > 64 || !std::all_of(value.begin(), value.end(), allowed))
                return "1 to 64 letters, digits, '-', '_' or '.'";
            settings.*section.*member = value;
            return {};
        };
    }

    template <typename Section> Assign endpoint(Section Settings::*section, Endpoint Section::*member)
    {
        return [=](Settings& settings, const std::string& value) -> std::string {
            auto parsed = parseEndpoint(value);
            if (!parsed)
                return "an IP number and a port, such as 127.0.0.1:8080 or [::1]:8080";
            settings.*section.*member = parsed.value();
            return {};
        };
    }

    template <typename Section>
    Assign integer(
        Section Settings::*section, std::int64_t Section::*member, std::int64_t minimum, std::int64_t maximum)
    {
        return [=](Settings& settings, const std::string& value) -> std::string {
            auto number = parseNumber<std::int64_t>(value);
            if (!number || *number < minimum || *number > maximum)
                return "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
            settings.*section.*member = *number;
            return {};
        };
    }

    // The same for a value that the machine's description may lack: empty or 0 leaves the default.
    template <typename Section>
    Assign statedInteger(
        Section Settings::*section, std::int64_t Section::*member, std::int64_t minimum, std::int64_t maximum)
    {
        Assign assign = integer(section, member, minimum, maximum);
        return [=](Settings& settings, const std::string& value) -> std::string {
            return value.empty() || value == "0" ? std::string() : assign(settings, value);
        };
    }

    template <typename Section>
    Assign duration(
        Section Settings::*section, Milliseconds Section::*member, Milliseconds minimum, Milliseconds maximum)
    {
        return [=](Settings& settings, const std::string& value) -> std::string {
            auto parsed = parseDuration(value);
            if (!parsed || *parsed < minimum || *parsed > maximum)
                return "milliseconds from " + std::to_string(minimum.count()) + " to "
                    + std::to_string(maximum.count()) + ", or seconds such as 1.5s";
            settings.*section.*member = *parsed;
            return {};
        };
    }

    template <typename Section>
    Assign real(Section Settings::*section, double Section::*member, double minimum, double maximum)
    {
        return [=](Settings& settings, const std::string& value) -> std::string {
            auto number = parseNumber<double>(value);
            if (!number || !(*number >= minimum) || *number > maximum) {
                std::ostringstream allowed;
                allowed << "a number from " << minimum << " to " << maximum;
                return allowed.str();
            }
            settings.*section.*member = *number;
            return {};
        };
    }

    template <typename Section> Assign boolean(Section Settings::*section, bool Section::*member)
    {
        return [=](Settings& settings, const std::string& value) -> std::string {
            if (value != "true" && value != "false")
                return "true or false";
            settings.*section.*member = value == "true";
            return {};
        };
    }

    std::string assignSource(Settings& settings, const std::string& value)
    {
        if (value != "log" && value != "platform")
            return "log or platform";
        settings.directory.source = value;
        return {};
    }

    std::string assignSeeds(Settings& settings, const std::string& value)
    {
        std::vector<Endpoint> seeds;
        std::istringstream list(value);
        for (std::string text; std::getline(list, text, ',');) {
            auto seed = parseEndpoint(text);
            if (!seed)
                return "IP numbers with ports, separated by commas, or nothing";
            seeds.push_back(seed.value());
        }
        settings.fleet.seeds = std::move(seeds);
        return {};
    }

    std::string assignTokenHash(Settings& settings, const std::string& value)
    {
        auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
        if (value.size() != 64 || !std::all_of(value.begin(), value.end(), isDigit))
            return "a SHA-256 as 64 lower-case hex digits (printf %s TOKEN | sha256sum)";
        settings.operators.tokenHash = value;
        return {};
    }

    std::string assignCollector(Settings& settings, const std::string& value)
    {
        if (!value.empty() && !parseEndpoint(value))
            return "empty, or an IP number and a port, such as 127.0.0.1:4318";
        settings.trace.collector = value;
        return {};
    }

    std::string assignSampleRatio(Settings& settings, const std::string& value)
    {
        auto number = parseNumber<double>(value);
        if (!number || *number < 0 || *number > 1)
            return "a number from 0 to 1";
        settings.trace.sampleRatio = *number;
        return {};
    }

    std::string assignLogLevel(Settings& settings, const std::string& value)
    {
        static const std::set<std::string> levels { "debug", "info", "warning", "error" };
        if (!levels.count(value))
            return "debug, info, warning or error";
        settings.log.level = value;
        return {};
    }

    const std::vector<Key>& keys()
    {
        using S = Settings;
        using Ms = Milliseconds;
        constexpr std::int64_t mebibyte = 1024 * 1024;
        constexpr Ms hour { 3600 * 1000 };
        constexpr const char* exampleHash
            = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
        static const std::vector<Key> table {
            { "instance", "id", "Unique name of this instance.", "entry-1", true,
                name(&S::instance, &S::Instance::id) },
            { "instance", "region", "Region of this instance.", "local", false,
                name(&S::instance, &S::Instance::region) },
            { "instance", "failure_domain", "Failure domain of this instance.", "a", true,
                name(&S::instance, &S::Instance::failureDomain) },
            { "listen", "callers", "Address for callers (HTTP).", "127.0.0.1:8080", true,
                endpoint(&S::listen, &S::Listen::callers) },
            { "listen", "admin", "Address for operators, health checks and metrics (HTTP).", "127.0.0.1:8081",
                true, endpoint(&S::listen, &S::Listen::admin) },
            { "listen", "peers", "Address for the other instances.", "127.0.0.1:8082", true,
                endpoint(&S::listen, &S::Listen::peers) },
            { "store", "endpoint", "Address of the platform's object API.", "127.0.0.1:8090", true,
                endpoint(&S::store, &S::StoreSettings::endpoint) },
            { "store", "prefix", "Prefix of the keys of all objects of this fleet.", "briarwharf", false,
                name(&S::store, &S::StoreSettings::prefix) },
            { "store", "timeout_ms", "Timeout of one call to the store, 50 to 10000.", "1000", false,
                duration(&S::store, &S::StoreSettings::timeout, Ms(50), Ms(10000)) },
            { "directory", "source", "Where configuration and upstreams come from: log or platform.", "log",
                false, assignSource },
            { "directory", "lapse_hold_ms",
                "How long an upstream that lapsed (vanished from the list without a drain) stays the last "
                "choice, "
                "0 to 60000.",
                "1700", false, duration(&S::directory, &S::Directory::lapseHold, Ms(0), Ms(60000)) },
            { "directory", "evacuations",
                "Whether to follow the evacuated failure domains and send their upstreams nothing, true or "
                "false.",
                "false", false, boolean(&S::directory, &S::Directory::evacuations) },
            { "fleet", "seeds", "Other instances as IP:PORT, separated by commas; the ports are ignored.", "",
                false, assignSeeds },
            { "fleet", "retry_ratio", "Retries for each request, as a ratio over all instances, 0 to 1.",
                "0.2", false, real(&S::fleet, &S::Fleet::retryRatio, 0, 1) },
            { "fleet", "retry_window_ms", "Time over which retries are counted, 1000 to 10000.", "10000",
                false, duration(&S::fleet, &S::Fleet::retryWindow, Ms(1000), Ms(10000)) },
            { "fleet", "retry_slack",
                "Retries in a window in addition to the ratio, over all instances, 0 to 100000.", "50", false,
                real(&S::fleet, &S::Fleet::retrySlack, 0, 100000) },
            { "fleet", "fair_shares",
                "Whether organisations share a pool of plain services that cannot serve the whole demand, "
                "true or false.",
                "false", false, boolean(&S::fleet, &S::Fleet::fairShares) },
            { "fleet", "cold_burst_ratio",
                "Requests to a cold upstream in any second, as a ratio of the rate that it can take, over "
                "all "
                "instances, 0 to 100.",
                "1.5", false, real(&S::fleet, &S::Fleet::coldBurstRatio, 0, 100) },
            { "fleet", "cold_burst_requests",
                "Requests to a cold upstream in any second in addition to the ratio, over all instances, 0 "
                "to "
                "100000.",
                "5", false, real(&S::fleet, &S::Fleet::coldBurstRequests, 0, 100000) },
            { "fleet", "hedge_ratio",
                "Concurrent second attempts for each request to a pool, as a ratio over the retry window and "
                "all instances, 0 to 1.",
                "0", false, real(&S::fleet, &S::Fleet::hedgeRatio, 0, 1) },
            { "fleet", "hedge_quantile",
                "Quantile of a route's times to the first byte after which a second attempt is sent, 0.5 to "
                "0.99.",
                "0.95", false, real(&S::fleet, &S::Fleet::hedgeQuantile, 0.5, 0.99) },
            { "operator", "token_hash", "SHA-256 of the operators' token, 64 hex digits.", exampleHash, true,
                assignTokenHash },
            { "limits", "max_body_bytes", "Maximum size of a request body, 1024 to 67108864.", "4194304",
                false, integer(&S::limits, &S::Limits::maxBodyBytes, 1024, 64 * mebibyte) },
            { "limits", "max_header_bytes", "Maximum size of all header lines of a request, 1024 to 262144.",
                "32768", false, integer(&S::limits, &S::Limits::maxHeaderBytes, 1024, 256 * 1024) },
            { "limits", "max_connections", "Maximum number of open connections from callers, 1 to 100000.",
                "10000", false, integer(&S::limits, &S::Limits::maxConnections, 1, 100000) },
            { "limits", "memory_mb",
                "Memory of the machine, 64 to 16777216; empty or 0 if it is not stated. The memory budget "
                "follows "
                "from it.",
                "256", false, statedInteger(&S::limits, &S::Limits::memoryMb, 64, 16777216) },
            { "limits", "max_fds",
                "File descriptors of the process, 512 to 2147483647; empty or 0 if they are not stated. They "
                "may lower max_connections and limit the connections to upstreams.",
                "0", false, statedInteger(&S::limits, &S::Limits::maxFds, 512, 2147483647) },
            { "limits", "max_answer_bytes",
                "Maximum size of an answer that is not streamed, 1024 to 268435456.", "16777216", false,
                integer(&S::limits, &S::Limits::maxAnswerBytes, 1024, 256 * mebibyte) },
            { "limits", "stream_buffer_bytes",
                "Unsent bytes for one slow caller at which reading from the upstream pauses, 4096 to "
                "16777216.",
                "262144", false, integer(&S::limits, &S::Limits::streamBufferBytes, 4096, 16 * mebibyte) },
            { "limits", "request_deadline_ms",
                "Deadline of a request whose caller sets none, 100 to 3600000.", "120000", false,
                duration(&S::limits, &S::Limits::requestDeadline, Ms(100), hour) },
            { "limits", "max_request_deadline_ms", "Maximum deadline that a caller may set, 100 to 3600000.",
                "900000", false, duration(&S::limits, &S::Limits::maxRequestDeadline, Ms(100), hour) },
            { "limits", "upstream_silence_ms",
                "Maximum time without a byte from an upstream's stream, 100 to 600000.", "15000", false,
                duration(&S::limits, &S::Limits::upstreamSilence, Ms(100), Ms(600000)) },
            { "limits", "slow_caller_timeout_ms",
                "Maximum time for which a caller may read no byte of a stream, 1000 to 600000.", "60000",
                false, duration(&S::limits, &S::Limits::slowCallerTimeout, Ms(1000), Ms(600000)) },
            { "limits", "shutdown_grace_ms",
                "Time that requests in progress get to finish at shutdown, 0 to 3600000.", "30000", false,
                duration(&S::limits, &S::Limits::shutdownGrace, Ms(0), hour) },
            { "limits", "max_resumes",
                "Maximum number of times that one interrupted stream is resumed, 0 to 100.", "3", false,
                integer(&S::limits, &S::Limits::maxResumes, 0, 100) },
            { "hint", "key",
                "Signs residence hints; must be the same on all instances, 16 to 256 characters.",
                "change-me-change-me", true, text(&S::hint, &S::Hint::key, 16, 256) },
            { "hint", "previous_key",
                "Hints signed with it are also accepted, for a change of keys; empty or up to 256 "
                "characters.",
                "", false, text(&S::hint, &S::Hint::previousKey, 0, 256) },
            { "trace", "collector", "OTLP/HTTP collector for spans; if empty, no spans are sent.", "", false,
                assignCollector },
            { "trace", "sample_ratio", "Share of the traces started by this instance that are sent, 0 to 1.",
                "1", false, assignSampleRatio },
            { "log", "level", "debug, info, warning or error.", "info", false, assignLogLevel },
        };
        return table;
    }

    const Key* findKey(std::string_view section, std::string_view name)
    {
        for (const auto& key : keys()) {
            if (key.section == section && key.name == name)
                return &key;
        }
        return nullptr;
    }

    // The state while a file is parsed. readLine() counts `line`, because inih does not pass the line number
    // to the handler.
    struct ParseState {
        std::string_view rest;
        std::string file;
        int line = 0;
        Settings settings;
        std::set<const Key*> seen;
        UnrenderedSections unrenderedSections;
        std::vector<std::string> problems;

        std::string at() const { return file + ":" + std::to_string(line) + ": "; }
        void report(const std::string& problem) { problems.push_back(at() + problem); }
    };

    char* readLine(char* buffer, int size, void* stream)
    {
        auto* parse = static_cast<ParseState*>(stream);
        if (parse->rest.empty())
            return nullptr;
        ++parse->line;
        std::size_t end = parse->rest.find('\n');
        std::size_t length = end == std::string_view::npos ? parse->rest.size() : end + 1;
        if (parse->unrenderedSections.skips(parse->rest.substr(0, length))) {
            if (auto section = parse->unrenderedSections.begun())
                parse->settings.unrendered.push_back(parse->at() + "section " + *section);
            parse->rest.remove_prefix(length);
            std::strcpy(buffer, "\n");
            return buffer;
        }
        std::size_t copied = std::min(length, static_cast<std::size_t>(size - 1));
        if (copied < length)
            parse->report("line is longer than " + std::to_string(size - 2) + " characters: shorten it");
        std::memcpy(buffer, parse->rest.data(), copied);
        buffer[copied] = '\0';
        parse->rest.remove_prefix(length);
        return buffer;
    }

    std::string keyPath(std::string_view section, std::string_view name)
    {
        return "[" + std::string(section) + "] " + std::string(name);
    }

    std::string unknownKey(const std::string& path)
    {
        return "unknown key " + path + ": remove it, or see --print-example for all keys";
    }

    std::string notAllowed(const std::string& path, const std::string& value, const std::string& allowed)
    {
        return path + " = \"" + value + "\" is not allowed: give " + allowed;
    }

    // Stores a value, or returns what is wrong with it. A placeholder that is left in the value of a key with
    // a default means that the value is not stated: whoever rendered the template does not know it.
    std::string assign(ParseState& parse, const Key& key, const std::string& path, const std::string& value,
        const std::string& place)
    {
        auto placeholder = unrenderedPlaceholder(value);
        if (placeholder && !key.required) {
            parse.settings.unrendered.push_back(place + path + " = " + *placeholder);
            return {};
        }
        parse.seen.insert(&key);
        if (placeholder)
            return path + " holds the placeholder " + *placeholder
                + ", which was not filled in: render the template with this value, or write the value";
        std::string allowed = key.assign(parse.settings, value);
        return allowed.empty() ? std::string() : notAllowed(path, value, allowed);
    }

    int handleValue(void* user, const char* section, const char* name, const char* value)
    {
        auto* parse = static_cast<ParseState*>(user);
        const Key* key = findKey(section, name);
        std::string path = keyPath(section, name);
        if (!key) {
            parse->report(unknownKey(path));
            return 1;
        }
        if (parse->seen.count(key)) {
            parse->report(path + " is set twice: remove one of the lines");
            return 1;
        }
        std::string problem = assign(*parse, *key, path, value, parse->at());
        if (!problem.empty())
            parse->report(problem);
        return 1;
    }

    void applyOverride(const SettingsOverride& given, ParseState& parse)
    {
        const Key* key = findKey(given.section, given.key);
        std::string path = "--set " + keyPath(given.section, given.key);
        if (!key) {
            parse.problems.push_back(unknownKey(path));
            return;
        }
        if (given.value.empty())
            return;
        std::string problem = assign(parse, *key, path, given.value, {});
        if (!problem.empty())
            parse.problems.push_back(problem);
    }

    void checkRequiredKeys(ParseState& parse)
    {
        // Operators' commands and residence hints are only used if the log is the source of the
        // configuration.
        bool usesLog = parse.settings.directory.source == "log";
        for (const auto& key : keys()) {
            bool isRequired
                = key.required && (usesLog || (key.section != "operator" && key.section != "hint"));
            if (isRequired && !parse.seen.count(&key)) {
                parse.problems.push_back(parse.file + ": [" + std::string(key.section) + "] "
                    + std::string(key.name) + " is missing: add a line such as \"" + std::string(key.name)
                    + " = " + key.example + "\"");
            }
        }
    }

} // namespace

Result<SettingsOverride> parseOverride(std::string_view text)
{
    std::size_t equals = text.find('=');
    std::size_t dot = text.substr(0, equals).find('.');
    bool hasNames = dot != std::string_view::npos && dot > 0 && dot + 1 < equals;
    if (equals == std::string_view::npos || !hasNames)
        return Error { ErrorKind::InvalidArgument,
            "\"" + std::string(text)
                + "\" names no setting: give SECTION.KEY=VALUE, such as log.level=info" };
    return SettingsOverride { std::string(text.substr(0, dot)),
        std::string(text.substr(dot + 1, equals - dot - 1)), std::string(text.substr(equals + 1)) };
}

Result<Settings> parseSettings(std::string_view text, const SettingsSource& source)
{
    ParseState parse;
    parse.rest = text;
    parse.file = source.file;
    int firstBadLine = ini_parse_stream(&readLine, &parse, &handleValue, &parse);
    if (firstBadLine > 0) {
        parse.line = firstBadLine;
        parse.report("is neither a section, a \"key = value\" nor a comment: correct the line");
    }
    if (auto section = parse.unrenderedSections.open())
        parse.report("the section " + *section + " of the template does not end: render the template");
    for (const SettingsOverride& given : source.overrides)
        applyOverride(given, parse);
    checkRequiredKeys(parse);
    if (parse.problems.empty())
        return parse.settings;
    std::string message;
    for (const auto& problem : parse.problems)
        message += (message.empty() ? "" : "\n") + problem;
    return Error { ErrorKind::InvalidArgument, message };
}

Result<Settings> loadSettings(const SettingsSource& source)
{
    std::ifstream stream(source.file);
    if (!stream)
        return Error { ErrorKind::NotFound,
            "cannot read settings file " + source.file + ": check the path and its permissions" };
    std::ostringstream text;
    text << stream.rdbuf();
    return parseSettings(text.str(), source);
}

std::string exampleSettings()
{
    std::ostringstream text;
    text << "# All settings of briarwharfd. A key whose comment says \"Required.\" has no default.\n";
    std::string_view section;
    for (const auto& key : keys()) {
        if (key.section != section) {
            section = key.section;
            text << "\n[" << section << "]\n";
        }
        text << "# " << key.help
             << (key.required ? " Required."
                              : " Default: " + (key.example.empty() ? "empty" : key.example) + ".")
             << "\n"
             << key.name << " = " << key.example << "\n";
    }
    return text.str();
}

} // namespace briarwharf
