#include "currantstack/filters.h"

#include "currantstack/codec.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>

namespace currantstack
{

namespace
{

constexpr std::string_view ServicePrefix = "/services/";
constexpr std::size_t MaxKeyBytes = 200;
constexpr std::int64_t MaxDeadlineMs = 3600000;

auto integerHeader(const HttpRequest &request, std::string_view header, std::int64_t low, std::int64_t high, std::int64_t fallback)
    -> Result<std::int64_t>
{
    const auto text = request.header(header);
    if (text.empty()) {
        return fallback;
    }
    std::int64_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (problem != std::errc() || end != text.data() + text.size() || value < low || value > high) {
        return fail(ErrorCode::BadInput, "parse", "", fmt::format("header {} must be an integer from {} to {}", header, low, high));
    }
    return value;
}

auto isAllowed(const std::vector<std::string> &names, std::string_view name) -> bool
{
    return std::any_of(names.begin(), names.end(), [name](const auto &entry) { return entry == "*" || entry == name; });
}

auto parseService(CallerRequest &request) -> Result<void>
{
    const auto &http = request.exchange->request();
    auto rest = std::string_view(http.path).substr(ServicePrefix.size());
    const auto slash = rest.find('/');
    const auto name = rest.substr(0, slash);
    request.service = request.config->findService(name);
    if (request.service == nullptr) {
        return fail(ErrorCode::NotFound, "parse", "", fmt::format("service '{}' does not exist", name));
    }
    if (!isAllowed(request.member->services, name)) {
        return fail(ErrorCode::Forbidden, "parse", "", fmt::format("the member is not allowed to use service '{}'", name));
    }
    request.servicePath = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    request.idempotent = request.service->isIdempotent(http.method, request.servicePath);
    request.fingerprint = hash64(http.body, hash64(request.servicePath, hash64(http.method)));
    return {};
}

auto parseModelCall(CallerRequest &request) -> Result<void>
{
    const auto &http = request.exchange->request();
    if (http.method != "POST") {
        return fail(ErrorCode::BadInput, "parse", "", "the method must be POST");
    }
    const auto document = parseJson(http.body, "parse");
    if (!document) {
        return tl::unexpected(document.error());
    }
    auto completion = completionFromJson(*document);
    if (!completion) {
        return fail(ErrorCode::BadInput, "parse", "", completion.error().message);
    }
    request.model = request.config->findModel(completion->model);
    if (request.model == nullptr) {
        return fail(ErrorCode::NotFound, "parse", "", fmt::format("model '{}' does not exist", completion->model));
    }
    if (!isAllowed(request.member->models, completion->model)) {
        return fail(ErrorCode::Forbidden, "parse", "", fmt::format("the member is not allowed to use model '{}'", completion->model));
    }
    if (static_cast<std::int64_t>(completion->prompt.size()) > request.config->limits.maxPromptBytes) {
        return fail(ErrorCode::BadInput, "parse", "",
                    fmt::format("the prompt exceeds the limit of {} bytes", request.config->limits.maxPromptBytes));
    }
    request.completion = std::move(*completion);
    request.fingerprint = hash64(request.completion.prompt, hash64(request.completion.model));
    return {};
}

} // namespace

auto authenticate(CallerRequest &request) -> Result<void>
{
    constexpr std::string_view Scheme = "Bearer ";
    const auto header = request.exchange->request().header("Authorization");
    if (!header.starts_with(Scheme)) {
        return fail(ErrorCode::Unauthorized, "authenticate", "", "the Authorization header with a bearer token is missing");
    }
    request.member = request.config->memberOfToken(header.substr(Scheme.size()));
    if (request.member == nullptr) {
        return fail(ErrorCode::Unauthorized, "authenticate", "", "the bearer token does not belong to a member");
    }
    return {};
}

auto parseCallerRequest(CallerRequest &request, TimePoint now) -> Result<void>
{
    const auto &http = request.exchange->request();
    const auto isService = std::string_view(http.path).starts_with(ServicePrefix);
    if (isService) {
        request.kind = RequestKind::Service;
    } else if (http.path == "/v1/completions" || http.path == "/v1/chat/completions") {
        request.kind = http.path == "/v1/completions" ? RequestKind::Completion : RequestKind::Chat;
    } else {
        return fail(ErrorCode::NotFound, "parse", "", fmt::format("path '{}' does not exist", http.path));
    }
    if (auto parsed = isService ? parseService(request) : parseModelCall(request); !parsed) {
        return parsed;
    }
    request.idempotencyKey = std::string(http.header("Idempotency-Key"));
    if (request.idempotencyKey.size() > MaxKeyBytes) {
        return fail(ErrorCode::BadInput, "parse", "", fmt::format("the Idempotency-Key exceeds the limit of {} bytes", MaxKeyBytes));
    }
    const auto fallback =
        std::chrono::duration_cast<milliseconds>(isService ? Duration(seconds(10)) : request.config->limits.defaultDeadline).count();
    const auto deadline = integerHeader(http, "X-Deadline-Ms", 1, MaxDeadlineMs, fallback);
    if (!deadline) {
        return tl::unexpected(deadline.error());
    }
    request.deadline = now + milliseconds(*deadline);
    const auto priority = integerHeader(http, "X-Priority", 0, MaxPriority, request.completion.priority);
    if (!priority) {
        return tl::unexpected(priority.error());
    }
    request.priority = std::min(static_cast<int>(*priority), request.member->maxPriority);
    return {};
}

auto problemResponse(const Error &error, Executed executed, Duration retryAfter, std::string_view requestId) -> HttpResponse
{
    const auto status = httpStatus(error.code);
    const Json body = {{"type", fmt::format("urn:currantstack:{}", name(error.code))},
                       {"title", name(error.code)},
                       {"status", status},
                       {"detail", error.message},
                       {"step", error.step},
                       {"ran", executed == Executed::No ? "no" : "unknown"},
                       {"request_id", requestId}};
    HttpResponse response{status, {{"Content-Type", "application/problem+json"}}, dumpJson(body)};
    if (retryAfter > Duration::zero()) {
        response.headers.push_back({"Retry-After", std::to_string(static_cast<int>(std::ceil(toSeconds(retryAfter))))});
    }
    return response;
}

} // namespace currantstack
