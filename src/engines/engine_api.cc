#include "currantstack/engine_api.h"

namespace currantstack
{

namespace
{

constexpr std::int64_t MaxJsonInteger = 1LL << 53; // up to which doubles, hence all JSON parsers, represent integers exactly

template<typename T>
auto valueOrErrors(T value, const ValidationErrors &errors, std::string_view step) -> Result<T>
{
    if (!errors.empty()) {
        return fail(ErrorCode::BadInput, step, "", describe(errors));
    }
    return value;
}

auto readTransfer(ObjectReader &reader) -> KvTransfer
{
    KvTransfer transfer;
    transfer.doRemoteDecode = reader.boolean("do_remote_decode", false);
    transfer.doRemotePrefill = reader.boolean("do_remote_prefill", false);
    transfer.remoteAddress = reader.text("remote_address", "");
    transfer.remoteHandle = reader.text("remote_handle", "");
    transfer.promptTokens = reader.integer("prompt_tokens", 0, MaxJsonInteger, 0);
    transfer.cachedTokens = reader.integer("cached_tokens", 0, MaxJsonInteger, 0);
    transfer.expiresInMs = reader.integer("expires_in_ms", 0, MaxJsonInteger, 0);
    return transfer;
}

} // namespace

auto toJson(const KvTransfer &transfer) -> Json
{
    return {{"do_remote_decode", transfer.doRemoteDecode}, {"do_remote_prefill", transfer.doRemotePrefill},
            {"remote_address", transfer.remoteAddress},    {"remote_handle", transfer.remoteHandle},
            {"prompt_tokens", transfer.promptTokens},      {"cached_tokens", transfer.cachedTokens},
            {"expires_in_ms", transfer.expiresInMs}};
}

auto toJson(const CompletionRequest &request) -> Json
{
    return {{"request_id", request.requestId},
            {"model", request.model},
            {"prompt", request.prompt},
            {"max_tokens", request.maxTokens},
            {"stream", request.stream},
            {"priority", request.priority},
            {"continue_from", request.continueFrom},
            {"kv_transfer_params", toJson(request.transfer)}};
}

auto toJson(const RunningRequest &request) -> Json
{
    return {{"request_id", request.requestId}, {"phase", request.phase}, {"age_ms", request.ageMs}};
}

auto toJson(const LoadReport &report) -> Json
{
    return {{"slots", report.slots},
            {"running", report.running},
            {"waiting", report.waiting},
            {"waiting_tokens", report.waitingTokens},
            {"age_ms", report.ageMs}};
}

auto toJson(const EngineOrder &order) -> Json
{
    return {{"kind", order.kind}, {"value", order.value}, {"fencing_number", order.fencingToken}, {"sender_token", order.senderToken}};
}

auto kvTransferFromJson(const Json &value) -> Result<KvTransfer>
{
    ValidationErrors errors;
    ObjectReader reader(value, "", errors);
    return valueOrErrors(readTransfer(reader), errors, "kv transfer");
}

auto completionFromJson(const Json &value) -> Result<CompletionRequest>
{
    ValidationErrors errors;
    ObjectReader reader(value, "", errors);
    CompletionRequest request;
    request.requestId = reader.text("request_id", "");
    request.model = reader.text("model");
    request.maxTokens = reader.integer("max_tokens", 1, MaxOutputTokens, 16);
    request.stream = reader.boolean("stream", false);
    request.priority = reader.integer("priority", 0, MaxPriority, 0);
    request.continueFrom = reader.integer("continue_from", 0, MaxOutputTokens, 0);
    if (!reader.raw("kv_transfer_params").is_null()) {
        auto transferReader = reader.object("kv_transfer_params");
        request.transfer = readTransfer(transferReader);
    }
    const auto &messages = reader.raw("messages");
    if (messages.is_null()) {
        request.prompt = reader.text("prompt");
    } else if (auto prompt = promptOfMessages(messages)) {
        request.prompt = std::move(*prompt);
    } else {
        reader.addError("messages", prompt.error().message);
    }
    return valueOrErrors(std::move(request), errors, "completion request");
}

auto runningFromJson(const Json &value) -> Result<std::vector<RunningRequest>>
{
    ValidationErrors errors;
    ObjectReader reader(value, "", errors);
    std::vector<RunningRequest> running;
    for (auto &entry : reader.objects("requests")) {
        running.push_back({entry.text("request_id"), entry.text("phase", ""), entry.integer("age_ms", 0, MaxJsonInteger, 0)});
    }
    return valueOrErrors(std::move(running), errors, "running requests");
}

auto loadReportFromJson(const Json &value) -> Result<LoadReport>
{
    ValidationErrors errors;
    ObjectReader reader(value, "", errors);
    LoadReport report;
    report.slots = reader.integer("slots", 0, MaxJsonInteger, 0);
    report.running = reader.integer("running", 0, MaxJsonInteger, 0);
    report.waiting = reader.integer("waiting", 0, MaxJsonInteger, 0);
    report.waitingTokens = reader.integer("waiting_tokens", 0, MaxJsonInteger, 0);
    report.ageMs = reader.integer("age_ms", 0, MaxJsonInteger, 0);
    return valueOrErrors(report, errors, "load report");
}

auto engineOrderFromJson(const Json &value) -> Result<EngineOrder>
{
    ValidationErrors errors;
    ObjectReader reader(value, "", errors);
    EngineOrder order;
    order.kind = reader.text("kind");
    order.value = reader.text("value", "");
    order.fencingToken = reader.integer("fencing_number", 0, MaxJsonInteger, 0);
    order.senderToken = reader.text("sender_token", "");
    if (order.kind != "role" && order.kind != "load" && order.kind != "unload" && order.kind != "version") {
        reader.addError("kind", "must be role, load, unload or version");
    }
    return valueOrErrors(std::move(order), errors, "engine order");
}

auto promptOfMessages(const Json &messages) -> Result<std::string>
{
    if (!messages.is_array() || messages.empty()) {
        return fail(ErrorCode::BadInput, "messages", "", "must be a non-empty list of messages");
    }
    std::string prompt;
    for (const auto &message : messages) {
        const bool wellFormed = message.is_object() && message.contains("role") && message["role"].is_string()
            && message.contains("content") && message["content"].is_string();
        if (!wellFormed) {
            return fail(ErrorCode::BadInput, "messages", "", "each message must have a role and a content, both strings");
        }
        prompt += message["role"].get<std::string>() + ": " + message["content"].get<std::string>() + "\n";
    }
    return prompt;
}

} // namespace currantstack
