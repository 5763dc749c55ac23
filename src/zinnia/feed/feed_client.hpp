#pragma once

#include "zinnia/feed/messages.hpp"

#include <map>
#include <optional>
#include <vector>

namespace zinnia::feed {

/** @brief Intervals, timeouts and limits of a router's requests to the control instances. */
struct FeedClientSettings {
    /** A control instance without an answer for this long counts as unresponsive and is polled less often. */
    Milliseconds answerTimeout { 1500 };
    /** Interval of requests to an unresponsive control instance while others answer. */
    Milliseconds retryInterval { 1000 };
    /**
     * Interval of requests to an unresponsive control instance while none answers. It is short, as it delays all
     * traffic after a restart of all instances.
     */
    Milliseconds retryIntervalWithoutAnswers { 100 };
    /**
     * Number of control instances polled in turn. A small number limits the traffic; more than one limits the age of
     * the state when one of them lags.
     */
    std::size_t maxPolledControls = 3;
    /**
     * Time after which complete state from an instance without a leader is accepted. A partitioned zone has to continue
     * with its own control instance, restarted routers included.
     */
    Milliseconds leaderlessAcceptanceDelay { 3000 };
    /** Id of the router. It determines which control instances the router prefers, which spreads their load. */
    InstanceId self;
    /** Time since the last complete reply of an instance with a leader, after which contact counts as lost. */
    Milliseconds leaderContactTimeout { 2500 };
};

/** @brief A request to send to a control instance. */
struct OutgoingRequest {
    InstanceId control;
    FeedRequest request;
};

/**
 * @brief Selects the control instances that a router polls, and tracks what it has received from each.
 *
 * Change numbers are local to the announcement table of a control instance, so the number of the last change received
 * is kept for each.
 */
class FeedClient {
public:
    FeedClient(const FeedClientSettings& settings, const std::vector<InstanceId>& seeds)
        : settings { settings }
    {
        this->setSeeds(seeds);
    }

    /** @brief Replaces the seeds; former seeds are kept as ordinary control instances. */
    void setSeeds(const std::vector<InstanceId>& seeds);

    /** @return The requests that are due; `revision` is that of the router's routing state. */
    [[nodiscard]] std::vector<OutgoingRequest> tick(std::uint64_t revision, TimePoint now);

    /**
     * @return The control instances that are polled in turn, also used for reports that should not wait for the next
     * poll. Instances with a leader are preferred: the others answer too, but their state may be stale.
     */
    [[nodiscard]] std::vector<InstanceId> selectedControls(TimePoint now) const;

    /**
     * @brief Processes a reply. One that a newer reply of the same instance has overtaken, or that answers a request of
     * an earlier start of this process, changes nothing.
     * @param revision Revision of the router's routing state after it has applied the reply.
     * @return A request for the remaining changes, if the reply did not include all of them.
     */
    std::optional<OutgoingRequest> receive(
        InstanceId control, const FeedReply& reply, std::uint64_t revision, TimePoint now);

    /**
     * @return True once the complete state of a control instance with a leader was received, or that of instances
     * without one over `leaderlessAcceptanceDelay`.
     */
    [[nodiscard]] bool isSynchronized() const noexcept { return this->synchronized; }
    /** @return True if a control instance with a leader has recently sent a complete reply. */
    [[nodiscard]] bool hasLeaderContact(TimePoint now) const
    {
        return this->synchronized && now - this->lastConfirmed <= this->settings.leaderContactTimeout;
    }
    /** @return The time of the last complete reply of a control instance with a leader. */
    [[nodiscard]] TimePoint lastConfirmedAt() const noexcept { return this->lastConfirmed; }
    /** @return All known control instances, by id. */
    [[nodiscard]] std::vector<InstanceId> knownControlIds() const;
    [[nodiscard]] std::size_t knownControls() const noexcept { return this->controls.size(); }

private:
    struct Control {
        bool seed {};
        /** Time at which a reply of another control instance first named this one. */
        TimePoint learnedAt;
        TimePoint lastRequestAt;
        TimePoint lastReplyAt;
        /** Number of the newest reply received. */
        std::uint64_t lastReplyNumber {};
        /** The control instance was the leader or followed one at its last reply. */
        bool hasLeader {};
        /** Process epoch of the announcement table to which `change` refers. */
        Epoch tableEpoch;
        /** Number of the last change received. */
        std::uint64_t change {};
    };

    [[nodiscard]] OutgoingRequest makeRequest(InstanceId id, Control& control, std::uint64_t revision, TimePoint now);
    [[nodiscard]] bool isResponsive(const Control& control, TimePoint now) const
    {
        return control.lastReplyAt != TimePoint {} && now - control.lastReplyAt < this->settings.answerTimeout;
    }
    void removeExpired(TimePoint now);

    FeedClientSettings settings;
    std::map<InstanceId, Control> controls;
    /** Control instance polled last in turn. */
    std::optional<InstanceId> lastPolled;
    /** Number of the next request. */
    std::uint64_t nextNumber = 1;
    bool synchronized {};
    /** Time of the first complete reply of an instance without a leader. */
    std::optional<TimePoint> leaderlessSince;
    TimePoint lastConfirmed;
};

} // namespace zinnia::feed
