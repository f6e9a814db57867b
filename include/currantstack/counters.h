// Counters and gauges of one process.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace currantstack
{

/// A counter, which only increases, or a gauge, which is set.
class Counter
{
public:
    auto add(std::int64_t amount = 1) -> void
    {
        m_value += amount;
    }

    auto set(std::int64_t value) -> void
    {
        m_value = value;
    }

    auto value() const -> std::int64_t
    {
        return m_value;
    }

private:
    std::int64_t m_value = 0;
};

/// A registry of named counters. References to a counter stay valid for the lifetime of the registry.
class Counters
{
public:
    /// Returns the counter with the name and creates it on first use. Names carry their unit, such as "tokens_sent".
    auto at(std::string_view name) -> Counter &;

    /// Returns the counter's value, or 0 if the counter does not exist.
    auto value(std::string_view name) const -> std::int64_t;

    /// Calls the callback for each counter, sorted by name.
    auto forEach(const std::function<void(std::string_view name, std::int64_t value)> &callback) const -> void;

    /// Returns all counters as a JSON object, sorted by name.
    auto dump() const -> std::string;

private:
    std::map<std::string, Counter, std::less<>> m_counters;
};

} // namespace currantstack
