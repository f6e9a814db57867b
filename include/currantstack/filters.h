// The filter chain that a caller's request passes before it is dispatched.
#pragma once

#include "currantstack/config.h"
#include "currantstack/engine_api.h"
#include "currantstack/http_server.h"
#include "currantstack/quarantine.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace currantstack
{

using ConfigPtr = std::shared_ptr<const Config>;

enum class CallKind
{
    Completion,
    Chat,
    Service,
};

/// One caller's request on its way through the filters.
struct CallerRequest
{
    ExchangePtr exchange;
    ConfigPtr config; // in force when the request came
    std::string id; // "vm.boot.sequence"
    TimePoint received;
    CallKind kind = CallKind::Completion;
    const Member *member = nullptr; // of `config`
    int priority = 0;
    TimePoint deadline; // for the first token, or for the service's answer
    std::string idempotencyKey;
    Fingerprint fingerprint = 0;
    CompletionRequest completion; // of a model request
    const Model *model = nullptr;
    const Service *service = nullptr; // of a service request
    std::string servicePath;
    bool idempotent = true;
    bool suspect = false;
};

/// One step. An error refuses the request; nothing has been run by then.
struct Filter
{
    std::string name;
    std::function<Result<void>(CallerRequest &request)> apply;
};

/// Filters in their order. The first error ends the chain and names the filter.
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

/// Filters that need nothing but the request.
auto authenticate(CallerRequest &request) -> Result<void>;
auto parseCall(CallerRequest &request, TimePoint now) -> Result<void>;

/// Returns the refusal that a caller sees: problem+json with the reason, the step and whether the request ran.
auto refusal(const Error &error, Executed ran, Duration retryAfter, std::string_view requestId) -> HttpResponse;

} // namespace currantstack
