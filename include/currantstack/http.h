// HTTP messages that the server and the client share.
#pragma once

#include "currantstack/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

struct Header
{
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

/// Returns the first value of the header, compared without case; empty where it is absent.
auto findHeader(const Headers &headers, std::string_view name) -> std::string_view;

struct HttpRequest
{
    std::string method;
    std::string target; // path and query as they were sent, not decoded
    std::string path; // decoded
    Headers query; // decoded arguments of the URL
    Headers headers;
    std::string body;

    auto header(std::string_view name) const -> std::string_view
    {
        return findHeader(headers, name);
    }

    auto argument(std::string_view name) const -> std::string_view
    {
        return findHeader(query, name);
    }
};

struct HttpResponse
{
    int status = 200;
    Headers headers;
    std::string body;
};

/// Returns whether the header names are equal without case.
auto equalIgnoringCase(std::string_view left, std::string_view right) -> bool;

/// Returns what makes the length of a request's body ambiguous, or an empty text. Such a request must be refused and its
/// connection closed, because two readers may disagree on where the next request begins.
auto framingError(const HttpRequest &request) -> std::string_view;

/// Returns "?name=value&...", percent-encoded, or an empty text without arguments.
auto encodeQuery(const Headers &arguments) -> std::string;

/// Returns a JSON response.
auto jsonResponse(int status, std::string body) -> HttpResponse;

} // namespace currantstack
