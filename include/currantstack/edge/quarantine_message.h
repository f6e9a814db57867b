// Encoding of quarantine reports in datagrams, and of quarantine entries in the store.
#pragma once

#include "currantstack/decisions/quarantine.h"
#include "currantstack/error.h"

namespace currantstack
{

/// First byte of a datagram with a quarantine report; no encoded load report begins with it.
inline constexpr std::string_view QuarantineMagic = "Q";

/// A report, or a part of one, as sent by a VM.
struct QuarantineMessage
{
    std::string place; // of the sender
    QuarantineReport report;
};

/// Returns the datagrams that carry the report, each with as many rows as fit. Ages are relative to `now`.
auto encodeQuarantine(const QuarantineMessage &message, TimePoint now) -> std::vector<std::string>;

/// Returns the error if the datagram is malformed.
auto decodeQuarantine(std::string_view bytes, TimePoint now) -> Result<QuarantineMessage>;

/// Returns the store's document for the entry. It contains the wall-clock time at which the entry ends.
auto encodeStoredEntry(const QuarantineEntry &entry, WallTime now) -> std::string;

/// Returns the entry with the time that remains at `now`.
auto decodeStoredEntry(std::string_view document, WallTime now) -> Result<QuarantineEntry>;

} // namespace currantstack
