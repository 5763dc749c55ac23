#pragma once

#include "zinnia/config/distribution.hpp"
#include "zinnia/core/reasons.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/wire/envelope.hpp"

#include <functional>

namespace zinnia::runtime {

/** @brief Seals and opens stream messages, and encodes and decodes the configuration messages. */
class ConfigExchange {
public:
    /** @param sealer The only sealer for the streams of this process; must outlive the exchange. */
    ConfigExchange(const wire::ClusterKey& key, ClusterId cluster, InstanceId self, wire::Sealer& sealer);

    /** @return The sealed request to send to a control or entry instance. */
    [[nodiscard]] Bytes poll(ConfigVersion activeVersion);

    /** @return The reply to a poll, or the reason why the sealed message was refused. */
    [[nodiscard]] Result<config::ConfigReply, RefusalReason> readReply(BytesView sealed);

    /** @return The poll in an opened message, or `Malformed`. */
    [[nodiscard]] static Result<config::ConfigPoll, RefusalReason> readPoll(const wire::OpenedMessage& message);

    /** @return The sealed reply to a poll. */
    [[nodiscard]] Bytes answer(const config::ConfigPoll& poll, const config::Configuration& current);

    /** @brief Opens a sealed request received on a stream. */
    [[nodiscard]] Result<wire::OpenedMessage, RefusalReason> open(BytesView sealed)
    {
        return this->opener.open(sealed);
    }

private:
    InstanceId self;
    wire::Sealer* sealer;
    wire::Opener opener;
};

} // namespace zinnia::runtime
