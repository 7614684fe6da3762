#include "version/apply.h"

#include "base/json.h"
#include "version/properties.h"
#include <algorithm>
#include <cctype>
#include <cmath>
#include <map>
#include <set>

namespace briarwharf {

namespace {

    // Limits on numbers, sizes and values. They are well above the target scale (460 organisations, 4,100
    // upstreams) and keep a mistyped number or a runaway script from filling the configuration.
    constexpr std::size_t maxOrganisations = 5000;
    constexpr std::size_t maxUpstreams = 20000;
    constexpr std::size_t maxPools = 1000;
    constexpr std::size_t maxPolicies = 1000;
    constexpr std::size_t maxOperations = 100;
    constexpr std::size_t maxNameBytes = 64;
    constexpr std::size_t maxModelBytes = 128;
    constexpr std::size_t maxPathBytes = 256;
    constexpr std::size_t maxSummaryBytes = 200;
    constexpr double maxWeight = 1e6;
    constexpr double maxTokensPerSecond = 1e9;
    constexpr double maxLoadBound = 10;
    constexpr std::uint32_t maxShortTokens = 1000000;
    constexpr std::uint32_t maxSlots = 65536;
    constexpr Milliseconds maxQueueDeadline { 10 * 60 * 1000 };
    constexpr std::chrono::minutes minPlanLength { 5 };
    constexpr std::chrono::minutes maxPlanLength { 24 * 60 };
    constexpr std::chrono::minutes minutesPerDay { 24 * 60 };
    constexpr int daysPerWeek = 7;
    constexpr std::size_t keyHashDigits = 64;
    // Maximum number of changes that a conflict error lists.
    constexpr std::size_t maxConflictChanges = 5;

    Error invalid(std::string message) { return { ErrorKind::InvalidArgument, std::move(message) }; }

    // The kind in lower case and the name, for messages: "pool 'estimators'".
    std::string label(std::string_view kind, const std::string& name)
    {
        std::string text;
        for (char c : kind)
            text += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        return text + " '" + name + "'";
    }

    std::string label(ObjectKind kind, const std::string& name) { return label(objectKindName(kind), name); }

    // The command that lists the valid names of a kind, such as "SHOW POOLS".
    std::string showCommandFor(ObjectKind kind)
    {
        switch (kind) {
        case ObjectKind::Organisation:
            return "SHOW ORGANISATIONS";
        case ObjectKind::Pool:
            return "SHOW POOLS";
        case ObjectKind::Upstream:
            return "SHOW UPSTREAMS";
        case ObjectKind::Policy:
            return "SHOW POLICIES";
        }
        return "SHOW CONFIG";
    }

    Error unknownObjectError(ObjectKind kind, const std::string& name)
    {
        return { ErrorKind::NotFound,
            "there is no " + label(kind, name) + ": " + showCommandFor(kind) + " lists the names" };
    }

    std::string retiredKey(ObjectKind kind, const std::string& name)
    {
        return std::string(objectKindName(kind)) + "/" + name;
    }

    Status checkRange(std::string_view what, double value, double minimum, double maximum)
    {
        if (std::isfinite(value) && value >= minimum && value <= maximum)
            return ok();
        auto number = [](double v) { return Json(v).dump(); };
        return invalid(std::string(what) + " " + number(value) + " is out of range: give a number from "
            + number(minimum) + " to " + number(maximum));
    }

    Status checkWeight(double weight)
    {
        if (!std::isfinite(weight) || weight <= 0 || weight > maxWeight)
            return invalid("WEIGHT " + Json(weight).dump()
                + " is out of range: give a number above 0, at most 1000000; to keep new work away use "
                  "DRAIN");
        return ok();
    }

    bool isPrintableText(std::string_view text, std::size_t maxBytes)
    {
        return !text.empty() && text.size() <= maxBytes
            && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
    }

    Status checkName(std::string_view what, const std::string& name)
    {
        if (isValidName(name))
            return ok();
        return invalid(std::string(what) + " '" + name.substr(0, maxNameBytes)
            + "' is not valid: use 1 to 64 of the characters A-Z a-z 0-9 . _ - and begin with a letter or "
              "digit");
    }

