#include "currantstack/json.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <span>

namespace currantstack
{

namespace
{

const Json Null;
const Json EmptyObject = Json::object();

constexpr std::size_t MaxExcerptBytes = 200;

/// Builds a document until it nests too deeply.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<Json>
{
public:
    explicit BoundedBuilder(Json &document)
        : json_sax_dom_parser(document, false)
    { }

    // NOLINTBEGIN(readability-identifier-naming): the library's names
    auto start_object(std::size_t size) -> bool
    {
        return enter() && json_sax_dom_parser::start_object(size);
    }

    auto end_object() -> bool
    {
        --m_depth;
        return json_sax_dom_parser::end_object();
    }

    auto start_array(std::size_t size) -> bool
    {
        return enter() && json_sax_dom_parser::start_array(size);
    }

    auto end_array() -> bool
    {
        --m_depth;
        return json_sax_dom_parser::end_array();
    }
    // NOLINTEND(readability-identifier-naming)

    auto isTooDeep() const -> bool
    {
        return m_depth > MaxJsonDepth;
    }

private:
    auto enter() -> bool
    {
        ++m_depth;
        return !isTooDeep();
    }

    std::size_t m_depth = 0;
};

auto parse(std::string_view bytes, Json::input_format_t format, std::string_view step, std::string_view malformed) -> Result<Json>
{
    Json document;
    BoundedBuilder builder(document);
    if (!Json::sax_parse(bytes, &builder, format)) {
        return fail(ErrorCode::BadInput, step, "", builder.isTooDeep() ? "the document is nested too deeply" : malformed);
    }
    return document;
}

} // namespace

auto parseJson(std::string_view text, std::string_view step) -> Result<Json>
{
    constexpr std::string_view Malformed = "the text is not valid JSON in UTF-8";
    if (text.find('\0') != std::string_view::npos) {
        return fail(ErrorCode::BadInput, step, "", Malformed); // the library would end the text there
    }
    return parse(text, Json::input_format_t::json, step, Malformed);
}

auto parseMsgpack(std::string_view bytes, std::string_view step) -> Result<Json>
{
    return parse(bytes, Json::input_format_t::msgpack, step, "the message is not valid MessagePack");
}

auto excerpt(std::string_view text) -> std::string
{
    return text.size() <= MaxExcerptBytes ? std::string(text)
                                          : fmt::format("{}... ({} bytes)", text.substr(0, MaxExcerptBytes), text.size());
}

auto isRow(const Json &value, std::size_t columns) -> bool
{
    return value.is_array() && value.size() >= columns;
}

auto dumpJson(const Json &value) -> std::string
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto describe(const ValidationErrors &errors) -> std::string
{
    std::string text;
    const auto count = std::min(errors.size(), MaxDescribedErrors);
    for (const auto &error : std::span(errors).first(count)) {
        fmt::format_to(std::back_inserter(text), "{}{}: {}", text.empty() ? "" : "; ", error.path.empty() ? "/" : excerpt(error.path),
                       error.message);
    }
    if (count < errors.size()) {
        fmt::format_to(std::back_inserter(text), "; and {} more", errors.size() - count);
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
