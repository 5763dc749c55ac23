#pragma once

#include "zinnia/core/time.hpp"
#include "zinnia/routing/admission_settings.hpp"

namespace zinnia::routing {

/** @brief Settings of placement, spill-over and admission by the load of all routers of the zone. */
struct LoadSharingSettings {
    /** Without load sharing, upstreams are chosen by the counts of this router alone, and nothing waits. */
    bool enabled {};
    /**
     * Wait that a caller must be spared for each KiB of its request and answer to be sent to another zone. It stands
     * for what traffic between zones costs the operator.
     */
    Milliseconds zoneCostPerKib { 5 };
    /** Bounds of the openings that wait. */
    AdmissionSettings admission {};
};

} // namespace zinnia::routing
