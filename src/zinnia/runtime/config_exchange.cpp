#include "zinnia/runtime/config_exchange.hpp"

#include "zinnia/wire/archive.hpp"

#include <utility>

namespace zinnia::runtime {

ConfigExchange::ConfigExchange(const wire::ClusterKey& key, ClusterId cluster, InstanceId self, wire::Sealer& sealer)
    : self { self }
    , sealer { &sealer }
    , opener { key, cluster }
{
}

Bytes ConfigExchange::poll(ConfigVersion activeVersion)
{
    return this->sealer->seal(
        wire::MessageKind::ConfigPoll, wire::encode(config::ConfigPoll { this->self, activeVersion }));
}

Result<config::ConfigReply, RefusalReason> ConfigExchange::readReply(BytesView sealed)
{
    const auto opened = this->opener.open(sealed);
    if (!opened)
        return opened.error();
    if (opened.value().kind != wire::MessageKind::ConfigReply)
        return RefusalReason::UnknownKind;
    auto reply = wire::decode<config::ConfigReply>(opened.value().body);
    if (!reply)
        return RefusalReason::Malformed;
    return std::move(reply.value());
}

Result<config::ConfigPoll, RefusalReason> ConfigExchange::readPoll(const wire::OpenedMessage& message)
{
    auto poll = wire::decode<config::ConfigPoll>(message.body);
    // An instance may report only its own version.
    if (!poll || poll.value().instance != message.sender)
        return RefusalReason::Malformed;
    return poll.value();
}

Bytes ConfigExchange::answer(const config::ConfigPoll& poll, const config::Configuration& current)
{
    config::ConfigReply reply { current.version, std::nullopt };
    if (current.version > poll.activeVersion)
        reply.newerConfiguration = current;
    return this->sealer->seal(wire::MessageKind::ConfigReply, wire::encode(reply));
}

} // namespace zinnia::runtime
