#pragma once

#include "zinnia/core/name_table.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinnia::config {

/** @brief Why a configuration or a command is not valid. */
enum class ConfigErrorCode : std::uint8_t {
    BadId,
    BadName,
    BadAddress,
    BadBucketCount,
    BadWeight,
    BadDuration,
    DuplicateId,
    DuplicateName,
    DuplicateAddress,
    DuplicatePath,
    DuplicateRule,
    UnknownZone,
    UnknownService,
    UnknownKind,
    KindsOfDatagramService,
    NoService,
    NoZoneInService,
    NoEntry,
    BadControlCount,
    ControlMajority,
    WrongCluster,
    FixedValue,
    BaseVersionAhead,
    TooMany,
    Undecodable,
};

inline constexpr NameTable<ConfigErrorCode, 25> configErrorCodeNames { {
    { ConfigErrorCode::BadId, "bad_id" },
    { ConfigErrorCode::BadName, "bad_name" },
    { ConfigErrorCode::BadAddress, "bad_address" },
    { ConfigErrorCode::BadBucketCount, "bad_bucket_count" },
    { ConfigErrorCode::BadWeight, "bad_weight" },
    { ConfigErrorCode::BadDuration, "bad_duration" },
    { ConfigErrorCode::DuplicateId, "duplicate_id" },
    { ConfigErrorCode::DuplicateName, "duplicate_name" },
    { ConfigErrorCode::DuplicateAddress, "duplicate_address" },
    { ConfigErrorCode::DuplicatePath, "duplicate_path" },
    { ConfigErrorCode::DuplicateRule, "duplicate_rule" },
    { ConfigErrorCode::UnknownZone, "unknown_zone" },
    { ConfigErrorCode::UnknownService, "unknown_service" },
    { ConfigErrorCode::UnknownKind, "unknown_kind" },
    { ConfigErrorCode::KindsOfDatagramService, "kinds_of_datagram_service" },
    { ConfigErrorCode::NoService, "no_service" },
    { ConfigErrorCode::NoZoneInService, "no_zone_in_service" },
    { ConfigErrorCode::NoEntry, "no_entry" },
    { ConfigErrorCode::BadControlCount, "bad_control_count" },
    { ConfigErrorCode::ControlMajority, "control_majority" },
    { ConfigErrorCode::WrongCluster, "wrong_cluster" },
    { ConfigErrorCode::FixedValue, "fixed_value" },
    { ConfigErrorCode::BaseVersionAhead, "base_version_ahead" },
    { ConfigErrorCode::TooMany, "too_many" },
    { ConfigErrorCode::Undecodable, "undecodable" },
} };
static_assert(isDense(configErrorCodeNames));

[[nodiscard]] constexpr const auto& namesOf(ConfigErrorCode) noexcept { return configErrorCodeNames; }
[[nodiscard]] constexpr std::string_view nameOf(ConfigErrorCode fault) noexcept
{
    return nameIn(configErrorCodeNames, fault);
}

/** @brief A validation error of a configuration or command. */
struct ConfigError {
    ConfigErrorCode code {};
    /** Path of the field, such as "entries[3].zone". */
    std::string field;
    std::string value;
    /** Description of the allowed values. */
    std::string allowed;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 4> fieldNames { "fault", "field", "value", "allowed" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.code, self.field, self.value, self.allowed);
    }
    [[nodiscard]] friend bool operator==(const ConfigError&, const ConfigError&) = default;
};

using ConfigErrors = std::vector<ConfigError>;

} // namespace zinnia::config
