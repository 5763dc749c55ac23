#include "zinnia/routing/load_view.hpp"

namespace zinnia::routing {

void LoadView::merge(const load::LoadReply& reply, TimePoint now)
{
    this->repliedAt = now;
    ++this->replies;
    this->replyAge = reply.age;
    this->replyPosition = reply.position;
    this->services.clear();
    for (const auto& service : reply.services)
        this->services.emplace(service.service, service);
    std::erase_if(this->upstreams, [now](const auto& item) { return now - item.second.at > maxAge; });
    for (const auto& upstream : reply.upstreams)
        this->upstreams.insert_or_assign(upstream.token, TimedUpstreamLoad { upstream, now });
    if (reply.facts.digest != 0)
        this->setRouteFacts(reply.facts);
}

void LoadView::setRouteFacts(const load::RouteFacts& facts)
{
    this->digest = facts.digest;
    this->routes.clear();
    for (const auto& route : facts.routes)
        this->routes.emplace(route.address, route);
}

void LoadView::clear()
{
    this->repliedAt.reset();
    this->replyPosition = 0;
    this->services.clear();
    this->upstreams.clear();
}

bool LoadView::isFresh(TimePoint now) const { return this->repliedAt && now - *this->repliedAt <= maxAge; }

Milliseconds LoadView::age(TimePoint now) const
{
    if (!this->repliedAt)
        return maxAge;
    return this->replyAge + std::chrono::duration_cast<Milliseconds>(now - *this->repliedAt);
}

const load::ServiceLoad* LoadView::service(const std::string& name, TimePoint now) const
{
    const auto found = this->services.find(name);
    return found != this->services.end() && this->isFresh(now) ? &found->second : nullptr;
}

const load::UpstreamLoad* LoadView::upstream(upstream::RoutingToken token, TimePoint now) const
{
    const auto found = this->upstreams.find(token);
    return found != this->upstreams.end() && now - found->second.at <= maxAge ? &found->second.load : nullptr;
}

const load::RouteFact* LoadView::route(const Endpoint& address) const
{
    const auto found = this->routes.find(address);
    return found != this->routes.end() ? &found->second : nullptr;
}

} // namespace zinnia::routing
