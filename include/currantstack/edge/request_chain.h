// The filter chain that every caller's request passes before it is forwarded.
#pragma once

#include "currantstack/edge/context.h"

#include <functional>
#include <vector>

namespace currantstack
{

/// Validates and completes a request. A returned response is sent to the caller and ends the chain.
using EdgeFilter = std::function<std::optional<HttpResponse>(EdgeContext &context, IncomingRequest &request)>;

/// Returns the filters in order: VM not stopping, routes loaded, request id present, route found, key known, body size within limits,
/// request not quarantined, service chosen, upstreams of the service reached, quota not exceeded.
auto edgeFilters() -> std::vector<EdgeFilter>;

/// Runs the filters and forwards the request by its route's kind.
class RequestChain
{
public:
    explicit RequestChain(EdgeContext &context)
        : m_context(context)
        , m_filters(edgeFilters())
    { }

    /// Handles a request of a caller, or one that another VM has taken from its caller.
    auto handle(const ExchangePtr &exchange, std::optional<RelayInfo> relay = std::nullopt) -> void;

private:
    auto forward(IncomingRequest request) -> void;

    EdgeContext &m_context;
    std::vector<EdgeFilter> m_filters;
};

} // namespace currantstack
