// Command-line tool for operators. docs/commands.md describes the command language and the exit statuses.

#include "base/base.h"
#include "connection/operatorclient.h"
#include "version/version.h"
#include <algorithm>
#include <boost/program_options.hpp>
#include <event2/event.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

namespace briarwharf {

namespace {

    namespace options = boost::program_options;

    enum ExitStatus {
        ExitDone = 0,
        ExitRefused = 1, // the command was rejected and had no effect
        ExitUsage = 2, // invalid options, an unreadable file or a syntax error; nothing was sent
        ExitUnreachable = 3, // no byte reached any server; nothing was changed
        ExitUnknown = 4, // the command may have taken effect
        ExitConflict = 5, // the configuration changed after the expected revision; the command had no effect
    };

    constexpr std::string_view usage
        = "usage: briarwharfctl --server IP:PORT [--server IP:PORT ...] --token-file FILE [options] "
          "'COMMANDS'\n"
          "       briarwharfctl trace ID LOG-FILE ...    the lines about one request, from several "
          "instances\n"
          "       briarwharfctl --version\n"
          "Commands come from the arguments, from --file, or else from standard input, separated by ';'.\n"
          "Exit status: 0 done, 1 refused, 2 usage or syntax error, 3 no server reached, 4 outcome unknown,\n"
          "5 conflict with another change. It stops at the first command that is not done; after 1, 2, 3 and "
          "5\n"
          "that command changed nothing.\n";

    struct Arguments {
        std::vector<std::string> servers;
        std::string tokenFile;
        std::string commandFile;
        std::vector<std::string> commandWords;
        std::int64_t timeoutMs = 10000;
        std::uint64_t expectedRevision = 0;
        bool hasExpectedRevision = false;
        bool json = false;
        bool help = false;
    };

    options::options_description describeOptions(Arguments& arguments)
    {
        options::options_description description("options");
        auto add = description.add_options();
        add("server", options::value(&arguments.servers)->composing(),
            "IP:PORT of an instance's admin listener; the next one is tried only if no byte reached this "
            "one");
        add("token-file", options::value(&arguments.tokenFile),
            "file whose first line is the operators' token");
        add("file", options::value(&arguments.commandFile), "file with the commands");
        add("json", options::bool_switch(&arguments.json), "print the answers as JSON, one a line");
        add("expect-revision", options::value(&arguments.expectedRevision),
            "adds IF REVISION N to each change that has none");
        add("timeout", options::value(&arguments.timeoutMs), "milliseconds for each request (10000)");
        add("help", options::bool_switch(&arguments.help), "print this text");
        add("commands", options::value(&arguments.commandWords), "the commands");
        return description;
    }

    // Boost.Program_options reports invalid options as exceptions; they are converted to errors here.
    Result<Arguments> parseArguments(int count, char** values)
    {
        Arguments arguments;
        options::options_description description = describeOptions(arguments);
        options::positional_options_description positional;
        positional.add("commands", -1);
        try {
            options::variables_map parsed;
            auto parser
                = options::command_line_parser(count, values).options(description).positional(positional);
            options::store(parser.run(), parsed);
            options::notify(parsed);
            arguments.hasExpectedRevision = parsed.count("expect-revision") > 0;
        } catch (const options::error& error) {
            return Error { ErrorKind::InvalidArgument, std::string(error.what()) + ": see --help" };
        }
        if (arguments.help) {
            std::cout << usage << description;
            return arguments;
        }
        if (arguments.servers.empty() || arguments.tokenFile.empty())
            return Error { ErrorKind::InvalidArgument,
                "no server or no token: give --server and --token-file" };
        if (arguments.timeoutMs < 1)
            return Error { ErrorKind::InvalidArgument, "the timeout is too short: give --timeout 1 or more" };
        return arguments;
    }

