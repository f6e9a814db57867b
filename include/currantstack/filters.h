// The filter chain that every caller request passes before it is dispatched.
#pragma once

#include "currantstack/config.h"
#include "currantstack/decisions/quarantine.h"
#include "currantstack/engine_api.h"
#include "currantstack/http_server.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace currantstack
{

using ConfigPtr = std::shared_ptr<const Config>;

enum class RequestKind
{
    Completion,
    Chat,
    Service,
};

/// A caller's request and what the filters have derived from it.
struct CallerRequest
{
    ExchangePtr exchange;
    ConfigPtr config; // in force when the request was received
    std::string id; // "vm.startedAtMs.sequence"
    TimePoint received;
    RequestKind kind = RequestKind::Completion;
    const Member *member = nullptr; // points into `config`
    int priority = 0;
    TimePoint deadline; // for the first token, or for the service's response
    std::string idempotencyKey;
    Fingerprint fingerprint = 0;
    CompletionRequest completion; // set for a model request
    const Model *model = nullptr;
    const Service *service = nullptr; // set for a service request
    std::string servicePath;
    bool idempotent = true;
    bool suspect = false; // an upstream recently crashed while running the same request
};

/// One step of the chain. An error refuses the request before any upstream has run it.
struct Filter
{
    std::string name;
    std::function<Result<void>(CallerRequest &request)> apply;
};

/// Runs filters in order. The first error ends the chain; its `step` defaults to the name of the filter.
class FilterChain
{
public:
    auto add(std::string name, std::function<Result<void>(CallerRequest &)> apply) -> void
    {
        m_filters.push_back({std::move(name), std::move(apply)});
    }

    auto run(CallerRequest &request) const -> Result<void>
    {
        for (const auto &filter : m_filters) {
            if (auto result = filter.apply(request); !result) {
                if (result.error().step.empty()) {
                    result.error().step = filter.name;
                }
                return result;
            }
        }
        return {};
    }

private:
    std::vector<Filter> m_filters;
};

/// Finds the member that the bearer token belongs to.
auto authenticate(CallerRequest &request) -> Result<void>;

/// Parses the path, headers and body, and checks that the member may use the model or service.
auto parseCallerRequest(CallerRequest &request, TimePoint now) -> Result<void>;

/// Returns the error response for a caller: problem+json with the reason, the step and whether the request ran.
auto problemResponse(const Error &error, Executed executed, Duration retryAfter, std::string_view requestId) -> HttpResponse;

} // namespace currantstack
