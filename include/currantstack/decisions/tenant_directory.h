// The tenants of a configuration: which of them an API key belongs to, and what each may use.
#pragma once

#include "currantstack/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// Hashes API keys with a random secret of this process, so that neither a memory dump of the table nor the time of a look-up tells a key.
class KeyHasher
{
public:
    static constexpr std::size_t SecretBytes = 32;

    /// Draws the secret from the system's random source.
    KeyHasher();

    /// Returns the keyed hash in lower-case hexadecimal.
    auto hash(std::string_view key) const -> std::string;

private:
    std::string m_secret;
};

/// What a tenant's quota counts.
enum class ChargeUnit
{
    Requests,
    Tokens, // of the prompt and of the longest answer
};

/// What a tenant may use over all VMs together.
struct QuotaLimit
{
    double perSecond = 0; // in units; 0: no limit
    double burst = 0; // units above the rate
    ChargeUnit unit = ChargeUnit::Requests;
    double plainCharge = 1; // units of a request without token counts; only with `ChargeUnit::Tokens`

    /// Returns the units that a request with these token counts takes from the quota.
    auto charge(double promptTokens, double outputTokens) const -> double;

    auto isUnlimited() const -> bool
    {
        return perSecond <= 0;
    }

    auto operator==(const QuotaLimit &other) const -> bool = default;
};

/// By how much the requests that run may exceed a quota: in each window by `overage` of what it allows there, and by `slack` units.
struct QuotaTolerance
{
    Duration window = seconds(8);
    double overage = 0;
    double slack = 0; // units

    auto operator==(const QuotaTolerance &other) const -> bool = default;
};

struct Tenant
{
    std::string name;
    std::optional<int> priority; // goes before the priority of the route; 0 is the highest
    QuotaLimit limit;
};

/// The tenants of one version of the configuration. Keys are held as keyed hashes only.
class TenantDirectory
{
public:
    TenantDirectory() = default;

    explicit TenantDirectory(std::shared_ptr<const KeyHasher> hasher)
        : m_hasher(std::move(hasher))
    { }

    /// Adds a tenant with its keys. A later tenant with the same name replaces the former, and a key belongs to the tenant that was added
    /// first with it.
    auto add(Tenant tenant, std::span<const std::string_view> keys) -> void;

    /// Returns the tenant that holds the key, or null.
    auto findByKey(std::string_view key) const -> const Tenant *;

    /// Returns the tenant with the name, or null.
    auto find(std::string_view name) const -> const Tenant *;

    auto tenants() const -> const std::map<std::string, Tenant, std::less<>> &
    {
        return m_tenants;
    }

    auto isEmpty() const -> bool
    {
        return m_tenants.empty();
    }

    /// Returns whether a tenant has a quota.
    auto hasQuotas() const -> bool;

    auto keyCount() const -> std::size_t
    {
        return m_keys.size();
    }

private:
    std::shared_ptr<const KeyHasher> m_hasher;
    std::map<std::string, Tenant, std::less<>> m_tenants; // by name
    std::map<std::string, std::string, std::less<>> m_keys; // names of tenants, by the hash of the key
};

} // namespace currantstack
