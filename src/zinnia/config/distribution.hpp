#pragma once

#include "zinnia/config/configuration.hpp"

#include <optional>

namespace zinnia::config {

/** @brief Request of an entry instance for a newer configuration than its active one. */
struct ConfigPoll {
    InstanceId instance;
    ConfigVersion activeVersion;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.instance, self.activeVersion);
    }
};

/** @brief Reply to `ConfigPoll`: the sender's active version, and the configuration if that version is newer. */
struct ConfigReply {
    ConfigVersion activeVersion;
    std::optional<Configuration> newerConfiguration;

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.activeVersion, self.newerConfiguration);
    }
};

} // namespace zinnia::config
