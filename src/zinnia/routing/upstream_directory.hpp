#pragma once

#include "zinnia/feed/messages.hpp"
#include "zinnia/routing/flow_packet.hpp"
#include "zinnia/routing/upstream_health.hpp"
#include "zinnia/upstream/announcement.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinnia::routing {

/** @brief State that a router keeps for one incarnation of an upstream. */
struct Upstream {
    upstream::Announcement announcement;
    RoutingToken token;
    /** End of the cold period, during which the upstream receives no new flows. */
    TimePoint coldUntil;
    /** Time of the newest announcement that this router has received. */
    TimePoint announcedAt;

    // Observed by this router itself.
    /** Open flows of this router. */
    std::uint32_t flows {};
    /** Unanswered requests of these flows. */
    std::uint32_t requests {};
    /**
     * Requests of these flows that are presumed to take a slot or a place in its queue: openings, whose request
     * follows, and unanswered requests that are not older than a request usually gets.
     */
    std::uint32_t inFlight {};
    /** Answers since the last load report whose time is known, and the sum of these times. */
    std::uint32_t answers {};
    Microseconds answerTime {};
    /** Time at which a caller last acknowledged data of the upstream. */
    TimePoint lastAnswerAt;
    /** Openings since a caller last completed a handshake there, copies not counted. */
    std::uint32_t openingsSinceHandshake {};
    /** Evidence that it takes no new flows. */
    OpeningEvidence openings;
    /** Evidence that it is dead. */
    FailureEvidence failure;

    /** @brief Clears all evidence but the count of stalled flows, which belongs to the flows. */
    void clearFailures();
};

using upstream::tokenOf;

/** @brief The upstreams announced to a router, indexed by token and by service. */
class UpstreamDirectory {
public:
    /** @brief Merges announcements; for each upstream the highest version wins. @return True if any of them changed an
     * entry. */
    bool merge(const std::vector<upstream::AgedAnnouncement>& announcements, TimePoint now);

    /** @brief Removes departed and silent upstreams that serve no flow once their retention time is over. */
    void removeExpired(TimePoint now);

    /** @brief Clears the recorded failures of all upstreams. */
    void clearFailures();

    /** @return The upstream, or null if the token is unknown; valid until the next `merge` or `removeExpired`. */
    [[nodiscard]] Upstream* find(RoutingToken token);
    /**
     * @return True if an upstream that has started later announces the same address. While the earlier one announces
     *         itself too, the claim counts for `claimTime` only: then it has outlived the lease of its announcements.
     * @param isNamed Whether the configuration names a service; others claim nothing.
     */
    [[nodiscard]] bool isAddressClaimed(
        const Upstream& upstream, const std::function<bool(const std::string&)>& isNamed, TimePoint now) const;
    /** @return The upstreams of a service by token; pointers are valid until the next `merge` or `removeExpired`. */
    [[nodiscard]] const std::vector<Upstream*>& findByService(const std::string& service) const;
    [[nodiscard]] const std::unordered_map<RoutingToken, Upstream>& all() const noexcept { return this->upstreams; }
    [[nodiscard]] std::unordered_map<RoutingToken, Upstream>& all() noexcept { return this->upstreams; }
    [[nodiscard]] std::size_t size() const noexcept { return this->upstreams.size(); }

private:
    void rebuildIndex();

    std::unordered_map<RoutingToken, Upstream> upstreams;
    std::unordered_map<std::string, std::vector<Upstream*>> byService;
};

} // namespace zinnia::routing
