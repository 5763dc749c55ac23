#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/event.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/core/strong_id.hpp"
#include "zinnia/runtime/log_settings.hpp"

#include <chrono>
#include <concepts>
#include <string>
#include <string_view>
#include <type_traits>

namespace zinnia::runtime {

/** @brief Why the log could not be started. */
enum class LogError : unsigned char { FileNotWritable };

inline constexpr NameTable<LogError, 1> logErrorNames { { { LogError::FileNotWritable, "file_not_writable" } } };
static_assert(isDense(logErrorNames));

namespace internal {

    [[nodiscard]] bool logEnabled(LogLevel level) noexcept;
    void writeLog(const EventRow& row, const std::string& fields);
    void appendField(std::string& line, std::string_view key, std::string_view value);

    template <class T> std::string logText(const T& value)
    {
        if constexpr (std::same_as<T, bool>)
            return value ? "true" : "false";
        else if constexpr (std::is_arithmetic_v<T>)
            return std::to_string(value);
        else if constexpr (std::is_convertible_v<const T&, std::string_view>)
            return std::string { std::string_view { value } };
        else if constexpr (requires { value.toString(); })
            return value.toString();
        else if constexpr (std::is_enum_v<T>)
            return std::string { nameOf(value) };
        else if constexpr (requires { value.count(); })
            return std::to_string(value.count());
        else
            return std::to_string(value.value);
    }

} // namespace internal

/**
 * @brief One key=value field of a log line.
 *
 * The value may be a number, text, duration (printed as its count; the key names the unit), strong
 * id, `Endpoint`, or an enumeration with a `nameOf` function.
 */
template <class T> struct Field {
    std::string_view key;
    const T& value;
};
template <class T> Field(std::string_view, const T&) -> Field<T>;
template <std::size_t N> Field(std::string_view, const char (&)[N]) -> Field<char[N]>;

/**
 * @brief Starts the log of this process; a second call replaces the first.
 * @return `LogError` if the file cannot be opened; the log then goes to the standard error stream.
 */
[[nodiscard]] Result<void, LogError> startLog(const LogSettings& settings);

/** @brief Writes one line: time, level, number and name of the event, then the fields. */
template <class... Ts> void log(Event event, const Field<Ts>&... fields)
{
    const EventRow& row = eventRowOf(event);
    if (!internal::logEnabled(row.level))
        return;
    std::string line;
    (internal::appendField(line, fields.key, internal::logText(fields.value)), ...);
    internal::writeLog(row, line);
}

} // namespace zinnia::runtime
