#pragma once

#include "process/configservice.h"
#include "process/peers.h"
#include "process/router.h"
#include <memory>
#include <string>

namespace briarwharf {

// The operators' HTTP interface: health checks, metrics and the command language. docs/commands.md describes
// the language and docs/OPERATIONS.md the rest.
class AdminApi {
public:
    // Returns the run-time state of this process, for SHOW.
    using FactsSource = std::function<RuntimeFacts()>;

    AdminApi(Router&, ConfigService&, PeerService&, FactsSource);

    void handle(const std::shared_ptr<HttpExchange>&);

private:
    void handleReady(HttpExchange&);
    void handleMetrics(HttpExchange&);
    void handleOperator(const std::shared_ptr<HttpExchange>&);
    void runCommands(const std::shared_ptr<HttpExchange>&, std::vector<Command>);
    void answer(HttpExchange&, const OperatorAnswer&);
    void answerError(HttpExchange&, const Error&);
    Result<Table> show(const std::vector<Command>&) const;

    Router& m_router;
    ConfigService& m_config;
    PeerService& m_peers;
    FactsSource m_facts;
};

} // namespace briarwharf
