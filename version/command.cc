#include "version/command.h"

#include "base/hash.h"
#include "base/number.h"
#include "version/lexer.h"
#include "version/properties.h"
#include <algorithm>
#include <cctype>
#include <cmath>

namespace briarwharf {

namespace {

    // Maximum length of a name, path or other text in a command.
    constexpr std::size_t maxTextBytes = 512;

    std::string upperCase(std::string_view text)
    {
        std::string upper(text);
        std::transform(upper.begin(), upper.end(), upper.begin(),
            [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
        return upper;
    }

    std::string lowerCase(std::string_view text)
    {
        std::string lower(text);
        std::transform(lower.begin(), lower.end(), lower.begin(),
            [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return lower;
    }

    // Reads "90m", "1h30m" or "500ms"; nullopt for another form or more than 366 days.
    std::optional<Milliseconds> readDuration(std::string_view text)
    {
        constexpr std::array<std::pair<std::string_view, std::int64_t>, 5> units { {
            { "ms", 1 },
            { "s", 1000 },
            { "m", 60000 },
            { "h", 3600000 },
            { "d", 86400000 },
        } };
        constexpr std::int64_t maxDurationMs = 366LL * 86400000;
        std::int64_t total = 0;
        if (text.empty())
            return std::nullopt;
        while (!text.empty()) {
            std::size_t digits = std::min(text.find_first_not_of("0123456789"), text.size());
            auto count = parseNumber<std::int64_t>(text.substr(0, digits));
            text.remove_prefix(digits);
            std::size_t letters = std::min(text.find_first_of("0123456789"), text.size());
            std::string unit = lowerCase(text.substr(0, letters));
            text.remove_prefix(letters);
            auto entry
                = std::find_if(units.begin(), units.end(), [&](const auto& u) { return u.first == unit; });
            if (!count || entry == units.end() || *count > maxDurationMs)
                return std::nullopt;
            total += *count * entry->second;
            if (total > maxDurationMs || *count * entry->second > maxDurationMs)
                return std::nullopt;
        }
        return Milliseconds(total);
    }

    std::optional<std::chrono::minutes> readTimeOfDay(std::string_view text)
    {
        if (text.size() != 5 || text[2] != ':')
            return std::nullopt;
        auto hour = parseNumber<std::uint32_t>(text.substr(0, 2));
        auto minute = parseNumber<std::uint32_t>(text.substr(3, 2));
        if (!hour || !minute || *hour > 23 || *minute > 59)
            return std::nullopt;
        return std::chrono::minutes(*hour * 60 + *minute);
    }

    // A recursive-descent parser. Its parse and read functions return false after they have set m_error.
    class Parser {
    public:
        Parser(std::string_view text, std::vector<Token> tokens)
            : m_text(text)
            , m_tokens(std::move(tokens))
        {
        }

        Result<std::vector<Command>> parseAll();

    private:
        using StatementParser = bool (Parser::*)(Command&);

        struct StatementWord {
            std::string_view keyword;
            StatementParser parse;
        };

        static const std::array<StatementWord, 11> statementWords;

        const Token& peek() const { return m_tokens[m_next]; }
        bool atEnd() const { return peek().kind == TokenKind::End; }
        bool nextIsSymbol(std::string_view symbol) const
        {
            return peek().kind == TokenKind::Symbol && peek().text == symbol;
        }
        bool nextIsWord(std::string_view word) const
        {
            return peek().kind == TokenKind::Bare && equalIgnoringCase(peek().text, word);
        }
        bool acceptWord(std::string_view);
        bool acceptSymbol(std::string_view);
        bool expectWord(std::string_view);
        bool expectWords(std::initializer_list<std::string_view>);
        bool fail(std::string_view expected);
        bool failWith(Error);
        std::string describeNextToken() const;

        bool parseStatement(Command&);
        bool parseCreate(Command& command) { return parseDefinition(command, Verb::Create); }
        bool parseAlter(Command& command) { return parseDefinition(command, Verb::Alter); }
        bool parseDefinition(Command&, Verb);
        bool parseRetire(Command&);
        bool parseAdd(Command&);
        bool parseRemove(Command&);
        bool parseDrain(Command&);
        bool parseUndrain(Command&);
        bool parseMark(Command&);
        bool parsePlan(Command&);
        bool parseCancel(Command&);
        bool parseShow(Command&);
        bool parseColumns(ShowCommand&);
        bool parseFilters(ShowCommand&);
        bool parseOrder(ShowCommand&);
        bool parseWindow(std::optional<WallTime>&);
        bool parseExpectedRevision(Command&);

        template <typename Object> bool parseObject(Command&, Verb);
        template <typename Object> bool parseProperty(Object&, bool& found);
        template <typename Words, typename Value>
        bool readWord(const Words&, Value&, std::string_view expected);

        bool readText(std::string&, std::string_view expected);
        bool read(std::string& value) { return readText(value, "a text"); }
        bool read(double&);
        bool read(std::uint32_t&);
        bool readRevision(std::uint64_t&);
        bool read(bool& value) { return readWord(booleanWords, value, ""); }
        bool read(PoolKind& value) { return readWord(poolKindWords, value, ""); }
        bool read(Strategy& value) { return readWord(strategyWords, value, ""); }
        bool read(KeyHash&);
        bool read(Endpoint&);
        bool read(Milliseconds&);
        bool read(std::vector<Operation>&);
        bool readOperation(Operation&);

        std::string_view m_text;
        std::vector<Token> m_tokens;
        std::size_t m_next = 0;
        std::optional<Error> m_error;
    };

    const std::array<Parser::StatementWord, 11> Parser::statementWords { {
        { "CREATE", &Parser::parseCreate },
        { "ALTER", &Parser::parseAlter },
        { "RETIRE", &Parser::parseRetire },
        { "ADD", &Parser::parseAdd },
        { "REMOVE", &Parser::parseRemove },
        { "DRAIN", &Parser::parseDrain },
        { "UNDRAIN", &Parser::parseUndrain },
        { "MARK", &Parser::parseMark },
        { "PLAN", &Parser::parsePlan },
        { "CANCEL", &Parser::parseCancel },
        { "SHOW", &Parser::parseShow },
    } };

    template <typename Words> std::string listWords(const Words& words)
    {
        std::string text;
        for (const auto& entry : words)
            text += (text.empty() ? "" : ", ") + std::string(entry.first);
        return text;
    }

    Result<std::vector<Command>> Parser::parseAll()
    {
        std::vector<Command> commands;
        while (acceptSymbol(";")) { }
        while (!atEnd()) {
            if (commands.size() == maxCommandsPerText)
                return Error { ErrorKind::TooLarge,
                    "more than " + std::to_string(maxCommandsPerText)
                        + " commands in one text: send them in several parts" };
            Command& command = commands.emplace_back();
            if (!parseStatement(command))
                return *m_error;
            if (!atEnd() && !nextIsSymbol(";")) {
                fail("';' before the next command, or the end");
                return *m_error;
            }
            while (acceptSymbol(";")) { }
        }
        if (commands.empty()) {
            fail("a command, for example SHOW UPSTREAMS");
            return *m_error;
        }
        return commands;
    }

    bool Parser::acceptWord(std::string_view word)
    {
        if (!nextIsWord(word))
            return false;
        ++m_next;
        return true;
    }

    bool Parser::acceptSymbol(std::string_view symbol)
    {
        if (!nextIsSymbol(symbol))
            return false;
        ++m_next;
        return true;
    }

    bool Parser::expectWord(std::string_view word) { return acceptWord(word) || fail(word); }

    bool Parser::expectWords(std::initializer_list<std::string_view> words)
    {
        return std::all_of(
            words.begin(), words.end(), [this](std::string_view word) { return expectWord(word); });
    }

    // The text of the next token for an error message. Quoted texts and words after KEY are left out, because
    // they may be API keys.
    std::string Parser::describeNextToken() const
    {
        constexpr std::size_t maxShownCharacters = 40;
        if (atEnd())
            return "the end";
        bool afterKey = m_next > 0
            && (equalIgnoringCase(m_tokens[m_next - 1].text, "KEY")
                || equalIgnoringCase(m_tokens[m_next - 1].text, "HASH"));
        if (peek().kind == TokenKind::Quoted || afterKey)
            return "a text";
        return "'" + peek().text.substr(0, maxShownCharacters) + "'";
    }

    bool Parser::fail(std::string_view expected)
    {
        return failWith(syntaxError(m_text, peek().offset, expected, describeNextToken()));
    }

    bool Parser::failWith(Error error)
    {
        m_error = std::move(error);
        return false;
    }

    bool Parser::parseStatement(Command& command)
    {
        std::string expected;
        for (const StatementWord& word : statementWords) {
            if (acceptWord(word.keyword))
                return (this->*word.parse)(command) && (isQuery(command) || parseExpectedRevision(command));
            expected += (expected.empty() ? "" : ", ") + std::string(word.keyword);
        }
        return fail("one of " + expected);
    }

    bool Parser::parseExpectedRevision(Command& command)
    {
        if (!acceptWord("IF"))
            return true;
        return expectWord("REVISION") && readRevision(command.expectedRevision.emplace());
    }

    bool Parser::parseDefinition(Command& command, Verb verb)
    {
        ObjectKind kind {};
        if (!readWord(objectWords, kind, ""))
            return false;
        switch (kind) {
        case ObjectKind::Organisation:
            return parseObject<OrganisationCommand>(command, verb);
        case ObjectKind::Pool:
            return parseObject<PoolCommand>(command, verb);
        case ObjectKind::Upstream:
            return parseObject<UpstreamCommand>(command, verb);
        case ObjectKind::Policy:
            return parseObject<PolicyCommand>(command, verb);
        }
        return false;
    }

    bool Parser::parseAdd(Command& command)
    {
        return expectWord("UPSTREAM") && parseObject<UpstreamCommand>(command, Verb::Create);
    }

    bool Parser::parseRetire(Command& command)
    {
        auto& retire = command.statement.emplace<RetireCommand>();
        return readWord(objectWords, retire.kind, "") && readText(retire.name, "a name");
    }

    bool Parser::parseRemove(Command& command)
    {
        auto& retire = command.statement.emplace<RetireCommand>();
        retire.kind = ObjectKind::Upstream;
        return expectWord("UPSTREAM") && readText(retire.name, "a name");
    }

    bool Parser::parseDrain(Command& command)
    {
        auto& drain = command.statement.emplace<DrainCommand>();
        return expectWord("UPSTREAM") && readText(drain.upstream, "a name") && parseWindow(drain.window);
    }

    bool Parser::parseUndrain(Command& command)
    {
        auto& undrain = command.statement.emplace<UndrainCommand>();
        return expectWord("UPSTREAM") && readText(undrain.upstream, "a name") && parseWindow(undrain.window);
    }

    bool Parser::parseWindow(std::optional<WallTime>& window)
    {
        if (!acceptWord("FOR"))
            return true;
        if (!expectWord("WINDOW"))
            return false;
        window = parseMinute(peek().text);
        if (!window)
            return fail("the start of a planned window as 2026-12-07T02:00Z");
        ++m_next;
        return true;
    }

    bool Parser::parseMark(Command& command)
    {
        auto& mark = command.statement.emplace<MarkEmptyCommand>();
        return expectWord("UPSTREAM") && readText(mark.upstream, "a name")
            && expectWords({ "EMPTY", "SINCE", "REVISION" }) && readRevision(mark.drainRevision);
    }

    bool Parser::parsePlan(Command& command)
    {
        DrainPlan& plan = command.statement.emplace<PlanDrainCommand>().plan;
        if (!expectWords({ "DRAIN", "UPSTREAM" }) || !readText(plan.upstream, "a name")
            || !expectWord("EVERY") || !readWord(weekdayWords, plan.weekday, "a weekday as MONDAY or MON")
            || !expectWord("AT"))
            return false;
        auto start = readTimeOfDay(peek().text);
        if (!start)
            return fail("a time of day (UTC) as 02:30");
        plan.start = *start;
        ++m_next;
        if (!expectWord("FOR"))
            return false;
        auto length = readDuration(peek().text);
        if (!length || length->count() % 60000 != 0)
            return fail("a length in whole minutes as 90m or 1h30m");
        plan.length = std::chrono::duration_cast<std::chrono::minutes>(*length);
        ++m_next;
        if (acceptWord("WITHOUT")) {
            plan.handover = false;
            return expectWord("HANDOVER");
        }
        return true;
    }

    bool Parser::parseCancel(Command& command)
    {
        auto& cancel = command.statement.emplace<CancelPlanCommand>();
        return expectWords({ "DRAIN", "PLAN", "UPSTREAM" }) && readText(cancel.upstream, "a name");
    }

    bool Parser::parseShow(Command& command)
    {
        auto& show = command.statement.emplace<ShowCommand>();
        acceptWord("DRAIN"); // SHOW DRAIN PLANS means the same as SHOW PLANS
        if (!readWord(topicWords, show.topic, ""))
            return false;
        if (!parseColumns(show) || !parseFilters(show) || !parseOrder(show))
            return false;
        if (acceptWord("LIMIT") && !read(show.limit.emplace()))
            return false;
        if (acceptWord("FORMAT") && !readWord(formatWords, show.format.emplace(), ""))
            return false;
        if (!atEnd() && !nextIsSymbol(";"))
            return fail("COLUMNS, WHERE, ORDER BY, LIMIT, FORMAT (in this order), ';' or the end");
        return true;
    }

    bool Parser::parseColumns(ShowCommand& show)
    {
        if (!acceptWord("COLUMNS"))
            return true;
        do {
            std::string column;
            if (!readText(column, "a column"))
                return false;
            show.columns.push_back(lowerCase(column));
        } while (acceptSymbol(","));
        return true;
    }

    bool Parser::parseFilters(ShowCommand& show)
    {
        if (!acceptWord("WHERE"))
            return true;
        do {
            Filter filter;
            if (!readText(filter.column, "a column"))
                return false;
            filter.column = lowerCase(filter.column);
            if (!readWord(comparisonWords, filter.comparison, ""))
                return false;
            if (!readText(filter.value, "a value"))
                return false;
            show.filters.push_back(std::move(filter));
        } while (acceptWord("AND"));
        return true;
    }

    bool Parser::parseOrder(ShowCommand& show)
    {
        if (!acceptWord("ORDER"))
            return true;
        if (!expectWord("BY") || !readText(show.orderBy, "a column"))
            return false;
        show.orderBy = lowerCase(show.orderBy);
        show.descending = acceptWord("DESC");
        if (!show.descending)
            acceptWord("ASC");
        return true;
    }

    template <typename Object> bool Parser::parseObject(Command& command, Verb verb)
    {
        auto& object = command.statement.emplace<Object>();
        object.verb = verb;
        if (!readText(object.name, "a name"))
            return false;
        while (!atEnd() && !nextIsSymbol(";") && !nextIsWord("IF")) {
            bool found = false;
            if (!parseProperty(object, found))
                return false;
            if (!found) {
                std::string expected;
                for (const auto& property : propertiesOf(&object))
                    expected += std::string(property.keyword) + ", ";
                return fail("one of " + expected + "IF REVISION, ';' or the end");
            }
        }
        return true;
    }

    template <typename Object> bool Parser::parseProperty(Object& object, bool& found)
    {
        for (const auto& property : propertiesOf(&object)) {
            if (!nextIsWord(property.keyword))
                continue;
            found = true;
            return std::visit(
                [&](auto member) {
                    if (object.*member)
                        return fail("each property only once");
                    ++m_next;
                    return read((object.*member).emplace());
                },
                property.member);
        }
        return true;
    }

    template <typename Words, typename Value>
    bool Parser::readWord(const Words& words, Value& value, std::string_view expected)
    {
        for (const auto& [word, meaning] : words) {
            if (peek().kind != TokenKind::Quoted && equalIgnoringCase(peek().text, word)) {
                value = meaning;
                ++m_next;
                return true;
            }
        }
        return fail(expected.empty() ? "one of " + listWords(words) : std::string(expected));
    }

    bool Parser::readText(std::string& value, std::string_view expected)
    {
        if (peek().kind != TokenKind::Bare && peek().kind != TokenKind::Quoted)
            return fail(expected);
        if (peek().text.size() > maxTextBytes)
            return fail("a text of at most " + std::to_string(maxTextBytes) + " characters");
        value = peek().text;
        ++m_next;
        return true;
    }

    bool Parser::read(double& value)
    {
        auto number = parseNumber<double>(peek().text);
        if (!number || !std::isfinite(*number) || peek().kind != TokenKind::Bare)
            return fail("a number");
        value = *number;
        ++m_next;
        return true;
    }

    bool Parser::read(std::uint32_t& value)
    {
        auto number = parseNumber<std::uint32_t>(peek().text);
        if (!number || peek().kind != TokenKind::Bare)
            return fail("a whole number from 0 to 4294967295");
        value = *number;
        ++m_next;
        return true;
    }

    bool Parser::readRevision(std::uint64_t& value)
    {
        auto number = parseNumber<std::uint64_t>(peek().text);
        if (!number || peek().kind != TokenKind::Bare)
            return fail("a revision number");
        value = *number;
        ++m_next;
        return true;
    }

    // Reads the value of KEY '<key>' or KEY HASH <64 hex digits>. A key is hashed here, so the command never
    // contains it.
    bool Parser::read(KeyHash& value)
    {
        constexpr std::size_t hashDigits = 64;
        constexpr std::size_t minKeyCharacters = 16;
        if (peek().kind == TokenKind::Quoted) {
            if (peek().text.size() < minKeyCharacters)
                return fail("a key of at least " + std::to_string(minKeyCharacters) + " characters");
            value.hex = sha256Hex(peek().text);
            ++m_next;
            return true;
        }
        if (!acceptWord("HASH"))
            return fail("the key in quotes, or HASH and its SHA-256");
        std::string hex = lowerCase(peek().text);
        if (hex.size() != hashDigits || hex.find_first_not_of("0123456789abcdef") != std::string::npos)
            return fail("the key's SHA-256 as 64 hex digits");
        value.hex = hex;
        ++m_next;
        return true;
    }

    bool Parser::read(Endpoint& value)
    {
        if (peek().kind != TokenKind::Bare)
            return fail("an address without quotes as 10.0.0.1:8080");
        auto endpoint = parseEndpoint(peek().text);
        if (!endpoint) {
            Error error = endpoint.error();
            error.message += "\n" + excerptAt(m_text, peek().offset);
            return failWith(std::move(error));
        }
        value = endpoint.value();
        ++m_next;
        return true;
    }

    bool Parser::read(Milliseconds& value)
    {
        auto duration = readDuration(peek().text);
        if (!duration)
            return fail("a duration as 500ms, 5s or 1h30m");
        value = *duration;
        ++m_next;
        return true;
    }

    bool Parser::read(std::vector<Operation>& operations)
    {
        if (!acceptSymbol("("))
            return fail("operations as (POST /bookings, GET /slots REPEATABLE)");
        if (acceptSymbol(")"))
            return true;
        do {
            if (!readOperation(operations.emplace_back()))
                return false;
        } while (acceptSymbol(","));
        return acceptSymbol(")") || fail("',' or ')'");
    }

    bool Parser::readOperation(Operation& operation)
    {
        if (!readText(operation.method, "a method as POST") || !readText(operation.pathPrefix, "a path"))
            return false;
        operation.method = upperCase(operation.method);
        operation.repeatable = acceptWord("REPEATABLE");
        return true;
    }

} // namespace

Result<std::vector<Command>> parseCommands(std::string_view text)
{
    auto tokens = tokenize(text);
    if (!tokens)
        return tokens.error();
    return Parser(text, std::move(tokens).value()).parseAll();
}

Result<Command> parseCommand(std::string_view text)
{
    auto commands = parseCommands(text);
    if (!commands)
        return commands.error();
    if (commands.value().size() != 1)
        return Error { ErrorKind::InvalidArgument, "more than one command where one is expected: send one" };
    return commands.value().front();
}

} // namespace briarwharf
