#pragma once

#include "zinnia/config/configuration.hpp"
#include "zinnia/core/reasons.hpp"
#include "zinnia/core/result.hpp"

namespace zinnia::config {

/**
 * @brief Decides whether an entry instance replaces its configuration by one that it received.
 *
 * The content is not validated again: the control instances have accepted it, and an entry instance of another
 * release must not reject a configuration that is active on the others.
 *
 * @param current Active configuration.
 * @param offered Received configuration.
 * @return The received configuration if it has a higher version and the same cluster; otherwise
 *         WrongCluster or StaleVersion.
 */
[[nodiscard]] inline Result<Configuration, RefusalReason> adopt(const Configuration& current, Configuration offered)
{
    if (offered.cluster != current.cluster)
        return RefusalReason::WrongCluster;
    if (offered.version <= current.version)
        return RefusalReason::StaleVersion;
    return offered;
}

} // namespace zinnia::config
