// HTTP messages, used by both the server and the client.
#pragma once

#include "currantstack/error.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

class MemoryGrant;

struct Header
{
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

/// Returns the value of the first header with the name, ignoring case; empty if there is none.
auto findHeader(const Headers &headers, std::string_view name) -> std::string_view;

struct HttpRequest
{
    std::string method;
    std::string target; // request target: path and query as received, not decoded
    std::string path; // percent-decoded
    Headers query; // percent-decoded query parameters
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
    std::shared_ptr<MemoryGrant> memory = {}; // for the body, if the client accounts it
};

/// Returns whether the texts are equal, ignoring case.
auto equalIgnoringCase(std::string_view left, std::string_view right) -> bool;

/// Returns why the length of the message's body is ambiguous, or an empty text if it is not. Such a message must be rejected and its
/// connection closed: two HTTP parsers may disagree on where the next message begins, which allows request smuggling, and on whether
/// the body is complete.
auto framingError(const Headers &headers) -> std::string_view;

/// Returns why the first line of a response is malformed, or an empty text if it is not: its status is outside 100 to 599, or not three
/// digits (RFC 9112, 4).
auto statusLineError(std::string_view line) -> std::string_view;

/// What marks the end of a response's body.
enum class BodyFraming
{
    None, // there is no body
    Length,
    Chunks,
    Connection, // the sender closes the connection, as it also does when its process ends
};

/// Returns the framing of a response, of which the status 204 and 304 have no body. See RFC 9112, 6.3.
auto framingOf(int status, const Headers &headers) -> BodyFraming;

/// Returns "none", "length", "chunks" or "connection".
auto name(BodyFraming framing) -> std::string_view;

/// Returns the query string "?name=value&...", percent-encoded, or an empty text if there are no parameters.
auto encodeQuery(const Headers &parameters) -> std::string;

/// Returns a response with the content type application/json.
auto jsonResponse(int status, std::string body) -> HttpResponse;

} // namespace currantstack
