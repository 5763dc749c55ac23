#include "zinnia/runtime/drill_measures.hpp"

#include <algorithm>
#include <limits>

namespace zinnia::runtime {

namespace {

    constexpr Milliseconds window { 1000 };
    constexpr Milliseconds noEnd { std::numeric_limits<std::int64_t>::max() };

    std::uint64_t packetsTo(const DrillSample& sample, const std::string& zone)
    {
        std::uint64_t packets = 0;
        for (const DrillZonePackets& count : sample.packets) {
            if (count.zone == zone)
                packets += count.packets;
        }
        return packets;
    }

    /** @return Requests delivered in each whole second of samples after `from`, up to and including `to`. */
    std::vector<std::uint64_t> deliveredSeconds(const DrillFile& drill, Milliseconds from, Milliseconds to)
    {
        std::vector<std::uint64_t> seconds;
        for (auto first = drill.samples.begin(); first != drill.samples.end(); ++first) {
            const Milliseconds begin = first == drill.samples.begin() ? Milliseconds { 0 } : std::prev(first)->at;
            if (begin < from)
                continue;
            std::uint64_t delivered = 0;
            for (auto sample = first; sample != drill.samples.end() && sample->at <= to; ++sample) {
                delivered += sample->delivered;
                if (sample->at - begin >= window) {
                    seconds.push_back(delivered);
                    break;
                }
            }
        }
        return seconds;
    }

    std::optional<double> worstRatio(const std::vector<std::uint64_t>& seconds, double baseline)
    {
        if (seconds.empty() || baseline <= 0.0)
            return std::nullopt;
        return static_cast<double>(*std::ranges::min_element(seconds)) / baseline;
    }

    WithdrawalMeasures measureWithdrawal(const DrillFile& drill, const DrillEvent& event)
    {
        WithdrawalMeasures measures;
        measures.zone = event.detail;
        measures.withdrawn = event.at;
        for (const DrillEvent& later : drill.events) {
            const bool returns = later.name == drill_event::zoneReturned && later.detail == event.detail;
            if (returns && later.at >= event.at && !measures.returned)
                measures.returned = later.at;
        }
        const Milliseconds end = measures.returned.value_or(noEnd);
        for (const DrillSample& sample : drill.samples) {
            const std::uint64_t packets = packetsTo(sample, event.detail);
            if (sample.at <= event.at || sample.at > end || packets == 0)
                continue;
            measures.lastPacket = sample.at - event.at;
            if (sample.at > event.at + withdrawalLimit)
                measures.latePackets += packets;
        }
        const auto before = deliveredSeconds(drill, Milliseconds { 0 }, event.at);
        double baseline = 0.0;
        for (const std::uint64_t delivered : before)
            baseline += static_cast<double>(delivered) / static_cast<double>(before.size());
        measures.worstSecond = worstRatio(deliveredSeconds(drill, event.at, end), baseline);
        if (measures.returned)
            measures.worstSecondAfterReturn = worstRatio(deliveredSeconds(drill, *measures.returned, noEnd), baseline);
        return measures;
    }

} // namespace

DrillMeasures measure(const DrillFile& drill)
{
    DrillMeasures measures;
    double sent = 0.0;
    double delivered = 0.0;
    for (const DrillKind& kind : drill.totals.kinds) {
        sent += kind.weight * static_cast<double>(kind.sent);
        delivered += kind.weight * static_cast<double>(kind.delivered);
    }
    if (sent > 0.0)
        measures.weightedDelivery = delivered / sent;
    for (const DrillEvent& event : drill.events) {
        if (event.name == drill_event::zoneWithdrawn)
            measures.withdrawals.push_back(measureWithdrawal(drill, event));
    }
    return measures;
}

} // namespace zinnia::runtime
