#include "currantstack/settings.h"

#include "check.h"

using namespace currantstack;

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(settingsNameEveryFault);
    CPPUNIT_TEST_SUITE_END();

public:
    auto settingsNameEveryFault() -> void
    {
        const auto settings = parseSettings("name: vm0\npeer_secret: short\nsurprise: 1\npolicy: guess\n");
        CPPUNIT_ASSERT(!settings);
        for (const auto *part : {"caller_address is missing", "peer_secret", "surprise", "policy"}) {
            CPPUNIT_ASSERT_MESSAGE(part, settings.error().message.find(part) != std::string::npos);
        }
        CHECK_PROPERTY("any text is read or refused", [](const std::string &text) { parseSettings(text); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
