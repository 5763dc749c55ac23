#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace zinnia::standin {

/** @brief Tracks packets to the upstreams of withdrawn zones, from the polled counters. */
class WithdrawalTracker {
public:
    struct Withdrawal {
        std::int64_t withdrawnUnixMs {};
        std::optional<std::int64_t> returningUnixMs;
        std::optional<std::int64_t> lastPacketUnixMs;

        /** @return Seconds from the withdrawal to the last packet before the return; 0 if there was none. */
        [[nodiscard]] double secondsToLastPacket() const noexcept;
    };

    void withdraw(const std::string& zone, std::int64_t unixMs) { this->withdrawals[zone] = { unixMs, {}, {} }; }
    /** @brief The zone is about to return: packets from now on are expected. */
    void markReturning(const std::string& zone, std::int64_t unixMs);
    /** @brief Records when an upstream of the zone received its latest packet. */
    void recordPacket(const std::string& zone, std::int64_t unixMs);

    [[nodiscard]] const std::map<std::string, Withdrawal>& all() const noexcept { return this->withdrawals; }

private:
    std::map<std::string, Withdrawal> withdrawals;
};

} // namespace zinnia::standin
