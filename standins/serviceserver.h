#pragma once

#include "standins/faultplan.h"
#include "standins/httpserver.h"
#include "standins/servicemodel.h"

namespace briarwharf {

struct ServiceServerOptions {
    std::string name = "service";
    Milliseconds workTime { 5 }; // time from the run of a call to its answer
};

// Serves a ServiceModel over HTTP: a request to any path runs a call, except for `GET /runs` (`?keys=0` omits
// the counts of each key), `GET /health` and `POST /faults` (see FaultInjector), which inspect or
// control the stand-in itself. The answer to a call is {"service", "method", "path", "run", "key", "body"},
// with X-Request-Id echoed.
class ServiceServer {
public:
    ServiceServer(event_base*, ServiceModel&, ServiceServerOptions);

    Result<std::uint16_t> listen(std::uint16_t port) { return m_server.listen(port); }

private:
    void handle(const StandinRequest&, const ExchangePointer&);
    void handleFaults(const StandinRequest&, const ExchangePointer&);
    void run(const StandinRequest&, const ExchangePointer&, const FaultPlan&);
    void answer(const StandinRequest&, const ExchangePointer&, const FaultPlan&, const Json& body);

    DelayedCalls m_delays;
    ServiceModel& m_model;
    ServiceServerOptions m_options;
    FaultInjector m_faults;
    StandinServer m_server;
};

} // namespace briarwharf
