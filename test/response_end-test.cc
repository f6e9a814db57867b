#include "http_fixture.h"

using namespace currantstack;

namespace
{

constexpr std::size_t LongBody = 24U << 20; // bytes, more than the buffers of a connection take

auto streamRequest(std::string_view version, std::string_view fields = "") -> std::string
{
    return "GET / HTTP/" + std::string(version) + "\r\nHost: x\r\n" + std::string(fields) + "\r\n";
}

/// Returns bytes in which each position differs from its surroundings.
auto countedBytes(std::size_t size) -> std::string
{
    std::string text;
    text.reserve(size + 16);
    for (std::size_t number = 0; text.size() < size; ++number) {
        text += std::to_string(number) + ",";
    }
    text.resize(size);
    return text;
}

/// Returns the content of a body in chunks, as far as it is complete.
auto withoutChunks(std::string_view text) -> std::string
{
    std::string content;
    while (true) {
        const auto end = text.find("\r\n");
        const auto size = end == std::string_view::npos ? 0 : std::stoul(std::string(text.substr(0, end)), nullptr, 16);
        if (size == 0 || text.size() < end + 2 + size) {
            return content;
        }
        content += text.substr(end + 2, size);
        text.remove_prefix(end + 2 + size + 2);
    }
}

/// Returns `LongBody` bytes. They are made before a server starts, because with sanitizers this takes longer than some of its time limits.
auto longBody() -> std::string_view
{
    static const auto Body = countedBytes(LongBody);
    return Body;
}

/// Reads everything until the connection ends, and returns it followed by "closed" or "reset".
auto receiveAll(HttpFixture &fixture, int descriptor) -> std::string
{
    std::string text;
    for (int round = 0; round < 400 && !text.ends_with("closed") && !text.ends_with("reset"); ++round) {
        fixture.runFor(milliseconds(5));
        text += receiveRaw(descriptor);
    }
    return text;
}

/// Returns whether the server gives up its connections within two seconds.
auto closesConnections(HttpFixture &fixture) -> bool
{
    for (int round = 0; round < 200 && fixture.server->connections() > 0; ++round) {
        fixture.runFor(milliseconds(10));
    }
    return fixture.server->connections() == 0;
}

auto bodyOf(std::string_view text) -> std::string_view
{
    const auto end = text.find("\r\n\r\n");
    return end == std::string_view::npos ? std::string_view() : text.substr(end + 4);
}

} // namespace

