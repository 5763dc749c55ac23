#pragma once

#include "standin/caller.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/runtime/log_settings.hpp"
#include "zinnia/runtime/settings.hpp"

#include <string>
#include <vector>

namespace zinnia::standin {

enum class FlowType : unsigned char { Datagram, Request, Stream };

inline constexpr NameTable<FlowType, 3> flowTypeNames { {
    { FlowType::Datagram, "datagram" },
    { FlowType::Request, "request" },
    { FlowType::Stream, "stream" },
} };
static_assert(isDense(flowTypeNames));

enum class RequestMethod : unsigned char { Get, Post, Put };

inline constexpr NameTable<RequestMethod, 3> requestMethodNames { {
    { RequestMethod::Get, "get" },
    { RequestMethod::Post, "post" },
    { RequestMethod::Put, "put" },
} };
static_assert(isDense(requestMethodNames));

/** @brief One part of the workload. */
struct LoadPart {
    FlowType type {};
    /** Service, address and, for requests, the kind; the lifetime is the mean of an exponential distribution. */
    RequestFlowSpec flow;
    double weight = 1;
    /** Mean of a Poisson process. */
    double newPerSecond = 0;
    /** Flows that are opened in the first second and last until the end of the run. */
    std::uint32_t longLived = 0;
};

struct LoadSettings {
    Endpoint control;
    std::uint64_t seed = 1;
    /** Number of the load generator; makes request ids unique among the generators of one run. */
    std::uint32_t generator = 1;
    Seconds duration { 30 };
    /** IP address of the callers; its port is not used. */
    Endpoint callers;
    /** JSON-lines file. */
    std::string output;
    std::vector<Endpoint> upstreamControls;
    std::vector<Endpoint> fabricControls;
    std::vector<LoadPart> parts;
    runtime::LogSettings log;
};

[[nodiscard]] LoadSettings readLoadSettings(runtime::TableReader& root);

} // namespace zinnia::standin
