#pragma once

namespace briarwharf {

// Opens /dev/null in place of each standard stream that is closed. Otherwise the first sockets would take
// these descriptors, and log lines would be written to them. Call it before anything is opened.
void openClosedStandardStreams();

// Unblocks all signals: a process that blocks them passes that on to those that it starts, and the daemon
// would not notice SIGTERM.
void unblockSignals();

} // namespace briarwharf
