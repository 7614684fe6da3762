#pragma once

#include <easylogging++.h>
#include <string_view>

// Log lines are short sentences with a fixed prefix for each part:
//
//   BW_LOG(INFO, "config") << "revision " << revision << " is in force";
//
// prints "<time> INFO [config] revision 12 is in force".
#define BW_LOG(level, part) LOG(level) << "[" << (part) << "] "

namespace briarwharf {

// Sets the format and the lowest level ("debug", "info", "warning", "error") for the process; false for an
// unknown level. Programs call it once before the first log line.
bool configureLogging(std::string_view level);

} // namespace briarwharf
