// Fingerprints that were part of a successful request.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/fingerprint.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace currantstack
{

/// Remembers when a fingerprint was last part of a successful request. Bounded: the oldest success is forgotten first, so a fingerprint
/// that succeeds all the time stays.
class SuccessHistory
{
public:
    static constexpr Duration Lifetime = seconds(30);
    static constexpr std::size_t MaxFingerprints = 4096;

    auto add(Fingerprint fingerprint, TimePoint at) -> void;

    /// Returns the time of the last success, if it is known.
    auto lastSuccess(Fingerprint fingerprint) const -> std::optional<TimePoint>;

    auto expire(TimePoint now) -> void;

    auto size() const -> std::size_t
    {
        return m_successes.size();
    }

private:
    struct Success
    {
        Fingerprint fingerprint = 0;
        TimePoint at;
    };

    auto dropOldest() -> void;

    std::unordered_map<Fingerprint, TimePoint> m_successes;
    std::deque<Success> m_order; // in the order of `add`; entries that were renewed since are skipped
};

} // namespace currantstack
