#pragma once

#include "standins/httpserver.h"
#include <boost/program_options.hpp>

namespace briarwharf {

// Parses the command line into `values`. Returns the exit status if the program must exit now (after --help
// or an invalid option), or nullopt if it should continue.
std::optional<int> parseOptions(int argc, char** argv, const boost::program_options::options_description&,
    boost::program_options::variables_map& values);

// Prints "listening 127.0.0.1:PORT" and runs the event loop until SIGTERM or SIGINT; if `port` holds an
// error, prints the error instead and does not run. Returns the exit status.
int announceAndRun(event_base*, const Result<std::uint16_t>& port);

} // namespace briarwharf
