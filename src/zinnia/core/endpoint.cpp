#include "zinnia/core/endpoint.hpp"

#include <array>
#include <charconv>

namespace zinnia {

namespace {

    /** @brief Removes a decimal number from the front of `text`. @return The number, or nothing if above `limit`. */
    template <class T> std::optional<T> parseNumber(std::string_view& text, unsigned limit)
    {
        unsigned value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc {} || value > limit)
            return std::nullopt;
        text.remove_prefix(static_cast<std::size_t>(end - text.data()));
        return static_cast<T>(value);
    }

    bool consume(std::string_view& text, char expected)
    {
        if (text.empty() || text.front() != expected)
            return false;
        text.remove_prefix(1);
        return true;
    }

} // namespace

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    constexpr std::array<char, 4> separators { '.', '.', '.', ':' };
    Endpoint endpoint;
    for (const char separator : separators) {
        const auto octet = parseNumber<std::uint8_t>(text, 255);
        if (!octet || !consume(text, separator))
            return std::nullopt;
        endpoint.address = (endpoint.address << 8U) | *octet;
    }
    const auto port = parseNumber<std::uint16_t>(text, 65535);
    if (!port || !text.empty())
        return std::nullopt;
    endpoint.port = *port;
    return endpoint;
}

std::string Endpoint::toString() const
{
    const auto octet = [this](unsigned shift) { return std::to_string((this->address >> shift) & 0xFFU); };
    return octet(24) + "." + octet(16) + "." + octet(8) + "." + octet(0) + ":" + std::to_string(this->port);
}

} // namespace zinnia
