#include "currantstack/decisions/tenant_directory.h"

#include "currantstack/codec.h"

#include <algorithm>
#include <random>
#include <utility>

namespace currantstack
{

KeyHasher::KeyHasher()
{
    std::random_device device;
    std::uniform_int_distribution<int> byte(0, 255);
    m_secret.reserve(SecretBytes);
    while (m_secret.size() < SecretBytes) {
        m_secret.push_back(static_cast<char>(byte(device)));
    }
}

auto KeyHasher::hash(std::string_view key) const -> std::string
{
    return hmac(m_secret, key);
}

auto QuotaLimit::charge(double promptTokens, double outputTokens) const -> double
{
    if (unit == ChargeUnit::Requests) {
        return 1;
    }
    const auto tokens = promptTokens + outputTokens;
    return tokens > 0 ? tokens : plainCharge;
}

auto TenantDirectory::add(Tenant tenant, std::span<const std::string_view> keys) -> void
{
    for (const auto key : keys) {
        m_keys.emplace(m_hasher->hash(key), tenant.name);
    }
    auto name = tenant.name;
    m_tenants.insert_or_assign(std::move(name), std::move(tenant));
}

auto TenantDirectory::findByKey(std::string_view key) const -> const Tenant *
{
    if (key.empty() || !m_hasher) {
        return nullptr;
    }
    // The order of the keyed hashes tells nothing about the keys; the hash found is compared in constant time all the same.
    const auto hash = m_hasher->hash(key);
    const auto found = m_keys.lower_bound(hash);
    return found != m_keys.end() && equalConstantTime(found->first, hash) ? find(found->second) : nullptr;
}

auto TenantDirectory::hasQuotas() const -> bool
{
    return std::any_of(m_tenants.begin(), m_tenants.end(), [](const auto &entry) { return !entry.second.limit.isUnlimited(); });
}

auto TenantDirectory::find(std::string_view name) const -> const Tenant *
{
    const auto found = m_tenants.find(name);
    return found == m_tenants.end() ? nullptr : &found->second;
}

} // namespace currantstack
