#include "currantstack/peers.h"

#include "currantstack/announcer.h"
#include "currantstack/slot_service.h"

#include "check.h"

using namespace currantstack;

class PeersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeersTest);
    CPPUNIT_TEST(acceptsEachMessageOnce);
    CPPUNIT_TEST(rejectsModifiedMessages);
    CPPUNIT_TEST(rejectsExpiredMessages);
    CPPUNIT_TEST(rejectsArbitraryHeaders);
    CPPUNIT_TEST(ignoresUnknownFieldsAndInvalidEntries);
    CPPUNIT_TEST(toleratesArbitrarySlotRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    auto acceptsEachMessageOnce() -> void
    {
        ManualClock clock;
        PeerAuth sender("a secret of the peers", "vm0", clock);
        PeerAuth receiver("a secret of the peers", "vm1", clock);
        const auto header = sender.sign("/peer/slot", "{}");
        CPPUNIT_ASSERT_EQUAL(std::string("vm0"), *receiver.verify(header, "/peer/slot", "{}"));
        CPPUNIT_ASSERT(!receiver.verify(header, "/peer/slot", "{}"));
        CPPUNIT_ASSERT(receiver.verify(sender.sign("/peer/slot", "{}"), "/peer/slot", "{}").has_value());
    }

    auto rejectsModifiedMessages() -> void
    {
        ManualClock clock;
        PeerAuth sender("a secret of the peers", "vm0", clock);
        PeerAuth receiver("a secret of the peers", "vm1", clock);
        PeerAuth unknownSender("another secret, not shared", "vm2", clock);
        CPPUNIT_ASSERT(!receiver.verify(sender.sign("/peer/slot", "{}"), "/peer/slot", "{ }"));
        CPPUNIT_ASSERT(!receiver.verify(sender.sign("/peer/slot", "{}"), "/peer/release", "{}"));
        CPPUNIT_ASSERT(!receiver.verify(unknownSender.sign("/peer/slot", "{}"), "/peer/slot", "{}"));
    }

    auto rejectsExpiredMessages() -> void
    {
        ManualClock clock;
        PeerAuth sender("a secret of the peers", "vm0", clock);
        PeerAuth receiver("a secret of the peers", "vm1", clock);
        const auto header = sender.sign("/peer/slot", "{}");
        clock.advance(PeerAuth::MaxSkew + seconds(1));
        CPPUNIT_ASSERT(!receiver.verify(header, "/peer/slot", "{}"));
    }

    auto rejectsArbitraryHeaders() -> void
    {
        CHECK_PROPERTY("arbitrary authentication headers are rejected", [](const std::string &header) {
            ManualClock clock;
            PeerAuth receiver("a secret of the peers", "vm1", clock);
            RC_ASSERT(!receiver.verify(header, "/peer/slot", "{}"));
        });
    }

    auto ignoresUnknownFieldsAndInvalidEntries() -> void
    {
        const auto list = Json::parse(R"([{"n":"vm3","a":"127.0.0.1:1","i":3,"h":4,"new_field":[1,2]},{"n":5},"junk",null])");
        const auto vms = vmsFromJson(list);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, vms.size());
        CPPUNIT_ASSERT(!vms[0].isPartial);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, vms[0].heartbeat);
        CPPUNIT_ASSERT(vmsFromJson(Json("junk")).empty());
    }

    auto toleratesArbitrarySlotRequests() -> void
    {
        CHECK_PROPERTY("a slot request with any field replaced is parsed or rejected", [](const std::string &text, double number) {
            const TimePoint now{seconds(1000)};
            SlotRequest request;
            request.requestId = "r";
            request.pool = "p";
            request.deadline = now;
            const auto good = toJson(request, now);
            for (const auto &[key, value] : good.items()) {
                for (const Json &other : {Json(text), Json(number), Json(), Json::array({text}), Json::object()}) {
                    auto changed = good;
                    changed[key] = other;
                    slotRequestFromJson(changed, now);
                }
            }
            RC_ASSERT(slotRequestFromJson(good, now).has_value());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeersTest);
