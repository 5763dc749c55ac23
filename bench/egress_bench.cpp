#include "zinnia/routing/egress_queue.hpp"
#include "zinnia/routing/flow_router.hpp"
#include "zinnia/routing/link_pacer.hpp"

#include <chrono>
#include <iostream>

// Processor time a packet of the routing decision alone, with the pacing of an idle link, and with a wait in the egress
// queue. Rounds alternate, so that the same noise affects all of them.

namespace {

using namespace zinnia;
using namespace zinnia::routing;

constexpr int rounds = 15;
constexpr int packetsPerRound = 200'000;
constexpr std::uint16_t flowCount = 500;
const TimePoint start { Seconds { 1000 } };
const Endpoint service { 0xC6120001, 443 };

FlowPacket packetOf(std::uint16_t port, std::uint32_t sequence)
{
    FlowPacket packet;
    packet.caller = { 0x64400007, port };
    packet.service = service;
    packet.sequence = sequence;
    packet.dataBytes = 1200;
    packet.ack = true;
    packet.token = tokenOf(upstream::UpstreamNumber { 1U + port % 20U });
    return packet;
}

FlowRouter makeRouter()
{
    FlowRouterSettings settings;
    settings.zone = "a";
    FlowRouter router { settings };
    std::vector<upstream::AgedAnnouncement> announcements;
    for (std::uint64_t number = 1; number <= 20; ++number) {
        upstream::Announcement announcement;
        announcement.number = upstream::UpstreamNumber { number };
        announcement.service = "logger";
        announcement.zone = "a";
        announcement.version = { 1, 1 };
        announcements.push_back({ announcement, Milliseconds { 0 } });
    }
    (void)router.merge(announcements, start);
    router.setSynchronized();
    return router;
}

/** @return Nanoseconds a packet. */
template <class Handler> double measure(Handler handle)
{
    const auto before = std::chrono::steady_clock::now();
    for (int i = 0; i < packetsPerRound; ++i) {
        const auto port = static_cast<std::uint16_t>(1 + i % flowCount);
        handle(packetOf(port, static_cast<std::uint32_t>(i / flowCount) * 1200U), start + Microseconds { i });
    }
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - before;
    return elapsed.count() / packetsPerRound;
}

} // namespace

int main()
{
    double decision = 1e9;
    double paced = 1e9;
    double queued = 1e9;
    std::uint64_t forwarded = 0;
    const Bytes bytes(1232, 1);
    for (int round = 0; round < rounds; ++round) {
        FlowRouter plainRouter = makeRouter();
        decision = std::min(decision, measure([&](const FlowPacket& packet, TimePoint now) {
            forwarded += plainRouter.route(packet, now).action == PacketAction::Forward ? 1U : 0U;
        }));
        FlowRouter pacedRouter = makeRouter();
        LinkPacer pacer { 125'000'000'000 };
        EgressQueue idleQueue { {} };
        paced = std::min(paced, measure([&](const FlowPacket& packet, TimePoint now) {
            if (!idleQueue.isEmpty() || !pacer.isFree(now))
                return;
            forwarded += pacedRouter.route(packet, now).action == PacketAction::Forward ? 1U : 0U;
            pacer.recordSent(1240, now);
        }));
        FlowRouter queuedRouter = makeRouter();
        EgressQueue queue { {} };
        queued = std::min(queued, measure([&](const FlowPacket& packet, TimePoint now) {
            (void)queue.add(packet, bytes, now);
            if (queue.size() < 100 * bytes.size())
                return;
            const auto next = queue.take(now);
            forwarded += queuedRouter.route(next->packet, now).action == PacketAction::Forward ? 1U : 0U;
        }));
    }
    std::cout << "routing decision alone     " << decision << " ns a packet\n"
              << "with pacing, link idle     " << paced << " ns a packet\n"
              << "with a wait in the queue   " << queued << " ns a packet\n"
              << forwarded << " packets forwarded\n";
    return 0;
}