    Result<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return Error { ErrorKind::NotFound,
                "the file '" + path + "' cannot be read: check its name and its permissions" };
        return std::string((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    }

    Result<std::string> readToken(const std::string& path)
    {
        BOOST_OUTCOME_TRY(text, readFile(path));
        std::string token = text.substr(0, text.find_first_of("\r\n"));
        if (token.empty())
            return Error { ErrorKind::InvalidArgument,
                "the token file '" + path + "' has no token: write the token on its first line" };
        return token;
    }

    Result<std::string> readCommandText(const Arguments& arguments)
    {
        if (!arguments.commandFile.empty())
            return readFile(arguments.commandFile);
        if (arguments.commandWords.empty())
            return std::string((std::istreambuf_iterator<char>(std::cin)), std::istreambuf_iterator<char>());
        std::string text;
        for (const std::string& word : arguments.commandWords)
            text += (text.empty() ? "" : " ") + word;
        return text;
    }

    // The commands of one request to the operator interface: a single SHOW, or changes that are applied
    // together.
    using OperatorRequest = std::vector<Command>;

    bool isQuery(const OperatorRequest& request) { return isQuery(request.front()); }

    std::vector<OperatorRequest> groupCommands(const std::vector<Command>& commands)
    {
        std::vector<OperatorRequest> requests;
        for (const Command& command : commands) {
            if (isQuery(command) || requests.empty() || isQuery(requests.back()))
                requests.emplace_back();
            requests.back().push_back(command);
        }
        return requests;
    }

    // Prints the request's commands in canonical form, in which an API key is replaced by its hash, so that
    // the key itself is not sent.
    std::string requestText(const OperatorRequest& request, const Arguments& arguments)
    {
        std::string text;
        for (Command command : request) {
            if (!isQuery(command) && arguments.hasExpectedRevision && !command.expectedRevision)
                command.expectedRevision = arguments.expectedRevision;
            text += (text.empty() ? "" : ";\n") + printCommand(command);
        }
        return text;
    }

    bool wantsJson(const OperatorRequest& request, const Arguments& arguments)
    {
        const auto* show = std::get_if<ShowCommand>(&request.front().statement);
        return arguments.json || (show && show->format == ShowFormat::Json);
    }

    int printError(const Error& error, int status, bool json)
    {
        if (json)
            std::cout << dumpJson(answerJson({ 0, error, std::nullopt })) << "\n";
        else
            std::cerr << "briarwharfctl: " << error.message << "\n";
        return status;
    }

    int printOutcomeUnknown(const OperatorReply& reply, const std::string& requestId, bool json)
    {
        return printError({ ErrorKind::Unknown,
                              "the command was sent to " + reply.server + " but no complete answer arrived ("
                                  + std::string(exchangeEndName(reply.end))
                                  + "), so it may have taken effect: run SHOW REVISION WHERE request = "
                                  + requestId + "; a row there means that it did" },
            ExitUnknown, json);
    }

    int exitStatusOf(const Error& error)
    {
        switch (error.kind) {
        case ErrorKind::Unknown:
        case ErrorKind::DeadlineExceeded:
            return ExitUnknown;
        case ErrorKind::Conflict:
            return ExitConflict;
        default:
            return ExitRefused;
        }
    }

    int printAnswer(const OperatorReply& reply, const OperatorRequest& request, const std::string& requestId,
        Arguments& arguments)
    {
        bool json = wantsJson(request, arguments);
        auto answer = parseAnswer(reply.body);
        constexpr int firstServerError = 500;
        if (!answer && reply.status >= firstServerError && !isQuery(request))
            return printOutcomeUnknown(reply, requestId, json);
        if (!answer)
            return printError(answer.error(), ExitRefused, json);
        if (json)
            std::cout << reply.body << "\n";
        const auto& error = answer.value().error;
        if (error && !json) {
            std::cerr << "briarwharfctl: " << error->message << "\n";
            if (exitStatusOf(*error) == ExitUnknown)
                std::cerr << "To find out: SHOW REVISION WHERE request = " << requestId << "\n";
        }
        if (error)
            return exitStatusOf(*error);
        // Later commands of the same text must expect the revision that this request created. A query does
        // not raise the expected revision, so that a change by another operator is still detected as a
        // conflict.
        if (!isQuery(request))
            arguments.expectedRevision = std::max(arguments.expectedRevision, answer.value().revision);
        if (!json && answer.value().table)
            std::cout << printTable(*answer.value().table);
        else if (!json)
            std::cout << "done, revision " << answer.value().revision << "\n";
        return ExitDone;
    }

    int runRequest(
        event_base* base, OperatorClient& client, const OperatorRequest& request, Arguments& arguments)
    {
        std::string requestId = randomToken();
        bool json = wantsJson(request, arguments);
        OperatorReply reply;
        client.send(requestText(request, arguments), requestId, [&](const OperatorReply& received) {
            reply = received;
            event_base_loopbreak(base);
        });
        event_base_dispatch(base);
        switch (reply.delivery) {
        case CommandDelivery::Answered:
            return printAnswer(reply, request, requestId, arguments);
        case CommandDelivery::NotSent:
            return printError({ ErrorKind::Unavailable,
                                  "no server could be reached, and nothing was done; the last was "
                                      + reply.server + " (" + std::string(exchangeEndName(reply.end))
                                      + "): check the addresses, or give another --server" },
                ExitUnreachable, json);
        case CommandDelivery::Unknown:
            if (isQuery(request))
                return printError({ ErrorKind::Unavailable,
                                      reply.server + " sent no complete answer ("
                                          + std::string(exchangeEndName(reply.end)) + "): repeat the query" },
                    ExitUnreachable, json);
            return printOutcomeUnknown(reply, requestId, json);
        }
        return ExitUnknown;
    }

    Result<OperatorClientOptions> clientOptions(const Arguments& arguments)
    {
        OperatorClientOptions client;
        client.timeout = Milliseconds(arguments.timeoutMs);
        BOOST_OUTCOME_TRY(token, readToken(arguments.tokenFile));
        client.token = token;
        for (const std::string& server : arguments.servers) {
            BOOST_OUTCOME_TRY(endpoint, parseEndpoint(server));
            client.servers.push_back({ endpoint.address, endpoint.port });
        }
        return client;
    }

    int run(Arguments arguments)
    {
        auto client = clientOptions(arguments);
        if (!client)
            return printError(client.error(), ExitUsage, arguments.json);
        auto text = readCommandText(arguments);
        if (!text)
            return printError(text.error(), ExitUsage, arguments.json);
        auto commands = parseCommands(text.value());
        if (!commands)
            return printError(commands.error(), ExitUsage, arguments.json);
        std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(), event_base_free);
        OperatorClient sender(base.get(), client.value());
        for (const OperatorRequest& request : groupCommands(commands.value())) {
            int status = runRequest(base.get(), sender, request, arguments);
            if (status != ExitDone)
                return status;
        }
        return ExitDone;
    }

