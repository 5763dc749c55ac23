#include "zinnia/config/config_state_machine.hpp"

#include "zinnia/config/apply_command.hpp"
#include "zinnia/config/validation.hpp"

namespace zinnia::config {

ConfigStateMachine::ConfigStateMachine(ClusterId cluster) { this->current.cluster = cluster; }

CommandOutcome ConfigStateMachine::apply(const CommandRequest& request, std::uint64_t digest)
{
    if (const auto earlier = this->records.find(CommandKey { request.operatorName, request.id });
        earlier != this->records.end()) {
        if (earlier->second.digest != digest)
            return ReusedCommandId { request.operatorName, request.id };
        return earlier->second.outcome;
    }
    CommandOutcome outcome = this->execute(request);
    if (auto* rejected = std::get_if<Rejected>(&outcome); rejected && rejected->errors.size() > maxRetainedErrors)
        rejected->errors.resize(maxRetainedErrors);
    this->retain(CommandRecord { request.operatorName, request.id, digest, outcome });
    return outcome;
}

CommandOutcome ConfigStateMachine::execute(const CommandRequest& request)
{
    const std::string base = std::to_string(request.baseVersion.value);
    if (!isValidName(request.operatorName))
        return Rejected { { { ConfigErrorCode::BadName, "operator", request.operatorName.substr(0, maxNameBytes),
            "1 to 64 letters, digits, '.', '_' and '-'" } } };
    if (request.baseVersion > this->current.version)
        return Rejected { { { ConfigErrorCode::BaseVersionAhead, "base_version", base,
            "at most " + std::to_string(this->current.version.value) } } };
    if (request.baseVersion < this->current.version)
        return this->conflictFor(request.baseVersion);
    auto next = applyCommand(this->current, this->inventory, request.command);
    if (!next)
        return Rejected { std::move(next).error() };
    if (next.value().configuration == this->current && next.value().inventory == this->inventory)
        return Accepted { this->current.version, false };
    this->current = std::move(next.value().configuration);
    this->inventory = std::move(next.value().inventory);
    ++this->current.version.value;
    this->lastChange = CommandKey { request.operatorName, request.id };
    return Accepted { this->current.version, true };
}

Conflict ConfigStateMachine::conflictFor(ConfigVersion base) const
{
    const ConfigVersion next { base.value + 1 };
    for (const CommandKey& key : this->recordOrder) {
        const auto* accepted = std::get_if<Accepted>(&this->records.at(key).outcome);
        if (accepted && accepted->changed && accepted->version == next)
            return Conflict { key.operatorName, key.id, next, this->current.version };
    }
    // The result of the command that changed the base version is no longer retained; name the latest change instead.
    return Conflict { this->lastChange.operatorName, this->lastChange.id, this->current.version,
        this->current.version };
}

void ConfigStateMachine::retain(CommandRecord record)
{
    CommandKey key { record.operatorName, record.id };
    this->recordOrder.push_back(key);
    this->records.emplace(std::move(key), std::move(record));
    while (this->recordOrder.size() > maxRetainedResults) {
        this->records.erase(this->recordOrder.front());
        this->recordOrder.pop_front();
    }
}

std::optional<CommandOutcome> ConfigStateMachine::resultOf(const std::string& operatorName, CommandId id) const
{
    const auto found = this->records.find(CommandKey { operatorName, id });
    return found == this->records.end() ? std::nullopt : std::optional { found->second.outcome };
}

ConfigState ConfigStateMachine::snapshot() const
{
    ConfigState state { this->current, this->inventory, this->lastChange.operatorName, this->lastChange.id, {} };
    state.records.reserve(this->recordOrder.size());
    for (const CommandKey& key : this->recordOrder)
        state.records.push_back(this->records.at(key));
    return state;
}

Result<void, RestoreError> ConfigStateMachine::restore(ConfigState state)
{
    if (state.configuration.cluster != this->current.cluster)
        return RestoreError::WrongCluster;
    if (state.configuration.version < this->current.version)
        return RestoreError::OlderVersion;
    this->current = std::move(state.configuration);
    this->inventory = std::move(state.inventory);
    this->lastChange = CommandKey { std::move(state.lastOperator), state.lastCommand };
    this->records.clear();
    this->recordOrder.clear();
    for (CommandRecord& record : state.records)
        this->retain(std::move(record));
    return success();
}

} // namespace zinnia::config
