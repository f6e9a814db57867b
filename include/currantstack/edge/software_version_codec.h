// Encoding of software versions in the datagrams of VMs.
#pragma once

#include "currantstack/decisions/software_versions.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <span>

namespace currantstack
{

/// Returns whether the value is a duration in ms.
auto isDuration(const nlohmann::json &value) -> bool;

/// Returns the duration in whole ms.
auto encodeDuration(Duration duration) -> std::int64_t;

/// Returns the duration, limited to `SoftwareVersions::Lifetime`.
auto decodeDuration(const nlohmann::json &value) -> Duration;

/// Returns one row [service, version, age in ms, known for ms] for each notice. A version that is recorded and has not been
/// seen lately has a further column, true.
auto encodeVersions(std::span<const SoftwareVersionNotice> notices) -> nlohmann::json;

/// Returns nothing if a row is malformed.
auto decodeVersions(const nlohmann::json &rows) -> std::optional<std::vector<SoftwareVersionNotice>>;

} // namespace currantstack