    Status checkOrganisation(const Organisation& organisation)
    {
        if (organisation.keyHash.size() != keyHashDigits
            || organisation.keyHash.find_first_not_of("0123456789abcdef") != std::string::npos)
            return invalid(label(ObjectKind::Organisation, organisation.name)
                + " has no API key: add KEY '<key>' or KEY HASH <SHA-256 of the key>");
        BOOST_OUTCOME_TRYV(checkName("the name", organisation.name));
        BOOST_OUTCOME_TRYV(checkWeight(organisation.weight));
        return checkRange("TOKENS_PER_SECOND", organisation.tokensPerSecond, 0, maxTokensPerSecond);
    }

    Status checkOperation(const Operation& operation)
    {
        bool methodValid = !operation.method.empty() && operation.method.size() <= 16
            && std::all_of(operation.method.begin(), operation.method.end(),
                [](char c) { return c >= 'A' && c <= 'Z'; });
        if (!methodValid)
            return invalid("the method '" + operation.method
                + "' is not valid: use GET, POST, PUT or another "
                  "HTTP method");
        if (!isPrintableText(operation.pathPrefix, maxPathBytes) || operation.pathPrefix.front() != '/')
            return invalid("the path '" + operation.pathPrefix.substr(0, maxNameBytes)
                + "' is not valid: begin it with / and use at most 256 characters without spaces");
        return ok();
    }

    Status checkPool(const Config& config, const Pool& pool)
    {
        BOOST_OUTCOME_TRYV(checkName("the name", pool.name));
        std::string subject = label(ObjectKind::Pool, pool.name);
        if (!pool.policy.empty() && !config.policies.contains(pool.policy))
            return unknownObjectError(ObjectKind::Policy, pool.policy);
        if (pool.kind == PoolKind::Service && !pool.model.empty())
            return invalid(subject + " is a service and has no model: leave MODEL out, or use KIND engine");
        if (pool.kind == PoolKind::Engine && !pool.operations.empty())
            return invalid(
                subject + " is an engine and has no operations: leave OPERATIONS out, or use KIND service");
        if (pool.kind == PoolKind::Engine && !isPrintableText(pool.model, maxModelBytes))
            return invalid(subject
                + " needs the model that callers name: add MODEL <model> of at most 128 "
                  "characters without spaces, or use KIND service");
        if (pool.operations.size() > maxOperations)
            return invalid(subject + " has more than 100 operations: join them under common path prefixes");
        for (const Operation& operation : pool.operations) {
            BOOST_OUTCOME_TRYV(checkOperation(operation));
        }
        for (const auto& [name, other] : config.pools) {
            if (name != pool.name && pool.kind == PoolKind::Engine && other.model == pool.model)
                return Error { ErrorKind::AlreadyExists,
                    "model '" + pool.model + "' is already served by " + label(ObjectKind::Pool, name)
                        + ": add the upstreams to that pool, or give this pool another model" };
        }
        return ok();
    }

    Status checkUpstream(const Config& config, const Upstream& upstream)
    {
        BOOST_OUTCOME_TRYV(checkName("the name", upstream.name));
        std::string subject = label(ObjectKind::Upstream, upstream.name);
        if (upstream.pool.empty())
            return invalid(subject + " needs a pool: add POOL <name>");
        if (!config.pools.contains(upstream.pool))
            return unknownObjectError(ObjectKind::Pool, upstream.pool);
        auto endpoint = parseEndpoint(printEndpoint({ upstream.address, upstream.port }));
        if (!endpoint || endpoint.value().address != upstream.address)
            return invalid(subject + " needs an address: add ADDRESS <IP number>:<port>");
        if (upstream.failureDomain.empty())
            return invalid(subject + " needs its failure domain: add DOMAIN <name>");
        BOOST_OUTCOME_TRYV(checkName("DOMAIN", upstream.failureDomain));
        BOOST_OUTCOME_TRYV(checkWeight(upstream.weight));
        BOOST_OUTCOME_TRYV(checkRange("SLOTS", upstream.slots, 1, maxSlots));
        if (upstream.state == UpstreamState::Removed)
            return invalid(subject + " is marked as removed: leave it out");
        bool draining = upstream.state == UpstreamState::Draining;
        if ((draining && upstream.drainRevision == 0)
            || (!draining && (upstream.empty || upstream.drainedByPlan)))
            return invalid(subject + " has a drain that does not fit its state: use DRAIN and UNDRAIN");
        return ok();
    }

