#pragma once

#include "coordination/coordination.h"
#include "process/router.h"
#include <memory>
#include <string>

namespace briarwharf {

// The callers' HTTP interface: authenticates and checks each request and starts a chat call or a service call
// for it. See docs/callers.md.
class CallerApi {
public:
    CallerApi(Router&, ClaimClient&);

    void handle(const std::shared_ptr<HttpExchange>&);

private:
    // One request with what the checks that are common to all paths have established about it.
    struct CallContext {
        std::shared_ptr<HttpExchange> exchange;
        std::string requestId;
        std::shared_ptr<const ConfigIndex> config;
        const Organisation* organisation = nullptr;
        MonotonicTime deadline;
    };

    void handleChat(const CallContext&);
    void handleModels(const CallContext&);
    void handleService(const CallContext&);
    void fail(const CallContext&, CallerErrorKind, const std::string& message, const std::string& remedy);
    Span startSpan(const CallContext&, const std::string& name);

    Router& m_router;
    ClaimClient& m_claims;
};

} // namespace briarwharf
