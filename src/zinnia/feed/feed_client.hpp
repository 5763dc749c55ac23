#pragma once

#include "zinnia/feed/messages.hpp"

#include <map>
#include <optional>
#include <vector>

namespace zinnia::feed {

/** @brief Times of a router's requests to the control instances. */
struct FeedClientSettings {
    /** A control instance that has not answered for this long is asked less often. */
    Milliseconds silence { 1500 };
    /** Interval of the requests to a control instance that does not answer, while others do. */
    Milliseconds retry { 1000 };
    /** The same while none answers: after a restart of the whole fleet each tenth of a second counts. */
    Milliseconds eagerRetry { 100 };
    /** Control instances asked in turn; a few bound the traffic, and more than one bounds the age of the news. */
    std::size_t sources = 3;
    /**
     * Time after which whole news of an instance without a leader is taken: a zone that is cut off has to go on with
     * its own control instance, and its restarted routers too.
     */
    Milliseconds unconfirmedPatience { 3000 };
    /** Identity of the router: each prefers other control instances, so that their load is spread. */
    InstanceId self;
    /** Age from which the news of all control instances together counts as out of touch. */
    Milliseconds touch { 2500 };
};

/** @brief A request to be sent. */
struct OutgoingRequest {
    InstanceId control;
    FeedRequest request;
};

/**
 * @brief Decides which control instance a router asks next, and what it has learned from each.
 *
 * Each control instance counts the changes of its board on its own, so what was read is kept for each.
 */
class FeedClient {
public:
    FeedClient(const FeedClientSettings& settings, const std::vector<InstanceId>& seeds)
        : settings { settings }
    {
        this->setSeeds(seeds);
    }

    /** @brief Replaces the addresses to start from; known control instances stay known. */
    void setSeeds(const std::vector<InstanceId>& seeds);

    /** @return The requests that are due. */
    [[nodiscard]] std::vector<OutgoingRequest> tick(std::uint64_t revision, TimePoint now);

    /**
     * @return The control instances that are asked in turn, for reports that should not wait for the next turn. Those
     * without a leader come last: they answer too, but what they know may be old.
     */
    [[nodiscard]] std::vector<InstanceId> chosen(TimePoint now) const;

    /**
     * @brief Takes a reply into account.
     * @return A request for the rest, if the reply did not cover every change.
     */
    std::optional<OutgoingRequest> receive(
        InstanceId control, const FeedReply& reply, std::uint64_t revision, TimePoint now);

    /** @return True once a control instance that follows a leader has been read completely. */
    [[nodiscard]] bool isComplete() const noexcept { return this->complete; }
    /** @return Whether a control instance that follows a leader has answered lately. */
    [[nodiscard]] bool isInTouch(TimePoint now) const
    {
        return this->complete && now - this->lastConfirmed <= this->settings.touch;
    }
    [[nodiscard]] TimePoint lastConfirmedAt() const noexcept { return this->lastConfirmed; }
    [[nodiscard]] std::size_t knownControls() const noexcept { return this->controls.size(); }

private:
    struct Control {
        bool seed {};
        TimePoint learnedAt;
        TimePoint askedAt;
        TimePoint answeredAt;
        /** Its last reply was confirmed by a leader. */
        bool confirmed {};
        Epoch board;
        std::uint64_t change {};
    };

    [[nodiscard]] OutgoingRequest ask(InstanceId id, Control& control, std::uint64_t revision, TimePoint now);
    [[nodiscard]] bool answers(const Control& control, TimePoint now) const
    {
        return control.answeredAt != TimePoint {} && now - control.answeredAt < this->settings.silence;
    }
    void forgetOld(TimePoint now);

    FeedClientSettings settings;
    std::map<InstanceId, Control> controls;
    std::optional<InstanceId> lastAsked;
    std::uint64_t nextNumber = 1;
    bool complete {};
    /** When news without a leader was first whole. */
    std::optional<TimePoint> unconfirmedSince;
    TimePoint lastConfirmed;
};

} // namespace zinnia::feed
