#include "currantstack/json.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace currantstack
{

namespace
{

const Json Null;
const Json EmptyObject = Json::object();

} // namespace

auto parseJson(std::string_view text, std::string_view step) -> Result<Json>
{
    auto value = Json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return fail(ErrorCode::BadInput, step, "", "the text is not valid JSON in UTF-8");
    }
    return value;
}

auto dumpJson(const Json &value) -> std::string
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto describe(const ValidationErrors &errors) -> std::string
{
    std::string text;
    for (const auto &error : errors) {
        fmt::format_to(std::back_inserter(text), "{}{}: {}", text.empty() ? "" : "; ", error.path.empty() ? "/" : error.path,
                       error.message);
    }
    return text;
}

ObjectReader::ObjectReader(const Json &value, std::string path, ValidationErrors &errors)
    : m_value(&value)
    , m_path(std::move(path))
    , m_errors(&errors)
{
    if (!value.is_object()) {
        addError("", "must be an object");
        m_value = &EmptyObject;
    }
}

auto ObjectReader::findField(std::string_view key, bool required) -> const Json *
{
    m_knownKeys.emplace_back(key);
    const auto found = m_value->find(std::string(key));
    if (found == m_value->end() || found->is_null()) {
        if (required) {
            addError(key, "is missing");
        }
        return nullptr;
    }
    return &*found;
}

auto ObjectReader::text(std::string_view key, std::optional<std::string> fallback) -> std::string
{
    const auto *value = findField(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or("");
    }
    if (!value->is_string()) {
        addError(key, "must be a string");
        return fallback.value_or("");
    }
    return value->get<std::string>();
}

auto ObjectReader::integer(std::string_view key, std::int64_t low, std::int64_t high, std::optional<std::int64_t> fallback) -> std::int64_t
{
    const auto *value = findField(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or(low);
    }
    const bool tooLarge = value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    if (!value->is_number_integer() || tooLarge || value->get<std::int64_t>() < low || value->get<std::int64_t>() > high) {
        addError(key, fmt::format("must be an integer from {} to {}", low, high));
        return fallback.value_or(low);
    }
    return value->get<std::int64_t>();
}

auto ObjectReader::number(std::string_view key, double low, double high, std::optional<double> fallback) -> double
{
    const auto *value = findField(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or(low);
    }
    if (!value->is_number() || !std::isfinite(value->get<double>()) || value->get<double>() < low || value->get<double>() > high) {
        addError(key, fmt::format("must be a number from {} to {}", low, high));
        return fallback.value_or(low);
    }
    return value->get<double>();
}

auto ObjectReader::boolean(std::string_view key, std::optional<bool> fallback) -> bool
{
    const auto *value = findField(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or(false);
    }
    if (!value->is_boolean()) {
        addError(key, "must be true or false");
        return fallback.value_or(false);
    }
    return value->get<bool>();
}

auto ObjectReader::texts(std::string_view key) -> std::vector<std::string>
{
    std::vector<std::string> result;
    const auto *value = findField(key, false);
    if (value == nullptr) {
        return result;
    }
    const bool allStrings =
        value->is_array() && std::all_of(value->begin(), value->end(), [](const Json &entry) { return entry.is_string(); });
    if (!allStrings) {
        addError(key, "must be a list of strings");
        return result;
    }
    for (const auto &entry : *value) {
        result.push_back(entry.get<std::string>());
    }
    return result;
}

auto ObjectReader::raw(std::string_view key) -> const Json &
{
    const auto *value = findField(key, false);
    return value == nullptr ? Null : *value;
}

auto ObjectReader::objects(std::string_view key) -> std::vector<ObjectReader>
{
    std::vector<ObjectReader> result;
    const auto *value = findField(key, false);
    if (value == nullptr) {
        return result;
    }
    if (!value->is_array()) {
        addError(key, "must be a list of objects");
        return result;
    }
    for (std::size_t index = 0; index < value->size(); ++index) {
        result.emplace_back((*value)[index], fmt::format("{}/{}/{}", m_path, key, index), *m_errors);
    }
    return result;
}

auto ObjectReader::object(std::string_view key) -> ObjectReader
{
    const auto *value = findField(key, false);
    return {value == nullptr ? EmptyObject : *value, fmt::format("{}/{}", m_path, key), *m_errors};
}

auto ObjectReader::addError(std::string_view key, std::string_view message) -> void
{
    auto path = key.empty() ? m_path : fmt::format("{}/{}", m_path, key);
    m_errors->push_back({std::move(path), std::string(message)});
}

auto ObjectReader::rejectUnknownFields() -> void
{
    for (const auto &[key, value] : m_value->items()) {
        if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key) == m_knownKeys.end()) {
            addError(key, "is not a known field");
        }
    }
}

} // namespace currantstack
