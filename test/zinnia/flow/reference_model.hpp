#pragma once

#include "fake_cluster.hpp"

#include <map>
#include <set>

namespace zinnia::flow::fake {

/**
 * @brief Reference model: one map from flow to upstream that observes all entries.
 *
 * A flow stays on the upstream that got its first packet until that upstream is lost or its zone is withdrawn. A
 * flow whose packets the engines send to another upstream counts as moved.
 */
class ReferenceModel {
public:
    static constexpr std::uint32_t slowFlows = 250;

    explicit ReferenceModel(FakeCluster& cluster)
        : cluster { &cluster }
    {
        cluster.observer = [this](const FakeCluster::Node& node, const Action& action) { this->observe(node, action); };
    }

    /**
     * @brief Sends about 400 packets per second: most of them for a sliding window of flows that advances by 10 flows
     *        per second, the others for `slowFlows` long-lived flows that send a packet about every 20 s.
     */
    void sendTraffic(Milliseconds duration, std::uint32_t flows = 400)
    {
        for (const TimePoint end = this->cluster->now() + duration; this->cluster->now() < end;) {
            this->window += this->steps++ % 10 == 0 ? 1 : 0;
            for (std::uint32_t i = 0; i < 4; ++i) {
                const std::uint64_t draw = this->cluster->random();
                const ServiceId service { static_cast<std::uint16_t>(draw % 8 == 0 ? 2 : 1) };
                const auto pick = static_cast<std::uint32_t>(draw >> 8U);
                if ((draw >> 3U) % 32 == 0)
                    this->cluster->sendPacket(service, pick % slowFlows);
                else
                    this->cluster->sendPacket(service, slowFlows + this->window + pick % flows);
            }
            this->cluster->step();
        }
    }
    /** @brief Sends one packet of each flow, which places new flows. */
    void sendOnePacketPerFlow(std::uint32_t flows, std::uint32_t firstFlow = 0)
    {
        for (std::uint32_t flow = 0; flow < flows; ++flow) {
            this->cluster->sendPacket(ServiceId { 1 }, firstFlow + flow);
            if (flow % 20 == 0)
                this->cluster->step();
        }
        this->cluster->run(Milliseconds { 100 });
    }

    /** @brief Removes the placements on an upstream, because it is lost. */
    void removeUpstream(UpstreamId upstream)
    {
        std::erase_if(this->placements, [&](const auto& entry) { return entry.second.upstream == upstream; });
    }
    void removeZone(ZoneId zone)
    {
        std::erase_if(this->placements, [&](const auto& entry) { return entry.second.zone == zone; });
    }

    struct Placement {
        UpstreamId upstream;
        ZoneId zone;
        TimePoint last;
    };
    std::map<std::pair<ServiceId, FlowKey>, Placement> placements;
    std::set<FlowKey> movedFlows;
    /** Zones whose flows are given up; a flow that leaves them does not count as moved. */
    std::set<ZoneId> withdrawn;
    std::map<UpstreamId, std::uint64_t> packetsByUpstream;
    /** Service that listens at an address, if a test sets one. */
    std::map<Endpoint, ServiceId> servicesByAddress;
    std::uint64_t wrongService = 0;
    std::uint64_t wrongZone = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;

private:
    void observe(const FakeCluster::Node& node, const Action& action)
    {
        if (std::holds_alternative<Refuse>(action))
            ++this->refused;
        const auto* send = std::get_if<SendToUpstream>(&action);
        if (!send)
            return;
        ++this->served;
        ++this->packetsByUpstream[send->upstream];
        const upstream::UpstreamInfo& info = this->cluster->publishedUpstreams.at(send->upstream).second;
        const BytesView payload = send->payload;
        std::uint64_t key = 0;
        for (std::size_t i = 0; i < 8; ++i)
            key = (key << 8U) | payload[i];
        const ServiceId service { static_cast<std::uint16_t>(payload[8]) };
        this->wrongService += info.service != service ? 1 : 0;
        // Lost registrations do not count, so one service uses an address at a time.
        const auto user = this->servicesByAddress.find(send->endpoint);
        this->wrongService += user != this->servicesByAddress.end() && user->second != service ? 1 : 0;
        this->wrongZone += info.zone != node.zone ? 1 : 0;
        const auto [found, added]
            = this->placements.try_emplace({ service, FlowKey { key } }, Placement { info.id, info.zone, {} });
        const TimePoint now = this->cluster->now();
        // The flow was given up; this entry has not adopted the withdrawal of the zone yet.
        if (!added && this->withdrawn.contains(info.zone))
            return;
        // A flow without a packet for the idle timeout has ended and does not count as moved.
        if (!added && found->second.upstream != info.id && !this->withdrawn.contains(found->second.zone)
            && now - found->second.last < this->cluster->options.flowIdle - Seconds { 1 })
            this->movedFlows.insert(FlowKey { key });
        found->second = { info.id, info.zone, now };
    }

    FakeCluster* cluster;
    std::uint32_t window = 0;
    std::uint64_t steps = 0;
};

} // namespace zinnia::flow::fake
