// Starts of the daemon as a process of its own under conditions that differ from one machine to another. The
// rig fails a case whose daemon does not serve within 10 s.

#include "hostile/testing/rig.h"
#include <cerrno>
#include <csignal>
#include <cstddef>
#include <doctest/doctest.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
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

// From now on, setsockopt() fails for the options of TCP and for keep-alive probes.
void refuseConnectionOptions()
{
    constexpr unsigned load = BPF_LD | BPF_W | BPF_ABS;
    constexpr unsigned jumpIfEqual = BPF_JMP | BPF_JEQ | BPF_K;
    constexpr unsigned number = offsetof(seccomp_data, nr);
    constexpr unsigned level = offsetof(seccomp_data, args) + sizeof(std::uint64_t);
    constexpr unsigned option = offsetof(seccomp_data, args) + 2 * sizeof(std::uint64_t);
    sock_filter program[] {
        BPF_STMT(load, number),
        BPF_JUMP(jumpIfEqual, SYS_setsockopt, 0, 5),
        BPF_STMT(load, level),
        BPF_JUMP(jumpIfEqual, IPPROTO_TCP, 2, 0),
        BPF_STMT(load, option),
        BPF_JUMP(jumpIfEqual, SO_KEEPALIVE, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ERRNO | ENOPROTOOPT),
        BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW),
    };
    sock_fprog filter { sizeof program / sizeof program[0], program };
    prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0);
    prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &filter);
}

} // namespace

// Guards against log lines in the sockets that take the descriptors of closed streams: SIGHUP and SIGTERM
// make the daemon write some.
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

// Guards against a daemon that ends because the system does not know an option that only tunes connections.
TEST_CASE("LOST: a daemon serves on a system that refuses the options of connections")
{
    HostileRig rig({ .prepare = &refuseConnectionOptions });
    CHECK(rig.checkAdmin("/readyz") == 200);
}

// Guards against a daemon that SIGHUP ends, because it comes before the daemon handles it, or after it has
// stopped to do so.
TEST_CASE("a daemon lives through SIGHUP at any time, and ends with status 0 on SIGTERM")
{
    void (*sendBefore)() = [] {
        blockSignals();
        raise(SIGHUP); // pending until the daemon unblocks it
    };
    HostileRig rig({ .prepare = sendBefore });
    CHECK(rig.checkAdmin("/readyz") == 200);
    rig.signal(SIGTERM);
    constexpr int signals = 4000; // one a millisecond, until the daemon has ended
    for (int sent = 0; sent < signals && rig.isAlive(); ++sent) {
        rig.signal(SIGHUP);
        rig.signal(SIGTERM);
        rig.run(Milliseconds(1));
    }
    CHECK(rig.waitForEnd());
    CHECK(rig.hasSucceeded());
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
