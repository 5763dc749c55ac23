#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/load/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace zinnia::routing {

/** @brief Why an opening was sent to another zone. */
enum class SpillCause : std::uint8_t {
    /** The wait there is shorter. */
    Load,
    /** The own zone has no usable upstream. */
    NoUpstream,
};

inline constexpr NameTable<SpillCause, 2> spillCauseNames { {
    { SpillCause::Load, "load" },
    { SpillCause::NoUpstream, "no_upstream" },
} };
static_assert(isDense(spillCauseNames));

[[nodiscard]] constexpr std::string_view nameOf(SpillCause cause) noexcept { return nameIn(spillCauseNames, cause); }

/** @brief Openings sent to one other zone for one cause. */
struct SpillCount {
    std::uint64_t openings {};
    /** Sum of the waits that they were expected to be spared, less what the other zone costs them. */
    Microseconds saved {};
};

/** @brief Openings sent to other zones, since the start of the process. */
using SpillCounters = std::map<std::pair<std::string, SpillCause>, SpillCount>;

/** @brief Another zone with usable upstreams of a service. */
struct RemoteZone {
    std::string zone;
    /** Requests of this router in flight there. */
    std::uint32_t inFlight {};
};

/** @brief The zone to which an opening is sent, and the time that it is expected to save. */
struct SpillTarget {
    std::string zone;
    Microseconds saved {};
};

/** @brief Constants of the decision whether to send openings to another zone. */
struct SpillSettings {
    /** Zone of the router. */
    std::string zone;
    /** Wait that an opening must be spared for each KiB that its requests and answers move between zones. */
    Milliseconds costPerKib { 5 };
    /** Extra time of a request in another zone until handshakes there have been measured. */
    Microseconds defaultExtraDelay { Milliseconds { 5 } };
    /** Time after which measured handshakes of a zone are no longer used. */
    Seconds handshakeRetention { 30 };
    /**
     * Load of the own zone, in percent of its capacity, below which openings stay there again. Spilling starts above
     * 100 % and aims at 90 %, as control instances grant what exceeds it, so a short dip does not end it.
     */
    std::uint32_t endLoadPercent = 75;
};

/**
 * @brief Decides whether an opening is sent to another zone.
 *
 * Spilling of a service starts when the expected wait in the own zone exceeds the extra time in the other zone, and
 * lasts until the load of the own zone is clearly below its capacity or the grants end. It uses only slots that the
 * other zone has granted, so that its load remains bounded and known to that zone.
 */
class SpillPolicy {
public:
    explicit SpillPolicy(SpillSettings settings)
        : settings { std::move(settings) }
    {
    }

    /** @brief Records the time of a handshake with an upstream of a zone. */
    void recordHandshake(const std::string& zone, Microseconds duration, TimePoint now);
    /** @brief Records a request of a route. */
    void recordRequest(const Endpoint& route);
    /** @brief Records bytes of requests or answers of a route. */
    void recordBytes(const Endpoint& route, std::size_t bytes);
    /** @brief Removes the figures of routes that no longer exist. */
    template <class Predicate> void retain(const Predicate& isCurrent)
    {
        std::erase_if(this->traffic, [&](const auto& item) { return !isCurrent(item.first); });
    }

    /**
     * @brief Decides for one opening.
     * @param zones Other zones with usable upstreams of the service.
     * @return The zone to use; empty for the own zone.
     */
    [[nodiscard]] std::optional<SpillTarget> choose(
        const Endpoint& route, const load::ServiceLoad& load, const std::vector<RemoteZone>& zones, TimePoint now);

    /** @return True while openings of the service are sent to other zones. */
    [[nodiscard]] bool isSpilling(const std::string& service) const { return this->spilling.contains(service); }

    /** @brief Counts an opening that was sent to another zone. */
    void count(const std::string& zone, SpillCause cause, Microseconds saved);
    [[nodiscard]] const SpillCounters& counters() const noexcept { return this->counts; }

private:
    struct HandshakeMean {
        Microseconds mean {};
        TimePoint measuredAt;
    };
    struct RouteTraffic {
        double bytes {};
        double requests {};
    };

    /** @return The expected wait in the own zone. */
    [[nodiscard]] static Microseconds waitOf(const load::ServiceLoad& load);
    /** @return How much longer a request takes in another zone, its cost included; negative if it is faster there. */
    [[nodiscard]] Microseconds extraTime(
        const Endpoint& route, const load::ServiceLoad& load, const load::RemoteAllowance& remote, TimePoint now) const;
    [[nodiscard]] Microseconds extraDelay(const std::string& zone, TimePoint now) const;
    [[nodiscard]] const HandshakeMean* handshakeOf(const std::string& zone, TimePoint now) const;

    SpillSettings settings;
    std::unordered_map<std::string, HandshakeMean> handshakes;
    std::unordered_map<Endpoint, RouteTraffic> traffic;
    /** Services of which openings are sent to other zones at present. */
    std::unordered_set<std::string> spilling;
    SpillCounters counts;
};

} // namespace zinnia::routing
