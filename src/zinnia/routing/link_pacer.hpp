#pragma once

#include "zinnia/core/time.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace zinnia::routing {

/**
 * @brief Estimates when the outgoing link has transmitted everything that was sent so far.
 *
 * A sender that waits while `isFree` is false keeps the queue of the link shorter than `maxLinkQueue`, so packets wait
 * in the process, where their order can still be chosen.
 */
class LinkPacer {
public:
    /** Time until the link is idle up to which more may be sent; covers late timers. */
    static constexpr Milliseconds maxLinkQueue { 10 };
    /** Remaining link queue at which a waiting sender continues. */
    static constexpr Milliseconds refillThreshold { 4 };
    /** Size of the IPv4 and UDP headers, and of an Ethernet frame with its preamble and gap. Unit: bytes. */
    static constexpr std::size_t headerBytes = 66;

    /** @param bytesPerSecond Rate of the link; 0 for an unlimited one. */
    explicit LinkPacer(std::uint64_t bytesPerSecond) noexcept
        : bytesPerSecond { bytesPerSecond }
    {
    }

    [[nodiscard]] bool isLimited() const noexcept { return this->bytesPerSecond > 0; }
    /** @return True if the queue of the link has room for another datagram. */
    [[nodiscard]] bool isFree(TimePoint now) const noexcept { return this->idleAt - now < maxLinkQueue; }
    /** @return Time after which a waiting sender should continue. */
    [[nodiscard]] Microseconds timeUntilRefill(TimePoint now) const noexcept
    {
        return std::max<Microseconds>(this->idleAt - now - refillThreshold, Microseconds { 0 });
    }
    /** @brief Accounts for a datagram of `size` payload bytes that was sent. */
    void recordSent(std::size_t size, TimePoint now) noexcept
    {
        if (!this->isLimited())
            return;
        const std::uint64_t bytes = size + headerBytes;
        const std::uint64_t microseconds = bytes * std::uint64_t { 1'000'000 } / this->bytesPerSecond;
        this->idleAt = std::max(this->idleAt, now) + Microseconds { static_cast<std::int64_t>(microseconds) };
    }

private:
    std::uint64_t bytesPerSecond;
    TimePoint idleAt;
};

} // namespace zinnia::routing
