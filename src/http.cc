#include "currantstack/http.h"

#include <cctype>
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

auto encodeQuery(const Headers &arguments) -> std::string
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
    for (const auto &argument : arguments) {
        text.push_back(text.empty() ? '?' : '&');
        append(argument.name);
        text.push_back('=');
        append(argument.value);
    }
    return text;
}

auto jsonResponse(int status, std::string body) -> HttpResponse
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace currantstack
