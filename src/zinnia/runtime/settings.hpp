#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/core/strong_id.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/runtime/settings_error.hpp"

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnia::runtime {

namespace internal {
    struct SettingsDocument;
    struct TomlTable;
} // namespace internal

/** @brief Inclusive limits of a number. */
template <class T> struct Range {
    T least;
    T most;
};

/**
 * @brief Reads the keys of one TOML table and collects every error.
 *
 * Each reading function names one key. A key without a default is required. After an error the
 * function returns the default or an empty value, so that reading continues and finds the other
 * errors; `loadSettings` then discards the value. Keys that were never named are errors.
 */
class TableReader {
public:
    TableReader(
        std::shared_ptr<internal::SettingsDocument> document, const internal::TomlTable* table, std::string path);

    [[nodiscard]] bool has(std::string_view key) const;

    std::string text(std::string_view key, const std::optional<std::string>& fallback = {});
    bool boolean(std::string_view key, std::optional<bool> fallback = {});
    std::int64_t integer(std::string_view key, Range<std::int64_t> range, std::optional<std::int64_t> fallback = {});
    double number(std::string_view key, Range<double> range, std::optional<double> fallback = {});
    /** @brief An integer of milliseconds; the key should end in "_ms". */
    Milliseconds milliseconds(
        std::string_view key, Range<Milliseconds> range, std::optional<Milliseconds> fallback = {});
    /** @brief A string of the form "a.b.c.d:port". */
    Endpoint endpoint(std::string_view key, std::optional<Endpoint> fallback = {});
    std::vector<std::string> texts(std::string_view key, const std::optional<std::vector<std::string>>& fallback = {});
    std::vector<Endpoint> endpoints(std::string_view key, const std::optional<std::vector<Endpoint>>& fallback = {});

    /** @brief A positive id of type `Id`; 0 is reserved for "none". */
    template <class Id> Id id(std::string_view key, std::optional<Id> fallback = {})
    {
        using Rep = typename Id::Representation;
        constexpr auto most = static_cast<std::uint64_t>(std::numeric_limits<Rep>::max());
        constexpr auto signedMost = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        const Range<std::int64_t> range { 1, static_cast<std::int64_t>(most < signedMost ? most : signedMost) };
        std::optional<std::int64_t> number;
        if (fallback)
            number = static_cast<std::int64_t>(fallback->value);
        return Id { static_cast<Rep>(this->integer(key, range, number)) };
    }

    /** @brief A name of an enumeration's table. */
    template <class E, std::size_t N>
    E choice(std::string_view key, const NameTable<E, N>& names, std::optional<E> fallback = {})
    {
        std::vector<std::string_view> allowed;
        for (const auto& row : names)
            allowed.push_back(row.name);
        const std::optional<std::size_t> fallbackIndex
            = fallback ? std::optional { static_cast<std::size_t>(*fallback) } : std::nullopt;
        return names[this->choiceIndex(key, allowed, fallbackIndex)].value;
    }

    /** @brief A sub-table; an absent optional one reads as empty. */
    TableReader table(std::string_view key, bool optional = false);
    /** @brief The elements of an array of tables; absent reads as none. */
    std::vector<TableReader> tables(std::string_view key);

    /** @brief Adds an error about a key that was read but whose value is not allowed. */
    void reject(std::string_view key, std::string value, std::string allowed);

    /** @return The path of a key of this table, such as "service[2].address". */
    [[nodiscard]] std::string pathOf(std::string_view key) const;

private:
    std::size_t choiceIndex(
        std::string_view key, const std::vector<std::string_view>& allowed, std::optional<std::size_t> fallback);

    std::shared_ptr<internal::SettingsDocument> document;
    const internal::TomlTable* current;
    std::string path;
};

/** @brief Keys that replace those of a settings file, each as a line of TOML such as "group.catch_up_s=4". */
using SettingsOverrides = std::vector<std::string>;

/** @brief Where the settings of a process come from. */
struct SettingsSource {
    std::string file;
    SettingsOverrides overrides {};
};

/**
 * @brief Parses TOML text and reads it.
 * @param file Name for error messages.
 * @param read Reads the root table into the settings.
 * @param overrides Keys that replace those of the text.
 * @return Every error, in which case nothing was read; nothing is applied from a file with errors.
 */
[[nodiscard]] SettingsErrors readSettingsText(std::string_view text, const std::string& file,
    const std::function<void(TableReader&)>& read, const SettingsOverrides& overrides = {});

/** @brief As `readSettingsText`, from a file. */
[[nodiscard]] SettingsErrors readSettingsFile(
    const std::string& file, const std::function<void(TableReader&)>& read, const SettingsOverrides& overrides = {});

/** @return The settings read by `read` from a file, or every error. */
template <class T>
[[nodiscard]] Result<T, SettingsErrors> loadSettings(
    const std::string& file, T (*read)(TableReader&), const SettingsOverrides& overrides = {})
{
    std::optional<T> settings;
    SettingsErrors errors = readSettingsFile(
        file, [&](TableReader& reader) { settings.emplace(read(reader)); }, overrides);
    if (!errors.empty())
        return errors;
    return std::move(*settings);
}

/** @return The settings read by `read` from a text, or every error. */
template <class T>
[[nodiscard]] Result<T, SettingsErrors> parseSettings(
    std::string_view text, const std::string& file, T (*read)(TableReader&))
{
    std::optional<T> settings;
    SettingsErrors errors = readSettingsText(text, file, [&](TableReader& reader) { settings.emplace(read(reader)); });
    if (!errors.empty())
        return errors;
    return std::move(*settings);
}

} // namespace zinnia::runtime
