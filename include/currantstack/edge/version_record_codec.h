// Encoding of the record of software versions in the store.
#pragma once

#include "currantstack/decisions/version_record.h"
#include "currantstack/error.h"

#include <string_view>

namespace currantstack
{

/// Returns the store's document for the record, {"service": "...", "versions": [{"version": "...", "settled": true}]}.
auto encodeVersionRecord(const VersionRecord &record) -> std::string;

/// Returns the error if the document is malformed. Unknown fields are ignored.
auto decodeVersionRecord(std::string_view document) -> Result<VersionRecord>;

} // namespace currantstack
