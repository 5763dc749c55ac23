#pragma once

#include "zinnia/core/event.hpp"
#include "zinnia/runtime/settings.hpp"

#include <string>

namespace zinnia::runtime {

/** @brief A stream of the process. Lines to the standard output are dropped if the write would block. */
enum class LogStream : unsigned char { StandardError, StandardOutput };

inline constexpr NameTable<LogStream, 2> logStreamNames { {
    { LogStream::StandardError, "stderr" },
    { LogStream::StandardOutput, "stdout" },
} };
static_assert(isDense(logStreamNames));

/** @brief Destination and minimum level of the log. */
struct LogSettings {
    LogLevel level = LogLevel::Info;
    /** File that is appended to; empty for a stream. */
    std::string file;
    /** Destination of the lines if no file is set. */
    LogStream stream = LogStream::StandardError;
};

/** @brief Reads the optional table "log" with the keys "level", "file" and "stream". */
[[nodiscard]] inline LogSettings readLogSettings(TableReader& root)
{
    TableReader table = root.table("log", true);
    LogSettings settings;
    settings.level = table.choice("level", logLevelNames, std::optional { LogLevel::Info });
    settings.file = table.text("file", "");
    settings.stream = table.choice("stream", logStreamNames, std::optional { LogStream::StandardError });
    return settings;
}

} // namespace zinnia::runtime
