#include "currantstack/codec.h"

#include "check.h"

using namespace currantstack;

class CodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CodecTest);
    CPPUNIT_TEST(base64RoundTrip);
    CPPUNIT_TEST(digestsMatchKnownValues);
    CPPUNIT_TEST_SUITE_END();

public:
    auto base64RoundTrip() -> void
    {
        CHECK_PROPERTY("base64 round trip", [](const std::string &bytes) { RC_ASSERT(fromBase64(toBase64(bytes)) == bytes); });
        CPPUNIT_ASSERT(!fromBase64("abc"));
    }

    auto digestsMatchKnownValues() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"), sha256("abc"));
        CPPUNIT_ASSERT_EQUAL(std::string("f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8"),
                             hmac("key", "The quick brown fox jumps over the lazy dog"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);