    Error duplicateKeyError()
    {
        return { ErrorKind::AlreadyExists,
            "this API key belongs to another organisation: give each organisation its own key" };
    }

    Error duplicateAddressError(const Upstream& upstream, const std::string& owner)
    {
        return { ErrorKind::AlreadyExists,
            "address " + printEndpoint({ upstream.address, upstream.port }) + " belongs to "
                + label(ObjectKind::Upstream, owner) + ": use that one, or remove it first" };
    }

    Status checkAddressIsFree(const Config& config, const Upstream& upstream)
    {
        for (const auto& [name, other] : config.upstreams) {
            if (name != upstream.name && other.port == upstream.port && other.address == upstream.address)
                return duplicateAddressError(upstream, name);
        }
        return ok();
    }

    Status checkPolicy(const Policy& policy)
    {
        BOOST_OUTCOME_TRYV(checkName("the name", policy.name));
        BOOST_OUTCOME_TRYV(checkRange("SHORT_TOKENS", policy.shortTokens, 1, maxShortTokens));
        if (!std::isfinite(policy.loadBound) || policy.loadBound <= 1 || policy.loadBound > maxLoadBound)
            return invalid("LOAD_BOUND " + Json(policy.loadBound).dump()
                + " is out of range: give a multiple of the mean load above 1, at most 10 (1.25 is usual)");
        if (policy.queueDeadline < Milliseconds(1) || policy.queueDeadline > maxQueueDeadline)
            return invalid("QUEUE_DEADLINE " + std::to_string(policy.queueDeadline.count())
                + "ms is out of range: give a duration from 1ms to 10m");
        return ok();
    }

    Status checkPlan(const Config& config, const DrainPlan& plan)
    {
        if (!config.upstreams.contains(plan.upstream))
            return unknownObjectError(ObjectKind::Upstream, plan.upstream);
        if (plan.weekday < 0 || plan.weekday >= daysPerWeek || plan.start < std::chrono::minutes(0)
            || plan.start >= minutesPerDay)
            return invalid("the drain plan's start is not valid: give EVERY <weekday> AT hh:mm (UTC)");
        if (plan.length < minPlanLength || plan.length > maxPlanLength)
            return invalid("the drain plan's length is out of range: give FOR 5m to FOR 24h");
        return ok();
    }

    template <typename Map> Status checkObjectCount(const Map& objects, std::size_t limit, ObjectKind kind)
    {
        if (objects.size() <= limit)
            return ok();
        return Error { ErrorKind::TooLarge,
            "the configuration would hold more than " + std::to_string(limit) + " objects of kind "
                + std::string(objectKindName(kind)) + ": retire some first" };
    }

    // Assigns the value if the command gives one.
    template <typename Value, typename Field>
    void assignIfGiven(Field& field, const std::optional<Value>& value)
    {
        if (value)
            field = *value;
    }

    void assignProperties(Organisation& organisation, const OrganisationCommand& command)
    {
        if (command.key)
            organisation.keyHash = command.key->hex;
        assignIfGiven(organisation.weight, command.weight);
        assignIfGiven(organisation.tokensPerSecond, command.tokensPerSecond);
    }

    void assignProperties(Pool& pool, const PoolCommand& command)
    {
        assignIfGiven(pool.kind, command.kind);
        assignIfGiven(pool.model, command.model);
        assignIfGiven(pool.policy, command.policy);
        assignIfGiven(pool.operations, command.operations);
    }

    void assignProperties(Upstream& upstream, const UpstreamCommand& command)
    {
        assignIfGiven(upstream.pool, command.pool);
        if (command.endpoint) {
            upstream.address = command.endpoint->address;
            upstream.port = command.endpoint->port;
        }
        assignIfGiven(upstream.failureDomain, command.failureDomain);
        assignIfGiven(upstream.weight, command.weight);
        assignIfGiven(upstream.slots, command.slots);
        assignIfGiven(upstream.reportsState, command.reportsState);
        assignIfGiven(upstream.checksFence, command.checksFence);
    }

    void assignProperties(Policy& policy, const PolicyCommand& command)
    {
        assignIfGiven(policy.strategy, command.strategy);
        assignIfGiven(policy.loadBound, command.loadBound);
        assignIfGiven(policy.shortTokens, command.shortTokens);
        assignIfGiven(policy.queueDeadline, command.queueDeadline);
    }

