// Starts of the daemon as a process of its own under conditions that differ from one machine to another. The
// rig fails a case whose daemon does not serve within 10 s.

#include "hostile/testing/rig.h"
#include <csignal>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

using namespace briarwharf;

namespace {

void closeStandardStreams()
{
    for (int stream : { STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO })
        close(stream);
}

void blockSignals()
{
    sigset_t all;
    sigfillset(&all);
    sigprocmask(SIG_SETMASK, &all, nullptr);
}

} // namespace

// Guards against log lines in the sockets that take the descriptors of closed streams: SIGHUP, SIGTERM and
// the restart of a store make the daemon write some.
TEST_CASE("LOST: a daemon whose standard streams are closed becomes ready and serves")
{
    HostileRig rig({ .prepare = &closeStandardStreams });
    rig.signal(SIGHUP);
    rig.run(Milliseconds(300));
    CHECK(rig.checkAdmin("/readyz") == 200);
    CHECK(rig.call("GET", "/ordinary/") == 200);
    rig.signal(SIGTERM);
    CHECK(rig.waitForEnd());
}

// Guards against a daemon that no signal stops, because the process that started it blocks signals.
TEST_CASE("a daemon that inherits blocked signals ends on SIGTERM")
{
    HostileRig rig({ .prepare = &blockSignals });
    CHECK(rig.checkAdmin("/readyz") == 200);
    rig.signal(SIGTERM);
    CHECK(rig.waitForEnd());
}

// Guards against an instance that never becomes ready because its store needs longer for an answer than the
// first timeout allows.
TEST_CASE("LOST: a daemon becomes ready at a store that takes 2.5 s for each answer")
{
    HostileRig rig({ .storeDelay = Milliseconds(2500) });
    CHECK(rig.checkAdmin("/readyz") == 200);
}

// Guards against a platform that applies none of deploy/wire.toml and takes each instance for not ready.
TEST_CASE("LOST: readiness is answered at the platform's own path, too")
{
    HostileRig rig({});
    CHECK(rig.checkAdmin("/readiness") == 200);
    CHECK(rig.checkAdmin("/readyz") == 200);
    CHECK(rig.checkAdmin("/ready") == 404);
}
