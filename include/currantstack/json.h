// Reading JSON into typed values, with every error and its path.
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

/// Parses a whole text; refuses malformed JSON and malformed UTF-8.
auto parseJson(std::string_view text, std::string_view step) -> Result<Json>;

/// Returns the text of a value; malformed UTF-8 inside strings is replaced.
auto dumpJson(const Json &value) -> std::string;

/// One fault in a document: where it is and what would be right.
struct ValidationError
{
    std::string path; // JSON pointer
    std::string message;
};

/// Collects the faults of one document.
using ValidationErrors = std::vector<ValidationError>;

/// Returns "path: message; path: message".
auto describe(const ValidationErrors &errors) -> std::string;

/// Reads the fields of one JSON object. Faults are added to a list instead of being thrown, so that all are found at once.
class ObjectReader
{
public:
    ObjectReader(const Json &value, std::string path, ValidationErrors &errors);

    /// Returns the text, or the fallback where the field is absent. Without a fallback an absent field is a fault.
    auto text(std::string_view key, std::optional<std::string> fallback = std::nullopt) -> std::string;

    /// Returns the number, which must lie within the bounds.
    auto integer(std::string_view key, std::int64_t low, std::int64_t high, std::optional<std::int64_t> fallback = std::nullopt)
        -> std::int64_t;
    auto number(std::string_view key, double low, double high, std::optional<double> fallback = std::nullopt) -> double;
    auto boolean(std::string_view key, std::optional<bool> fallback = std::nullopt) -> bool;
    auto texts(std::string_view key) -> std::vector<std::string>;

    /// Returns the field's value, or null where it is absent.
    auto raw(std::string_view key) -> const Json &;

    /// Returns a reader for each object of the list; an absent list is empty.
    auto objects(std::string_view key) -> std::vector<ObjectReader>;

    /// Returns a reader for the object; an absent object is empty.
    auto object(std::string_view key) -> ObjectReader;

    /// Adds a fault at the key; an empty key means the object itself.
    auto addError(std::string_view key, std::string_view message) -> void;

    /// Adds a fault for each field that was never read.
    auto rejectUnknownFields() -> void;

    auto path() const -> const std::string &
    {
        return m_path;
    }

private:
    auto field(std::string_view key, bool required) -> const Json *;

    const Json *m_value;
    std::string m_path;
    ValidationErrors *m_errors;
    std::vector<std::string> m_known;
};

} // namespace currantstack
