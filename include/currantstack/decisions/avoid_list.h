// Upstreams that are left alone for a while: refusals that this VM met, and what other VMs tell.
#pragma once

#include "currantstack/clock.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// Why an upstream takes no work.
enum class AvoidReason
{
    ChangesRole, // an order has it away for some seconds
    Leaving, // its entry says so, or is gone
};

/// What one VM tells the others of an upstream.
struct AvoidNotice
{
    std::string upstream;
    AvoidReason reason = AvoidReason::Leaving;
    Duration left = Duration::zero(); // how much longer it holds

    auto operator==(const AvoidNotice &) const -> bool = default;
};

/// Keeps both kinds apart: refusals are this VM's own affair, notices are spread.
class AvoidList
{
public:
    /// An engine that had no room is not asked again so soon. Streams of a full engine end some hundred milliseconds apart.
    static constexpr Duration FullPause = milliseconds(60);
    /// One that refuses though it should have room is leaving, changing or broken: the pause doubles up to this.
    static constexpr Duration LongestPause = seconds(3);
    /// How long a notice of a leaving upstream is spread; VMs that reach the store know by themselves.
    static constexpr Duration LeavingLife = seconds(6);
    static constexpr std::size_t MaxNotices = 40; // in one message

    /// Notes that the upstream refused this VM; `isFull` where its known work explains it.
    auto onRefused(std::string_view upstream, bool isFull, TimePoint now) -> void;
    auto onAccepted(std::string_view upstream) -> void;

    /// Notes what this VM knows for certain, to be spread.
    auto add(std::string_view upstream, AvoidReason reason, Duration life, TimePoint now) -> void;
    auto forget(std::string_view upstream) -> void;

    /// Takes in another VM's notice. It lasts no longer than the other said.
    auto hear(const AvoidNotice &notice, TimePoint now) -> void;

    /// Returns whether the upstream should get no work. Notices of leaving ones count only with `storeIsAway`: a VM that reaches
    /// the store knows better.
    auto contains(std::string_view upstream, bool storeIsAway, TimePoint now) const -> bool;

    /// Returns the notices to tell.
    auto notices(TimePoint now) const -> std::vector<AvoidNotice>;

private:
    struct Refusal
    {
        int count = 0;
        TimePoint until;
    };

    struct Known
    {
        AvoidReason reason = AvoidReason::Leaving;
        TimePoint until;
    };

    std::map<std::string, Refusal, std::less<>> m_refusals;
    std::map<std::string, Known, std::less<>> m_known;
};

} // namespace currantstack
