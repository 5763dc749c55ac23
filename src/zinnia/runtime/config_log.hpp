#pragma once

#include "zinnia/config/config_state_machine.hpp"
#include "zinnia/core/bytes.hpp"

namespace zinnia::runtime {

/** @brief Why a snapshot could not be restored. */
enum class SnapshotError : unsigned char { Undecodable, WrongCluster, OlderVersion };

inline constexpr NameTable<SnapshotError, 3> snapshotErrorNames { {
    { SnapshotError::Undecodable, "undecodable" },
    { SnapshotError::WrongCluster, "wrong_cluster" },
    { SnapshotError::OlderVersion, "older_version" },
} };
static_assert(isDense(snapshotErrorNames));

[[nodiscard]] constexpr std::string_view nameOf(SnapshotError error) noexcept
{
    return nameIn(snapshotErrorNames, error);
}

/** @brief Decodes replicated log entries and applies them to the configuration state machine. Logs each result. */
class ConfigLog {
public:
    explicit ConfigLog(ClusterId cluster);

    /** @brief Applies the next committed log entry. Bytes that do not decode to a command change nothing. */
    config::CommandOutcome apply(BytesView record);

    [[nodiscard]] Bytes snapshot() const;
    [[nodiscard]] Result<void, SnapshotError> restore(BytesView bytes);

    [[nodiscard]] const config::ConfigStateMachine& state() const noexcept { return this->machine; }

private:
    config::ConfigStateMachine machine;
};

} // namespace zinnia::runtime
