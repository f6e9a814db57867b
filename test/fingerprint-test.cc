#include "currantstack/fingerprint.h"

#include "check.h"

using namespace currantstack;

class FingerprintTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FingerprintTest);
    CPPUNIT_TEST(textRoundTrip);
    CPPUNIT_TEST(repetitionsHaveTheSameFingerprint);
    CPPUNIT_TEST(differentRequestsHaveDifferentFingerprints);
    CPPUNIT_TEST_SUITE_END();

    static auto request(std::string target, std::string body, std::string id, std::string credentials = "a") -> HttpRequest
    {
        HttpRequest result;
        result.method = "POST";
        result.target = std::move(target);
        result.headers = {{"Host", "h"}, {"Request-Id", std::move(id)}, {"Authorization", std::move(credentials)}};
        result.body = std::move(body);
        return result;
    }

public:
    auto textRoundTrip() -> void
    {
        CHECK_PROPERTY("text round trip", [](Fingerprint value) { RC_ASSERT(fingerprintFromText(fingerprintText(value)) == value); });
        CPPUNIT_ASSERT_EQUAL(Fingerprint(0), fingerprintFromText("12x"));
    }

    auto repetitionsHaveTheSameFingerprint() -> void
    {
        CPPUNIT_ASSERT_EQUAL(requestFingerprint(request("/a", "b", "first")), requestFingerprint(request("/a", "b", "second")));
    }

    auto differentRequestsHaveDifferentFingerprints() -> void
    {
        const auto base = requestFingerprint(request("/a", "b", "x"));
        CPPUNIT_ASSERT(base != requestFingerprint(request("/a?", "b", "x")));
        CPPUNIT_ASSERT(base != requestFingerprint(request("/a", "c", "x")));
        CPPUNIT_ASSERT(base != requestFingerprint(request("/a", "b", "x", "other")));
        CPPUNIT_ASSERT(requestFingerprint(request("/ab", "", "x")) != requestFingerprint(request("/a", "b", "x")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FingerprintTest);
