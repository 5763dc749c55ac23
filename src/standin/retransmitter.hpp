#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/core/coap_message.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/time.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace zinnia::standin {

/** @brief A datagram to send. */
struct Outgoing {
    Endpoint destination;
    Bytes bytes;
};

/** @brief Retransmits confirmable messages until they are acknowledged (RFC 7252, section 4.2). */
class Retransmitter {
public:
    /** @brief Whether each copy carries the Age option with the time since the first one. */
    enum class Ageing : bool { Without, With };

    /** @brief A message that was not acknowledged. */
    struct Expired {
        Endpoint peer;
        std::uint16_t messageId {};
        Bytes token;
    };

    struct Due {
        std::vector<Outgoing> retransmissions;
        std::vector<Expired> expired;
    };

    explicit Retransmitter(std::uint64_t seed, Ageing ageing = Ageing::Without);

    /** @return The first copy, to be sent at once. */
    [[nodiscard]] Outgoing start(const Endpoint& peer, CoapMessage message, TimePoint now);

    /** @brief Ends the retransmissions. @return False if no such message is pending. */
    bool acknowledge(const Endpoint& peer, std::uint16_t messageId);

    /** @return The retransmissions to send now and the messages that were abandoned. */
    [[nodiscard]] Due tick(TimePoint now);

    [[nodiscard]] std::size_t size() const noexcept { return this->pending.size(); }
    [[nodiscard]] std::uint64_t repeated() const noexcept { return this->retransmissionCount; }

private:
    struct Pending {
        CoapMessage message;
        TimePoint firstSent;
        TimePoint due;
        Microseconds timeout {};
        unsigned copies = 1;
    };

    [[nodiscard]] Outgoing encoded(const Endpoint& peer, const Pending& entry, TimePoint now) const;

    std::mt19937_64 random;
    Ageing ageing;
    std::map<std::pair<Endpoint, std::uint16_t>, Pending> pending;
    std::uint64_t retransmissionCount = 0;
};

/** @return The message as a datagram; an empty one if it cannot be encoded. */
[[nodiscard]] Outgoing toDatagram(const Endpoint& destination, const CoapMessage& message);

} // namespace zinnia::standin
