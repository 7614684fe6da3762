#pragma once

#include "standins/httpserver.h"
#include <boost/program_options.hpp>

namespace briarwharf {

// Parses the options into `values`. Returns the exit status if the program is to end now (--help, or an
// option that is wrong), nullopt to go on.
std::optional<int> parseOptions(int argc, char** argv, const boost::program_options::options_description&,
    boost::program_options::variables_map& values);

// Prints "listening 127.0.0.1:PORT" and runs the loop until SIGTERM or SIGINT. Returns the exit status.
int announceAndRun(event_base*, const Result<std::uint16_t>& port);

} // namespace briarwharf
