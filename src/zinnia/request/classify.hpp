#pragma once

#include "zinnia/config/configuration.hpp"
#include "zinnia/core/coap_message.hpp"

#include <optional>

namespace zinnia::request {

/** @brief Scheduling properties of a request, from its CoAP options or the defaults of its kind in the inventory. */
struct RequestClass {
    std::uint8_t priority {};
    bool idempotent {};
    Milliseconds deadline {};
    /** Time since the caller first sent the request; empty if the request has no Age option. */
    std::optional<Milliseconds> age;
};

/**
 * @brief Classifies a request.
 * @param service Service of the inventory, or nullptr. A request without a matching kind is idempotent only if it is a
 * GET.
 * @param maxDeadline Upper bound of the resulting deadline.
 * @return The values of the options; for missing options the defaults of the kind with the longest matching path.
 */
[[nodiscard]] RequestClass classify(
    const CoapMessage& message, const config::Service* service, Milliseconds maxDeadline);

} // namespace zinnia::request
