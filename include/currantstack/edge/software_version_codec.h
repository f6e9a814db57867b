// Encoding of software versions in the datagrams of VMs.
#pragma once

#include "currantstack/decisions/software_versions.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <span>

namespace currantstack
{

/// Returns one row [service, version, age in ms, known for ms] for each notice.
auto encodeVersions(std::span<const SoftwareVersionNotice> notices) -> nlohmann::json;

/// Returns nothing if a row is malformed.
auto decodeVersions(const nlohmann::json &rows) -> std::optional<std::vector<SoftwareVersionNotice>>;

} // namespace currantstack