/// Guards against a response that is cut short and looks complete to its caller.
class ResponseEndTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResponseEndTest);
    CPPUNIT_TEST(abortedStreamsWithoutChunksAreReset);
    CPPUNIT_TEST(streamsAbortedBeforeTheirHeadHaveNone);
    CPPUNIT_TEST(abortedStreamsToSlowReadersAreReset);
    CPPUNIT_TEST(abortedChunkedStreamsHaveNoLastChunk);
    CPPUNIT_TEST(closingServersResetStreamsWithoutChunks);
    CPPUNIT_TEST(stalledReadersAreResetWithoutChunks);
    CPPUNIT_TEST(halfClosedCallersSeeABrokenStream);
    CPPUNIT_TEST(completeStreamsWithoutChunksAreClosed);
    CPPUNIT_TEST(streamsOfStoppingServersAreChunked);
    CPPUNIT_TEST(slowReadersGetEveryByteInOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    auto abortedStreamsWithoutChunksAreReset() -> void
    {
        HttpFixture fixture([&fixture](const ExchangePtr &exchange) {
            exchange->beginStream(200, {});
            exchange->write("half");
            fixture.loop.after(milliseconds(20), [exchange]() { exchange->abort(); });
        });
        for (const auto *fields : {"", "Connection: keep-alive\r\n"}) {
            const int descriptor = connectRaw(fixture.server->port());
            sendRaw(descriptor, streamRequest("1.0", fields));
            const auto text = receiveAll(fixture, descriptor);
            CPPUNIT_ASSERT_EQUAL(std::string("halfreset"), std::string(bodyOf(text)));
            CPPUNIT_ASSERT(closesConnections(fixture));
            close(descriptor);
        }
    }

    auto streamsAbortedBeforeTheirHeadHaveNone() -> void
    {
        HttpFixture fixture([&fixture](const ExchangePtr &exchange) {
            fixture.loop.after(milliseconds(20), [exchange]() {
                exchange->beginStream(200, {});
                exchange->abort();
            });
        });
        const int descriptor = connectRaw(fixture.server->port());
        sendRaw(descriptor, streamRequest("1.0"));
        CPPUNIT_ASSERT_EQUAL(std::string("closed"), receiveAll(fixture, descriptor));
        close(descriptor);
    }

    auto abortedStreamsToSlowReadersAreReset() -> void
    {
        const auto body = longBody();
        HttpFixture fixture([&fixture, body](const ExchangePtr &exchange) {
            exchange->beginStream(200, {});
            exchange->write(body);
            fixture.loop.after(milliseconds(50), [exchange]() { exchange->abort(); });
        });
        const int descriptor = connectRaw(fixture.server->port());
        sendRaw(descriptor, streamRequest("1.0"));
        fixture.runFor(milliseconds(100));
        CPPUNIT_ASSERT(closesConnections(fixture));
        CPPUNIT_ASSERT(receiveAll(fixture, descriptor).ends_with("reset"));
        close(descriptor);
    }

    auto abortedChunkedStreamsHaveNoLastChunk() -> void
    {
        HttpFixture fixture([&fixture](const ExchangePtr &exchange) {
            exchange->beginStream(200, {});
            exchange->write("half");
            fixture.loop.after(milliseconds(20), [exchange]() { exchange->abort(); });
        });
        for (const auto *fields : {"", "Connection: close\r\n"}) {
            const int descriptor = connectRaw(fixture.server->port());
            sendRaw(descriptor, streamRequest("1.1", fields));
            CPPUNIT_ASSERT_EQUAL(std::string("4\r\nhalf\r\nclosed"), std::string(bodyOf(receiveAll(fixture, descriptor))));
            close(descriptor);
        }
    }

    auto closingServersResetStreamsWithoutChunks() -> void
    {
        for (const std::size_t size : {std::size_t(4), LongBody}) {
            for (const bool isEnded : {false, true}) {
                if (isEnded && size < LongBody) {
                    continue; // is complete before the server closes
                }
                const auto body = longBody().substr(0, size);
                HttpFixture fixture([body, isEnded](const ExchangePtr &exchange) {
                    exchange->beginStream(200, {});
                    exchange->write(body);
                    if (isEnded) {
                        exchange->end();
                    }
                });
                const int descriptor = connectRaw(fixture.server->port());
                sendRaw(descriptor, streamRequest("1.0"));
                fixture.runFor(milliseconds(100));
                fixture.server.reset();
                const auto text = receiveAll(fixture, descriptor);
                CPPUNIT_ASSERT(text.ends_with("reset") && bodyOf(text).size() < LongBody);
                close(descriptor);
            }
        }
    }

    auto stalledReadersAreResetWithoutChunks() -> void
    {
        const auto body = longBody();
        HttpFixture fixture([body](const ExchangePtr &exchange) {
            exchange->beginStream(200, {});
            exchange->write(body);
            exchange->end();
        });
        const int descriptor = connectRaw(fixture.server->port());
        sendRaw(descriptor, streamRequest("1.0"));
        fixture.runFor(milliseconds(4500)); // longer than the server waits for progress
        CPPUNIT_ASSERT(closesConnections(fixture));
        const auto text = receiveAll(fixture, descriptor);
        CPPUNIT_ASSERT(text.ends_with("reset") && bodyOf(text).size() < LongBody);
        close(descriptor);
    }

    auto halfClosedCallersSeeABrokenStream() -> void
    {
        HttpFixture fixture([](const ExchangePtr &exchange) {
            exchange->beginStream(200, {});
            exchange->write("half");
        });
        const int descriptor = connectRaw(fixture.server->port());
        sendRaw(descriptor, streamRequest("1.0"));
        fixture.runFor(milliseconds(50));
        shutdown(descriptor, SHUT_WR);
        CPPUNIT_ASSERT_EQUAL(std::string("halfreset"), std::string(bodyOf(receiveAll(fixture, descriptor))));
        close(descriptor);
    }

    auto completeStreamsWithoutChunksAreClosed() -> void
    {
        for (const std::size_t size : {std::size_t(0), std::size_t(4), std::size_t(100'000), LongBody}) {
            const auto body = countedBytes(size);
            HttpFixture fixture([&](const ExchangePtr &exchange) {
                exchange->beginStream(200, {});
                exchange->write(body);
                fixture.loop.after(milliseconds(20), [exchange]() { exchange->end(); });
            });
            const int descriptor = connectRaw(fixture.server->port());
            sendRaw(descriptor, streamRequest("1.0"));
            fixture.runFor(milliseconds(200)); // the caller reads late
            if (size < LongBody) {
                fixture.server.reset();
            }
            CPPUNIT_ASSERT(bodyOf(receiveAll(fixture, descriptor)) == body + "closed");
            close(descriptor);
        }
    }

    auto streamsOfStoppingServersAreChunked() -> void
    {
        HttpFixture fixture([](const ExchangePtr &exchange) {
            exchange->beginStream(200, {});
            exchange->write("all");
            exchange->end();
        });
        fixture.server->closeAfterResponses();
        const int descriptor = connectRaw(fixture.server->port());
        sendRaw(descriptor, streamRequest("1.1"));
        const auto text = receiveAll(fixture, descriptor);
        CPPUNIT_ASSERT(text.find("Connection: close\r\n") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("3\r\nall\r\n0\r\n\r\nclosed"), std::string(bodyOf(text)));
        close(descriptor);
    }

    auto slowReadersGetEveryByteInOrder() -> void
    {
        constexpr std::size_t Pieces = 400;
        const auto body = countedBytes(8U << 20);
        const std::array<std::pair<const char *, const char *>, 3> requests = {
            {{"1.0", ""}, {"1.1", ""}, {"1.1", "Connection: close\r\n"}}};
        for (const auto &[version, fields] : requests) {
            ExchangePtr held;
            std::size_t written = 0;
            std::size_t mostPending = 0;
            HttpFixture fixture([&held](const ExchangePtr &exchange) {
                held = exchange;
                exchange->beginStream(200, {});
            });
            // Pieces of growing size, of which several at a time are followed by a pause.
            const auto writer = fixture.loop.timer([&]() {
                for (std::size_t piece = 0; held && piece < 4 && written < body.size(); ++piece) {
                    const auto size = std::min(body.size() - written, 1 + written / (Pieces / 16) % 60'000);
                    held->write(std::string_view(body).substr(written, size));
                    written += size;
                }
                mostPending = std::max(mostPending, held ? held->pendingBytes() : 0);
                if (held && written == body.size()) {
                    std::exchange(held, nullptr)->end();
                }
            });
            writer->startRepeating(milliseconds(1), milliseconds(1));
            const int descriptor = connectRaw(fixture.server->port(), 16 << 10);
            sendRaw(descriptor, streamRequest(version, fields));
            std::string text;
            for (int round = 0; round < 4000 && !text.ends_with("closed") && !text.ends_with("0\r\n\r\n"); ++round) {
                fixture.runFor(milliseconds(round % 16 == 0 ? 20 : 1));
                text += receiveRaw(descriptor, 32U << 10);
            }
            CPPUNIT_ASSERT(mostPending > body.size() / 8);
            const auto isChunked = text.find("Transfer-Encoding: chunked") != std::string::npos;
            CPPUNIT_ASSERT_EQUAL(std::string(version) == "1.1", isChunked);
            CPPUNIT_ASSERT((isChunked ? withoutChunks(bodyOf(text)) : std::string(bodyOf(text))) == (isChunked ? body : body + "closed"));
            close(descriptor);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseEndTest);
