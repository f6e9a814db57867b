#include "currantstack/counters.h"

#include <nlohmann/json.hpp>

namespace currantstack
{

auto Counters::at(std::string_view name) -> Counter &
{
    const auto found = m_counters.find(name);
    if (found != m_counters.end()) {
        return found->second;
    }
    return m_counters.emplace(std::string(name), Counter()).first->second;
}

auto Counters::value(std::string_view name) const -> std::int64_t
{
    const auto found = m_counters.find(name);
    return found == m_counters.end() ? 0 : found->second.value();
}

auto Counters::forEach(const std::function<void(std::string_view name, std::int64_t value)> &callback) const -> void
{
    for (const auto &[name, counter] : m_counters) {
        callback(name, counter.value());
    }
}

auto Counters::dump() const -> std::string
{
    auto document = nlohmann::json::object();
    for (const auto &[name, counter] : m_counters) {
        document[name] = counter.value();
    }
    return document.dump();
}

} // namespace currantstack
