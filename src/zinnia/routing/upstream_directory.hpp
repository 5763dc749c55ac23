#pragma once

#include "zinnia/feed/messages.hpp"
#include "zinnia/routing/flow_packet.hpp"
#include "zinnia/upstream/announcement.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinnia::routing {

/** @brief One incarnation of an upstream, as a router knows it. */
struct Upstream {
    upstream::Announcement announced;
    RoutingToken token;
    /** Until when it takes reduced load. */
    TimePoint coldUntil;
    /** When it was last announced, as far as this router was told. */
    TimePoint announcedAt;

    // What this router has seen itself.
    /** Flows of this router that are open. */
    std::uint32_t flows {};
    /** Requests of these flows without an answer. */
    std::uint32_t requests {};
    /** When a caller last acknowledged something that it sent. */
    TimePoint answeredAt;
    /** Flows whose caller repeats a packet and that have seen no answer of this upstream since. */
    std::uint32_t stalledFlows {};
    /** When it was last tried with an opening while none was answered; nothing after an answer. */
    std::optional<TimePoint> unansweredSince;
    /** Addresses of the first callers whose openings were sent to it without any answer since. */
    std::vector<std::uint32_t> unansweredCallers;
    /** Times in a row that it was tried again without an answer. */
    std::uint32_t failedTries {};
    /** Its flows were reset, as it answers nobody. */
    bool dead {};
    /** When a check of its address was last asked for. */
    std::optional<TimePoint> checkedAt;
    /** When some other router last failed to reach it, as far as this one was told. */
    TimePoint suspectedAt;
    /** Checks in a row without a connection. */
    std::uint32_t failedChecks {};
    /** When the last check found no connection; it gets no flow until there is one. */
    std::optional<TimePoint> unreachableAt;

    /** @brief Forgets everything that speaks against it. */
    void forgive();
};

/** @return The token of an upstream; never 0. */
[[nodiscard]] RoutingToken tokenOf(upstream::UpstreamNumber number) noexcept;

/** @brief The upstreams that a router has been told of, by token and by service. */
class UpstreamDirectory {
public:
    /** @brief Merges announcements by their order. @return Whether any of them was news. */
    bool merge(const std::vector<upstream::AgedAnnouncement>& announcements, TimePoint now);

    /** @brief Forgets upstreams that departed or fell silent long ago and hold no flow. */
    void forgetOld(TimePoint now);

    /** @brief Forgets which upstreams have left openings unanswered. */
    void forgiveAll();

    [[nodiscard]] Upstream* find(RoutingToken token);
    /** @return The upstreams of a service in no order; pointers are valid until the next `merge` or `forgetOld`. */
    [[nodiscard]] const std::vector<Upstream*>& ofService(const std::string& service) const;
    [[nodiscard]] const std::unordered_map<RoutingToken, Upstream>& all() const noexcept { return this->upstreams; }
    [[nodiscard]] std::unordered_map<RoutingToken, Upstream>& all() noexcept { return this->upstreams; }
    [[nodiscard]] std::size_t size() const noexcept { return this->upstreams.size(); }

private:
    void indexAgain();

    std::unordered_map<RoutingToken, Upstream> upstreams;
    std::unordered_map<std::string, std::vector<Upstream*>> byService;
};

} // namespace zinnia::routing
