#pragma once

#include "zinnia/core/name_table.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/runtime/config_exchange.hpp"
#include "zinnia/runtime/config_log.hpp"
#include "zinnia/runtime/control_backend.hpp"
#include "zinnia/runtime/control_settings.hpp"
#include "zinnia/runtime/event_loop.hpp"
#include "zinnia/runtime/http_server.hpp"
#include "zinnia/runtime/instance_table.hpp"
#include "zinnia/runtime/metrics.hpp"
#include "zinnia/runtime/operator_interface.hpp"
#include "zinnia/runtime/replica_driver.hpp"
#include "zinnia/runtime/stream_server.hpp"

#include <map>
#include <memory>
#include <mutex>

namespace zinnia::runtime {

/** @brief Why a control instance could not be started. */
enum class ControlError : unsigned char { Storage, Replica, StreamAddress, HttpAddress, OperatorToken };

inline constexpr NameTable<ControlError, 5> controlErrorNames { {
    { ControlError::Storage, "storage" },
    { ControlError::Replica, "replica" },
    { ControlError::StreamAddress, "stream_address" },
    { ControlError::HttpAddress, "http_address" },
    { ControlError::OperatorToken, "operator_token" },
} };
static_assert(isDense(controlErrorNames));

[[nodiscard]] constexpr std::string_view nameOf(ControlError error) noexcept
{
    return nameIn(controlErrorNames, error);
}

/**
 * @brief One control instance: the replicated log of operator commands, the configuration and its distribution.
 *
 * `submit`, `configuration` and `status` are called by HTTP threads; everything else runs on the loop thread.
 */
class ControlProcess final : public ControlBackend {
public:
    /** @param loop Must outlive the process. */
    [[nodiscard]] static Result<std::unique_ptr<ControlProcess>, ControlError> create(
        const ControlSettings& settings, Epoch epoch, EventLoop& loop);
    ~ControlProcess() override;
    ControlProcess(const ControlProcess&) = delete;
    ControlProcess& operator=(const ControlProcess&) = delete;

    void submit(const config::CommandRequest& request, std::function<void(SubmitResult)> done) override;
    [[nodiscard]] config::Configuration configuration() const override;
    [[nodiscard]] ClusterStatus status() const override;

    /** @brief Refuses new commands and stops the loop once pending ones have a result, at the latest after 5 s. */
    void stop();

private:
    ControlProcess(const ControlSettings& settings, Epoch epoch, EventLoop& loop);

    [[nodiscard]] std::optional<ControlError> start();
    [[nodiscard]] ReplicaDriverSettings replicaSettings() const;
    [[nodiscard]] std::optional<Bytes> answer(BytesView sealed);
    [[nodiscard]] std::optional<Bytes> answerPoll(const wire::OpenedMessage& message, RefusalReason& reason);
    void applied(consensus::LogIndex index, BytesView record);
    void restored(BytesView state);
    void finish(const consensus::ProposalResult& result, const std::function<void(SubmitResult)>& done);
    void publish();
    void refresh();
    void continueStop(int turnsLeft);
    [[nodiscard]] std::optional<Endpoint> httpAddressOf(std::optional<InstanceId> instance) const;

    ControlSettings settings;
    EventLoop* loop;
    MetricsRegistry metrics;
    wire::Sealer sealer;
    ConfigExchange exchange;
    std::unique_ptr<FileSystem> files;
    ConfigLog log;
    /** Results of applied commands, for the pending proposals of this replica. */
    std::map<consensus::LogIndex, config::CommandOutcome> outcomes;
    std::unique_ptr<ReplicaDriver> replica;
    std::unique_ptr<StreamServer> streams;
    std::unique_ptr<OperatorInterface> operators;
    std::unique_ptr<HttpServer> http;

    /** Guards the members below, which HTTP threads also read. */
    mutable std::mutex mutex;
    std::shared_ptr<const config::Configuration> published;
    ClusterStatus publishedStatus;
    InstanceTable instances;
};

} // namespace zinnia::runtime
