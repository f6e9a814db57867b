// The operators' side of a VM, beside the peers': configuration, status, usage and the time line.
#pragma once

#include "currantstack/config_service.h"
#include "currantstack/gateway.h"
#include "currantstack/orders.h"

namespace currantstack
{

/// Serves `/operator/...`. Operators and members authenticate by bearer token; only operators may change things.
class OperatorApi
{
public:
    OperatorApi(Context &context, ConfigService &config, Gateway &gateway, SlotService &slots, OrderService &orders,
                std::function<void()> drain);

    /// Answers the exchange where the path is an operator's; returns false otherwise.
    auto dispatch(const ExchangePtr &exchange) -> bool;

private:
    /// Who asks, and what they may do.
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