    // Applies one statement to `config` in place. After an error `config` may be partly changed and the
    // caller discards it.
    class Applier {
    public:
        explicit Applier(Config& config)
            : m_config(config)
        {
        }

        Status operator()(const OrganisationCommand&);
        Status operator()(const PoolCommand&);
        Status operator()(const UpstreamCommand&);
        Status operator()(const PolicyCommand&);
        Status operator()(const RetireCommand&);
        Status operator()(const DrainCommand&);
        Status operator()(const UndrainCommand&);
        Status operator()(const MarkEmptyCommand&);
        Status operator()(const PlanDrainCommand&);
        Status operator()(const CancelPlanCommand&);
        Status operator()(const ShowCommand&);

    private:
        // Returns the object that a CREATE or ALTER command sets properties of: a new one for CREATE, the
        // existing one for ALTER. Errors: AlreadyExists (CREATE), NotFound (ALTER).
        template <typename Object>
        Result<Object*> define(
            std::map<std::string, Object>& objects, ObjectKind kind, Verb verb, const std::string& name);
        Result<Upstream*> findUpstream(const std::string& name);
        Status checkRetirable(const RetireCommand&) const;
        void retireName(ObjectKind, const std::string& name);

        Config& m_config;
    };

    template <typename Object>
    Result<Object*> Applier::define(
        std::map<std::string, Object>& objects, ObjectKind kind, Verb verb, const std::string& name)
    {
        auto existing = objects.find(name);
        if (verb == Verb::Alter) {
            if (existing == objects.end())
                return unknownObjectError(kind, name);
            return &existing->second;
        }
        if (existing != objects.end())
            return Error { ErrorKind::AlreadyExists,
                label(kind, name) + " exists already: use ALTER to change it, or choose another name" };
        auto retired = m_config.retiredNames.find(retiredKey(kind, name));
        if (retired != m_config.retiredNames.end())
            return Error { ErrorKind::AlreadyExists,
                label(kind, name) + " was retired at revision " + std::to_string(retired->second)
                    + ": choose another name, because hints and stored outcomes may still name the old one" };
        Object& object = objects[name];
        object.name = name;
        return &object;
    }

    Result<Upstream*> Applier::findUpstream(const std::string& name)
    {
        auto upstream = m_config.upstreams.find(name);
        if (upstream == m_config.upstreams.end())
            return unknownObjectError(ObjectKind::Upstream, name);
        return &upstream->second;
    }

    Status Applier::operator()(const OrganisationCommand& command)
    {
        BOOST_OUTCOME_TRY(organisation,
            define(m_config.organisations, ObjectKind::Organisation, command.verb, command.name));
        assignProperties(*organisation, command);
        BOOST_OUTCOME_TRYV(checkOrganisation(*organisation));
        for (const auto& [name, other] : m_config.organisations) {
            if (name != command.name && other.keyHash == organisation->keyHash)
                return duplicateKeyError();
        }
        return checkObjectCount(m_config.organisations, maxOrganisations, ObjectKind::Organisation);
    }

    Status Applier::operator()(const PoolCommand& command)
    {
        BOOST_OUTCOME_TRY(pool, define(m_config.pools, ObjectKind::Pool, command.verb, command.name));
        bool kindChanges = command.verb == Verb::Alter && command.kind && *command.kind != pool->kind;
        if (kindChanges)
            return invalid(label(ObjectKind::Pool, command.name)
                + " keeps its kind: create another pool and move the upstreams there");
        assignProperties(*pool, command);
        BOOST_OUTCOME_TRYV(checkPool(m_config, *pool));
        return checkObjectCount(m_config.pools, maxPools, ObjectKind::Pool);
    }

