#pragma once

#include "process/directorysource.h"
#include "process/forwardmetrics.h"
#include <string>

namespace briarwharf {

// What an instance has of that which it needs to take new work.
struct Readiness {
    bool running = true; // it does not shut down
    bool routing = false; // a configuration is in force
    bool upstreams = false; // a list of upstreams is in force
    bool evacuations = true; // the evacuated failure domains are known, or the settings do not ask for them
    DirectoryProblems problems; // why the source does not supply what is missing

    bool isReady() const { return running && routing && upstreams && evacuations; }
};

// The body of the answer to a readiness query: "ready", or what is missing, with one line for each condition
// and the reason as far as it is known.
std::string readinessText(const Readiness&);

// Sets one gauge for each condition, so that a missing one can be told from another without the log.
void reportReadiness(const Readiness&, ForwardMetrics&);

} // namespace briarwharf
