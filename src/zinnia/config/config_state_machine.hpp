#pragma once

#include "zinnia/config/config_state.hpp"
#include "zinnia/core/result.hpp"

#include <deque>
#include <map>
#include <optional>

namespace zinnia::config {

/** @brief Number of most recent commands whose results are retained to answer resent commands. */
inline constexpr std::size_t maxRetainedResults = 1000;
/** @brief Number of errors retained of one rejected command; more would only enlarge each snapshot. */
inline constexpr std::size_t maxRetainedErrors = 50;

/** @brief Why a snapshot was not restored. */
enum class RestoreError : std::uint8_t { WrongCluster, OlderVersion };

inline constexpr NameTable<RestoreError, 2> restoreErrorNames { {
    { RestoreError::WrongCluster, "wrong_cluster" },
    { RestoreError::OlderVersion, "older_version" },
} };
static_assert(isDense(restoreErrorNames));

/**
 * @brief Applies committed commands to the configuration, in log order.
 *
 * Deterministic: the state depends only on the sequence of commands, so all replicas that have applied the same log
 * hold the same state and return the same results. The version increases by one with each change.
 */
class ConfigStateMachine {
public:
    /** @brief Starts with an empty configuration of version 0. */
    explicit ConfigStateMachine(ClusterId cluster);

    /**
     * @brief Applies the next command of the log.
     * @param digest Hash of the encoded command without operator and id; detects a reused id with other content.
     * @return The result; for a resent command the result of the first time.
     */
    CommandOutcome apply(const CommandRequest& request, std::uint64_t digest);

    /** @return The result of an earlier command, if it is still retained. */
    [[nodiscard]] std::optional<CommandOutcome> resultOf(const std::string& operatorName, CommandId id) const;

    [[nodiscard]] const Configuration& configuration() const noexcept { return this->current; }
    [[nodiscard]] ConfigState snapshot() const;

    /**
     * @brief Replaces the state by that of a snapshot.
     * @return Success, or OlderVersion or WrongCluster if the snapshot has a lower version or another cluster.
     */
    [[nodiscard]] Result<void, RestoreError> restore(ConfigState state);

private:
    struct CommandKey {
        std::string operatorName;
        CommandId id;
        [[nodiscard]] friend auto operator<=>(const CommandKey&, const CommandKey&) = default;
    };

    [[nodiscard]] CommandOutcome execute(const CommandRequest& request);
    [[nodiscard]] Conflict conflictFor(ConfigVersion base) const;
    void retain(CommandRecord record);

    Configuration current;
    ApplyInventory inventory;
    CommandKey lastChange;
    std::map<CommandKey, CommandRecord> records;
    /** Keys of `records`, oldest first; the oldest are dropped. */
    std::deque<CommandKey> recordOrder;
};

} // namespace zinnia::config
