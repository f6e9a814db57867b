#include "currantstack/settings.h"

#include "check.h"

using namespace currantstack;

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(reportsEveryInvalidSetting);
    CPPUNIT_TEST(theMemoryIsBounded);
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

    auto theMemoryIsBounded() -> void
    {
        const std::string settings = "name: vm0\ncaller_address: 127.0.0.1:1\npeer_address: 127.0.0.1:2\nplace: p\nregion: r\n"
                                     "store_addresses: [127.0.0.1:3]\npeer_secret: at least sixteen characters\n";
        CPPUNIT_ASSERT_EQUAL(std::size_t(1'000'000'000), parseSettings(settings)->memory);
        CPPUNIT_ASSERT_EQUAL(std::size_t(60'000'000), parseSettings(settings + "memory_mb: 60\n")->memory);
        for (const auto *memory : {"0", "41", "1099512", "-1", "much"}) {
            CPPUNIT_ASSERT_MESSAGE(memory, !parseSettings(settings + "memory_mb: " + memory + "\n"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