    Status Applier::operator()(const UpstreamCommand& command)
    {
        BOOST_OUTCOME_TRY(
            upstream, define(m_config.upstreams, ObjectKind::Upstream, command.verb, command.name));
        // Requests in progress belong to the old pool or address, but instances would look for them at the
        // new one. So an upstream must be drained before it moves.
        bool moves = command.verb == Verb::Alter && (command.pool || command.endpoint);
        if (moves && upstream->state == UpstreamState::Serving)
            return Error { ErrorKind::Conflict,
                label(ObjectKind::Upstream, command.name)
                    + " is serving: run DRAIN UPSTREAM first, then change its POOL or ADDRESS" };
        assignProperties(*upstream, command);
        auto pool = m_config.pools.find(upstream->pool);
        bool plainService = pool != m_config.pools.end() && pool->second.kind == PoolKind::Service;
        if (command.verb == Verb::Create && plainService && !command.reportsState)
            upstream->reportsState = false;
        if (command.verb == Verb::Create && plainService && !command.checksFence)
            upstream->checksFence = false;
        BOOST_OUTCOME_TRYV(checkUpstream(m_config, *upstream));
        BOOST_OUTCOME_TRYV(checkAddressIsFree(m_config, *upstream));
        return checkObjectCount(m_config.upstreams, maxUpstreams, ObjectKind::Upstream);
    }

    Status Applier::operator()(const PolicyCommand& command)
    {
        BOOST_OUTCOME_TRY(policy, define(m_config.policies, ObjectKind::Policy, command.verb, command.name));
        assignProperties(*policy, command);
        BOOST_OUTCOME_TRYV(checkPolicy(*policy));
        return checkObjectCount(m_config.policies, maxPolicies, ObjectKind::Policy);
    }

    Status Applier::checkRetirable(const RetireCommand& command) const
    {
        std::string subject = label(command.kind, command.name);
        if (command.kind == ObjectKind::Upstream
            && m_config.upstreams.at(command.name).state == UpstreamState::Serving)
            return Error { ErrorKind::Conflict,
                subject
                    + " is serving: run DRAIN UPSTREAM first, and remove it when SHOW UPSTREAMS shows it "
                      "empty" };
        if (command.kind == ObjectKind::Pool) {
            for (const auto& [name, upstream] : m_config.upstreams) {
                if (upstream.pool == command.name)
                    return Error { ErrorKind::Conflict,
                        subject + " has " + label(ObjectKind::Upstream, name)
                            + ": drain and remove its upstreams first" };
            }
        }
        if (command.kind == ObjectKind::Policy) {
            for (const auto& [name, pool] : m_config.pools) {
                if (pool.policy == command.name)
                    return Error { ErrorKind::Conflict,
                        subject + " is used by " + label(ObjectKind::Pool, name)
                            + ": give that pool another policy first (ALTER POOL <pool> POLICY <name>)" };
            }
        }
        return ok();
    }

    void Applier::retireName(ObjectKind kind, const std::string& name)
    {
        // Only the configuration refers to policies by name, so a policy's name can be used again.
        if (kind == ObjectKind::Policy)
            return;
        auto& retired = m_config.retiredNames;
        retired[retiredKey(kind, name)] = m_config.revision;
        if (retired.size() > maxRetiredNames) {
            auto oldest = std::min_element(retired.begin(), retired.end(),
                [](const auto& first, const auto& second) { return first.second < second.second; });
            retired.erase(oldest);
        }
    }

    Status Applier::operator()(const RetireCommand& command)
    {
        auto retire = [&](auto& objects) -> Status {
            if (!objects.contains(command.name))
                return unknownObjectError(command.kind, command.name);
            BOOST_OUTCOME_TRYV(checkRetirable(command));
            objects.erase(command.name);
            retireName(command.kind, command.name);
            return ok();
        };
        switch (command.kind) {
        case ObjectKind::Organisation:
            return retire(m_config.organisations);
        case ObjectKind::Pool:
            return retire(m_config.pools);
        case ObjectKind::Policy:
            return retire(m_config.policies);
        case ObjectKind::Upstream:
            BOOST_OUTCOME_TRYV(retire(m_config.upstreams));
            m_config.drainPlans.erase(command.name);
            return ok();
        }
        return ok();
    }

    Status Applier::operator()(const DrainCommand& command)
    {
        BOOST_OUTCOME_TRY(upstream, findUpstream(command.upstream));
        std::string subject = label(ObjectKind::Upstream, command.upstream);
        bool draining = upstream->state == UpstreamState::Draining;
        if (command.window && *command.window <= upstream->drainWindow)
            return Error { ErrorKind::Conflict,
                subject + " has already been drained for this window or a later one: nothing is to be done" };
        if (draining && (command.window || !upstream->drainedByPlan))
            return Error { ErrorKind::AlreadyExists,
                subject + " is already draining: SHOW UPSTREAMS tells how far it is" };
        // An operator's DRAIN takes over a planned drain, which then no longer ends with its window.
        upstream->drainedByPlan = command.window.has_value();
        if (command.window)
            upstream->drainWindow = *command.window;
        if (!draining) {
            upstream->state = UpstreamState::Draining;
            upstream->drainRevision = m_config.revision;
            upstream->empty = false;
        }
        return ok();
    }

