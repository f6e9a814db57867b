// The filters that every caller's request passes, in order, before it is forwarded.
#pragma once

#include "currantstack/edge/context.h"

#include <functional>
#include <vector>

namespace currantstack
{

/// Looks at a request and completes it; a response ends the chain.
using EdgeFilter = std::function<std::optional<HttpResponse>(EdgeContext &context, IncomingRequest &request)>;

/// Returns the filters: not about to stop, configuration known, request well formed, route found, service chosen.
auto edgeFilters() -> std::vector<EdgeFilter>;

/// Passes the request through the filters and forwards it by its route's kind.
class RequestChain
{
public:
    explicit RequestChain(EdgeContext &context)
        : m_context(context)
        , m_filters(edgeFilters())
    { }

    auto handle(const ExchangePtr &exchange) -> void;

private:
    EdgeContext &m_context;
    std::vector<EdgeFilter> m_filters;
};

} // namespace currantstack