    // Prints the log lines about one request. Exit status: 0 if there are any, 1 if there are none, 2 if a
    // file cannot be read or arguments are missing.
    int runTrace(const std::vector<std::string>& words)
    {
        if (words.size() < 2) {
            std::cerr << "briarwharfctl: trace needs a request id and at least one log file\n";
            return ExitUsage;
        }
        LogTrace trace(words[0]);
        for (std::size_t index = 1; index < words.size(); ++index) {
            std::ifstream file(words[index]);
            if (!file) {
                std::cerr << "briarwharfctl: cannot read " << words[index]
                          << ": check the path and its permissions\n";
                return ExitUsage;
            }
            trace.read(file, words[index]);
        }
        for (const TracedLine& line : trace.lines())
            std::cout << line.origin << " " << line.text << "\n";
        return trace.lines().empty() ? ExitRefused : ExitDone;
    }

} // namespace

} // namespace briarwharf

int main(int count, char** values)
{
    briarwharf::ignoreBrokenPipes();
    briarwharf::configureLogging("error");
    std::vector<std::string> words(values + 1, values + count);
    if (!words.empty() && words[0] == "trace")
        return briarwharf::runTrace({ words.begin() + 1, words.end() });
    if (words.size() == 1 && words[0] == "--version") {
        std::cout << "briarwharfctl " << BRIARWHARF_VERSION << "\n";
        return briarwharf::ExitDone;
    }
    auto arguments = briarwharf::parseArguments(count, values);
    if (!arguments)
        return briarwharf::printError(arguments.error(), briarwharf::ExitUsage, false);
    return arguments.value().help ? briarwharf::ExitDone : briarwharf::run(arguments.value());
}
