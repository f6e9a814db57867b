#include "currantstack/http.h"

#include "check.h"

using namespace currantstack;

class HttpTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpTest);
    CPPUNIT_TEST(namesCompareWithoutCase);
    CPPUNIT_TEST(oneLengthIsSound);
    CPPUNIT_TEST(ambiguousLengthsAreFaults);
    CPPUNIT_TEST_SUITE_END();

    static auto faulty(Headers headers) -> bool
    {
        HttpRequest request;
        request.headers = std::move(headers);
        return !framingError(request).empty();
    }

public:
    auto namesCompareWithoutCase() -> void
    {
        CPPUNIT_ASSERT(equalIgnoringCase("Request-Id", "request-ID"));
        CPPUNIT_ASSERT(!equalIgnoringCase("Request-Id", "Request-I"));
    }

    auto oneLengthIsSound() -> void
    {
        CPPUNIT_ASSERT(!faulty({}));
        CPPUNIT_ASSERT(!faulty({{"Content-Length", "5"}, {"X", "y"}}));
        CPPUNIT_ASSERT(!faulty({{"Transfer-Encoding", "Chunked"}}));
    }

    auto ambiguousLengthsAreFaults() -> void
    {
        CPPUNIT_ASSERT(faulty({{"Content-Length", "5"}, {"content-length", "6"}}));
        CPPUNIT_ASSERT(faulty({{"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}}));
        CPPUNIT_ASSERT(faulty({{"Transfer-Encoding", "xchunked"}}));
        CPPUNIT_ASSERT(faulty({{"Transfer-Encoding", "identity"}}));
        CPPUNIT_ASSERT(faulty({{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}}));
        CPPUNIT_ASSERT(faulty({{"Content-Length ", "5"}}));
        CPPUNIT_ASSERT(faulty({{"Transfer\tEncoding", "chunked"}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);
