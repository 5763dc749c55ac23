#pragma once

#include "standin/retransmitter.hpp"
#include "zinnia/core/ids.hpp"

#include <optional>
#include <string>
#include <vector>

namespace zinnia::standin {

/** @brief What an upstream announces to the entries of its zone when it registers. */
struct Announcement {
    std::string name;
    std::string service;
    std::string zone;
    Endpoint address;
    Incarnation incarnation;
    std::uint32_t slots {};
    std::uint32_t connections {};
    unsigned load {};
    bool healthy = true;
    bool draining {};
};

/**
 * @brief Keeps one upstream registered with an entry of its zone, similar to RFC 9176.
 *
 * Renews at a third of the lifetime, and switches to the next entry when one refuses or does not answer.
 */
class Registrar {
public:
    struct Settings {
        /** Addresses at which the entries of the zone accept registrations. */
        std::vector<Endpoint> entries;
        Seconds lifetime { 12 };
        /** Distinguishes the registrars of one process in the tokens of their messages. */
        std::uint32_t index {};
    };

    explicit Registrar(Settings settings);

    /** @return The registration to send, if one is due. */
    [[nodiscard]] std::optional<Outgoing> tick(const Announcement& announcement, TimePoint now);

    /** @brief Handles an answer. @return False if it does not belong to the pending registration. */
    bool handle(const CoapMessage& answer, TimePoint now);

    /** @brief Makes the next `tick` register at once, because the announcement has changed. */
    void renewNow() noexcept { this->due = TimePoint::min(); }

    /** @return The message that removes the registration. */
    [[nodiscard]] Outgoing removal(const Announcement& announcement);

    /** @return Index of the registrar that sent a message with that token. */
    [[nodiscard]] static std::optional<std::uint32_t> indexOf(const Bytes& token);

    [[nodiscard]] bool isRegistered(TimePoint now) const noexcept { return now < this->registeredUntil; }
    [[nodiscard]] std::uint64_t accepted() const noexcept { return this->acceptedCount; }
    [[nodiscard]] std::uint64_t refused() const noexcept { return this->refusedCount; }
    [[nodiscard]] std::uint64_t unanswered() const noexcept { return this->unansweredCount; }

private:
    [[nodiscard]] CoapMessage message(std::uint8_t code, const Announcement& announcement);
    [[nodiscard]] const Endpoint& entry() const;

    Settings settings;
    std::size_t current;
    TimePoint due = TimePoint::min();
    TimePoint answerDue;
    bool waiting = false;
    std::uint32_t attempt = 0;
    std::uint16_t messageId;
    /** Location-Path of the last accepted registration. */
    std::vector<Bytes> location;
    TimePoint registeredUntil = TimePoint::min();
    std::uint64_t acceptedCount = 0;
    std::uint64_t refusedCount = 0;
    std::uint64_t unansweredCount = 0;
};

} // namespace zinnia::standin
