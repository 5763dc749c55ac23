#include "zinnia/runtime/config_log.hpp"

#include "zinnia/runtime/logger.hpp"
#include "zinnia/wire/config_codec.hpp"

namespace zinnia::runtime {

namespace {

    struct OutcomeLog {
        const config::CommandRequest& request;

        void operator()(const config::Accepted& outcome) const
        {
            log(Event::CommandAccepted, Field { "version", outcome.version }, Field { "changed", outcome.changed },
                Field { "operator", this->request.operatorName }, Field { "command", this->request.id },
                Field { "type", config::typeOf(this->request.command) });
        }

        void operator()(const config::Conflict& outcome) const
        {
            log(Event::CommandConflict, Field { "operator", this->request.operatorName },
                Field { "command", this->request.id }, Field { "winner", outcome.winningOperator },
                Field { "winner_command", outcome.winningCommand }, Field { "winner_version", outcome.winningVersion });
        }

        void operator()(const config::Rejected& outcome) const
        {
            log(Event::CommandRejected, Field { "operator", this->request.operatorName },
                Field { "command", this->request.id }, Field { "fault", outcome.errors.front().code },
                Field { "field", outcome.errors.front().field }, Field { "failures", outcome.errors.size() });
        }

        void operator()(const config::ReusedCommandId& outcome) const
        {
            log(Event::CommandRejected, Field { "operator", outcome.operatorName }, Field { "command", outcome.id },
                Field { "fault", "reused_command_id" });
        }
    };

} // namespace

ConfigLog::ConfigLog(ClusterId cluster)
    : machine { cluster }
{
}

config::CommandOutcome ConfigLog::apply(BytesView record)
{
    const auto request = wire::decodeCommand(record);
    if (!request) {
        const std::string error { nameOf(request.error()) };
        log(Event::CommandUndecodable, Field { "error", error }, Field { "bytes", record.size() });
        return config::Rejected { { { config::ConfigErrorCode::Undecodable, "", error, "a command" } } };
    }
    const bool resent = this->machine.resultOf(request.value().operatorName, request.value().id).has_value();
    config::CommandOutcome outcome = this->machine.apply(request.value(), wire::commandDigest(request.value()));
    if (resent)
        log(Event::CommandResent, Field { "operator", request.value().operatorName },
            Field { "command", request.value().id });
    else
        std::visit(OutcomeLog { request.value() }, outcome);
    return outcome;
}

Bytes ConfigLog::snapshot() const { return wire::encodeState(this->machine.snapshot()); }

Result<void, SnapshotError> ConfigLog::restore(BytesView bytes)
{
    auto state = wire::decodeState(bytes);
    if (!state)
        return SnapshotError::Undecodable;
    const auto restored = this->machine.restore(std::move(state.value()));
    if (!restored)
        return restored.error() == config::RestoreError::WrongCluster ? SnapshotError::WrongCluster
                                                                      : SnapshotError::OlderVersion;
    log(Event::SnapshotRestored, Field { "version", this->machine.configuration().version });
    return success();
}

} // namespace zinnia::runtime
