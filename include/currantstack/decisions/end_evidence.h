// Weighs evidence that an upstream has ended. A refused connection may as well be due to a broken link of one VM.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/exclusion_list.h"
#include "currantstack/decisions/upstream_directory.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace currantstack
{

/// What a VM does about another VM's notice that an upstream has ended.
enum class NoticeUse
{
    Ignore, // this VM has reached the upstream since the notice was issued
    Exclude, // this VM has failed to reach it as well, or has verified the notice
    ExcludeAndVerify,
    Verify, // this VM has reached the upstream shortly before the notice was issued, and goes on using it meanwhile
};

/// Collects what this VM and others know about the ends of upstreams.
class EndEvidence
{
public:
    /// An upstream that answered this VM within this time before a notice is not excluded before the notice is verified.
    static constexpr Duration RecentContact = seconds(2);
    /// Time for which a refused connection of this VM, or a notice of another, counts.
    static constexpr Duration Lifetime = seconds(6);

    /// What this VM knows about the upstream of a notice.
    struct Contact
    {
        bool sinceNotice = false; // the upstream has answered on a connection that was opened after the notice was issued
        bool recent = false; // it has answered within `RecentContact`
        bool failed = false; // this VM's last connection to it failed, or a proved end excludes it
    };

    /// Returns when a notice with this remaining time was issued.
    static auto issuedAt(const ExclusionNotice &notice, TimePoint now) -> TimePoint;

    /// Decides about a notice of another VM. At most one probe of an upstream is requested until `onVerified`, and none for a notice
    /// that has been verified.
    auto onNotice(const ExclusionNotice &notice, const Contact &contact, TimePoint now) -> NoticeUse;

    /// Records that the probe requested by `onNotice` has ended, or was not needed.
    auto onVerified(std::string_view upstream, TimePoint now) -> void;

    /// Records that the upstream refused this VM while its links to others work. Returns whether this proves the end of the upstream:
    /// another VM has found the same, or there is none that could.
    auto onRefused(const Upstream &upstream, bool mayHaveWitnesses, TimePoint now) -> bool;

    /// Records that another VM has found the upstream's end. Returns the upstream if this proves its end, since it refused this VM too.
    auto onWitness(std::string_view upstream, TimePoint now) -> std::optional<Upstream>;

    /// Records that the upstream has answered.
    auto onReached(std::string_view upstream) -> void;

private:
    struct Verification
    {
        bool isPending = true;
        TimePoint since;
    };

    struct Refusal
    {
        Upstream upstream;
        TimePoint at;
    };

    auto expire(TimePoint now) -> void;

    std::map<std::string, Verification, std::less<>> m_verifications; // by upstream
    std::map<std::string, Refusal, std::less<>> m_refusals; // by upstream
    std::map<std::string, TimePoint, std::less<>> m_witnessedAt; // by upstream
};

} // namespace currantstack
