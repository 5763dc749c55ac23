#include "zinnia/routing/spill_policy.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::routing {

namespace {

    /** Inverse weight of a new handshake in its running mean. */
    constexpr std::int64_t handshakeSmoothing = 8;
    /** Requests after which the sums of a route are halved, so that the mean follows its callers. */
    constexpr double maxTrafficRequests = 512;
    /** A request in a new flow makes the way to the upstream and back twice: for the handshake and for itself. */
    constexpr std::int64_t roundTripsPerRequest = 2;
    /** Least time that an opening must save, so that the noise of the figures alone does not start spilling. */
    constexpr Milliseconds minSavedTime { 1 };

} // namespace

void SpillPolicy::recordHandshake(const std::string& zone, Microseconds duration, TimePoint now)
{
    HandshakeMean& handshake = this->handshakes[zone];
    if (this->handshakeOf(zone, now) == nullptr)
        handshake.mean = duration;
    else
        handshake.mean += (duration - handshake.mean) / handshakeSmoothing;
    handshake.measuredAt = now;
}

void SpillPolicy::recordRequest(const Endpoint& route)
{
    RouteTraffic& item = this->traffic[route];
    item.requests += 1;
    if (item.requests >= maxTrafficRequests) {
        item.requests /= 2;
        item.bytes /= 2;
    }
}

void SpillPolicy::recordBytes(const Endpoint& route, std::size_t bytes)
{
    this->traffic[route].bytes += static_cast<double>(bytes);
}

std::optional<SpillTarget> SpillPolicy::choose(
    const Endpoint& route, const load::ServiceLoad& load, const std::vector<RemoteZone>& zones, TimePoint now)
{
    const bool isGranted = std::any_of(
        load.remotes.begin(), load.remotes.end(), [](const load::RemoteAllowance& remote) { return remote.slots > 0; });
    const std::uint64_t demand = std::uint64_t { load.inFlight } + load.waiting;
    const bool isBusy = 100 * demand >= std::uint64_t { this->settings.endLoadPercent } * load.capacity;
    if (!isGranted || !isBusy || load.capacity == 0) {
        this->spilling.erase(load.service);
        return std::nullopt;
    }
    std::optional<std::pair<Microseconds, const load::RemoteAllowance*>> best;
    for (const load::RemoteAllowance& remote : load.remotes) {
        const auto zone = std::find_if(
            zones.begin(), zones.end(), [&](const RemoteZone& item) { return item.zone == remote.zone; });
        if (zone == zones.end() || zone->inFlight >= remote.slots)
            continue;
        const Microseconds extra = this->extraTime(route, load, remote, now);
        if (!best || extra < best->first)
            best = { extra, &remote };
    }
    if (!best)
        return std::nullopt;
    const Microseconds saved = waitOf(load) - best->first;
    if (!this->spilling.contains(load.service)) {
        if (waitOf(load) == Microseconds { 0 } || saved < minSavedTime)
            return std::nullopt;
        this->spilling.insert(load.service);
    }
    return SpillTarget { best->second->zone, std::max(saved, Microseconds { 0 }) };
}

void SpillPolicy::count(const std::string& zone, SpillCause cause, Microseconds saved)
{
    SpillCount& item = this->counts[{ zone, cause }];
    ++item.openings;
    item.saved += saved;
}

Microseconds SpillPolicy::waitOf(const load::ServiceLoad& load)
{
    const std::int64_t demand = std::int64_t { load.inFlight } + load.waiting;
    const std::int64_t excess = std::max<std::int64_t>(0, demand - load.capacity);
    return load.serviceTime * excess / std::max<std::int64_t>(load.capacity, 1);
}

Microseconds SpillPolicy::extraTime(
    const Endpoint& route, const load::ServiceLoad& load, const load::RemoteAllowance& remote, TimePoint now) const
{
    Microseconds extra = this->extraDelay(remote.zone, now);
    if (remote.serviceTime > Microseconds { 0 } && load.serviceTime > Microseconds { 0 })
        extra += remote.serviceTime - load.serviceTime;
    const auto found = this->traffic.find(route);
    if (found != this->traffic.end() && found->second.requests > 0) {
        const double kib = found->second.bytes / found->second.requests / 1024;
        extra += Microseconds { static_cast<std::int64_t>(
            kib * static_cast<double>(Microseconds { this->settings.costPerKib }.count())) };
    }
    return extra;
}

Microseconds SpillPolicy::extraDelay(const std::string& zone, TimePoint now) const
{
    const HandshakeMean* own = this->handshakeOf(this->settings.zone, now);
    const HandshakeMean* remote = this->handshakeOf(zone, now);
    if (own == nullptr || remote == nullptr)
        return this->settings.defaultExtraDelay;
    return std::max(Microseconds { 0 }, roundTripsPerRequest * (remote->mean - own->mean));
}

const SpillPolicy::HandshakeMean* SpillPolicy::handshakeOf(const std::string& zone, TimePoint now) const
{
    const auto found = this->handshakes.find(zone);
    const bool isCurrent = found != this->handshakes.end() && found->second.measuredAt != TimePoint {}
        && now - found->second.measuredAt <= this->settings.handshakeRetention;
    return isCurrent ? &found->second : nullptr;
}

} // namespace zinnia::routing
