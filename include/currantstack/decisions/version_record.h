// The store's record of the software versions that streams of a service can have begun at.
#pragma once

#include <string>
#include <vector>

namespace currantstack
{

struct RecordedVersion
{
    std::string version;
    bool isSettled = false; // the record has named it for `SoftwareVersions::SettlingTime`

    auto operator==(const RecordedVersion &other) const -> bool = default;
};

/// The versions of one service, in order of their names. Written before a version gets its first stream, and kept until long after its last
/// one, it outlasts the memory of all VMs.
struct VersionRecord
{
    std::string service;
    std::vector<RecordedVersion> versions;

    auto operator==(const VersionRecord &other) const -> bool = default;
};

} // namespace currantstack
