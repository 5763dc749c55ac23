#include "zinnia/routing/upstream_directory.hpp"

#include <algorithm>

namespace zinnia::routing {

namespace {

    /** Exceeds the maximum lifetime of a flow: packets of open flows carry the token of a departed upstream. */
    constexpr Seconds retention { 90 };
    /** Exceeds the time after which control instances report an upstream without announcements as silent. */
    constexpr Seconds claimTime { 6 };

} // namespace

void Upstream::clearFailures()
{
    this->openings = {};
    this->failure.lastCheckAt.reset();
    this->failure.failedChecks = 0;
    this->failure.unreachableAt.reset();
}

bool UpstreamDirectory::merge(const std::vector<upstream::AgedAnnouncement>& announcements, TimePoint now)
{
    bool changed = false;
    for (const auto& [announcement, age] : announcements) {
        const RoutingToken token = tokenOf(announcement.number);
        const auto [found, isNew] = this->upstreams.try_emplace(token);
        Upstream& entry = found->second;
        const auto& known = entry.announcement;
        if (!isNew && (announcement.version < known.version || upstream::keepsDraining(known, announcement)))
            continue;
        const bool isSameVersion = !isNew && announcement.version == known.version;
        if (isSameVersion && !upstream::infersState(known, announcement))
            continue;
        const bool restarted = isNew || announcement.version.startedAt != known.version.startedAt;
        if (restarted)
            entry = Upstream {};
        entry.token = token;
        entry.announcement = announcement;
        entry.announcedAt = now - age;
        entry.coldUntil = entry.announcedAt + announcement.coldRemaining;
        changed = true;
    }
    if (changed)
        this->rebuildIndex();
    return changed;
}

void UpstreamDirectory::removeExpired(TimePoint now)
{
    const auto isExpired = [now](const auto& item) {
        const auto state = item.second.announcement.state;
        const bool ended = state == upstream::AnnouncedState::Gone || state == upstream::AnnouncedState::Silent;
        return ended && item.second.flows == 0 && now - item.second.announcedAt > retention;
    };
    if (std::erase_if(this->upstreams, isExpired) > 0)
        this->rebuildIndex();
}

void UpstreamDirectory::clearFailures()
{
    for (auto& [token, upstream] : this->upstreams)
        upstream.clearFailures();
}

Upstream* UpstreamDirectory::find(RoutingToken token)
{
    const auto found = this->upstreams.find(token);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

const std::vector<Upstream*>& UpstreamDirectory::findByService(const std::string& service) const
{
    static const std::vector<Upstream*> empty;
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? empty : found->second;
}

bool UpstreamDirectory::isAddressClaimed(
    const Upstream& upstream, const std::function<bool(const std::string&)>& isNamed, TimePoint now) const
{
    const upstream::Announcement& own = upstream.announcement;
    const bool announcesItself
        = own.state == upstream::AnnouncedState::Ready || own.state == upstream::AnnouncedState::Draining;
    return std::any_of(this->upstreams.begin(), this->upstreams.end(), [&](const auto& item) {
        const upstream::Announcement& other = item.second.announcement;
        return other.address == own.address && other.number != own.number
            && other.version.startedAt > own.version.startedAt && other.state == upstream::AnnouncedState::Ready
            && (!announcesItself || now - item.second.announcedAt < claimTime) && isNamed(other.service);
    });
}

void UpstreamDirectory::rebuildIndex()
{
    this->byService.clear();
    for (auto& [token, entry] : this->upstreams)
        this->byService[entry.announcement.service].push_back(&entry);
    for (auto& [service, list] : this->byService) {
        std::sort(list.begin(), list.end(),
            [](const Upstream* left, const Upstream* right) { return left->token < right->token; });
    }
}

} // namespace zinnia::routing
