#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/time.hpp"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace zinnia::standin {

/** @brief Detects retransmitted messages by sender and message id (RFC 7252, section 4.5). */
class DuplicateFilter {
public:
    /** @brief EXCHANGE_LIFETIME of RFC 7252. */
    static constexpr Seconds lifetime { 247 };

    /**
     * @brief Looks up a message and stores its id if it is new.
     * @return Nothing for a new message, or the datagram that answered the earlier copy (empty if none did yet).
     */
    [[nodiscard]] const Bytes* seen(const Endpoint& source, std::uint16_t messageId, TimePoint now);

    /** @brief Stores the datagram that answers retransmissions of the message. */
    void answered(const Endpoint& source, std::uint16_t messageId, const Bytes& bytes);

    void clear();

private:
    struct Entry {
        TimePoint expiry;
        Bytes answer;
    };

    [[nodiscard]] static std::uint64_t keyOf(const Endpoint& source, std::uint16_t messageId) noexcept;

    std::unordered_map<std::uint64_t, Entry> entries;
    std::deque<std::pair<TimePoint, std::uint64_t>> order;
};

} // namespace zinnia::standin
