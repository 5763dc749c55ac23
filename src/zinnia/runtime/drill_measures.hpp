#pragma once

#include "zinnia/runtime/drill_file.hpp"

namespace zinnia::runtime {

/** @brief Time after which a withdrawn zone receives no packet (requirement 4). */
inline constexpr Milliseconds withdrawalLimit { 4000 };

/** @brief Measures around one withdrawal of a zone. */
struct WithdrawalMeasures {
    std::string zone;
    Milliseconds withdrawn {};
    /** Absent if the zone did not return. */
    std::optional<Milliseconds> returned;
    /** From the withdrawal to the end of the last sample with a packet to the zone; absent if there was none. */
    std::optional<Milliseconds> lastPacket;
    /** Packets to the zone later than `withdrawalLimit` after the withdrawal and before the return. */
    std::uint64_t latePackets {};
    /** Requests delivered in the worst second after the withdrawal, over the mean second before it. */
    std::optional<double> worstSecond;
    /** As `worstSecond`, after the return. */
    std::optional<double> worstSecondAfterReturn;
};

/** @brief Measures that are computed from a drill file. */
struct DrillMeasures {
    /** Delivered over sent, weighted by kind; absent if nothing was sent. */
    std::optional<double> weightedDelivery;
    std::vector<WithdrawalMeasures> withdrawals;
};

[[nodiscard]] DrillMeasures measure(const DrillFile& drill);

} // namespace zinnia::runtime
