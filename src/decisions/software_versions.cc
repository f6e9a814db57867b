#include "currantstack/decisions/software_versions.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr std::string_view Unnamed = "unnamed"; // in logs, a version that its upstreams do not name

} // namespace

auto SoftwareVersions::versionOf(std::string_view service, std::string_view version, TimePoint now) -> std::pair<Version &, bool>
{
    const auto [found, isNew] = m_services[std::string(service)].try_emplace(std::string(version));
    if (isNew) {
        const auto absentAt = std::min(m_currency.currentAt(), now);
        found->second = {softwareVersionKey(service, version), now, TimePoint::min(), now + SettlingTime, absentAt + EarliestUse};
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

auto SoftwareVersions::reportLearned(const SoftwareVersionNotice &notice, const Version &entry, std::string_view toldBy) const -> void
{
    m_onLearned({notice.service, notice.version, toldBy, notice.knownFor, entry.settledAt, entry.usedAt});
}

auto SoftwareVersions::observe(std::string_view service, std::string_view version, TimePoint lastSeen, TimePoint now) -> void
{
    const auto [entry, isNew] = versionOf(service, version, now);
    entry.lastSeen = std::max(entry.lastSeen, lastSeen);
    if (isNew) {
        reportLearned({std::string(service), std::string(version), now - lastSeen, Duration::zero()}, entry, {});
    }
}

auto SoftwareVersions::merge(const SoftwareVersionNotice &notice, std::string_view toldBy, TimePoint now) -> void
{
    if (notice.age >= Lifetime) {
        return;
    }
    const auto [entry, isNew] = versionOf(notice.service, notice.version, now);
    entry.lastSeen = std::max(entry.lastSeen, now - notice.age);
    entry.settledAt = std::min(entry.settledAt, now - notice.knownFor + SettlingTime);
    entry.usedAt = std::min(entry.usedAt, now - notice.knownFor + EarliestUse);
    if (isNew) {
        reportLearned(notice, entry, toldBy);
    }
}

auto SoftwareVersions::knownSince(std::string_view service, std::string_view version) const -> std::optional<TimePoint>
{
    const auto *entry = find(service, version);
    return entry == nullptr ? std::nullopt : std::optional(entry->settledAt - SettlingTime);
}

auto SoftwareVersions::settlesIn(std::string_view service, TimePoint now) const -> Duration
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || hasSettled(service, now)) {
        return Duration::zero();
    }
    auto settledAt = TimePoint::max();
    for (const auto &[name, entry] : found->second) {
        settledAt = std::min(settledAt, entry.settledAt);
    }
    return std::max(Duration::zero(), settledAt - now);
}

auto SoftwareVersions::hasSettled(std::string_view service, TimePoint now) const -> bool
{
    const auto found = m_services.find(service);
    return found == m_services.end() || std::any_of(found->second.begin(), found->second.end(), [this, service, now](const auto &entry) {
               return isSettled(service, entry.first, now);
           });
}

/// Returns whether half of the fleet was heard for as long as VMs need to report the version to each other, or until it settled.
auto SoftwareVersions::mayBeKnownToOthers(const Version &entry, TimePoint now) const -> bool
{
    const auto reportedAt = std::max(entry.learnedAt, std::min(entry.learnedAt + VersionCurrency::ContactTime, entry.settledAt));
    return m_halfHeardAt >= reportedAt || now - entry.settledAt >= IsolationTime;
}

/// Returns whether the service has upstreams of another version that other VMs can know.
auto SoftwareVersions::hasAlternative(std::string_view service, std::string_view version, TimePoint now) const -> bool
{
    const auto found = m_services.find(service);
    return found != m_services.end() && std::any_of(found->second.begin(), found->second.end(), [this, version, now](const auto &entry) {
               return entry.first != version && now - entry.second.lastSeen < PresenceTime && mayBeKnownToOthers(entry.second, now);
           });
}

auto SoftwareVersions::onAllTold(const std::string &vm, std::span<const SoftwareVersionNotice> told) -> void
{
    auto &services = m_told[vm];
    services.clear();
    for (const auto &notice : told) {
        services[notice.service].insert(notice.version);
    }
}

auto SoftwareVersions::settleShared(std::span<const std::string> vms, TimePoint now) -> void
{
    for (auto &[service, versions] : m_services) {
        const std::set<std::string> own{versions.begin()->first};
        const bool isShared = versions.size() == 1 && std::all_of(vms.begin(), vms.end(), [this, &service = service, &own](const auto &vm) {
                                  const auto told = m_told.find(vm);
                                  if (told == m_told.end()) {
                                      return false;
                                  }
                                  const auto ofService = told->second.find(service);
                                  return ofService != told->second.end() && ofService->second == own;
                              });
        if (isShared) {
            versions.begin()->second.settledAt = std::min(versions.begin()->second.settledAt, now);
        }
    }
}

auto SoftwareVersions::areSettled(TimePoint now) const -> bool
{
    return std::all_of(m_services.begin(), m_services.end(), [now](const auto &service) {
        return std::all_of(service.second.begin(), service.second.end(),
                           [now](const auto &entry) { return now >= entry.second.settledAt; });
    });
}

auto SoftwareVersions::settleAll(TimePoint now) -> void
{
    for (auto &[service, versions] : m_services) {
        for (auto &[name, entry] : versions) {
            entry.settledAt = std::min(entry.settledAt, now);
        }
    }
}

auto SoftwareVersions::expire(TimePoint now) -> void
{
    for (auto &[service, versions] : m_services) {
        std::erase_if(versions, [now](const auto &entry) { return now - entry.second.lastSeen >= Lifetime; });
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
    if (entry == nullptr) {
        return true;
    }
    return now >= entry->settledAt && (mayBeKnownToOthers(*entry, now) || !hasAlternative(service, version, now));
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
            result.push_back({service, version, std::max(Duration::zero(), now - entry.lastSeen), now + SettlingTime - entry.settledAt});
        }
    }
    return result;
}

} // namespace currantstack
