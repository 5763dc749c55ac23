#pragma once

#include "zinnia/config/configuration.hpp"
#include "zinnia/runtime/control_backend.hpp"
#include "zinnia/runtime/http_client.hpp"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace zinnia::runtime {

/** @brief The command is active from this version on. */
struct CommandDone {
    ConfigVersion version;
    bool changed {};
};
/** @brief The command conflicts with one that was committed first; `text` names that one. */
struct CommandConflicted {
    std::string text;
};
/** @brief The command, the token or the answer is not valid; `text` has one line for each failure. */
struct CommandRefused {
    std::string text;
};
/** @brief No control instance accepted the command; it has not run. */
struct CommandUnreachable { };
/** @brief The command may or may not have run. */
struct CommandUnknown { };

using CommandResult = std::variant<CommandDone, CommandConflicted, CommandRefused, CommandUnreachable, CommandUnknown>;

/** @brief The leader's configuration, or why there is none. */
using ConfigurationResult = std::variant<config::Configuration, CommandRefused, CommandUnreachable>;

/** @brief Why no control instance gave a final answer. */
enum class NoAnswer : unsigned char { Unreachable, Unknown };

inline constexpr NameTable<NoAnswer, 2> noAnswerNames { {
    { NoAnswer::Unreachable, "unreachable" },
    { NoAnswer::Unknown, "unknown" },
} };
static_assert(isDense(noAnswerNames));

/** @brief Limits of the operators' client. */
struct OperatorClientSettings {
    /** Operators' HTTP addresses of the control instances. */
    std::vector<Endpoint> controls;
    std::string token;
    /** Rounds over all control instances. An election takes at most about 2 s. */
    unsigned rounds = 8;
    Milliseconds pauseBetweenRounds { 500 };
};

/** @brief Sends requests and supplies the clock; tests replace it. */
struct OperatorTransport {
    std::function<Result<HttpResponse, HttpClientError>(const Endpoint&, const HttpRequest&)> send;
    std::function<void(Milliseconds)> pause;
    std::function<TimePoint()> now;
};

/** @return The transport over HTTP and real time. */
[[nodiscard]] OperatorTransport httpTransport();

/**
 * @brief Sends commands to whichever control instance is the leader.
 *
 * Control instances are tried in turn, and answers 307 are followed. After a lost answer the same
 * command is sent again with the same id, so that it runs at most once.
 */
class OperatorClient {
public:
    OperatorClient(OperatorClientSettings settings, OperatorTransport transport);

    [[nodiscard]] CommandResult submit(const config::CommandRequest& request);

    [[nodiscard]] ConfigurationResult configuration();

    /** @return The answer of each reachable control instance, one for each. */
    [[nodiscard]] std::vector<ClusterStatus> statuses();

    /** @return The transport, for code that polls through this client. */
    [[nodiscard]] const OperatorTransport& transportInUse() const noexcept { return this->transport; }

private:
    /** @brief Sends to one control instance and follows redirects. */
    [[nodiscard]] Result<HttpResponse, HttpClientError> sendFollowing(const Endpoint& control, HttpRequest request);
    /** @brief Tries all control instances in turn until one gives a final answer. */
    [[nodiscard]] Result<HttpResponse, NoAnswer> sendToLeader(const HttpRequest& request);

    OperatorClientSettings settings;
    OperatorTransport transport;
};

/** @return The view of all control instances: for each instance the newest version and the latest contact. */
[[nodiscard]] std::vector<InstanceStatus> mergedInstances(const std::vector<ClusterStatus>& statuses);

} // namespace zinnia::runtime
