#pragma once

#include "zinnia/config/command_outcome.hpp"
#include "zinnia/config/configuration.hpp"

#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace zinnia::runtime {

/** @brief This replica is not the leader; the command was rejected and will not be applied. */
struct NotLeader {
    /** HTTP address of the leader for operators, if the leader is known. */
    std::optional<Endpoint> leader;
};

/** @brief The leader lost its lease before the command was committed; it may or may not be applied. */
struct OutcomeUnknown { };

using SubmitResult = std::variant<config::CommandOutcome, NotLeader, OutcomeUnknown>;

/** @brief Role of a control replica. */
enum class ReplicaRole : unsigned char { Leader, Follower, Candidate, Learner };

inline constexpr NameTable<ReplicaRole, 4> replicaRoleNames { {
    { ReplicaRole::Leader, "leader" },
    { ReplicaRole::Follower, "follower" },
    { ReplicaRole::Candidate, "candidate" },
    { ReplicaRole::Learner, "learner" },
} };
static_assert(isDense(replicaRoleNames));

[[nodiscard]] constexpr const auto& namesOf(ReplicaRole) noexcept { return replicaRoleNames; }
[[nodiscard]] constexpr std::string_view nameOf(ReplicaRole role) noexcept { return nameIn(replicaRoleNames, role); }

/** @brief Status of an entry or control instance as seen by a control instance. */
struct InstanceStatus {
    InstanceId id;
    ZoneId zone;
    /** Active version that the instance last reported. */
    ConfigVersion version;
    /** True if the instance has reported within the last 3 s. */
    bool reachable {};
    /** Time since the last report of the instance; absent if there was none. */
    std::optional<Milliseconds> sinceLastReport;

    /** JSON field names, in the order of `describe`. */
    static constexpr std::array<std::string_view, 5> fieldNames { "id", "zone", "version", "reachable", "heard_ms" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.zone, self.version, self.reachable, self.sinceLastReport);
    }
    [[nodiscard]] friend bool operator==(const InstanceStatus&, const InstanceStatus&) = default;
};

/** @brief State of the cluster as seen by one control instance. */
struct ClusterStatus {
    InstanceId self;
    ReplicaRole role {};
    /** HTTP address of the leader for operators, if the leader is known. */
    std::optional<Endpoint> leader;
    /** Newest committed version known to this replica. */
    ConfigVersion version;
    std::vector<InstanceStatus> instances;

    /** JSON field names, in the order of `describe`. */
    static constexpr std::array<std::string_view, 5> fieldNames { "self", "role", "leader", "version", "instances" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.self, self.role, self.leader, self.version, self.instances);
    }
    [[nodiscard]] friend bool operator==(const ClusterStatus&, const ClusterStatus&) = default;
};

/**
 * @brief Interface of a control replica for the operator interface.
 *
 * All functions are called from the threads of the HTTP server, possibly concurrently.
 */
class ControlBackend {
public:
    virtual ~ControlBackend() = default;

    /** @brief Submits a command; `done` is called once with its result, from any thread. */
    virtual void submit(const config::CommandRequest& request, std::function<void(SubmitResult)> done) = 0;

    /** @return The newest committed configuration known to this replica. */
    [[nodiscard]] virtual config::Configuration configuration() const = 0;

    [[nodiscard]] virtual ClusterStatus status() const = 0;

protected:
    ControlBackend() = default;
    ControlBackend(const ControlBackend&) = default;
    ControlBackend& operator=(const ControlBackend&) = default;
};

} // namespace zinnia::runtime
