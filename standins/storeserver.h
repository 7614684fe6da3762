#pragma once

#include "standins/httpserver.h"
#include "standins/storemodel.h"

namespace briarwharf {

// Serves a StoreModel over HTTP in the wire format of the platform's object API. `POST /faults`, `GET /stats`
// and `POST /instances` ({"instances": [...], "lag_ms"}) control the stand-in itself and are not affected by
// faults.
//
//   GET    /objects/{key}                        200 + ETag, 404
//   GET    /objects/{key}?watch=V&timeout_ms=T   200 + ETag or 404 on change, 304 on timeout
//   PUT    /objects/{key}                        201/200 + ETag, 404, 412, 413
//   DELETE /objects/{key}                        200, 404, 412
//   GET    /objects?prefix=&after=&limit=        {"objects": [{"key", "version", "value": base64}]}
//   GET    /instances                            {"instances": [{"id", "address", "failure_domain",
//   "state"}]}
class StoreServer {
public:
    StoreServer(event_base*, StoreModel&);

    Result<std::uint16_t> listen(std::uint16_t port) { return m_server.listen(port); }

private:
    void handle(const StandinRequest&, const ExchangePointer&);
    bool handleControl(const StandinRequest&, const ExchangePointer&);
    void handleObject(const StandinRequest&, const ExchangePointer&, const std::string& key);
    void handleWatch(const StandinRequest&, const ExchangePointer&, const std::string& key);
    void handlePut(const StandinRequest&, const ExchangePointer&, const std::string& key);
    void handleRemove(const StandinRequest&, const ExchangePointer&, const std::string& key);
    void handleList(const StandinRequest&, const ExchangePointer&);
    void replyObject(const ExchangePointer&, const std::string& key);
    void replyWrite(const ExchangePointer&, StoreModel::WriteResult);
    // Sends an answer after the delay that the faults set.
    void answer(const ExchangePointer&, int status, std::string body, StandinHeaders headers);

    DelayedCalls m_delays;
    StoreModel& m_model;
    StandinServer m_server;
    RepeatingCall m_ticker;
};

} // namespace briarwharf
