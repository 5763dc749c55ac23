#pragma once

#include "zinnia/core/bytes.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinnia {

/** @brief CoAP message type (RFC 7252, section 3). Values are those of the wire format. */
enum class CoapType : std::uint8_t { Confirmable = 0, NonConfirmable = 1, Acknowledgement = 2, Reset = 3 };

/** @brief Builds a CoAP code from class and detail, such as 5 and 03. */
[[nodiscard]] constexpr std::uint8_t coapCode(unsigned codeClass, unsigned detail) noexcept
{
    return static_cast<std::uint8_t>((codeClass << 5U) | detail);
}

namespace coap {
    inline constexpr std::uint8_t empty = coapCode(0, 0);
    inline constexpr std::uint8_t get = coapCode(0, 1);
    inline constexpr std::uint8_t post = coapCode(0, 2);
    inline constexpr std::uint8_t put = coapCode(0, 3);
    inline constexpr std::uint8_t deleteMethod = coapCode(0, 4);
    inline constexpr std::uint8_t created = coapCode(2, 1);
    inline constexpr std::uint8_t deleted = coapCode(2, 2);
    inline constexpr std::uint8_t changed = coapCode(2, 4);
    inline constexpr std::uint8_t content = coapCode(2, 5);
    inline constexpr std::uint8_t badRequest = coapCode(4, 0);
    inline constexpr std::uint8_t forbidden = coapCode(4, 3);
    inline constexpr std::uint8_t tooManyRequests = coapCode(4, 29);
    inline constexpr std::uint8_t serviceUnavailable = coapCode(5, 3);

    // Option numbers: RFC 7252 and RFC 7641, then the experimental range.
    inline constexpr std::uint16_t observe = 6;
    inline constexpr std::uint16_t uriPath = 11;
    inline constexpr std::uint16_t contentFormat = 12;
    inline constexpr std::uint16_t maxAge = 14;
    inline constexpr std::uint16_t uriQuery = 15;
    inline constexpr std::uint16_t deadline = 65000;
    inline constexpr std::uint16_t priority = 65004;
    inline constexpr std::uint16_t idempotent = 65008;
    inline constexpr std::uint16_t age = 65012;
    inline constexpr std::uint16_t outcome = 65016;
    inline constexpr std::uint16_t reason = 65020;

    /** @brief Value of the Outcome option. */
    enum class Outcome : std::uint8_t { NotRun = 1, Unknown = 2 };
} // namespace coap

/** @brief One CoAP option: number and value bytes. */
struct CoapOption {
    std::uint16_t number {};
    Bytes value;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.number, self.value);
    }
    [[nodiscard]] friend bool operator==(const CoapOption&, const CoapOption&) = default;
};

/** @brief A CoAP message in parsed form. Options are sorted by number. */
struct CoapMessage {
    CoapType type {};
    std::uint8_t code {};
    std::uint16_t messageId {};
    Bytes token;
    std::vector<CoapOption> options;
    Bytes payload;

    [[nodiscard]] bool isRequest() const noexcept { return this->code != coap::empty && this->code < coapCode(1, 0); }
    [[nodiscard]] bool isResponse() const noexcept { return this->code >= coapCode(2, 0); }

    /** @return The first option with that number, or nullptr. */
    [[nodiscard]] const CoapOption* find(std::uint16_t number) const noexcept
    {
        for (const auto& option : this->options) {
            if (option.number == number)
                return &option;
        }
        return nullptr;
    }

    /** @return The value of a uint option (big endian), or nothing if it is absent or longer than 8 bytes. */
    [[nodiscard]] std::optional<std::uint64_t> uintOption(std::uint16_t number) const noexcept
    {
        const CoapOption* option = this->find(number);
        if (!option || option->value.size() > 8)
            return std::nullopt;
        std::uint64_t value = 0;
        for (const std::uint8_t byte : option->value)
            value = (value << 8U) | byte;
        return value;
    }

    /** @brief Inserts an option after those with the same or a lower number, so that the options stay sorted. */
    void addOption(std::uint16_t number, Bytes value)
    {
        const auto position = std::upper_bound(this->options.begin(), this->options.end(), number,
            [](std::uint16_t wanted, const CoapOption& option) { return wanted < option.number; });
        this->options.insert(position, CoapOption { number, std::move(value) });
    }

    /** @brief Adds a uint option in its shortest encoding (RFC 7252, section 3.2). */
    void addUint(std::uint16_t number, std::uint64_t value)
    {
        Bytes bytes;
        for (; value != 0; value >>= 8U)
            bytes.insert(bytes.begin(), static_cast<std::uint8_t>(value));
        this->addOption(number, std::move(bytes));
    }

    /** @return The Uri-Path options joined by "/", without a leading slash. */
    [[nodiscard]] std::string path() const
    {
        std::string joined;
        for (const auto& option : this->options) {
            if (option.number != coap::uriPath)
                continue;
            if (!joined.empty())
                joined += '/';
            joined.append(option.value.begin(), option.value.end());
        }
        return joined;
    }

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.type, self.code, self.messageId, self.token, self.options, self.payload);
    }
    [[nodiscard]] friend bool operator==(const CoapMessage&, const CoapMessage&) = default;
};

} // namespace zinnia
