// The store's record of the software versions that streams of a service can have begun at.
#pragma once

#include "currantstack/clock.h"

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

/// A read of the records of all services.
struct RecordRead
{
    TimePoint begunAt;
    bool isComplete = false; // the records name all versions that streams can have begun at when the read was begun
    bool isUsedByAllVms = false; // none is of an earlier build, which begins streams at versions that are not recorded
};

} // namespace currantstack