    Status Applier::operator()(const UndrainCommand& command)
    {
        BOOST_OUTCOME_TRY(upstream, findUpstream(command.upstream));
        std::string subject = label(ObjectKind::Upstream, command.upstream);
        if (upstream->state != UpstreamState::Draining)
            return Error { ErrorKind::AlreadyExists,
                subject + " is not draining: nothing is to be done; SHOW UPSTREAMS lists the states" };
        bool otherDrain
            = command.window && (!upstream->drainedByPlan || *command.window != upstream->drainWindow);
        if (otherDrain)
            return Error { ErrorKind::Conflict,
                subject + " is no longer drained by this window: use UNDRAIN UPSTREAM without FOR WINDOW" };
        upstream->state = UpstreamState::Serving;
        upstream->drainedByPlan = false;
        upstream->empty = false;
        return ok();
    }

    Status Applier::operator()(const MarkEmptyCommand& command)
    {
        BOOST_OUTCOME_TRY(upstream, findUpstream(command.upstream));
        std::string subject = label(ObjectKind::Upstream, command.upstream);
        if (upstream->state != UpstreamState::Draining || upstream->drainRevision != command.drainRevision)
            return Error { ErrorKind::Conflict,
                subject + " is not in the drain that began at revision "
                    + std::to_string(command.drainRevision) + ": read its state again" };
        if (upstream->empty)
            return Error { ErrorKind::AlreadyExists,
                subject + " is marked as empty already: nothing is to be done" };
        upstream->empty = true;
        return ok();
    }

    Status Applier::operator()(const PlanDrainCommand& command)
    {
        BOOST_OUTCOME_TRYV(checkPlan(m_config, command.plan));
        if (!m_config.drainPlans.emplace(command.plan.upstream, command.plan).second)
            return Error { ErrorKind::AlreadyExists,
                label(ObjectKind::Upstream, command.plan.upstream)
                    + " has a drain plan: run CANCEL DRAIN PLAN UPSTREAM " + command.plan.upstream
                    + " first" };
        return ok();
    }

    Status Applier::operator()(const CancelPlanCommand& command)
    {
        BOOST_OUTCOME_TRY(upstream, findUpstream(command.upstream));
        std::string subject = label(ObjectKind::Upstream, command.upstream);
        // Only the plan tells when the window ends. Without it the planned drain would not end by itself.
        if (upstream->drainedByPlan)
            return Error { ErrorKind::Conflict,
                subject + " is being drained by this plan: run UNDRAIN UPSTREAM or DRAIN UPSTREAM first" };
        if (m_config.drainPlans.erase(command.upstream) == 0)
            return Error { ErrorKind::NotFound, subject + " has no drain plan: SHOW PLANS lists the plans" };
        return ok();
    }

    Status Applier::operator()(const ShowCommand&)
    {
        return invalid("SHOW changes nothing and cannot be part of a change: send it by itself");
    }

    Error conflictError(const Config& config, std::uint64_t expected)
    {
        std::string message = "the configuration changed since revision " + std::to_string(expected);
        std::string changes;
        std::size_t omitted = 0;
        std::size_t listed = 0;
        for (auto change = config.history.rbegin(); change != config.history.rend(); ++change) {
            if (change->revision <= expected)
                break;
            if (listed == maxConflictChanges) {
                ++omitted;
                continue;
            }
            ++listed;
            changes += (changes.empty() ? "" : "; ") + std::string("revision ")
                + std::to_string(change->revision) + " (" + change->author + "): " + change->summary;
        }
        if (omitted > 0)
            changes += "; and " + std::to_string(omitted) + " more";
        message += ": read SHOW REVISION and repeat the command with IF REVISION "
            + std::to_string(config.revision) + " if it still applies; changed at " + changes;
        return { ErrorKind::Conflict, message };
    }

