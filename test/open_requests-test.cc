#include "currantstack/edge/open_requests.h"

#include "check.h"

#include <vector>

using namespace currantstack;

class OpenRequestsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OpenRequestsTest);
    CPPUNIT_TEST(requestsMayRemoveEachOtherWhileTheyEnd);
    CPPUNIT_TEST(streamsGoOnUntilTheLastPhase);
    CPPUNIT_TEST_SUITE_END();

public:
    auto requestsMayRemoveEachOtherWhileTheyEnd() -> void
    {
        OpenRequests requests;
        std::vector<OpenRequests::Id> ended;
        std::vector<OpenRequests::Id> ids;
        for (std::size_t index = 0; index < 5; ++index) {
            ids.push_back(requests.add([&, index](StopPhase) {
                ended.push_back(ids.at(index));
                requests.remove(ids.at(index));
                if (index == 1) {
                    requests.remove(ids.at(2));
                }
            }));
        }
        requests.end(StopPhase::Unanswered);
        CPPUNIT_ASSERT(ended == std::vector({ids[0], ids[1], ids[3], ids[4]}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), requests.size());
    }

    auto streamsGoOnUntilTheLastPhase() -> void
    {
        OpenRequests requests;
        OpenRequests::Id id = 0;
        id = requests.add([&](StopPhase phase) {
            if (phase == StopPhase::All) {
                requests.remove(id);
            }
        });
        requests.end(StopPhase::Unanswered);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), requests.size());
        requests.end(StopPhase::All);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), requests.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpenRequestsTest);
