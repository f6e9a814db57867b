#include "currantstack/settings.h"

#include "check.h"

using namespace currantstack;

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(reportsEveryInvalidSetting);
    CPPUNIT_TEST_SUITE_END();

public:
    auto reportsEveryInvalidSetting() -> void
    {
        const auto settings = parseSettings("name: vm0\npeer_secret: short\nsurprise: 1\npolicy: guess\n");
        CPPUNIT_ASSERT(!settings);
        for (const auto *text : {"caller_address is missing", "peer_secret", "surprise", "policy"}) {
            CPPUNIT_ASSERT_MESSAGE(text, settings.error().message.find(text) != std::string::npos);
        }
        CHECK_PROPERTY("arbitrary text is parsed or rejected", [](const std::string &text) { parseSettings(text); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
