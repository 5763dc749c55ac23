#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/hash.hpp"

#include <cstddef>

namespace zinnia::routing {

/** @brief Identifies a flow by the address of its caller and the address of its route. */
struct FlowId {
    Endpoint caller;
    Endpoint service;

    [[nodiscard]] friend bool operator==(const FlowId&, const FlowId&) = default;
};

/** @brief Hash function of `FlowId` for unordered containers. */
struct FlowIdHash {
    [[nodiscard]] std::size_t operator()(const FlowId& id) const noexcept
    {
        return hashOf(0, id.caller.address, id.caller.port, id.service.address, id.service.port);
    }
};

} // namespace zinnia::routing
