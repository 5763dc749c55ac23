#pragma once

#include "zinnia/routing/admission_estimate.hpp"
#include "zinnia/routing/admission_refusals.hpp"
#include "zinnia/routing/admission_settings.hpp"
#include "zinnia/routing/opening_queue.hpp"
#include "zinnia/routing/routing_decision.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace zinnia::routing {

/** @brief What to do with a new opening. */
enum class AdmissionVerdict : std::uint8_t { Admit, Wait, Refuse };

/** @brief An opening that does not wait any longer. */
struct AdmissionRelease {
    WaitingOpening opening;
    /** `Forward`, `Reset`, or `Drop` if the caller has given up. */
    PacketAction action {};
    /** Reason of a refusal. */
    RoutingReason reason {};
    std::string service;
};

/**
 * @brief Decides whether new openings are sent, wait in the router or are refused, and keeps those that wait.
 *
 * Nothing waits and nothing is refused while there is room by `hasRoom`. Memory is bounded by the settings of the queue
 * for each service and by `AdmissionRefusals`.
 */
class AdmissionController {
public:
    explicit AdmissionController(const AdmissionSettings& settings)
        : settings { settings }
    {
    }

    /** @brief Records the requests of this router at the time of a load reply. */
    void recordReply(const std::string& service, std::uint32_t inFlight);
    [[nodiscard]] std::uint32_t inFlightAtReply(const std::string& service) const;

    /**
     * @brief Handles a retransmission of an opening that waits or was refused.
     * @return Empty if the opening is new. An opening of a waiting flow replaces the previous one and keeps its place.
     */
    [[nodiscard]] std::optional<AdmissionVerdict> handleRetransmission(const FlowPacket& packet, TimePoint now);
    /** @param fact Properties of the route, or null if they are not known. */
    [[nodiscard]] AdmissionVerdict handleOpening(const std::string& service, const FlowPacket& packet,
        const load::RouteFact* fact, const ServiceRoom& room, TimePoint now);
    /** @brief Ends the wait of a caller that has given up. @return True if its opening waited. */
    bool giveUp(const FlowId& id);

    /** @brief Removes and returns openings whose wait ended because of another packet. */
    [[nodiscard]] std::vector<AdmissionRelease> takeEnded() { return std::exchange(this->ended, {}); }
    /** @brief Removes the next opening that can be sent or has to be refused. @return Empty if all have to wait. */
    [[nodiscard]] std::optional<AdmissionRelease> takeNext(
        const std::string& service, const ServiceRoom& room, TimePoint now);

    /** @return The services with waiting openings. */
    [[nodiscard]] std::vector<std::string> waitingServices() const;
    /** @return Openings of the service that wait. */
    [[nodiscard]] std::uint32_t waiting(const std::string& service) const;
    /** @return Openings of all services that wait. */
    [[nodiscard]] std::size_t waiting() const;
    /** @return New openings since the previous call, refused ones included, retransmissions not. */
    [[nodiscard]] std::uint32_t takeOpenings(const std::string& service);
    /** @return Openings refused since the previous call for lack of room. */
    [[nodiscard]] std::uint32_t takeRefused(const std::string& service);

private:
    struct Service {
        OpeningQueue queue;
        std::uint32_t inFlightAtReply {};
        std::uint32_t openings {};
        std::uint32_t refused {};
    };

    [[nodiscard]] Service& serviceOf(const std::string& name);
    [[nodiscard]] WaitingOpening makeOpening(
        const FlowPacket& packet, const load::RouteFact* fact, TimePoint now) const;
    [[nodiscard]] AnswerTime answerTimeOf(const ServiceRoom& room) const;
    void recordRefusal(Service& service, const WaitingOpening& opening, TimePoint now);

    AdmissionSettings settings;
    std::unordered_map<std::string, Service> services;
    AdmissionRefusals refusals;
    std::vector<AdmissionRelease> ended;
};

} // namespace zinnia::routing
