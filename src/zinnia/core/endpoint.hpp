#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace zinnia {

/** @brief An IPv4 address and UDP or TCP port, both in host byte order. */
struct Endpoint {
    std::uint32_t address {};
    std::uint16_t port {};

    /**
     * @brief Parses "a.b.c.d:port".
     * @return The endpoint, or nothing if the text is not of that form.
     */
    [[nodiscard]] static std::optional<Endpoint> parse(std::string_view text);

    /** @return The form "a.b.c.d:port". */
    [[nodiscard]] std::string toString() const;

    [[nodiscard]] friend constexpr auto operator<=>(const Endpoint&, const Endpoint&) noexcept = default;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.address, self.port);
    }
};

} // namespace zinnia

template <> struct std::hash<zinnia::Endpoint> {
    [[nodiscard]] std::size_t operator()(const zinnia::Endpoint& endpoint) const noexcept
    {
        return std::hash<std::uint64_t> {}((std::uint64_t { endpoint.address } << 16U) | endpoint.port);
    }
};