    // Compares with changedRevision, because a record that is refused raises the revision and changes
    // nothing, which is no conflict.
    Status checkRevision(const Config& config, const Command& command)
    {
        if (!command.expectedRevision)
            return ok();
        if (*command.expectedRevision > config.revision)
            return Error { ErrorKind::Conflict,
                "revision " + std::to_string(*command.expectedRevision)
                    + " does not exist yet: the newest is " + std::to_string(config.revision) };
        if (config.changedRevision > *command.expectedRevision)
            return conflictError(config, *command.expectedRevision);
        return ok();
    }

    void recordChange(Config& config, std::span<const Command> commands, const ChangeOrigin& origin)
    {
        Change change { config.revision, origin.time, origin.author, origin.requestId, {} };
        for (const Command& command : commands)
            change.summary += (change.summary.empty() ? "" : "; ") + summarizeCommand(command);
        if (change.summary.size() > maxSummaryBytes)
            change.summary = change.summary.substr(0, maxSummaryBytes - 3) + "...";
        config.history.push_back(std::move(change));
        if (config.history.size() > maxHistory)
            config.history.erase(config.history.begin());
        config.changedRevision = config.revision;
    }

    // Checks that each object is stored under its own name and is valid.
    template <typename Map, typename Check> Status checkObjects(const Map& objects, Check check)
    {
        for (const auto& [name, object] : objects) {
            if (name != object.name)
                return invalid("an object is stored under '" + name
                    + "', which is not its name: write the snapshot again");
            BOOST_OUTCOME_TRYV(check(object));
        }
        return ok();
    }

} // namespace

bool isValidName(std::string_view name)
{
    auto alphanumeric = [](char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0; };
    return !name.empty() && name.size() <= maxNameBytes && alphanumeric(name.front())
        && std::all_of(name.begin(), name.end(),
            [&](char c) { return alphanumeric(c) || c == '.' || c == '_' || c == '-'; });
}

Result<Config> applyCommands(
    const Config& config, std::span<const Command> commands, const ChangeOrigin& origin)
{
    Config next = config;
    next.revision = config.revision + 1;
    std::size_t position = 0;
    for (const Command& command : commands) {
        ++position;
        Status status = checkRevision(config, command);
        if (status)
            status = std::visit(Applier(next), command.statement);
        if (status)
            continue;
        Error error = status.error();
        if (commands.size() > 1)
            error.message = "command " + std::to_string(position) + " of " + std::to_string(commands.size())
                + " (none took effect), " + error.message;
        return error;
    }
    recordChange(next, commands, origin);
    return next;
}

Result<Config> applyCommand(const Config& config, const Command& command)
{
    return applyCommands(config, std::span(&command, 1));
}

Status validateConfig(const Config& config)
{
    BOOST_OUTCOME_TRYV(checkObjects(config.organisations, checkOrganisation));
    BOOST_OUTCOME_TRYV(checkObjects(config.policies, checkPolicy));
    BOOST_OUTCOME_TRYV(checkObjects(config.pools, [&](const Pool& pool) { return checkPool(config, pool); }));
    BOOST_OUTCOME_TRYV(checkObjects(
        config.upstreams, [&](const Upstream& upstream) { return checkUpstream(config, upstream); }));
    std::set<std::string> keys;
    for (const auto& [name, organisation] : config.organisations) {
        if (!keys.insert(organisation.keyHash).second)
            return duplicateKeyError();
    }
    std::map<std::pair<std::string, std::uint16_t>, std::string> owners;
    for (const auto& [name, upstream] : config.upstreams) {
        auto [owner, added] = owners.try_emplace({ upstream.address, upstream.port }, name);
        if (!added)
            return duplicateAddressError(upstream, owner->second);
    }
    for (const auto& [name, plan] : config.drainPlans) {
        if (name != plan.upstream)
            return invalid("a drain plan is stored under '" + name
                + "', which is not its upstream: write the snapshot again");
        BOOST_OUTCOME_TRYV(checkPlan(config, plan));
    }
    bool ordered = std::is_sorted(config.history.begin(), config.history.end(),
        [](const Change& first, const Change& second) { return first.revision < second.revision; });
    if (!ordered || config.changedRevision > config.revision)
        return invalid("the history is not in order of revisions, or its last change is newer than the "
                       "configuration: write the snapshot again");
    return ok();
}

} // namespace briarwharf
