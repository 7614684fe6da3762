#pragma once

#include "base/time.h"
#include "coordination/coordination.h"
#include <functional>
#include <string>

namespace briarwharf {

// Identity of a call that runs at most once.
struct CallIdentity {
    std::string organisation;
    std::string service; // name of the pool
    std::string idempotencyKey;
    std::string bodyHash; // of method, path and body
};

// The answer kept for a call, for repeats with the same key.
struct StoredAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
};

struct ClaimAnswer {
    ClaimStatus status = ClaimStatus::Unavailable;
    StoredAnswer answer; // for Completed
};

// Claims on calls that run at most once, as the request path uses them. A claim belongs to one attempt of a
// caller's request, named by its claimant token.
class ClaimService {
public:
    using ClaimCallback = std::function<void(const ClaimAnswer&)>;
    // True if the outcome is durable.
    using SettleCallback = std::function<void(bool)>;

    virtual ~ClaimService() = default;

    // Granted: the claim is durable and this caller alone may send the call, once. Unavailable: the call must
    // not be sent and never will be; tell the caller "not run". Calls back once, at the deadline at the latest.
    virtual void claim(const CallIdentity&, const std::string& claimant, MonotonicTime deadline, ClaimCallback) = 0;

    // After Granted: what became of the call. Release only if no byte of it was written or the upstream itself
    // says that it did not run.
    virtual void settle(const CallIdentity&, const std::string& claimant, SettleKind, const StoredAnswer&,
        MonotonicTime deadline, SettleCallback)
        = 0;
};

} // namespace briarwharf
