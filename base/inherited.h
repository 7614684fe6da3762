#pragma once

namespace briarwharf {

// Opens /dev/null in place of each standard stream that is closed. Otherwise the first sockets would take
// these descriptors, and log lines would be written to them. Call it before anything is opened.
void openClosedStandardStreams();

// Unblocks all signals: a process that blocks them passes that on to those that it starts, and the daemon
// would not notice SIGTERM.
void unblockSignals();

// Ignores SIGHUP until the process handles it, and again after that: an operator may send it at any time, and
// its default is to end the process.
void ignoreReloads();

// Blocks SIGTERM and SIGINT: the process is ending already, and its exit status is that of a graceful
// shutdown.
void blockStops();

} // namespace briarwharf
