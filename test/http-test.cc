#include "currantstack/http.h"

#include "check.h"

using namespace currantstack;

class HttpTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpTest);
    CPPUNIT_TEST(headerNamesIgnoreCase);
    CPPUNIT_TEST(statusLinesNameAStatus);
    CPPUNIT_TEST(acceptsSingleBodyLength);
    CPPUNIT_TEST(rejectsAmbiguousBodyLength);
    CPPUNIT_TEST(tellsHowABodyEnds);
    CPPUNIT_TEST_SUITE_END();

    static auto hasFramingError(Headers headers) -> bool
    {
        HttpRequest request;
        request.headers = std::move(headers);
        return !framingError(request.headers).empty();
    }

public:
    auto headerNamesIgnoreCase() -> void
    {
        CPPUNIT_ASSERT(equalIgnoringCase("Request-Id", "request-ID"));
        CPPUNIT_ASSERT(!equalIgnoringCase("Request-Id", "Request-I"));
    }

    auto statusLinesNameAStatus() -> void
    {
        for (const auto *line : {"HTTP/1.1 200 OK\r\n", "HTTP/1.0 503 \r\n", "HTTP/1.1 100\r\n", "HTTP/1.1 599\n", "HTTP/1.1 404"}) {
            CPPUNIT_ASSERT_MESSAGE(line, statusLineError(line).empty());
        }
        for (const auto *line :
             {"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999", "HTTP/1.1 200X", "HTTP/1.1 20 X", "HTTP/1.1 2000 X",
              "HTTP/1.1 -20 X", "HTTP/1.1  200", "HTTP/1.1 ", "HTTP/1.1", "HTTP/9.9 200 X", "HTTP/2 200 X", "HTTP/1.1\t200 X", "HTTP/"}) {
            CPPUNIT_ASSERT_MESSAGE(line, !statusLineError(line).empty());
        }
    }

    auto acceptsSingleBodyLength() -> void
    {
        CPPUNIT_ASSERT(!hasFramingError({}));
        CPPUNIT_ASSERT(!hasFramingError({{"Content-Length", "5"}, {"X", "y"}}));
        CPPUNIT_ASSERT(!hasFramingError({{"Content-Length", "\t9223372036854775807 "}}));
        CPPUNIT_ASSERT(!hasFramingError({{"Transfer-Encoding", "Chunked"}}));
    }

    auto rejectsAmbiguousBodyLength() -> void
    {
        CPPUNIT_ASSERT(hasFramingError({{"Content-Length", "5"}, {"content-length", "6"}}));
        CPPUNIT_ASSERT(hasFramingError({{"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}}));
        for (const auto *length : {"", " ", "+5", "-5", "5,5", "0x5", "5 5", "9223372036854775808"}) {
            CPPUNIT_ASSERT_MESSAGE(length, hasFramingError({{"Content-Length", length}}));
        }
        CPPUNIT_ASSERT(hasFramingError({{"Transfer-Encoding", "xchunked"}}));
        CPPUNIT_ASSERT(hasFramingError({{"Transfer-Encoding", "identity"}}));
        CPPUNIT_ASSERT(hasFramingError({{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}}));
        CPPUNIT_ASSERT(hasFramingError({{"Content-Length ", "5"}}));
        CPPUNIT_ASSERT(hasFramingError({{"Transfer\tEncoding", "chunked"}}));
    }

    auto tellsHowABodyEnds() -> void
    {
        CPPUNIT_ASSERT(framingOf(200, {{"content-length", "0"}}) == BodyFraming::Length);
        CPPUNIT_ASSERT(framingOf(200, {{"transfer-encoding", "chunked"}}) == BodyFraming::Chunks);
        CPPUNIT_ASSERT(framingOf(200, {{"Content-Type", "text/event-stream"}}) == BodyFraming::Connection);
        CPPUNIT_ASSERT(framingOf(204, {}) == BodyFraming::None);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);
