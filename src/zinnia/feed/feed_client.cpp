#include "zinnia/feed/feed_client.hpp"

#include "zinnia/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::feed {

namespace {

    /** A control instance that is not a seed is removed after this time without an answer. */
    constexpr Seconds retention { 60 };

} // namespace

void FeedClient::setSeeds(const std::vector<InstanceId>& seeds)
{
    for (auto& [id, control] : this->controls)
        control.seed = false;
    for (const auto& id : seeds)
        this->controls[id].seed = true;
}

std::vector<InstanceId> FeedClient::selectedControls(TimePoint now) const
{
    std::vector<InstanceId> result;
    for (const auto& [id, control] : this->controls) {
        if (this->isResponsive(control, now))
            result.push_back(id);
    }
    if (result.size() > this->settings.maxPolledControls) {
        const auto preferenceOf = [this](InstanceId id) {
            return std::pair { this->controls.at(id).hasLeader, hashOf(this->settings.self.value, id.value) };
        };
        std::sort(result.begin(), result.end(),
            [&](InstanceId left, InstanceId right) { return preferenceOf(left) > preferenceOf(right); });
        result.resize(this->settings.maxPolledControls);
        std::sort(result.begin(), result.end());
    }
    return result;
}

std::vector<InstanceId> FeedClient::knownControlIds() const
{
    std::vector<InstanceId> ids;
    ids.reserve(this->controls.size());
    for (const auto& [id, control] : this->controls)
        ids.push_back(id);
    return ids;
}

std::vector<OutgoingRequest> FeedClient::tick(std::uint64_t revision, TimePoint now)
{
    this->removeExpired(now);
    std::vector<OutgoingRequest> requests;
    const auto selected = this->selectedControls(now);
    if (!selected.empty()) {
        auto next = std::find_if(selected.begin(), selected.end(),
            [this](const InstanceId& id) { return !this->lastPolled || id > *this->lastPolled; });
        if (next == selected.end())
            next = selected.begin();
        this->lastPolled = *next;
        requests.push_back(this->makeRequest(*next, this->controls[*next], revision, now));
    }
    // Until enough control instances with a leader answer, the unresponsive ones are polled at a lower rate.
    const auto withLeader = static_cast<std::size_t>(std::count_if(
        selected.begin(), selected.end(), [this](InstanceId id) { return this->controls.at(id).hasLeader; }));
    if (withLeader < this->settings.maxPolledControls) {
        const Milliseconds interval
            = selected.empty() ? this->settings.retryIntervalWithoutAnswers : this->settings.retryInterval;
        for (auto& [id, control] : this->controls) {
            if (!this->isResponsive(control, now) && now - control.lastRequestAt >= interval)
                requests.push_back(this->makeRequest(id, control, revision, now));
        }
    }
    return requests;
}

OutgoingRequest FeedClient::makeRequest(InstanceId id, Control& control, std::uint64_t revision, TimePoint now)
{
    control.lastRequestAt = now;
    return OutgoingRequest { id, FeedRequest { this->nextNumber++, revision, control.tableEpoch, control.change, {} } };
}

std::optional<OutgoingRequest> FeedClient::receive(
    InstanceId id, const FeedReply& reply, std::uint64_t revision, TimePoint now)
{
    const auto found = this->controls.find(id);
    if (found == this->controls.end())
        return std::nullopt;
    Control& control = found->second;
    if (reply.number < control.lastReplyNumber || reply.number >= this->nextNumber)
        return std::nullopt;
    control.lastReplyNumber = reply.number;
    control.lastReplyAt = now;
    control.hasLeader = reply.hasLeader;
    control.tableEpoch = reply.tableEpoch;
    control.change = reply.change;
    for (const auto& other : reply.controls) {
        const auto [entry, isNew] = this->controls.try_emplace(other);
        if (isNew)
            entry->second.learnedAt = now;
    }
    const bool isComplete = reply.change >= reply.lastChange && reply.revision <= revision;
    if (reply.hasLeader && isComplete) {
        this->synchronized = this->synchronized || revision > 0;
        this->lastConfirmed = now;
    } else if (isComplete && revision > 0) {
        this->leaderlessSince = this->leaderlessSince.value_or(now);
        this->synchronized
            = this->synchronized || now - *this->leaderlessSince >= this->settings.leaderlessAcceptanceDelay;
    }
    if (reply.change < reply.lastChange)
        return this->makeRequest(id, control, revision, now);
    return std::nullopt;
}

void FeedClient::removeExpired(TimePoint now)
{
    std::erase_if(this->controls, [&](const auto& item) {
        const Control& control = item.second;
        return !control.seed && now - std::max(control.lastReplyAt, control.learnedAt) > retention;
    });
}

} // namespace zinnia::feed
