// Cancels that are confirmed or repeated, so that no engine holds memory for a request that is gone.
#pragma once

#include "currantstack/context.h"

#include <map>

namespace currantstack
{

/// Sends each cancel until the engine confirms it or the limit passes.
class RequestCanceller
{
public:
    static constexpr Duration GiveUpAfter = seconds(60);

    explicit RequestCanceller(Context &context);

    /// Asks the engine to drop the request. `onConfirmed` runs once it says that it holds nothing of it.
    auto cancel(const std::string &engine, const std::string &address, const std::string &requestId, std::string_view cause,
                std::function<void()> onConfirmed = {}) -> void;

    auto pending() const -> std::size_t
    {
        return m_pending.size();
    }

private:
    struct Pending
    {
        std::string engine;
        std::string address;
        std::string requestId;
        TimePoint begun;
        int tries = 0;
        std::function<void()> onConfirmed;
    };

    auto send(const std::string &key) -> void;
    auto repeatLater(const std::string &key) -> void;

    Context &m_context;
    std::map<std::string, Pending> m_pending;
};

} // namespace currantstack
