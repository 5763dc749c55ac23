#pragma once

#include "zinnia/core/ids.hpp"
#include "zinnia/runtime/settings.hpp"
#include "zinnia/wire/envelope.hpp"

#include <vector>

namespace zinnia::runtime {

/** @brief Settings that all processes of one cluster share: the table "cluster". */
struct ClusterSettings {
    ClusterId id;
    wire::ClusterKey key {};
};

/** @brief A control instance to contact: an element of the array of tables "control". */
struct ControlSeed {
    InstanceId id;
    Endpoint stream;
};

/** @brief Reads the table "cluster" with the keys "id" and "key" (64 hexadecimal digits). */
[[nodiscard]] ClusterSettings readClusterSettings(TableReader& root);

/** @brief Reads the array of tables "control" with the keys "id" and "stream". */
[[nodiscard]] std::vector<ControlSeed> readControlSeeds(TableReader& root);

} // namespace zinnia::runtime
