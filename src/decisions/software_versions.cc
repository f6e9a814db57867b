#include "currantstack/decisions/software_versions.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr std::string_view Unnamed = "unnamed"; // in logs, a version that its upstreams do not name
constexpr std::string_view ToldByRecord = "record"; // in logs, where a version was learned from

} // namespace

auto SoftwareVersions::versionOf(std::string_view service, std::string_view version, TimePoint now) -> std::pair<Version &, bool>
{
    const auto [found, isNew] = m_services[std::string(service)].try_emplace(std::string(version));
    if (isNew) {
        const auto absentAt = std::min(m_currency.currentAt(), now);
        found->second.key = softwareVersionKey(service, version);
        found->second.lastSeen = now - Lifetime;
        found->second.knownSince = now;
        found->second.usedAt = absentAt + EarliestUse;
        ++m_generation;
    }
    return {found->second, isNew};
}

auto SoftwareVersions::find(std::string_view service, std::string_view version) const -> const Version *
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return nullptr;
    }
    const auto entry = found->second.find(version);
    return entry == found->second.end() ? nullptr : &entry->second;
}

auto SoftwareVersions::reportLearned(const SoftwareVersionNotice &notice, const Version &entry, std::string_view toldBy,
                                     TimePoint now) const -> void
{
    m_onLearned(
        {notice.service, notice.version, toldBy, notice.knownFor, entry.recordedAt.has_value(), now >= entry.settledAt, entry.usedAt});
}

auto SoftwareVersions::observe(std::string_view service, std::string_view version, TimePoint lastSeen, TimePoint now) -> void
{
    const auto [entry, isNew] = versionOf(service, version, now);
    if (entry.recordedAt && lastSeen - std::max(entry.lastSeen, *entry.recordedAt) >= Lifetime) { // another VM may have dropped it
        entry.recordedAt.reset();
        entry.settledAt = TimePoint::max();
    }
    entry.lastSeen = std::max(entry.lastSeen, lastSeen);
    if (isNew) {
        reportLearned({std::string(service), std::string(version), now - lastSeen, Duration::zero()}, entry, {}, now);
    }
}

auto SoftwareVersions::merge(const SoftwareVersionNotice &notice, std::string_view toldBy, TimePoint now) -> void
{
    if (notice.age >= Lifetime && !notice.isRecorded) {
        return;
    }
    const auto [entry, isNew] = versionOf(notice.service, notice.version, now);
    if (notice.isRecorded) {
        entry.toldRecordedAt = now;
    }
    entry.lastSeen = std::max(entry.lastSeen, now - notice.age);
    entry.knownSince = std::min(entry.knownSince, now - notice.knownFor);
    entry.usedAt = std::min(entry.usedAt, now - notice.knownFor + EarliestUse);
    if (isNew) {
        reportLearned(notice, entry, toldBy, now);
    }
}

auto SoftwareVersions::knownSince(std::string_view service, std::string_view version) const -> std::optional<TimePoint>
{
    const auto *entry = find(service, version);
    return entry == nullptr ? std::nullopt : std::optional(entry->knownSince);
}

auto SoftwareVersions::recordedSince(std::string_view service, std::string_view version) const -> std::optional<TimePoint>
{
    const auto *entry = find(service, version);
    return entry == nullptr ? std::nullopt : entry->recordedAt;
}

auto SoftwareVersions::settlesIn(std::string_view service, TimePoint now) const -> Duration
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.empty()) {
        return Duration::zero();
    }
    const auto isPresent = [now](const auto &entry) { return now - entry.second.lastSeen < PresenceTime; };
    const bool anyPresent = std::any_of(found->second.begin(), found->second.end(), isPresent);
    auto result = SettlingTime;
    for (const auto &entry : found->second) {
        if (!anyPresent || isPresent(entry)) {
            result = std::min<Duration>(result, entry.second.settledAt - std::min(now, entry.second.settledAt));
        }
    }
    return result;
}

auto SoftwareVersions::hasSettled(std::string_view service, TimePoint now) const -> bool
{
    return settlesIn(service, now) == Duration::zero();
}

auto SoftwareVersions::recordVersion(std::string_view service, const RecordedVersion &recorded, TimePoint now) -> void
{
    const auto [entry, isNew] = versionOf(service, recorded.version, now);
    entry.recordedAt = entry.recordedAt.value_or(now);
    const auto settledAt = recorded.isSettled ? now : *entry.recordedAt + SettlingTime;
    entry.settledAt = std::min(entry.settledAt, settledAt);
    if (recorded.isSettled) {
        entry.knownSince = std::min(entry.knownSince, now - SettlingTime);
        entry.usedAt = std::min(entry.usedAt, now);
    }
    if (isNew) {
        reportLearned({std::string(service), recorded.version, Duration::zero(), now - entry.knownSince}, entry, ToldByRecord, now);
    }
}

auto SoftwareVersions::onRecordRead(std::span<const VersionRecord> records, const RecordRead &read, TimePoint now) -> void
{
    for (const auto &record : records) {
        onRecorded(record, now);
    }
    if (!read.isComplete) {
        return;
    }
    const VersionRecord none;
    for (auto &[service, versions] : m_services) {
        const auto found =
            std::find_if(records.begin(), records.end(), [&service = service](const auto &record) { return record.service == service; });
        for (auto *version : withdrawUnnamed(versions, found == records.end() ? none : *found)) {
            if (read.isUsedByAllVms && found != records.end()) {
                version->usedAt = std::max(version->usedAt, read.begunAt + EarliestUse);
            }
        }
    }
    m_currency.confirm(read.begunAt);
}

