#pragma once

#include <compare>
#include <cstddef>
#include <functional>

namespace zinnia {

/**
 * @brief An integer of a distinct type, so that ids of different kinds cannot be mixed up.
 * @tparam Tag Type that distinguishes one kind of id from another.
 * @tparam Rep Underlying unsigned integer.
 */
template <class Tag, class Rep> struct StrongId {
    using Representation = Rep;

    Rep value {};

    [[nodiscard]] friend constexpr auto operator<=>(const StrongId&, const StrongId&) noexcept = default;
};

} // namespace zinnia

template <class Tag, class Rep> struct std::hash<zinnia::StrongId<Tag, Rep>> {
    [[nodiscard]] std::size_t operator()(const zinnia::StrongId<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep> {}(id.value);
    }
};
