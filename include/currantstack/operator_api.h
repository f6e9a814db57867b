// The operator API, served on the peer port: configuration, status, usage and timeline.
#pragma once

#include "currantstack/config_service.h"
#include "currantstack/gateway.h"
#include "currantstack/orders.h"

namespace currantstack
{

/// Serves `/operator/...`. Operators and members authenticate by bearer token; members may only read.
class OperatorApi
{
public:
    OperatorApi(Context &context, ConfigService &config, Gateway &gateway, SlotService &slots, OrderService &orders,
                std::function<void()> drain);

    /// Responds if the path begins with `/operator/`; otherwise returns false.
    auto dispatch(const ExchangePtr &exchange) -> bool;

private:
    /// The authenticated caller and its permissions.
    struct Caller
    {
        std::string operatorName; // empty for a member
        bool isOperator = false;
        bool mayRead = false;
    };

    auto identify(const HttpRequest &request) const -> Caller;
    auto status() const -> Json;
    auto upstreams() const -> Json;
    auto submit(const ExchangePtr &exchange, const Caller &caller) -> void;
    auto timeline(const ExchangePtr &exchange) -> void;
    auto order(const ExchangePtr &exchange) -> void;

    Context &m_context;
    ConfigService &m_config;
    Gateway &m_gateway;
    SlotService &m_slots;
    OrderService &m_orders;
    std::function<void()> m_drain;
};

} // namespace currantstack
