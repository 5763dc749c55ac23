#include "zinnia/config/apply_command.hpp"

#include "zinnia/config/validation.hpp"

#include <algorithm>
#include <set>

namespace zinnia::config {

namespace {

    template <class List> auto findByName(List& list, const std::string& name)
    {
        const auto position = std::ranges::find(list, name, &std::ranges::range_value_t<List>::name);
        return position == list.end() ? nullptr : &*position;
    }

    /** @brief Takes services and zones from the inventory, keeps the states of zones and applies the rules. */
    void buildConfiguration(ChangedConfiguration& next)
    {
        Configuration& configuration = next.configuration;
        std::vector<Zone> zones = next.inventory.zones;
        for (Zone& zone : zones) {
            const auto* previous = [&]() -> const Zone* {
                const auto position = std::ranges::find(configuration.zones, zone.id, &Zone::id);
                return position == configuration.zones.end() ? nullptr : &*position;
            }();
            zone.state = previous ? previous->state : ZoneState::InService;
        }
        configuration.services = next.inventory.services;
        configuration.zones = std::move(zones);
        for (const KindRule& rule : configuration.rules.kinds) {
            Service* service = findByName(configuration.services, rule.service);
            RequestKind* kind = service ? findByName(service->kinds, rule.kind) : nullptr;
            if (!kind)
                continue;
            kind->priority = rule.priority.value_or(kind->priority);
            kind->weight = rule.weight.value_or(kind->weight);
        }
        for (const ZoneRule& rule : configuration.rules.zones) {
            if (Zone* zone = findByName(configuration.zones, rule.zone))
                zone->weight = rule.weight;
        }
        for (const IdleTimeoutRule& rule : configuration.rules.idle) {
            if (Service* service = findByName(configuration.services, rule.service))
                service->flowIdleTimeout = rule.flowIdleTimeout;
        }
    }

    /** @brief Removes drained upstreams and rules whose service, kind or zone the inventory no longer has. */
    void removeDanglingReferences(ChangedConfiguration& next)
    {
        const ApplyInventory& inventory = next.inventory;
        std::erase_if(next.configuration.drained, [&](const DrainedUpstream& upstream) {
            return std::ranges::find(inventory.services, upstream.service, &Service::id) == inventory.services.end();
        });
        Rules& rules = next.configuration.rules;
        std::erase_if(rules.kinds, [&](const KindRule& rule) {
            const Service* service = findByName(inventory.services, rule.service);
            return !service || !findByName(service->kinds, rule.kind);
        });
        std::erase_if(rules.zones, [&](const ZoneRule& rule) { return !findByName(inventory.zones, rule.zone); });
        std::erase_if(
            rules.idle, [&](const IdleTimeoutRule& rule) { return !findByName(inventory.services, rule.service); });
    }

    /**
     * @brief Rejects a change of a service's bucket count or mode.
     *
     * The bucket and the processing of a flow depend on them, so changing them would break every flow.
     */
    void checkImmutableValues(const Configuration& current, const ApplyInventory& inventory, ConfigErrors& errors)
    {
        for (std::size_t i = 0; i < inventory.services.size(); ++i) {
            const Service& service = inventory.services[i];
            const auto previous = std::ranges::find(current.services, service.id, &Service::id);
            if (previous == current.services.end())
                continue;
            const std::string field = "services[" + std::to_string(i) + "].";
            if (previous->buckets != service.buckets)
                errors.push_back({ ConfigErrorCode::FixedValue, field + "buckets", std::to_string(service.buckets),
                    std::to_string(previous->buckets) + ", or another service id" });
            if (previous->mode != service.mode)
                errors.push_back({ ConfigErrorCode::FixedValue, field + "mode",
                    std::string { nameIn(serviceModeNames, service.mode) },
                    std::string { nameIn(serviceModeNames, previous->mode) } + ", or another service id" });
        }
    }

    /** @brief Visitor that applies a `Command` to `next` and collects the errors. */
    struct CommandVisitor {
        ChangedConfiguration& next;
        ConfigErrors& errors;

        void operator()(const ApplyInventory& command) const
        {
            if (command.cluster != this->next.configuration.cluster)
                this->errors.push_back({ ConfigErrorCode::WrongCluster, "cluster",
                    std::to_string(command.cluster.value), std::to_string(this->next.configuration.cluster.value) });
            checkImmutableValues(this->next.configuration, command, this->errors);
            this->next.inventory = command;
            this->next.configuration.entries = command.entries;
            this->next.configuration.controls = command.controls;
            removeDanglingReferences(this->next);
            buildConfiguration(this->next);
        }

        void operator()(const ApplyRules& command) const
        {
            ConfigErrors found = validateRules(command.rules, this->next.configuration);
            this->errors.insert(this->errors.end(), found.begin(), found.end());
            this->next.configuration.rules = command.rules;
            buildConfiguration(this->next);
        }

        void operator()(const WithdrawZone& command) const { this->setZoneState(command.zone, ZoneState::Withdrawn); }
        void operator()(const ReturnZone& command) const { this->setZoneState(command.zone, ZoneState::InService); }

        void operator()(const DrainUpstream& command) const
        {
            const auto upstream = this->upstreamOf(command.service, command.name);
            auto& drained = this->next.configuration.drained;
            if (std::ranges::find(drained, upstream) == drained.end())
                drained.push_back(upstream);
        }

        void operator()(const UndrainUpstream& command) const
        {
            std::erase(this->next.configuration.drained, this->upstreamOf(command.service, command.name));
        }

    private:
        void setZoneState(const std::string& name, ZoneState state) const
        {
            if (Zone* zone = findByName(this->next.configuration.zones, name))
                zone->state = state;
            else
                this->errors.push_back({ ConfigErrorCode::UnknownZone, "zone", name, "the name of a zone" });
        }

        [[nodiscard]] DrainedUpstream upstreamOf(const std::string& service, const std::string& name) const
        {
            if (const Service* found = findByName(this->next.configuration.services, service))
                return { found->id, name };
            this->errors.push_back({ ConfigErrorCode::UnknownService, "service", service, "the name of a service" });
            return { {}, name };
        }
    };

} // namespace

Result<ChangedConfiguration, ConfigErrors> applyCommand(
    const Configuration& current, const ApplyInventory& inventory, const Command& command)
{
    ChangedConfiguration next { current, inventory };
    ConfigErrors errors;
    std::visit(CommandVisitor { next, errors }, command);
    if (!errors.empty())
        return errors;
    errors = validate(next.configuration);
    if (!errors.empty())
        return errors;
    return next;
}

} // namespace zinnia::config
