#include "version/testing/generators.h"

using namespace briarwharf;
using namespace briarwharf::testing;

namespace {

struct RefusedCommand {
    const char* text;
    ErrorKind kind;
    const char* messageFragment; // a fragment of the message that names the cause or the remedy
};

const RefusedCommand refusedCommands[] = {
    { "CREATE POOL estimators MODEL other", ErrorKind::AlreadyExists, "use ALTER" },
    { "CREATE POOL second MODEL terrazzo-1", ErrorKind::AlreadyExists,
        "already served by pool 'estimators'" },
    { "CREATE POOL empty", ErrorKind::InvalidArgument, "add MODEL" },
    { "CREATE POOL s KIND service MODEL m", ErrorKind::InvalidArgument, "leave MODEL out" },
    { "CREATE POOL s KIND service OPERATIONS (POST jobs)", ErrorKind::InvalidArgument, "begin it with /" },
    { "ALTER POOL estimators POLICY none", ErrorKind::NotFound, "SHOW POLICIES" },
    { "ALTER POOL estimators KIND service", ErrorKind::InvalidArgument, "keeps its kind" },
    { "ALTER POOL none MODEL m", ErrorKind::NotFound, "SHOW POOLS" },
    { "RETIRE POOL estimators", ErrorKind::Conflict, "drain and remove its upstreams" },
    { "RETIRE POLICY steady", ErrorKind::Conflict, "is used by pool 'estimators'" },
    { "ADD UPSTREAM e3 POOL none ADDRESS 10.0.0.3:80 DOMAIN a", ErrorKind::NotFound, "SHOW POOLS" },
    { "ADD UPSTREAM e3 POOL estimators DOMAIN a", ErrorKind::InvalidArgument, "add ADDRESS" },
    { "ADD UPSTREAM e3 POOL estimators ADDRESS 10.0.0.3:80", ErrorKind::InvalidArgument, "add DOMAIN" },
    { "ADD UPSTREAM e3 POOL estimators ADDRESS 10.0.0.1:8080 DOMAIN a", ErrorKind::AlreadyExists,
        "belongs to upstream 'e1'" },
    { "ADD UPSTREAM 'e 3' POOL estimators ADDRESS 10.0.0.3:80 DOMAIN a", ErrorKind::InvalidArgument,
        "begin with a letter" },
    { "ALTER UPSTREAM e1 WEIGHT -1", ErrorKind::InvalidArgument, "above 0" },
    { "ALTER UPSTREAM e1 WEIGHT 0", ErrorKind::InvalidArgument, "use DRAIN" },
    { "ALTER UPSTREAM e1 SLOTS 0", ErrorKind::InvalidArgument, "from 1" },
    { "ALTER UPSTREAM e1 ADDRESS 10.0.0.9:80", ErrorKind::Conflict, "DRAIN UPSTREAM first" },
    { "REMOVE UPSTREAM e1", ErrorKind::Conflict, "DRAIN UPSTREAM first" },
    { "REMOVE UPSTREAM e9", ErrorKind::NotFound, "SHOW UPSTREAMS" },
    { "UNDRAIN UPSTREAM e1", ErrorKind::AlreadyExists, "not draining" },
    { "MARK UPSTREAM e1 EMPTY SINCE REVISION 1", ErrorKind::Conflict, "not in the drain" },
    { "CREATE ORGANISATION o", ErrorKind::InvalidArgument, "add KEY" },
    { "CREATE ORGANISATION o KEY 'sample-key-of-saqib'", ErrorKind::AlreadyExists, "its own key" },
    { "ALTER ORGANISATION saqib TOKENS_PER_SECOND -5", ErrorKind::InvalidArgument, "from 0" },
    { "ALTER POLICY steady LOAD_BOUND 1", ErrorKind::InvalidArgument, "above 1" },
    { "ALTER POLICY steady QUEUE_DEADLINE 1h", ErrorKind::InvalidArgument, "10m" },
    { "PLAN DRAIN UPSTREAM e9 EVERY MON AT 02:00 FOR 1h", ErrorKind::NotFound, "SHOW UPSTREAMS" },
    { "PLAN DRAIN UPSTREAM e1 EVERY MON AT 02:00 FOR 1m", ErrorKind::InvalidArgument, "FOR 5m" },
    { "CANCEL DRAIN PLAN UPSTREAM e1", ErrorKind::NotFound, "SHOW PLANS" },
    { "SHOW POOLS", ErrorKind::InvalidArgument, "by itself" },
    { "ALTER UPSTREAM e1 SLOTS 5 IF REVISION 9", ErrorKind::Conflict, "does not exist yet" },
};

} // namespace

// Guards against invalid commands that take effect, and against error messages that do not name a remedy.
TEST_CASE("invalid commands are refused with a typed error that names the remedy")
{
    Config config = sampleConfig();
    for (const RefusedCommand& refused : refusedCommands) {
        Error error = refusalError(config, refused.text);
        CHECK_MESSAGE(errorKindName(error.kind) == errorKindName(refused.kind), refused.text);
        CHECK_MESSAGE(error.message.find(refused.messageFragment) != std::string::npos, error.message);
        CHECK_MESSAGE(error.message.find(": ") != std::string::npos, error.message);
    }
}

