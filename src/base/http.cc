#include "currantstack/http.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <fmt/format.h>
#include <strings.h>

namespace currantstack
{

auto findHeader(const Headers &headers, std::string_view name) -> std::string_view
{
    for (const auto &header : headers) {
        if (header.name.size() == name.size() && strncasecmp(header.name.data(), name.data(), name.size()) == 0) {
            return header.value;
        }
    }
    return {};
}

auto equalIgnoringCase(std::string_view left, std::string_view right) -> bool
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

namespace
{

/// Returns whether the value of a Content-Length header is one number that fits in 63 bits (RFC 9110, 8.6).
auto isBodyLength(std::string_view value) -> bool
{
    const auto begin = std::min(value.find_first_not_of(" \t"), value.size());
    value = value.substr(begin, value.find_last_not_of(" \t") + 1 - begin);
    std::int64_t length = 0;
    const auto [rest, error] = std::from_chars(value.data(), value.data() + value.size(), length);
    return error == std::errc() && rest == value.data() + value.size() && value.front() != '-';
}

} // namespace

auto framingError(const Headers &headers) -> std::string_view
{
    constexpr std::string_view TokenPunctuation = "!#$%&'*+-.^_`|~"; // RFC 9110, 5.6.2
    int lengths = 0;
    int encodings = 0;
    bool chunked = true;
    bool readable = true;
    for (const auto &header : headers) {
        for (const unsigned char letter : header.name) {
            if (std::isalnum(letter) == 0 && TokenPunctuation.find(static_cast<char>(letter)) == std::string_view::npos) {
                return "malformed header name";
            }
        }
        if (equalIgnoringCase(header.name, "Content-Length")) {
            ++lengths;
            readable = readable && isBodyLength(header.value);
        } else if (equalIgnoringCase(header.name, "Transfer-Encoding")) {
            ++encodings;
            chunked = chunked && equalIgnoringCase(header.value, "chunked");
        }
    }
    if (lengths + encodings > 1) {
        return "more than one body length";
    }
    if (!readable) {
        return "malformed body length";
    }
    return chunked ? "" : "unknown transfer encoding";
}

auto statusLineError(std::string_view line) -> std::string_view
{
    constexpr std::string_view Version = "HTTP/1.";
    constexpr std::string_view Digits = "0123456789";
    constexpr std::size_t StatusBegin = Version.size() + 2; // after the minor version and a space
    constexpr std::size_t StatusLength = 3;
    const auto status = line.substr(std::min(StatusBegin, line.size()), StatusLength);
    const auto rest = line.substr(std::min(StatusBegin + StatusLength, line.size()));
    const bool isComplete = status.size() == StatusLength && status.find_first_not_of(Digits) == std::string_view::npos
        && (rest.empty() || std::string_view(" \r\n").find(rest.front()) != std::string_view::npos);
    if (!isComplete || !line.starts_with(Version) || line[StatusBegin - 1] != ' ') {
        return "malformed status line";
    }
    return status.front() >= '1' && status.front() <= '5' ? "" : "status outside 100 to 599";
}

auto framingOf(int status, const Headers &headers) -> BodyFraming
{
    constexpr int NoContent = 204;
    constexpr int NotModified = 304;
    if (status == NoContent || status == NotModified) {
        return BodyFraming::None;
    }
    if (!findHeader(headers, "Transfer-Encoding").empty()) {
        return BodyFraming::Chunks;
    }
    return findHeader(headers, "Content-Length").empty() ? BodyFraming::Connection : BodyFraming::Length;
}

auto name(BodyFraming framing) -> std::string_view
{
    switch (framing) {
    case BodyFraming::None:
        return "none";
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunks:
        return "chunks";
    case BodyFraming::Connection:
        break;
    }
    return "connection";
}

auto encodeQuery(const Headers &parameters) -> std::string
{
    std::string text;
    const auto append = [&text](std::string_view part) {
        for (const char letter : part) {
            if (std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '-' || letter == '_' || letter == '.' || letter == '~') {
                text.push_back(letter);
            } else {
                fmt::format_to(std::back_inserter(text), "%{:02X}", static_cast<unsigned char>(letter));
            }
        }
    };
    for (const auto &parameter : parameters) {
        text.push_back(text.empty() ? '?' : '&');
        append(parameter.name);
        text.push_back('=');
        append(parameter.value);
    }
    return text;
}

auto jsonResponse(int status, std::string body) -> HttpResponse
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace currantstack
