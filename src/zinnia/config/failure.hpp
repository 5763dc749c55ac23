#pragma once

#include "zinnia/core/name_table.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinnia::config {

/** @brief Why a configuration or a command is not valid. */
enum class ConfigFault : std::uint8_t {
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

inline constexpr NameTable<ConfigFault, 25> configFaultNames { {
    { ConfigFault::BadId, "bad_id" },
    { ConfigFault::BadName, "bad_name" },
    { ConfigFault::BadAddress, "bad_address" },
    { ConfigFault::BadBucketCount, "bad_bucket_count" },
    { ConfigFault::BadWeight, "bad_weight" },
    { ConfigFault::BadDuration, "bad_duration" },
    { ConfigFault::DuplicateId, "duplicate_id" },
    { ConfigFault::DuplicateName, "duplicate_name" },
    { ConfigFault::DuplicateAddress, "duplicate_address" },
    { ConfigFault::DuplicatePath, "duplicate_path" },
    { ConfigFault::DuplicateRule, "duplicate_rule" },
    { ConfigFault::UnknownZone, "unknown_zone" },
    { ConfigFault::UnknownService, "unknown_service" },
    { ConfigFault::UnknownKind, "unknown_kind" },
    { ConfigFault::KindsOfDatagramService, "kinds_of_datagram_service" },
    { ConfigFault::NoService, "no_service" },
    { ConfigFault::NoZoneInService, "no_zone_in_service" },
    { ConfigFault::NoEntry, "no_entry" },
    { ConfigFault::BadControlCount, "bad_control_count" },
    { ConfigFault::ControlMajority, "control_majority" },
    { ConfigFault::WrongCluster, "wrong_cluster" },
    { ConfigFault::FixedValue, "fixed_value" },
    { ConfigFault::BaseVersionAhead, "base_version_ahead" },
    { ConfigFault::TooMany, "too_many" },
    { ConfigFault::Undecodable, "undecodable" },
} };
static_assert(isDense(configFaultNames));

[[nodiscard]] constexpr const auto& namesOf(ConfigFault) noexcept { return configFaultNames; }
[[nodiscard]] constexpr std::string_view nameOf(ConfigFault fault) noexcept { return nameIn(configFaultNames, fault); }

/** @brief A validation error of a configuration or command. */
struct ConfigFailure {
    ConfigFault fault {};
    /** Path of the field, such as "entries[3].zone". */
    std::string field;
    std::string value;
    /** Description of the allowed values. */
    std::string allowed;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 4> fieldNames { "fault", "field", "value", "allowed" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.fault, self.field, self.value, self.allowed);
    }
    [[nodiscard]] friend bool operator==(const ConfigFailure&, const ConfigFailure&) = default;
};

using ConfigFailures = std::vector<ConfigFailure>;

} // namespace zinnia::config
