// Diagnostic logging to standard error, with a prefix for each component.
#pragma once

#include <fmt/format.h>
#include <string>
#include <string_view>

namespace currantstack
{

enum class LogLevel
{
    Debug,
    Info,
    Warning,
    Error,
    Off,
};

enum class LogFormat
{
    Text,
    Json,
};

/// Sets the level and format of the process's log.
auto setLog(LogLevel level, LogFormat format) -> void;

/// Returns the level named "debug", "info", "warning", "error" or "off", and `Info` for any other name.
auto logLevel(std::string_view name) -> LogLevel;

namespace detail
{
auto logEnabled(LogLevel level) -> bool;
auto writeLog(LogLevel level, std::string_view component, std::string_view message) -> void;
} // namespace detail

/// The log of one component, whose name is the prefix of its lines.
class Log
{
public:
    explicit constexpr Log(std::string_view component)
        : m_component(component)
    { }

    template<typename... Args>
    auto debug(fmt::format_string<Args...> text, Args &&...args) const -> void
    {
        write(LogLevel::Debug, text, std::forward<Args>(args)...);
    }

    template<typename... Args>
    auto info(fmt::format_string<Args...> text, Args &&...args) const -> void
    {
        write(LogLevel::Info, text, std::forward<Args>(args)...);
    }

    template<typename... Args>
    auto warning(fmt::format_string<Args...> text, Args &&...args) const -> void
    {
        write(LogLevel::Warning, text, std::forward<Args>(args)...);
    }

    template<typename... Args>
    auto error(fmt::format_string<Args...> text, Args &&...args) const -> void
    {
        write(LogLevel::Error, text, std::forward<Args>(args)...);
    }

private:
    template<typename... Args>
    auto write(LogLevel level, fmt::format_string<Args...> text, Args &&...args) const -> void
    {
        if (detail::logEnabled(level)) {
            detail::writeLog(level, m_component, fmt::format(text, std::forward<Args>(args)...));
        }
    }

    std::string_view m_component;
};

} // namespace currantstack
