// The requests whose callers still wait for an answer, so that a stopping VM can end each of them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

namespace currantstack
{

/// What a stopping VM ends.
enum class StopPhase
{
    Unanswered, // requests whose callers have received nothing; they get an error answer
    All, // also streams that have begun, which are aborted
};

/// Open requests in the order of their arrival.
class OpenRequests
{
public:
    using Id = std::uint64_t;
    using EndFunction = std::function<void(StopPhase phase)>;

    /// Adds a request. `end` answers or aborts it and removes it, unless it may go on after the phase.
    auto add(EndFunction end) -> Id;

    /// Removes a request that has ended; ignored if it has been removed.
    auto remove(Id id) -> void;

    auto size() const -> std::size_t
    {
        return m_requests.size();
    }

    /// Ends the requests of the phase.
    auto end(StopPhase phase) -> void;

private:
    std::map<Id, EndFunction> m_requests;
    Id m_lastId = 0;
};

} // namespace currantstack
