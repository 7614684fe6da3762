#pragma once

#include "coordination/coordination.h"
#include "process/router.h"
#include <memory>
#include <string>

namespace briarwharf {

// The callers' HTTP interface: authentication, checks of the request, and the choice between a chat and a
// service call. docs/callers.md describes it.
class CallerApi {
public:
    CallerApi(Router&, ClaimClient&);

    void handle(const std::shared_ptr<HttpExchange>&);

private:
    // A request that passed the checks that all paths share.
    struct Caller {
        std::shared_ptr<HttpExchange> exchange;
        std::string requestId;
        std::shared_ptr<const ConfigIndex> config;
        const Organisation* organisation = nullptr;
        MonotonicTime deadline;
    };

    void handleChat(const Caller&);
    void handleModels(const Caller&);
    void handleService(const Caller&);
    void fail(const Caller&, CallerErrorKind, const std::string& message, const std::string& remedy);
    Span startSpan(const Caller&, const std::string& name);

    Router& m_router;
    ClaimClient& m_claims;
};

} // namespace briarwharf
