#pragma once

#include "connection/upstreamclient.h"
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarwharf {

struct AdminAddress {
    std::string address; // IP address
    std::uint16_t port = 0;
};

struct OperatorClientOptions {
    std::vector<AdminAddress> servers; // tried in this order; any instance can serve the call
    std::string token;
    Milliseconds timeout { 10000 }; // for each server
};

// What is known about the delivery of a command text after the call.
enum class CommandDelivery {
    Answered, // a complete answer arrived
    NotSent, // no byte of it reached any server, so no command ran
    Unknown, // a server may have received it but sent no complete answer
};

struct OperatorReply {
    CommandDelivery delivery = CommandDelivery::NotSent;
    int status = 0; // HTTP status, if answered
    std::string body;
    std::string server; // the last one tried, as address:port
    ExchangeEnd end = ExchangeEnd::ConnectFailed; // how its exchange ended
};

// Sends command texts to the operator interface of an instance. The next server is tried only if no byte of
// the request was written to the one before, so a command is never sent twice.
//
//   OperatorClient client(base, { .servers = { { "10.0.0.1", 8081 } }, .token = token });
//   client.send("SHOW REVISION", randomToken(), [](const OperatorReply& reply) { ... });
class OperatorClient {
public:
    using Callback = std::function<void(const OperatorReply&)>;

    OperatorClient(event_base*, OperatorClientOptions);

    // Only one call may be in progress. SHOW REVISION shows the request identifier next to the change. The
    // callback is called exactly once, from the event loop; it must not destroy the client.
    void send(const std::string& commands, const std::string& requestId, Callback);

private:
    void tryServer(std::size_t index);
    void handleEnd(std::size_t index, const ExchangeResult&);

    event_base* m_base;
    OperatorClientOptions m_options;
    std::vector<std::unique_ptr<UpstreamClient>> m_clients;
    UpstreamRequest m_request;
    OperatorReply m_reply;
    Callback m_callback;
};

} // namespace briarwharf
