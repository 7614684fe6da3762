#include "standins/storeserver.h"
#include "base/number.h"
#include <openssl/evp.h>

namespace briarwharf {

namespace {

    constexpr std::string_view objectPrefix = "/objects/";
    constexpr Milliseconds watchTick { 20 };
    constexpr std::int64_t defaultWatchMs = 30000;
    constexpr std::int64_t maxWatchMs = 60000;
    constexpr std::size_t defaultListLimit = 100;
    constexpr std::size_t maxListLimit = 1000;

    // Parses an entity tag: a version number in double quotes.
    std::optional<std::uint64_t> parseTag(std::string_view tag)
    {
        if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"')
            return std::nullopt;
        return parseNumber<std::uint64_t>(tag.substr(1, tag.size() - 2));
    }

    std::string formatTag(std::uint64_t version) { return '"' + std::to_string(version) + '"'; }

    std::string encodeBase64(const std::string& bytes)
    {
        // Four characters for every three bytes or fraction of them, and the terminating zero that
        // EVP_EncodeBlock adds.
        std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
        int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
            reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
        text.resize(static_cast<std::size_t>(length));
        return text;
    }

} // namespace

StoreServer::StoreServer(event_base* base, StoreModel& model)
    : m_delays(base)
    , m_model(model)
    , m_server(base,
          [this](
              const StandinRequest& request, const ExchangePointer& exchange) { handle(request, exchange); })
    , m_ticker(base, watchTick, [this] { m_model.expireWatches(std::chrono::steady_clock::now()); })
{
}

void StoreServer::handle(const StandinRequest& request, const ExchangePointer& exchange)
{
    if (handleControl(request, exchange))
        return;
    const auto& faults = m_model.faults();
    if (faults.silent)
        return;
    if (faults.closing)
        return exchange->cut();
    if (faults.down)
        return answer(
            exchange, 503, R"({"error": {"type": "unavailable", "message": "the store is down"}})", {});
    if (request.path == "/objects" && request.method == "GET")
        return handleList(request, exchange);
    if (request.path == "/instances" && request.method == "GET") {
        m_model.countCall("instances");
        Json body = { { "instances", m_model.instances(std::chrono::steady_clock::now()) } };
        return answer(exchange, 200, dumpJson(body), { { "Content-Type", "application/json" } });
    }
    if (request.path.starts_with(objectPrefix) && request.path.size() > objectPrefix.size())
        return handleObject(request, exchange, request.path.substr(objectPrefix.size()));
    replyError(exchange, 404, "not_found", "unknown path: use /objects, /objects/{key} or /instances");
}

bool StoreServer::handleControl(const StandinRequest& request, const ExchangePointer& exchange)
{
    if (request.method == "GET" && request.path == "/stats") {
        replyJson(exchange, 200, m_model.stats());
        return true;
    }
    if (request.method != "POST" || (request.path != "/faults" && request.path != "/instances"))
        return false;
    auto body = parseJson(request.body, "body");
    if (!body) {
        replyError(exchange, 400, "invalid_argument", body.error().message);
        return true;
    }
    if (request.path == "/instances") {
        const Json& list = body.value().is_array() ? body.value() : body.value()["instances"];
        m_model.setInstances(list, std::chrono::steady_clock::now(),
            Milliseconds(integerField(body.value(), "lag_ms").value_or(0)));
        replyJson(exchange, 200, Json::object());
        return true;
    }
    if (booleanField(body.value(), "silence_open").value_or(false))
        m_server.silenceOpenConnections(exchange);
    auto set = m_model.setFaults(body.value());
    if (set)
        replyJson(exchange, 200, Json::object());
    else
        replyError(exchange, 400, "invalid_argument", set.error().message);
    return true;
}

void StoreServer::handleObject(
    const StandinRequest& request, const ExchangePointer& exchange, const std::string& key)
{
    if (request.method == "GET" && !request.argument("watch").empty())
        return handleWatch(request, exchange, key);
    if (request.method == "GET") {
        m_model.countCall("read");
        return replyObject(exchange, key);
    }
    if (request.method == "PUT")
        return handlePut(request, exchange, key);
    if (request.method == "DELETE")
        return handleRemove(request, exchange, key);
    replyError(exchange, 405, "method", "objects take GET, PUT and DELETE");
}

void StoreServer::handleWatch(
    const StandinRequest& request, const ExchangePointer& exchange, const std::string& key)
{
    m_model.countCall("watch");
    auto known = parseNumber<std::uint64_t>(request.argument("watch"));
    if (!known)
        return replyError(
            exchange, 400, "invalid_argument", "watch must be a version, or 0 for an absent key");
    if (m_model.faults().silentWatches)
        return;
    auto timeout = parseNumber<std::uint64_t>(request.argument("timeout_ms")).value_or(defaultWatchMs);
    auto bounded
        = std::min(static_cast<std::int64_t>(std::min<std::uint64_t>(timeout, maxWatchMs)), maxWatchMs);
    auto deadline = std::chrono::steady_clock::now() + Milliseconds(bounded);
    auto id = m_model.watch(key, *known, deadline, [this, exchange, key](bool changed) {
        if (m_model.faults().silentWatches || m_model.faults().silent)
            return;
        if (changed)
            replyObject(exchange, key);
        else
            answer(exchange, 304, "", {});
    });
    exchange->onDisconnect([this, id] { m_model.cancelWatch(id); });
}

void StoreServer::handlePut(
    const StandinRequest& request, const ExchangePointer& exchange, const std::string& key)
{
    auto match = request.header("If-Match");
    if (request.header("If-None-Match") == "*") {
        m_model.countCall("create");
        return replyWrite(exchange, m_model.put(key, request.body, StoreModel::Condition::Absent, 0));
    }
    if (match.empty()) {
        m_model.countCall("put");
        return replyWrite(exchange, m_model.put(key, request.body, StoreModel::Condition::None, 0));
    }
    m_model.countCall("update");
    auto version = parseTag(match);
    if (!version)
        return replyError(exchange, 400, "invalid_argument", "If-Match must be one ETag of this store");
    replyWrite(exchange, m_model.put(key, request.body, StoreModel::Condition::Version, *version));
}

void StoreServer::handleRemove(
    const StandinRequest& request, const ExchangePointer& exchange, const std::string& key)
{
    m_model.countCall("remove");
    auto match = request.header("If-Match");
    if (match.empty())
        return replyWrite(exchange, m_model.remove(key, std::nullopt));
    auto version = parseTag(match);
    if (!version)
        return replyError(exchange, 400, "invalid_argument", "If-Match must be one ETag of this store");
    replyWrite(exchange, m_model.remove(key, version));
}

void StoreServer::handleList(const StandinRequest& request, const ExchangePointer& exchange)
{
    m_model.countCall("list");
    auto limit = parseNumber<std::uint64_t>(request.argument("limit")).value_or(defaultListLimit);
    auto listed = m_model.list(
        request.argument("prefix"), request.argument("after"), std::min<std::size_t>(limit, maxListLimit));
    Json objects = Json::array();
    for (const auto& [key, object] : listed)
        objects.push_back(
            { { "key", key }, { "version", object.version }, { "value", encodeBase64(object.value) } });
    answer(exchange, 200, dumpJson({ { "objects", objects } }), { { "Content-Type", "application/json" } });
}

void StoreServer::replyObject(const ExchangePointer& exchange, const std::string& key)
{
    const auto* object = m_model.find(key);
    if (!object)
        return answer(exchange, 404, "", {});
    answer(exchange, 200, object->value,
        { { "ETag", formatTag(object->version) }, { "Content-Type", "application/octet-stream" } });
}

void StoreServer::replyWrite(const ExchangePointer& exchange, StoreModel::WriteResult result)
{
    bool written = result.status == 200 || result.status == 201;
    if (written && m_model.takeLostAnswer())
        return exchange->cut();
    StandinHeaders headers;
    if (result.version != 0)
        headers.emplace_back("ETag", formatTag(result.version));
    answer(exchange, result.status, "", std::move(headers));
}

void StoreServer::answer(
    const ExchangePointer& exchange, int status, std::string body, StandinHeaders headers)
{
    headers.emplace_back("Store-Era", std::to_string(m_model.era()));
    auto delay = m_model.faults().delay;
    if (delay.count() <= 0)
        return exchange->reply(status, body, headers);
    m_delays.run(delay, [exchange, status, body = std::move(body), headers = std::move(headers)] {
        exchange->reply(status, body, headers);
    });
}

} // namespace briarwharf
