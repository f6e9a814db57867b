#include "currantstack/rendezvous.h"

#include "check.h"

using namespace currantstack;

class RendezvousTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RendezvousTest);
    CPPUNIT_TEST(keysMoveOnlyFromDeadVm);
    CPPUNIT_TEST_SUITE_END();

public:
    auto keysMoveOnlyFromDeadVm() -> void
    {
        CHECK_PROPERTY("when a VM fails, only the keys it owned change owner", []() {
            const int count = *rc::gen::inRange(2, 12);
            std::vector<std::string> vms;
            for (int index = 0; index < count; ++index) {
                vms.push_back("vm" + std::to_string(index));
            }
            const auto dead = vms[static_cast<std::size_t>(*rc::gen::inRange(0, count))];
            auto rest = vms;
            std::erase(rest, dead);
            for (int key = 0; key < 50; ++key) {
                const auto name = "engine" + std::to_string(key);
                const auto before = rendezvousOwner(vms, name);
                RC_ASSERT(before == dead || rendezvousOwner(rest, name) == before);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RendezvousTest);
