// Cancellation of requests at engines, retried until confirmed, so that no engine holds memory for a cancelled request.
#pragma once

#include "currantstack/context.h"

#include <map>

namespace currantstack
{

/// Sends each cancel until the engine confirms it or `MaxRetryTime` has passed.
class RequestCanceller
{
public:
    static constexpr Duration MaxRetryTime = seconds(60);

    explicit RequestCanceller(Context &context);

    /// Cancels a request at the engine. `onConfirmed` runs when the engine confirms that it holds no memory for it; it doesn't run if
    /// the retries end without a confirmation.
    auto cancel(const std::string &engine, const std::string &address, const std::string &requestId, std::string_view cause,
                std::function<void()> onConfirmed = {}) -> void;

    auto pending() const -> std::size_t
    {
        return m_pending.size();
    }

private:
    struct PendingCancel
    {
        std::string engine;
        std::string address;
        std::string requestId;
        TimePoint startedAt;
        int attempts = 0;
        std::function<void()> onConfirmed;
    };

    auto send(const std::string &key) -> void;
    auto scheduleRetry(const std::string &key) -> void;

    Context &m_context;
    std::map<std::string, PendingCancel> m_pending; // by "engine/request id"
};

} // namespace currantstack
