#include "currantstack/edge/quarantine_message.h"

#include "currantstack/json.h"

#include <algorithm>
#include <limits>

namespace currantstack
{

namespace
{

constexpr std::size_t TargetDatagramBytes = 1200; // fits the usual path MTU; a single larger row is sent in fragments
constexpr std::int64_t MaxAgeMs = 86'400'000;
constexpr std::size_t MaxNameBytes = 200; // of an upstream or a VM

auto wholeMs(Duration duration) -> std::int64_t
{
    return std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(duration).count());
}

auto encodeEntry(const QuarantineEntry &entry) -> nlohmann::json
{
    return {entry.traits, wholeMs(entry.remaining), entry.upstreams, entry.observer, wholeMs(entry.age)};
}

auto encodeCrash(const CrashRecord &crash, TimePoint now) -> nlohmann::json
{
    return {crash.upstream, crash.observer, wholeMs(now - crash.at), crash.requests};
}

auto isDuration(const nlohmann::json &value) -> bool
{
    return value.is_number_integer() && value.get<std::int64_t>() >= 0 && value.get<std::int64_t>() <= MaxAgeMs;
}

auto isName(const nlohmann::json &value) -> bool
{
    return value.is_string() && value.get_ref<const std::string &>().size() <= MaxNameBytes;
}

auto isTraits(const nlohmann::json &value) -> bool
{
    return value.is_array() && !value.empty() && value.size() <= Quarantine::MaxTraits
        && std::all_of(value.begin(), value.end(), [](const auto &trait) { return trait.is_number_unsigned(); });
}

auto sortedTraits(const nlohmann::json &value) -> Traits
{
    auto traits = value.get<Traits>();
    std::sort(traits.begin(), traits.end());
    return traits;
}

auto decodeEntry(const nlohmann::json &row) -> std::optional<QuarantineEntry>
{
    constexpr std::size_t Columns = 5;
    const bool valid = isRow(row, Columns) && isTraits(row[0]) && isDuration(row[1]) && row[2].is_array()
        && row[2].size() <= Quarantine::MaxUpstreamsPerEntry && std::all_of(row[2].begin(), row[2].end(), isName) && isName(row[3])
        && isDuration(row[4]);
    if (!valid) {
        return std::nullopt;
    }
    return QuarantineEntry{sortedTraits(row[0]), milliseconds(row[1].get<std::int64_t>()), row[2].get<std::vector<std::string>>(),
                           row[3].get<std::string>(), milliseconds(row[4].get<std::int64_t>())};
}

auto decodeCrash(const nlohmann::json &row, TimePoint now) -> std::optional<CrashRecord>
{
    constexpr std::size_t Columns = 4;
    const bool valid = isRow(row, Columns) && isName(row[0]) && isName(row[1]) && isDuration(row[2]) && row[3].is_array()
        && row[3].size() <= Quarantine::MaxRequestsPerRecord && std::all_of(row[3].begin(), row[3].end(), isTraits);
    if (!valid) {
        return std::nullopt;
    }
    CrashRecord crash{row[0].get<std::string>(), row[1].get<std::string>(), now - milliseconds(row[2].get<std::int64_t>()), {}};
    for (const auto &traits : row[3]) {
        crash.requests.push_back(sortedTraits(traits));
    }
    return crash;
}

auto decodeSuccess(const nlohmann::json &row) -> std::optional<ReportedSuccess>
{
    if (!isRow(row, 2) || !row[0].is_number_unsigned() || !isDuration(row[1])) {
        return std::nullopt;
    }
    return ReportedSuccess{row[0].get<Fingerprint>(), milliseconds(row[1].get<std::int64_t>())};
}

auto malformed(std::string_view what) -> tl::unexpected<Error>
{
    return fail(ErrorCode::BadInput, "decode quarantine", "", what);
}

/// Collects rows until a datagram is full.
class DatagramBuilder
{
public:
    explicit DatagramBuilder(const std::string &place)
        : m_place(place)
    { }

    auto add(const char *list, nlohmann::json row) -> void
    {
        const auto size = nlohmann::json::to_msgpack(row).size();
        if (m_bytes > 0 && m_bytes + size > TargetDatagramBytes) {
            flush();
        }
        m_bytes += size;
        m_document[list].push_back(std::move(row));
    }

