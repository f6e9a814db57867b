// Base64, digests and hashes, implemented with OpenSSL and xxHash.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace currantstack
{

auto toBase64(std::string_view bytes) -> std::string;

/// Returns the decoded bytes, or nothing if the text is not valid base64.
auto fromBase64(std::string_view text) -> std::optional<std::string>;

/// Returns the SHA-256 digest in lower-case hexadecimal.
auto sha256(std::string_view bytes) -> std::string;

/// Returns the HMAC-SHA-256 in lower-case hexadecimal.
auto hmac(std::string_view key, std::string_view bytes) -> std::string;

/// Compares in constant time for texts of equal length, so that timing does not reveal where they differ.
auto equalConstantTime(std::string_view left, std::string_view right) -> bool;

/// Returns the XXH3 64-bit hash, which is the same on every machine.
auto hash64(std::string_view bytes, std::uint64_t seed = 0) -> std::uint64_t;

} // namespace currantstack
