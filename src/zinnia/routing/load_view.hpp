#pragma once

#include "zinnia/load/messages.hpp"

#include <optional>
#include <string>
#include <unordered_map>

namespace zinnia::routing {

/**
 * @brief What a router knows about the load of its zone: the last reply of a control instance, and its age.
 *
 * Empty while load sharing is off. Figures older than `maxAge` are not used.
 */
class LoadView {
public:
    /** Age at which the figures of a reply are no longer used. */
    static constexpr Milliseconds maxAge { 1000 };

    /** @brief Replaces the figures of services, and of the upstreams in the reply. */
    void merge(const load::LoadReply& reply, TimePoint now);
    void setRouteFacts(const load::RouteFacts& facts);
    /** @brief Forgets everything, as after a process pause. */
    void clear();

    /** @return True if a reply has been merged less than `maxAge` ago. */
    [[nodiscard]] bool isFresh(TimePoint now) const;
    /** @return Replies merged so far. */
    [[nodiscard]] std::uint64_t replyCount() const noexcept { return this->replies; }
    /** @return Age of the reports in the last reply: their age in the reply and the time since. */
    [[nodiscard]] Milliseconds age(TimePoint now) const;
    /** @return Position of the router among those of the zone, from 1; 0 if it is not known. */
    [[nodiscard]] std::uint32_t position() const noexcept { return this->replyPosition; }
    /** @return The load of a service in the own zone, or null if it is not known or too old. */
    [[nodiscard]] const load::ServiceLoad* service(const std::string& name, TimePoint now) const;
    /** @return What other routers have at an upstream, or null if it is not known or too old. */
    [[nodiscard]] const load::UpstreamLoad* upstream(upstream::RoutingToken token, TimePoint now) const;
    /** @return The facts of a route, or null if they are not known. They do not become stale. */
    [[nodiscard]] const load::RouteFact* route(const Endpoint& address) const;
    [[nodiscard]] std::uint64_t factsDigest() const noexcept { return this->digest; }

private:
    struct TimedUpstreamLoad {
        load::UpstreamLoad load;
        TimePoint at;
    };

    std::optional<TimePoint> repliedAt;
    Milliseconds replyAge {};
    std::uint32_t replyPosition {};
    std::unordered_map<std::string, load::ServiceLoad> services;
    std::unordered_map<upstream::RoutingToken, TimedUpstreamLoad> upstreams;
    std::unordered_map<Endpoint, load::RouteFact> routes;
    std::uint64_t digest {};
    std::uint64_t replies {};
};

} // namespace zinnia::routing
