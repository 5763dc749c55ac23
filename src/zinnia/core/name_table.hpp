#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace zinnia {

/** @brief Name of one enumerator. */
template <class E> struct NameRow {
    E value;
    std::string_view name;
};

/** @brief The names of an enumeration, in the order of its values starting at zero. */
template <class E, std::size_t N> using NameTable = std::array<NameRow<E>, N>;

/** @return True if row i of the table holds value i for every row, which `nameIn` relies on. */
template <class E, std::size_t N> [[nodiscard]] constexpr bool isDense(const NameTable<E, N>& table) noexcept
{
    for (std::size_t i = 0; i < N; ++i) {
        if (static_cast<std::size_t>(table[i].value) != i)
            return false;
    }
    return true;
}

/** @return The name of the value, or "invalid" for a value outside the table. */
template <class E, std::size_t N>
[[nodiscard]] constexpr std::string_view nameIn(const NameTable<E, N>& table, E value) noexcept
{
    const auto index = static_cast<std::size_t>(value);
    return index < N ? table[index].name : std::string_view { "invalid" };
}

/** @return The value with that name, if there is one. */
template <class E, std::size_t N>
[[nodiscard]] constexpr std::optional<E> valueIn(const NameTable<E, N>& table, std::string_view name) noexcept
{
    for (const auto& row : table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace zinnia
