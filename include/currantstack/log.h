// Short log lines to standard error, with a fixed prefix for each part.
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

/// Sets what is written, for the whole process.
auto setLog(LogLevel level, LogFormat format) -> void;

/// Returns the level named "debug", "info", "warning", "error" or "off"; `Info` for other names.
auto logLevel(std::string_view name) -> LogLevel;

namespace detail
{
auto logEnabled(LogLevel level) -> bool;
auto writeLog(LogLevel level, std::string_view part, std::string_view message) -> void;
} // namespace detail

/// The log of one part of the program; `part` is the prefix of its lines.
class Log
{
public:
    explicit constexpr Log(std::string_view part)
        : m_part(part)
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
            detail::writeLog(level, m_part, fmt::format(text, std::forward<Args>(args)...));
        }
    }

    std::string_view m_part;
};

} // namespace currantstack
