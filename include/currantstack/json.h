// JSON parsing and validation. Validation reports all errors of a document, each with its path.
#pragma once

#include "currantstack/error.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

using Json = nlohmann::json;

/// Deeper documents are rejected: copying and serializing a document recurse, and each level takes many times its bytes in memory.
constexpr std::size_t MaxJsonDepth = 256;

/// Parses a complete JSON text; malformed JSON or UTF-8 is an error, and so is nesting beyond `MaxJsonDepth`. `step` names the operation
/// in the error.
auto parseJson(std::string_view text, std::string_view step) -> Result<Json>;

/// Parses a complete MessagePack document, with the same bound on nesting.
auto parseMsgpack(std::string_view bytes, std::string_view step) -> Result<Json>;

/// Returns the text, or its beginning and its size if it is longer than a log line should carry.
auto excerpt(std::string_view text) -> std::string;

/// Returns whether the value is an array with at least these columns. A later build may append others.
auto isRow(const Json &value, std::size_t columns) -> bool;

/// Serializes a value; malformed UTF-8 in strings is replaced.
auto dumpJson(const Json &value) -> std::string;

/// A violation of a document's schema; `message` describes what is expected.
struct ValidationError
{
    std::string path; // JSON Pointer (RFC 6901)
    std::string message;
};

using ValidationErrors = std::vector<ValidationError>;

constexpr std::size_t MaxDescribedErrors = 32;

/// Returns the errors as "path: message; path: message"; after the first `MaxDescribedErrors`, the number of the others.
auto describe(const ValidationErrors &errors) -> std::string;

/// Reads and validates the fields of a JSON object. Errors are appended to a list, so that one pass reports all of them; the
/// returned value is then the fallback or another valid value.
class ObjectReader
{
public:
    ObjectReader(const Json &value, std::string path, ValidationErrors &errors);

    /// Return the field's value, or the fallback if the field is absent or null. A missing field without a fallback is an error, and so is
    /// a value of another type or outside of the bounds.
    auto text(std::string_view key, std::optional<std::string> fallback = std::nullopt) -> std::string;
    auto integer(std::string_view key, std::int64_t low, std::int64_t high, std::optional<std::int64_t> fallback = std::nullopt)
        -> std::int64_t;
    auto number(std::string_view key, double low, double high, std::optional<double> fallback = std::nullopt) -> double;
    auto boolean(std::string_view key, std::optional<bool> fallback = std::nullopt) -> bool;

    /// Returns a list of strings; empty if the field is absent.
    auto texts(std::string_view key) -> std::vector<std::string>;

    /// Returns the field's value without validation, or null if the field is absent.
    auto raw(std::string_view key) -> const Json &;

    /// Returns a reader for each element of a list of objects; empty if the field is absent.
    auto objects(std::string_view key) -> std::vector<ObjectReader>;

    /// Returns a reader for a nested object; an absent field is read as an empty object.
    auto object(std::string_view key) -> ObjectReader;

    /// Adds an error at the key, or at the object itself if the key is empty.
    auto addError(std::string_view key, std::string_view message) -> void;

    /// Adds an error for each field of the object that has not been read.
    auto rejectUnknownFields() -> void;

    auto path() const -> const std::string &
    {
        return m_path;
    }

private:
    auto findField(std::string_view key, bool required) -> const Json *;

    const Json *m_value;
    std::string m_path;
    ValidationErrors *m_errors;
    std::vector<std::string> m_knownKeys;
};

} // namespace currantstack
