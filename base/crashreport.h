#pragma once

namespace briarwharf {

// Makes a process that ends by SIGSEGV, SIGBUS, SIGILL, SIGFPE or SIGABRT (and so by an uncaught exception)
// write its buffered log lines and then a line process/crashed with the signal, the fault address, the
// program's version and a backtrace. The process still ends by that signal. Call it once, from the main
// thread, at the start. Returns false, and changes nothing, in a build with the address sanitizer, which
// reports these signals itself.
bool installCrashReport();

} // namespace briarwharf
