// Fingerprints: hashes that identify a request or a part of it on every VM.
#pragma once

#include "currantstack/http.h"

#include <cstdint>
#include <span>
#include <vector>

namespace currantstack
{

using Fingerprint = std::uint64_t;

/// Returns the fingerprint as 16 hexadecimal digits.
auto fingerprintText(Fingerprint fingerprint) -> std::string;

auto fingerprintTexts(std::span<const Fingerprint> fingerprints) -> std::vector<std::string>;

/// Returns the fingerprint that `fingerprintText` wrote, or 0 if the text is not hexadecimal.
auto fingerprintFromText(std::string_view text) -> Fingerprint;

/// Returns the fingerprint of what a caller asks for: method, host, target, credentials and body. It is the same for each repetition of
/// the request, whatever its id and deadline.
auto requestFingerprint(const HttpRequest &request) -> Fingerprint;

} // namespace currantstack