/// Records that the versions which the record does not name may have no streams; returns them.
auto SoftwareVersions::withdrawUnnamed(Versions &versions, const VersionRecord &record) -> std::vector<Version *>
{
    std::vector<Version *> result;
    for (auto &[name, entry] : versions) {
        const auto isThis = [&name = name](const auto &recorded) { return recorded.version == name; };
        if (std::none_of(record.versions.begin(), record.versions.end(), isThis)) {
            entry.recordedAt.reset();
            entry.settledAt = TimePoint::max();
            result.push_back(&entry);
        }
    }
    return result;
}

auto SoftwareVersions::onRecorded(const VersionRecord &record, TimePoint now) -> void
{
    for (const auto &version : record.versions) {
        recordVersion(record.service, version, now);
    }
}

auto SoftwareVersions::onReplaced(const VersionRecord &record, TimePoint now) -> void
{
    onRecorded(record, now);
    if (const auto found = m_services.find(record.service); found != m_services.end()) {
        withdrawUnnamed(found->second, record);
    }
}

auto SoftwareVersions::planRecord(std::string_view service, const VersionRecord *stored, bool isFirstSettled, TimePoint absentSince,
                                  TimePoint now) const -> VersionRecord
{
    VersionRecord result{std::string(service), {}};
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return stored == nullptr ? result : *stored;
    }
    const auto isInUse = [now](const Version &entry) { return now - entry.lastSeen < Lifetime; };
    const bool anyInUse = std::any_of(found->second.begin(), found->second.end(), [&](const auto &entry) { return isInUse(entry.second); });
    const bool isFirst = stored == nullptr
        && std::none_of(found->second.begin(), found->second.end(), [](const auto &entry) { return entry.second.recordedAt.has_value(); });
    for (const auto &[version, entry] : found->second) {
        const bool hasLeft = now - std::max(entry.lastSeen, absentSince) >= RecordRetention;
        const bool isKept = entry.recordedAt && !(hasLeft && anyInUse);
        if (isKept || isInUse(entry)) {
            result.versions.push_back({version, (isFirst && isFirstSettled) || now >= entry.settledAt});
        }
    }
    return result;
}

auto SoftwareVersions::hasUnrecorded(std::string_view service, TimePoint now) const -> bool
{
    const auto found = m_services.find(service);
    return found != m_services.end() && std::any_of(found->second.begin(), found->second.end(), [now](const auto &entry) {
               return !entry.second.recordedAt && now - entry.second.lastSeen < Lifetime;
           });
}

auto SoftwareVersions::services() const -> std::vector<std::string>
{
    std::vector<std::string> result;
    std::transform(m_services.begin(), m_services.end(), std::back_inserter(result), [](const auto &entry) { return entry.first; });
    return result;
}

auto SoftwareVersions::hasRecord(std::string_view service) const -> bool
{
    const auto found = m_services.find(service);
    return found == m_services.end()
        || std::any_of(found->second.begin(), found->second.end(), [](const auto &entry) { return entry.second.recordedAt.has_value(); });
}

auto SoftwareVersions::expire(TimePoint now) -> void
{
    for (auto &[service, versions] : m_services) {
        std::erase_if(versions, [now](const auto &entry) {
            const auto &version = entry.second;
            const auto neededAt = std::max(version.lastSeen, version.toldRecordedAt.value_or(version.lastSeen));
            return !version.recordedAt && now - neededAt >= Lifetime;
        });
    }
    std::erase_if(m_services, [](const auto &entry) { return entry.second.empty(); });
}

auto SoftwareVersions::isMixed(std::string_view service) const -> bool
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.size() > 1;
}

auto SoftwareVersions::onlyVersion(std::string_view service) const -> SoftwareVersionKey
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.size() == 1 ? found->second.begin()->second.key : AnySoftwareVersion;
}

auto SoftwareVersions::isSettled(std::string_view service, std::string_view version, TimePoint now) const -> bool
{
    const auto *entry = find(service, version);
    return entry != nullptr && now >= entry->settledAt;
}

auto SoftwareVersions::possibleOrigins(std::string_view service, TimePoint now) const -> std::vector<SoftwareVersionKey>
{
    std::vector<SoftwareVersionKey> result;
    if (const auto found = m_services.find(service); found != m_services.end()) {
        for (const auto &[name, entry] : found->second) {
            if (now >= entry.usedAt) {
                result.push_back(entry.key);
            }
        }
    }
    return result;
}

auto SoftwareVersions::nameOf(std::string_view service, SoftwareVersionKey version) const -> std::string_view
{
    if (const auto found = m_services.find(service); found != m_services.end()) {
        for (const auto &[name, entry] : found->second) {
            if (entry.key == version) {
                return name.empty() ? Unnamed : std::string_view(name);
            }
        }
    }
    return "";
}

auto SoftwareVersions::mixedServices() const -> std::vector<std::string>
{
    std::vector<std::string> result;
    for (const auto &[service, versions] : m_services) {
        if (versions.size() > 1) {
            result.push_back(service);
        }
    }
    return result;
}

auto SoftwareVersions::notices(NoticeScope scope, TimePoint now) const -> std::vector<SoftwareVersionNotice>
{
    std::vector<SoftwareVersionNotice> result;
    for (const auto &[service, versions] : m_services) {
        if (scope == NoticeScope::MixedServices && versions.size() < 2) {
            continue;
        }
        for (const auto &[version, entry] : versions) {
            result.push_back(
                {service, version, std::max(Duration::zero(), now - entry.lastSeen), now - entry.knownSince, entry.recordedAt.has_value()});
        }
    }
    return result;
}

} // namespace currantstack