// Guards against a record of which only some commands take effect because a later one is refused.
TEST_CASE("the commands of one record take effect together or not at all")
{
    Config config = sampleConfig();
    Error error = refusalError(config, "ALTER UPSTREAM e1 SLOTS 5; ALTER UPSTREAM e9 SLOTS 5");
    CHECK(error.message.find("command 2 of 2 (none took effect)") != std::string::npos);
    Config next = configAfter(config, "ALTER UPSTREAM e1 SLOTS 5; DRAIN UPSTREAM e2");
    CHECK(next.revision == config.revision + 1);
    CHECK(next.upstreams.at("e1").slots == 5);
    CHECK(next.upstreams.at("e2").state == UpstreamState::Draining);
}

// Guards against lost updates: two operators read the same revision, and the second to write overwrites the
// change of the first without noticing.
TEST_CASE("the refusal of a command with an old expected revision lists what changed")
{
    Config config = sampleConfig();
    std::string ifRevision = " IF REVISION " + std::to_string(config.revision);
    Config next = configAfter(config, "ALTER UPSTREAM e1 SLOTS 5" + ifRevision);
    Error error = refusalError(next, "ALTER UPSTREAM e1 SLOTS 6" + ifRevision);
    CHECK(error.kind == ErrorKind::Conflict);
    CHECK(error.message.find("revision 2 (op): ALTER UPSTREAM e1") != std::string::npos);
    // Records that were refused raise the revision without a change and cause no conflict.
    Config unchanged = config;
    unchanged.revision += 3;
    CHECK(configAfter(unchanged, "ALTER UPSTREAM e1 SLOTS 6" + ifRevision).upstreams.at("e1").slots == 6);
}

// Guards against a new upstream that inherits the hints and claims of a retired upstream with the same name.
TEST_CASE("a retired name is not used again")
{
    Config config = configAfter(sampleConfig(), "DRAIN UPSTREAM e1; REMOVE UPSTREAM e1");
    Error error = refusalError(config, "ADD UPSTREAM e1 POOL estimators ADDRESS 10.0.0.7:80 DOMAIN a");
    CHECK(error.kind == ErrorKind::AlreadyExists);
    CHECK(error.message.find("was retired at revision 2") != std::string::npos);
}

// Guards against a drainer that was paused and then writes a late command for an old window, which would
// start or end another drain.
TEST_CASE("a planned drain and its end are tied to their window")
{
    Config config = configAfter(sampleConfig(), "PLAN DRAIN UPSTREAM e1 EVERY MON AT 02:00 FOR 90m");
    const std::string drain = "DRAIN UPSTREAM e1 FOR WINDOW 2026-12-07T02:00Z";
    Config drained = configAfter(config, drain);
    CHECK(refusalError(drained, drain).kind == ErrorKind::Conflict);
    CHECK(refusalError(drained, "UNDRAIN UPSTREAM e1 FOR WINDOW 2026-11-30T02:00Z").kind
        == ErrorKind::Conflict);
    CHECK(refusalError(drained, "CANCEL DRAIN PLAN UPSTREAM e1").kind == ErrorKind::Conflict);
    Config back = configAfter(drained, "UNDRAIN UPSTREAM e1 FOR WINDOW 2026-12-07T02:00Z");
    CHECK(back.upstreams.at("e1").state == UpstreamState::Serving);
    CHECK(refusalError(back, drain).kind == ErrorKind::Conflict);
    // After an operator's DRAIN took over, the window's end no longer ends the drain.
    Config takenOver = configAfter(drained, "DRAIN UPSTREAM e1");
    CHECK(refusalError(takenOver, "UNDRAIN UPSTREAM e1 FOR WINDOW 2026-12-07T02:00Z").kind
        == ErrorKind::Conflict);
    CHECK(configAfter(takenOver, "UNDRAIN UPSTREAM e1").upstreams.at("e1").state == UpstreamState::Serving);
}

// Guards against an upstream marked as empty while it has requests: it was undrained and drained again, and a
// late report of the first drain arrives during the second.
TEST_CASE("an upstream is marked empty only in the drain that was observed")
{
    Config first = configAfter(sampleConfig(), "DRAIN UPSTREAM e1");
    std::string mark
        = "MARK UPSTREAM e1 EMPTY SINCE REVISION " + std::to_string(first.upstreams.at("e1").drainRevision);
    CHECK(configAfter(first, mark).upstreams.at("e1").empty);
    Config second
        = configAfter(configAfter(configAfter(first, mark), "UNDRAIN UPSTREAM e1"), "DRAIN UPSTREAM e1");
    CHECK_FALSE(second.upstreams.at("e1").empty);
    CHECK(refusalError(second, mark).kind == ErrorKind::Conflict);
}

// Guards against a history that grows without limit in the configuration of every instance.
TEST_CASE("the history keeps a bounded number of changes")
{
    Config config = sampleConfig();
    for (std::size_t i = 0; i < maxHistory + 10; ++i)
        config = configAfter(config, "ALTER UPSTREAM e1 SLOTS " + std::to_string(i + 1));
    CHECK(config.history.size() == maxHistory);
    CHECK(config.history.back().revision == config.revision);
}
