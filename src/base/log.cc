#include "currantstack/log.h"

#include "currantstack/clock.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>

namespace currantstack
{

namespace
{

struct LogSettings
{
    LogLevel level = LogLevel::Info;
    LogFormat format = LogFormat::Text;
};

auto settings() -> LogSettings &
{
    static LogSettings instance;
    return instance;
}

constexpr std::array<std::string_view, 5> LevelNames = {"debug", "info", "warning", "error", "off"};

} // namespace

auto setLog(LogLevel level, LogFormat format) -> void
{
    settings() = {level, format};
}

auto logLevel(std::string_view name) -> LogLevel
{
    for (size_t index = 0; index < LevelNames.size(); ++index) {
        if (LevelNames[index] == name) {
            return static_cast<LogLevel>(index);
        }
    }
    return LogLevel::Info;
}

namespace detail
{

auto logEnabled(LogLevel level) -> bool
{
    return level >= settings().level;
}

auto writeLog(LogLevel level, std::string_view component, std::string_view message) -> void
{
    const auto wall = epochMilliseconds(SystemClock().wall());
    const auto levelName = LevelNames[static_cast<size_t>(level)];
    if (settings().format == LogFormat::Json) {
        const nlohmann::json line = {{"time_ms", wall}, {"level", levelName}, {"part", component}, {"message", message}};
        fmt::print(stderr, "{}\n", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
        return;
    }
    const std::time_t second = wall / 1000;
    std::tm utc{};
    gmtime_r(&second, &utc);
    fmt::print(stderr, "{:02}:{:02}:{:02}.{:03} {:7} {}: {}\n", utc.tm_hour, utc.tm_min, utc.tm_sec, wall % 1000, levelName, component,
               message);
}

} // namespace detail

} // namespace currantstack
