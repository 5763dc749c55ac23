#pragma once

#include "zinnia/core/ids.hpp"
#include "zinnia/load/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinnia::load {

/** @brief Intervals and timeouts of a `LoadClient`. */
struct LoadClientSettings {
    /** Zone of the router; reports go to control instances of this zone only. */
    std::string zone;
    /** Control instances that get every report. The second one replaces the first without a gap when that fails. */
    std::size_t collectors = 2;
    /** Time without a reply after which the next control instance counts. */
    Milliseconds replyTimeout { 400 };
    /** Interval at which control instances of unknown zone, or without a recent reply, are asked. */
    Milliseconds probeInterval { 2000 };
    /** Interval of such requests while no control instance of the zone answers, as after a restart of all. */
    Milliseconds firstProbeInterval { 250 };
};

/** @brief Selects the control instances to which a router reports its load, and the replies that it uses. */
class LoadClient {
public:
    explicit LoadClient(LoadClientSettings settings)
        : settings { std::move(settings) }
    {
    }

    /** @brief Replaces the control instances that the router knows. */
    void setControls(const std::vector<InstanceId>& controls);
    /** @return The control instances to which the next report goes; first the one whose replies count, if one answers.
     */
    [[nodiscard]] std::vector<InstanceId> selectReceivers(TimePoint now);
    /** @return Number for the next report. */
    [[nodiscard]] std::uint64_t nextNumber() noexcept { return ++this->lastNumber; }
    /**
     * @brief Records a reply.
     * @return True if the router should use it: it is newer than the last one, of the router's zone, and of the control
     *         instance with the lowest id among those that answer. Those with complete reports take precedence.
     */
    [[nodiscard]] bool receive(InstanceId control, const LoadReply& reply, TimePoint now);

private:
    struct Control {
        /** Known from its first reply; an instance does not change its zone. */
        std::optional<bool> isOwnZone;
        /** Whether all routers reported to it at its last reply. */
        bool isComplete = false;
        std::optional<TimePoint> repliedAt;
        std::optional<TimePoint> probedAt;
        std::uint64_t lastReply {};
    };

    [[nodiscard]] bool isResponsive(const Control& control, TimePoint now) const
    {
        return control.isOwnZone == true && control.repliedAt && now - *control.repliedAt < this->settings.replyTimeout;
    }

    /** @return The control instance whose replies count; the end if none answers. */
    [[nodiscard]] std::map<InstanceId, Control>::const_iterator findPreferred(TimePoint now) const;

    LoadClientSettings settings;
    std::map<InstanceId, Control> controls;
    std::uint64_t lastNumber {};
};

} // namespace zinnia::load
