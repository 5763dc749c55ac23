#pragma once

#include "standin/upstream_spec.hpp"
#include "zinnia/runtime/log_settings.hpp"
#include "zinnia/runtime/settings.hpp"

#include <string>
#include <vector>

namespace zinnia::standin {

struct UpstreamSettings {
    Endpoint control;
    std::string zone;
    /** Local address from which registrations are sent. */
    Endpoint registrationListen;
    /** Addresses at which the entries of the zone accept registrations. */
    std::vector<Endpoint> entries;
    Seconds lifetime { 12 };
    std::vector<UpstreamSpec> upstreams;
    runtime::LogSettings log;
};

[[nodiscard]] UpstreamSettings readUpstreamSettings(runtime::TableReader& root);

/** @brief Reads a duration given in milliseconds, with fractions. */
[[nodiscard]] Microseconds readMilliseconds(runtime::TableReader& table, std::string_view key, Microseconds fallback);

} // namespace zinnia::standin
