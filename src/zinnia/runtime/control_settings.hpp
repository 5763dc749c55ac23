#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/runtime/cluster_settings.hpp"
#include "zinnia/runtime/log_settings.hpp"

#include <string>
#include <vector>

namespace zinnia::runtime {

/** @brief Identity and addresses of a control instance. */
struct ControlPeer {
    InstanceId id;
    Endpoint stream;
    Endpoint http;
};

/** @brief Settings of `zinnia-control`. */
struct ControlSettings {
    InstanceId instance;
    ZoneId zone;
    ClusterSettings cluster;
    /** TCP: streams of control and entry instances. */
    Endpoint stream;
    /** TCP: the operator interface, /metrics and /health. */
    Endpoint http;
    /** Data folder of this instance; created if it does not exist. */
    std::string folder;
    /** Creates a new cluster at the first start; set on one instance only. */
    bool bootstrap {};
    std::string operatorToken;
    /** All control instances, this one included. */
    std::vector<ControlPeer> controls;
    LogSettings log;
};

/** @brief Reads the settings of `zinnia-control` from the root table. */
[[nodiscard]] ControlSettings readControlSettings(TableReader& root);

} // namespace zinnia::runtime
