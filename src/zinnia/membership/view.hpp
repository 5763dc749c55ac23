#pragma once

#include "zinnia/core/ids.hpp"
#include "zinnia/core/name_table.hpp"

#include <vector>

namespace zinnia::membership {

/** @brief The state that an entry instance announces in its heartbeats. */
enum class MemberState : unsigned char { Joining, Active, Leaving };

inline constexpr NameTable<MemberState, 3> memberStateNames { {
    { MemberState::Joining, "joining" },
    { MemberState::Active, "active" },
    { MemberState::Leaving, "leaving" },
} };
static_assert(isDense(memberStateNames));

/** @brief A live entry instance. */
struct Member {
    InstanceId id;
    ZoneId zone;
    Epoch epoch;
    MemberState state {};

    [[nodiscard]] friend bool operator==(const Member&, const Member&) = default;
};

/** @brief The live entry instances as one instance sees them, itself included, sorted by id. */
struct View {
    InstanceId self;
    ZoneId zone;
    std::vector<Member> members;

    [[nodiscard]] friend bool operator==(const View&, const View&) = default;
};

} // namespace zinnia::membership
