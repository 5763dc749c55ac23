#pragma once

#include "zinnia/config/configuration.hpp"
#include "zinnia/core/coap_message.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/reasons.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/core/time.hpp"

#include <optional>
#include <string>

namespace zinnia::upstream {

/** @brief Maximum lease of a registration; longer lifetimes are reduced to it. */
inline constexpr Seconds maxLease { 30 };

/** @brief A registration after RFC 9176, validated against the configuration. */
struct Registration {
    ServiceId service;
    std::string name;
    Endpoint address;
    Incarnation incarnation;
    /** Increases with each registration message of one incarnation; 0 if the upstream does not number them. */
    std::uint64_t sequence = 0;
    Seconds lease = maxLease;
    std::uint32_t slots = 2;
    std::uint32_t connections = 2000;
    std::uint32_t load = 0;
    bool draining = false;
};

/** @brief A parsed request to the resource directory. */
struct DirectoryRequest {
    enum class Kind : unsigned char { Register, Renew, Remove };
    Kind kind {};
    /** For `Register`. */
    Registration registration;
    /** For `Renew` and `Remove`. */
    UpstreamId id;
    /** For `Renew`: the parameters that are present. */
    std::optional<Seconds> lease;
    std::optional<std::uint32_t> load;
    bool draining = false;
};

/**
 * @brief Parses `POST /rd`, `POST /rd/<id>` and `DELETE /rd/<id>`.
 * @param source Address of the sender, used when there is no `con` parameter.
 * @return The request, or the refusal reason Malformed, UnknownService or WrongZone.
 */
[[nodiscard]] Result<DirectoryRequest, RefusalReason> parseDirectoryRequest(
    const CoapMessage& message, const Endpoint& source, const config::Configuration& configuration, ZoneId zone);

/** @return An answer with that code: piggybacked on the acknowledgement of a confirmable request, else
 * non-confirmable. */
[[nodiscard]] CoapMessage directoryAnswer(const CoapMessage& request, std::uint8_t code);
/** @return The refusal of a directory request, with its reason as an option. */
[[nodiscard]] CoapMessage directoryRefusal(const CoapMessage& request, RefusalReason reason);
/** @return The answer to a new registration: 2.01 with the location `rd/<id>`. */
[[nodiscard]] CoapMessage createdAnswer(const CoapMessage& request, UpstreamId id);

} // namespace zinnia::upstream
