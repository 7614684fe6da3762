#pragma once

#include "standins/faultplan.h"
#include "standins/httpserver.h"
#include "standins/servicemodel.h"

namespace briarwharf {

struct ServiceServerOptions {
    std::string name = "service";
    Milliseconds workTime { 5 }; // from a call's run to its answer
};

// Serves a ServiceModel: any path runs a call. `GET /runs` (`?keys=0` leaves out the single keys), `GET
// /health` and `POST /faults` (see FaultInjector) are the stand-in's own. The answer is
// {"service", "method", "path", "run", "key", "body"}, with X-Request-Id echoed.
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
