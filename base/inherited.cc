#include "base/inherited.h"

#include <csignal>
#include <fcntl.h>
#include <unistd.h>

namespace briarwharf {

void openClosedStandardStreams()
{
    // open() returns the lowest free descriptor.
    int descriptor = open("/dev/null", O_RDWR);
    while (descriptor >= 0 && descriptor <= STDERR_FILENO)
        descriptor = open("/dev/null", O_RDWR);
    if (descriptor > STDERR_FILENO)
        close(descriptor);
}

void unblockSignals()
{
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
}

void ignoreReloads() { std::signal(SIGHUP, SIG_IGN); }

void blockStops()
{
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGTERM);
    sigaddset(&stops, SIGINT);
    sigprocmask(SIG_BLOCK, &stops, nullptr);
}

} // namespace briarwharf