    auto finish() -> std::vector<std::string>
    {
        if (m_bytes > 0) {
            flush();
        }
        return std::move(m_datagrams);
    }

private:
    auto flush() -> void
    {
        m_document["place"] = m_place;
        std::string bytes(QuarantineMagic);
        nlohmann::json::to_msgpack(m_document, bytes);
        m_datagrams.push_back(std::move(bytes));
        m_document = nlohmann::json::object();
        m_bytes = 0;
    }

    std::string m_place;
    nlohmann::json m_document = nlohmann::json::object();
    std::size_t m_bytes = 0; // of the rows in `m_document`
    std::vector<std::string> m_datagrams;
};

} // namespace

auto encodeQuarantine(const QuarantineMessage &message, TimePoint now) -> std::vector<std::string>
{
    DatagramBuilder builder(message.place);
    for (const auto &success : message.report.successes) {
        builder.add("succeeded", {success.fingerprint, wholeMs(success.age)});
    }
    for (const auto &entry : message.report.entries) {
        builder.add("entries", encodeEntry(entry));
    }
    for (const auto &crash : message.report.crashes) {
        builder.add("crashes", encodeCrash(crash, now));
    }
    return builder.finish();
}

auto decodeQuarantine(std::string_view bytes, TimePoint now) -> Result<QuarantineMessage>
{
    bytes.remove_prefix(std::min(bytes.size(), QuarantineMagic.size()));
    const auto document = parseMsgpack(bytes, "decode quarantine");
    if (!document) {
        return tl::unexpected(document.error());
    }
    if (!document->is_object()) {
        return malformed("the message is not an object");
    }
    const auto rows = [&document](const char *name) { return document->value(name, Json::array()); };
    QuarantineMessage message;
    message.place = document->contains("place") && isName(document->at("place")) ? document->at("place").get<std::string>() : "";
    for (const auto &row : rows("succeeded")) {
        const auto success = decodeSuccess(row);
        if (!success) {
            return malformed("a success is malformed");
        }
        message.report.successes.push_back(*success);
    }
    for (const auto &row : rows("entries")) {
        auto entry = decodeEntry(row);
        if (!entry) {
            return malformed("an entry is malformed");
        }
        message.report.entries.push_back(std::move(*entry));
    }
    for (const auto &row : rows("crashes")) {
        auto crash = decodeCrash(row, now);
        if (!crash) {
            return malformed("a crash is malformed");
        }
        message.report.crashes.push_back(std::move(*crash));
    }
    return message;
}

auto encodeStoredEntry(const QuarantineEntry &entry, WallTime now) -> std::string
{
    return dumpJson({{"traits", fingerprintTexts(entry.traits)},
                     {"until_ms", epochMilliseconds(now) + wholeMs(entry.remaining)},
                     {"crashed", entry.upstreams},
                     {"observer", entry.observer},
                     {"crash_ms", epochMilliseconds(now) - wholeMs(entry.age)}});
}

auto decodeStoredEntry(std::string_view document, WallTime now) -> Result<QuarantineEntry>
{
    const auto json = parseJson(document, "decode quarantine");
    if (!json) {
        return tl::unexpected(json.error());
    }
    ValidationErrors errors;
    ObjectReader reader(*json, "", errors);
    const auto remainingMs = reader.integer("until_ms", 0, std::numeric_limits<std::int64_t>::max()) - epochMilliseconds(now);
    const auto ageMs = epochMilliseconds(now) - reader.integer("crash_ms", 0, std::numeric_limits<std::int64_t>::max());
    QuarantineEntry entry;
    entry.observer = reader.text("observer", "");
    const auto traits = reader.texts("traits");
    std::transform(traits.begin(), traits.end(), std::back_inserter(entry.traits),
                   [](const std::string &text) { return fingerprintFromText(text); });
    for (const auto &upstream : reader.raw("crashed")) {
        if (isName(upstream) && entry.upstreams.size() < Quarantine::MaxUpstreamsPerEntry) {
            entry.upstreams.push_back(upstream.get<std::string>());
        }
    }
    std::sort(entry.traits.begin(), entry.traits.end());
    if (entry.traits.size() > Quarantine::MaxTraits || entry.observer.size() > MaxNameBytes) {
        return malformed("too many traits, or the observer's name is too long");
    }
    if (!errors.empty() || entry.traits.empty() || entry.traits.front() == 0) {
        return malformed(errors.empty() ? "a trait is not a fingerprint" : describe(errors));
    }
    entry.remaining = milliseconds(std::clamp<std::int64_t>(remainingMs, 0, MaxAgeMs));
    entry.age = milliseconds(std::clamp<std::int64_t>(ageMs, 0, MaxAgeMs));
    return entry;
}

} // namespace currantstack
