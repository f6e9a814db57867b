#include "http_fixture.h"

#include "check.h"

#include <fcntl.h>
#include <fmt/format.h>

using namespace currantstack;

namespace
{

constexpr std::size_t Budget = 2U << 20; // bytes
constexpr std::size_t MaxBody = 200'000; // bytes
constexpr std::size_t MaxHead = 48U << 10; // bytes; memory of a connection
constexpr std::size_t MaxClients = 40; // whose buffers together nearly fill the budget

/// Returns a part of a head, of chunks or of trailers, which may be malformed.
auto requestPart() -> rc::Gen<std::string>
{
    const auto longText = rc::gen::map(rc::gen::inRange<std::size_t>(0, 60'000), [](std::size_t size) { return std::string(size, 'x'); });
    const auto field = rc::gen::map(longText, [](const std::string &text) { return "X-Field: " + text + "\r\n"; });
    const auto chunk = rc::gen::map(longText, [](const std::string &text) { return fmt::format("{:x}\r\n{}\r\n", text.size(), text); });
    const auto extension = rc::gen::map(longText, [](const std::string &text) { return "5;" + text + "\r\nabcde\r\n"; });
    const auto smallChunks = rc::gen::map(rc::gen::inRange(0, 4000), [](int count) {
        std::string text;
        for (int chunk = 0; chunk < count; ++chunk) {
            text += "1\r\nx\r\n";
        }
        return text;
    });
    return rc::gen::oneOf(rc::gen::element<std::string>("\r\n", "0\r\n", "0\r\n\r\n", "Content-Length: 5\r\n", "Content-Length: 100000\r\n",
                                                        "Content-Length: 99999999\r\n", "Content-Length: -1\r\n", "ffffffffff\r\n",
                                                        "Transfer-Encoding: chunked\r\n\r\n", "\x01\x02"),
                          field, chunk, extension, smallChunks, longText);
}

/// Returns what one client sends: a request line, or a part of one, and then any parts, cut anywhere.
auto clientBytes() -> rc::Gen<std::string>
{
    const auto start = rc::gen::element<std::string>("POST /x HTTP/1.1\r\nHost: x\r\n", "POST /x HTTP/1.0\r\n", "GET /", "");
    return rc::gen::map(rc::gen::tuple(start, rc::gen::container<std::vector<std::string>>(requestPart()), rc::gen::inRange(1, 101)),
                        [](const std::tuple<std::string, std::vector<std::string>, int> &parts) {
                            auto text = std::get<0>(parts);
                            for (const auto &part : std::get<1>(parts)) {
                                text += part;
                            }
                            return text.substr(0, text.size() * static_cast<std::size_t>(std::get<2>(parts)) / 100);
                        });
}

} // namespace

class HttpServerFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpServerFuzzTest);
    CPPUNIT_TEST(anyBytesStayWithinTheMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against heads, chunks, extensions and trailers whose bytes are held without being accounted, or that end the server.
    auto anyBytesStayWithinTheMemory() -> void
    {
        CHECK_PROPERTY("what clients send, cut anywhere, stays within the memory and leaves others their answers", []() {
            MemoryBudget budget(Budget);
            HttpFixture fixture(
                [](const ExchangePtr &exchange) {
                    exchange->respond({200, {}, std::to_string(exchange->request().body.size())});
                },
                MaxBody, &budget, MaxHead);
            std::vector<int> clients;
            const auto count = *rc::gen::inRange<std::size_t>(1, MaxClients);
            for (std::size_t client = 0; client < count; ++client) {
                const auto bytes = *clientBytes();
                clients.push_back(connectRaw(fixture.server->port()));
                fcntl(clients.back(), F_SETFL, O_NONBLOCK);
                for (std::size_t sent = 0; sent < bytes.size();) {
                    const auto size = ::send(clients.back(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
                    if (size < 0 && errno != EAGAIN) {
                        break; // the server has closed the connection, which it may do
                    }
                    sent += size > 0 ? static_cast<std::size_t>(size) : 0;
                    fixture.runFor(milliseconds(1));
                    RC_ASSERT(budget.inUse() <= Budget + MaxHead);
                }
            }
            for (const int client : clients) {
                ::close(client);
            }
            fixture.runFor(milliseconds(20));
            RC_ASSERT(fixture.post("ordinary")->body == "8");
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerFuzzTest);
