#include "zinnia/runtime/config_follower.hpp"

#include "zinnia/runtime/logger.hpp"

#include <utility>

namespace zinnia::runtime {

ConfigFollower::ConfigFollower(
    Poller& poller, ConfigExchange& exchange, MetricsRegistry& metrics, std::vector<Endpoint> controls, Entry entry)
    : poller { &poller }
    , exchange { &exchange }
    , metrics { &metrics }
    , controls { std::move(controls) }
    , entry { std::move(entry) }
{
    this->poll();
}

ConfigFollower::~ConfigFollower() { this->poller->cancel(this->timer); }

void ConfigFollower::fetchFrom(const Endpoint& peer) { this->sendPoll(peer); }

void ConfigFollower::report()
{
    for (const Endpoint& control : this->controls)
        this->sendPoll(control);
}

void ConfigFollower::poll()
{
    this->timer = this->poller->schedule(interval, [this] { this->poll(); });
    this->report();
}

void ConfigFollower::sendPoll(const Endpoint& server)
{
    std::unique_ptr<StreamClient>& client = this->clients[server];
    if (!client)
        client = std::make_unique<StreamClient>(*this->poller, server);
    // Another poll would repeat the one that is still queued.
    if (client->queueSize() > 1)
        return;
    const auto sent = client->send(
        this->exchange->poll(this->entry.activeVersion()), [this](const Result<Bytes, StreamError>& answer) {
            if (answer)
                this->receive(answer.value());
        });
    if (!sent)
        this->metrics->counter({ "zinnia_config_polls_dropped_total" }).add();
}

void ConfigFollower::receive(BytesView sealed)
{
    auto reply = this->exchange->readReply(sealed);
    if (!reply) {
        this->metrics->refusals(reply.error()).add();
        log(Event::MessageRefused, Field { "reason", reply.error() });
        return;
    }
    if (reply.value().newerConfiguration)
        this->entry.offer(std::move(*reply.value().newerConfiguration));
}

} // namespace zinnia::runtime
