#include "currantstack/operator_api.h"

#include "currantstack/codec.h"

#include <charconv>
#include <fmt/format.h>

namespace currantstack
{

namespace
{

constexpr std::size_t MaxTimelineEvents = 5000;

auto respondProblem(const ExchangePtr &exchange, ErrorCode code, std::string_view step, std::string_view message) -> void
{
    exchange->respond(problemResponse({code, std::string(step), "", std::string(message)}, Executed::No, {}, ""));
}

auto parseInteger(std::string_view text) -> std::int64_t
{
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

auto errorsToJson(const ValidationErrors &errors) -> Json
{
    auto list = Json::array();
    for (const auto &error : errors) {
        list.push_back({{"path", error.path}, {"message", error.message}});
    }
    return list;
}

} // namespace

OperatorApi::OperatorApi(Context &context, ConfigService &config, Gateway &gateway, SlotService &slots, OrderService &orders,
                         std::function<void()> drain)
    : m_context(context)
    , m_config(config)
    , m_gateway(gateway)
    , m_slots(slots)
    , m_orders(orders)
    , m_drain(std::move(drain))
{ }

auto OperatorApi::identify(const HttpRequest &request) const -> Caller
{
    constexpr std::string_view Scheme = "Bearer ";
    const auto header = request.header("Authorization");
    if (!header.starts_with(Scheme)) {
        return {};
    }
    const auto token = header.substr(Scheme.size());
    if (const auto *found = m_context.config->operatorOfToken(token)) {
        return {found->name, true, true};
    }
    const auto &bootstrap = m_context.settings.bootstrapTokenHash;
    if (m_context.config->revision == 0 && !bootstrap.empty() && equalConstantTime(bootstrap, tokenHash(token))) {
        return {"", true, true};
    }
    return {"", false, m_context.config->memberOfToken(token) != nullptr};
}

auto OperatorApi::dispatch(const ExchangePtr &exchange) -> bool
{
    const auto &request = exchange->request();
    const std::string_view path = request.path;
    if (!path.starts_with("/operator/")) {
        return false;
    }
    const auto caller = identify(request);
    if (!caller.mayRead) {
        respondProblem(exchange, ErrorCode::Unauthorized, "authenticate", "the bearer token does not belong to an operator or member");
        return true;
    }
    const bool isPost = request.method == "POST";
    const auto respondJson = [&exchange](const Json &body) { exchange->respond(jsonResponse(200, dumpJson(body))); };
    if (path == "/operator/status") {
        respondJson(status());
    } else if (path == "/operator/usage") {
        respondJson(m_gateway.usage().toJson());
    } else if (path == "/operator/upstreams") {
        respondJson(upstreams());
    } else if (path == "/operator/timeline") {
        timeline(exchange);
    } else if (path == "/operator/history") {
        m_config.history([exchange](const Result<Json> &history) {
            if (!history) {
                return respondProblem(exchange, ErrorCode::Unavailable, "history", "the store is unreachable");
            }
            exchange->respond(jsonResponse(200, dumpJson(*history)));
        });
    } else if (path == "/operator/config" && !isPost) {
        respondJson(m_config.document());
    } else if (!caller.isOperator) {
        respondProblem(exchange, ErrorCode::Forbidden, "authenticate", "an operator's token is required");
    } else if (path == "/operator/config") {
        submit(exchange, caller);
    } else if (path == "/operator/order" && isPost) {
        order(exchange);
    } else if (path == "/operator/drain" && isPost) {
        m_drain();
        respondJson({{"draining", true}});
    } else {
        respondProblem(exchange, ErrorCode::NotFound, "parse", "the path does not exist");
    }
    return true;
}

auto OperatorApi::status() const -> Json
{
    auto vms = Json::array();
    const auto add = [&vms](const Vm &vm, std::string_view state) {
        vms.push_back({{"name", vm.name},
                       {"address", vm.address},
                       {"place", vm.place},
                       {"region", vm.region},
                       {"state", state},
                       {"revision", vm.revision}});
    };
    add(m_context.membership.self(), m_context.membership.self().draining ? "left" : "alive");
    for (const auto &[name, peer] : m_context.membership.peers()) {
        add(peer.vm, currantstack::name(peer.state));
    }
    return {{"vm", m_context.settings.name},
            {"revision", m_context.config->revision},
            {"in_flight", m_gateway.inFlight()},
            {"vms", std::move(vms)}};
}

auto OperatorApi::upstreams() const -> Json
{
    auto engines = Json::array();
    const auto now = m_context.clock.now();
    for (const auto &engine : m_context.config->engines) {
        const auto owner = m_context.ownerOf(engine);
        Json entry = {{"name", engine.name},
                      {"pool", engine.pool},
                      {"role", name(engine.role)},
                      {"place", engine.place},
                      {"owner", owner},
                      {"leaving", engine.draining},
                      {"weight", m_slots.health().weight(engine.name, now)},
                      {"slots", engine.slots}};
        if (m_context.isSelf(owner)) {
            entry["held"] = m_slots.ledger().allocatedSlots(engine.name);
        }
        entry["granted_here"] = m_slots.ledger().owns(engine.name);
        engines.push_back(std::move(entry));
    }
    auto services = Json::array();
    for (const auto &service : m_context.config->services) {
        for (const auto &upstream : service.upstreams) {
            services.push_back({{"service", service.name},
                                {"name", upstream.name},
                                {"leaving", upstream.draining},
                                {"weight", m_slots.health().weight(service.name + "/" + upstream.name, now)}});
        }
    }
    return {{"engines", std::move(engines)}, {"services", std::move(services)}};
}

auto OperatorApi::submit(const ExchangePtr &exchange, const Caller &caller) -> void
{
    const auto body = parseJson(exchange->request().body, "submit");
    if (!body) {
        return respondProblem(exchange, ErrorCode::BadInput, "submit", body.error().message);
    }
    ValidationErrors errors;
    ObjectReader reader(*body, "", errors);
    Submission submission;
    submission.id = reader.text("submission");
    submission.baseRevision = reader.integer("base", 0, 1LL << 53);
    submission.operatorName = caller.operatorName;
    submission.document = reader.raw("document");
    if (!errors.empty() || submission.id.empty()) {
        return respondProblem(exchange, ErrorCode::BadInput, "submit", "the body must have the fields submission, base and document");
    }
    m_config.submit(std::move(submission), [exchange](const Result<SubmissionResult> &result) {
        if (!result) {
            const auto executed = result.error().code == ErrorCode::OutcomeUnknown ? Executed::Unknown : Executed::No;
            return exchange->respond(problemResponse(result.error(), executed, seconds(1), ""));
        }
        const int status = result->accepted ? 200 : (result->errors.empty() ? 409 : 422);
        exchange->respond(jsonResponse(status,
                                       dumpJson({{"accepted", result->accepted},
                                                 {"revision", result->revision},
                                                 {"faults", errorsToJson(result->errors)},
                                                 {"differing", result->differing}})));
    });
}

auto OperatorApi::order(const ExchangePtr &exchange) -> void
{
    const auto body = parseJson(exchange->request().body, "order");
    ValidationErrors errors;
    const auto document = body.value_or(Json());
    ObjectReader reader(document, "", errors);
    const auto engine = reader.text("engine");
    const auto kind = reader.text("kind");
    const auto value = reader.text("value", "");
    if (!errors.empty()) {
        return respondProblem(exchange, ErrorCode::BadInput, "order", describe(errors));
    }
    m_orders.order(engine, kind, value, [exchange](const Result<std::int64_t> &number) {
        if (!number) {
            const auto executed = number.error().code == ErrorCode::Unavailable || number.error().code == ErrorCode::DeadlineExceeded
                ? Executed::Unknown
                : Executed::No;
            return exchange->respond(problemResponse(number.error(), executed, seconds(1), ""));
        }
        exchange->respond(jsonResponse(200, dumpJson({{"fencing_number", *number}})));
    });
}

auto OperatorApi::timeline(const ExchangePtr &exchange) -> void
{
    const auto &request = exchange->request();
    TimelineFilter filter;
    filter.request = request.argument("request");
    filter.upstream = request.argument("upstream");
    filter.revision = parseInteger(request.argument("revision"));
    filter.sinceMs = parseInteger(request.argument("since_ms"));
    auto events = Json::array();
    for (const auto &event : m_context.timeline.select(filter, MaxTimelineEvents)) {
        events.push_back(toJson(event));
    }
    exchange->respond(jsonResponse(200, dumpJson({{"vm", m_context.settings.name}, {"events", std::move(events)}})));
}

} // namespace currantstack
