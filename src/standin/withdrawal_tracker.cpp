#include "standin/withdrawal_tracker.hpp"

#include <algorithm>

namespace zinnia::standin {

double WithdrawalTracker::Withdrawal::secondsToLastPacket() const noexcept
{
    constexpr double millisecondsPerSecond = 1000;
    if (!this->lastPacketUnixMs)
        return 0;
    return static_cast<double>(std::max<std::int64_t>(*this->lastPacketUnixMs - this->withdrawnUnixMs, 0))
        / millisecondsPerSecond;
}

void WithdrawalTracker::markReturning(const std::string& zone, std::int64_t unixMs)
{
    const auto at = this->withdrawals.find(zone);
    if (at != this->withdrawals.end())
        at->second.returningUnixMs = unixMs;
}

void WithdrawalTracker::recordPacket(const std::string& zone, std::int64_t unixMs)
{
    const auto at = this->withdrawals.find(zone);
    if (at == this->withdrawals.end() || (at->second.returningUnixMs && unixMs >= *at->second.returningUnixMs))
        return;
    at->second.lastPacketUnixMs = std::max(at->second.lastPacketUnixMs.value_or(unixMs), unixMs);
}

} // namespace zinnia::standin
