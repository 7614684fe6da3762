#pragma once

#include "connection/upstreamclient.h"
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarwharf {

struct AdminAddress {
    std::string address; // IP number
    std::uint16_t port = 0;
};

struct OperatorClientOptions {
    std::vector<AdminAddress> servers; // tried in this order; any instance will do
    std::string token;
    Milliseconds timeout { 10000 }; // for each server
};

// What is known of a command text after the call.
enum class CommandDelivery {
    Answered, // a whole answer arrived
    NotSent, // no byte of it reached any server: nothing was done
    Unknown, // a server may have received it and gave no whole answer
};

struct OperatorReply {
    CommandDelivery delivery = CommandDelivery::NotSent;
    int status = 0; // of HTTP, if answered
    std::string body;
    std::string server; // the last one tried, as address:port
    ExchangeEnd end = ExchangeEnd::ConnectFailed; // how its exchange ended
};

// Sends command texts to the operator interface of an instance. The next server is tried only while no byte
// of the text has been written, so a command is never sent twice.
//
//   OperatorClient client(base, { .servers = { { "10.0.0.1", 8081 } }, .token = token });
//   client.send("SHOW REVISION", randomToken(), [](const OperatorReply& reply) { ... });
class OperatorClient {
public:
    using Callback = std::function<void(const OperatorReply&)>;

    OperatorClient(event_base*, OperatorClientOptions);

    // One call at a time. The request identifier appears in SHOW REVISION next to the change. The callback is
    // called exactly once, from the event loop; it must not destroy the client.
    void send(const std::string& commands, const std::string& requestId, Callback);

private:
    void tryServer(std::size_t index);
    void finished(std::size_t index, const ExchangeResult&);

    event_base* m_base;
    OperatorClientOptions m_options;
    std::vector<std::unique_ptr<UpstreamClient>> m_clients;
    UpstreamRequest m_request;
    OperatorReply m_reply;
    Callback m_callback;
};

} // namespace briarwharf
