// Detects crashes of upstreams and shares the quarantine of the requests that cause them between all VMs.
#pragma once

#include "currantstack/edge/load_exchange.h"
#include "currantstack/edge/quarantine_store.h"

namespace currantstack
{

/// Feeds the quarantine from this VM's crash detector, from the datagrams of other VMs and from the store, and passes news on. Crash
/// records reach all VMs at once; afterwards each VM repeats what it knows to a few others, so that VMs that have just started or missed
/// a datagram learn it.
class QuarantineController
{
public:
    static constexpr Duration ProofDelay = milliseconds(100); // after a closed connection, until the upstream's host is asked
    static constexpr Duration CheckPeriod = milliseconds(250);
    static constexpr Duration RepeatPeriod = milliseconds(500);
    static constexpr std::size_t RepeatTargets = 3; // VMs
    static constexpr std::size_t MaxDatagramsPerRepeat = 2;

    QuarantineController(EdgeContext &context, const StoreCodec &codec, Store &store, LoadExchange &exchange);

    auto start() -> void;

private:
    auto probe(const Upstream &upstream, int trial) -> void;
    auto onCrash(const std::string &incarnation, std::vector<Traits> requests, TimePoint at) -> void;
    auto onDatagram(std::string_view bytes) -> void;
    auto onStored(const QuarantineEntry &entry) -> void;
    auto check() -> void;
    auto announce(const QuarantineReport &report) -> void;
    auto repeat(TimePoint now) -> void;
    auto logChanges(std::string_view source) -> void;

    EdgeContext &m_context;
    LoadExchange &m_exchange;
    QuarantineStore m_stored;
    std::unique_ptr<Timer> m_timer;
    TimePoint m_repeatedAt;
    std::size_t m_nextDatagram = 0; // of the next repetition
    std::set<Traits> m_logged; // entries in force at the last check
};

} // namespace currantstack
