#include "currantstack/edge/vm_registry.h"

namespace currantstack
{

VmRegistry::VmRegistry(EdgeContext &context, const StoreCodec &codec, Store &store, std::function<void(const VmRecords &)> onVms)
    : m_context(context)
    , m_codec(codec)
    , m_store(store)
    , m_onVms(std::move(onVms))
    , m_timer(context.loop.timer([this]() {
        if (m_leaseId == 0) {
            requestLease();
        } else if (!m_registered) {
            writeEntry(m_leaseId);
        } else {
            renew();
        }
    }))
    , m_readTimer(context.loop.timer([this]() { readOthers(); }))
{
    m_store.onReturnedFromCopy([this, alive = m_alive]() {
        if (*alive) {
            registerAgain();
        }
    });
}

auto VmRegistry::start() -> void
{
    requestLease();
    m_readTimer->startOnce(FirstReadDelay);
}

auto VmRegistry::readNow() -> void
{
    m_readPeriod = FirstReadDelay;
    readOthers();
}

auto VmRegistry::readOthers() -> void
{
    m_store.readStale(m_codec.vmsPrefix(), [this, alive = m_alive](const Result<StoreRange> &range) {
        if (!*alive) {
            return;
        }
        if (!range) {
            m_context.log.write("registry", "store_call_failed", {{"step", "read VMs"}, {"error", describe(range.error())}});
            m_readTimer->startOnce(FirstReadDelay);
            return;
        }
        m_onVms(decode(range->values));
        m_readTimer->startOnce(std::exchange(m_readPeriod, ReadPeriod));
    });
}

auto VmRegistry::decode(std::span<const StoreValue> values) -> VmRecords
{
    VmRecords records;
    for (const auto &value : values) {
        auto record = m_codec.decodeVm(value);
        if (!record) {
            if (m_unreadable.add(value)) {
                m_context.log.write("registry", "entry_ignored",
                                    {{"key", excerpt(value.key)}, {"revision", value.modRevision}, {"error", describe(record.error())}});
            }
            continue;
        }
        m_unreadable.remove(value.key);
        auto name = record->name;
        records.insert_or_assign(std::move(name), std::move(*record));
    }
    m_unreadable.retain(values);
    return records;
}

auto VmRegistry::stop() -> void
{
    *m_alive = false;
    m_readTimer->stop();
    m_timer->stop();
}

auto VmRegistry::requestLease() -> void
{
    m_registered = false;
    m_store.grantLease(LeaseTtl, [this, alive = m_alive](Result<std::int64_t> lease) {
        if (!*alive) {
            return;
        }
        if (!lease) {
            retry("grant", lease.error());
            return;
        }
        m_leaseId = *lease;
        writeEntry(m_leaseId);
    });
}

auto VmRegistry::registerAgain() -> void
{
    m_context.log.write("registry", "entry_uncertain", {{"lease", m_leaseId}});
    m_leaseId = 0;
    std::uniform_real_distribution<double> delayMs(0, toMilliseconds(LongestReturnDelay));
    m_timer->startOnce(fromMilliseconds(delayMs(m_context.random)));
}

auto VmRegistry::writeEntry(std::int64_t lease) -> void
{
    const auto &settings = m_context.settings;
    StoreTransaction transaction;
    transaction.puts.push_back({m_codec.vmsPrefix() + settings.vm,
                                m_codec.encodeVm({settings.vm, settings.place, settings.peerAddress, m_context.ownProtocol()}), lease});
    m_store.commit(std::move(transaction), [this, alive = m_alive](Result<StoreOutcome> outcome) {
        if (!*alive) {
            return;
        }
        if (!outcome) {
            if (outcome.error().code == ErrorCode::NotFound) {
                m_leaseId = 0;
            }
            retry("register", outcome.error());
            return;
        }
        m_registered = true;
        m_context.log.write("registry", "registered", {{"revision", outcome->revision}, {"lease", m_leaseId}});
        m_timer->startOnce(RenewPeriod);
    });
}

auto VmRegistry::renew() -> void
{
    m_store.renewLease(m_leaseId, [this, alive = m_alive](Result<bool> renewed) {
        if (!*alive) {
            return;
        }
        if (!renewed) {
            retry("keep", renewed.error());
        } else if (!*renewed) {
            m_context.log.write("registry", "lease_lost", {{"lease", m_leaseId}});
            m_leaseId = 0;
            requestLease();
        } else {
            m_timer->startOnce(RenewPeriod);
        }
    });
}

auto VmRegistry::retry(std::string_view step, const Error &error) -> void
{
    m_context.log.write("registry", "store_call_failed", {{"step", step}, {"error", describe(error)}});
    m_timer->startOnce(RetryDelay);
}

} // namespace currantstack
