#pragma once

#include "zinnia/config/config_error.hpp"
#include "zinnia/config/configuration.hpp"

namespace zinnia::config {

/** @brief Maximum number of control instances (requirement 1: at most 7 are set aside). */
inline constexpr std::size_t maxControls = 7;
/** @brief Maximum number of buckets of a service: `BucketIndex` has 16 bits. */
inline constexpr std::uint32_t maxBuckets = 65536;
/** @brief Maximum length of a name. Unit: bytes. */
inline constexpr std::size_t maxNameBytes = 64;
/** @brief Maximum number of elements of each list; the design size is 4,000 entries and 32,000 upstreams. */
inline constexpr std::size_t maxListElements = 40000;

/** @return True if the text is 1 to 64 letters, digits, '.', '_' and '-', which need no escaping in logs and HTML. */
[[nodiscard]] bool isValidName(std::string_view text) noexcept;

/** @return All errors of a complete configuration; empty if it is valid. */
[[nodiscard]] ConfigErrors validate(const Configuration& configuration);

/** @return An error for each rule that names an unknown object, has an invalid value or repeats another rule. */
[[nodiscard]] ConfigErrors validateRules(const Rules& rules, const Configuration& configuration);

} // namespace zinnia::config
