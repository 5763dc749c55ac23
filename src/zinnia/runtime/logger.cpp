#include "zinnia/runtime/logger.hpp"

#include "zinnia/runtime/log_limiter.hpp"
#include "zinnia/runtime/pipe_appender.hpp"

#include <array>
#include <fstream>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <mutex>
#include <unistd.h>

namespace zinnia::runtime {

namespace {

    constexpr std::array<log4cplus::LogLevel, 4> levels {
        log4cplus::DEBUG_LOG_LEVEL,
        log4cplus::INFO_LOG_LEVEL,
        log4cplus::WARN_LOG_LEVEL,
        log4cplus::ERROR_LOG_LEVEL,
    };

    log4cplus::LogLevel levelOf(LogLevel level) noexcept { return levels.at(static_cast<std::size_t>(level)); }

    void useAppender(log4cplus::Logger& logger, const log4cplus::SharedAppenderPtr& appender, LogLevel level)
    {
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%d{%Y-%m-%dT%H:%M:%S.%q}Z %p %m%n"));
        logger.removeAllAppenders();
        logger.addAppender(appender);
        logger.setLogLevel(levelOf(level));
        logger.setAdditivity(false);
    }

    log4cplus::SharedAppenderPtr standardError()
    {
        return log4cplus::SharedAppenderPtr { new log4cplus::ConsoleAppender { true, true } };
    }

    /** @return The logger; until `startLog` it writes warnings and errors to the standard error stream. */
    log4cplus::Logger& processLogger()
    {
        static log4cplus::Initializer initializer;
        static log4cplus::Logger logger = [] {
            log4cplus::Logger created = log4cplus::Logger::getInstance("zinnia");
            useAppender(created, standardError(), LogLevel::Warning);
            return created;
        }();
        return logger;
    }

    bool needsQuotes(std::string_view value) noexcept
    {
        if (value.empty())
            return true;
        for (const char c : value) {
            if (static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=' || c == '\\' || c == '\x7f')
                return true;
        }
        return false;
    }

    void appendQuoted(std::string& line, std::string_view value)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        line += '"';
        for (const char c : value) {
            const auto byte = static_cast<unsigned char>(c);
            if (c == '"' || c == '\\')
                line += '\\';
            if (byte < ' ' || byte == 0x7F) {
                line += "\\x";
                line += digits[byte >> 4U];
                line += digits[byte & 15U];
            } else
                line += c;
        }
        line += '"';
    }

    std::optional<std::uint64_t> admitLine(const EventRow& row)
    {
        static std::mutex mutex;
        static LogLimiter limiter;
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        const std::scoped_lock lock { mutex };
        return limiter.admit(row, TimePoint { std::chrono::duration_cast<Microseconds>(now) });
    }

} // namespace

namespace internal {

    bool logEnabled(LogLevel level) noexcept { return processLogger().isEnabledFor(levelOf(level)); }

    void appendField(std::string& line, std::string_view key, std::string_view value)
    {
        constexpr std::size_t maxFieldBytes = 1024;
        constexpr std::string_view omission = "...";
        if (value.size() > maxFieldBytes)
            return appendField(
                line, key, std::string { value.substr(0, maxFieldBytes - omission.size()) }.append(omission));
        line += ' ';
        line += key;
        line += '=';
        if (needsQuotes(value))
            appendQuoted(line, value);
        else
            line += value;
    }

    void writeLog(const EventRow& row, const std::string& fields)
    {
        const std::optional<std::uint64_t> suppressedLines = admitLine(row);
        if (!suppressedLines)
            return;
        std::string line = std::to_string(static_cast<unsigned>(row.event)) + " ";
        line += row.name;
        line += fields;
        if (*suppressedLines > 0)
            appendField(line, "lines_left_out", std::to_string(*suppressedLines));
        processLogger().log(levelOf(row.level), line);
    }

} // namespace internal

Result<void, LogError> startLog(const LogSettings& settings)
{
    const bool writable = settings.file.empty() || std::ofstream { settings.file, std::ios::app }.good();
    const bool toFile = writable && !settings.file.empty();
    log4cplus::SharedAppenderPtr appender = standardError();
    if (toFile)
        appender
            = log4cplus::SharedAppenderPtr { new log4cplus::FileAppender { settings.file, std::ios_base::app, true } };
    else if (settings.stream == LogStream::StandardOutput)
        appender = log4cplus::SharedAppenderPtr { new PipeAppender { STDOUT_FILENO } };
    useAppender(processLogger(), appender, settings.level);
    if (!writable)
        return LogError::FileNotWritable;
    return success();
}

} // namespace zinnia::runtime
