#include "zinnia/config/validation.hpp"

#include <cmath>
#include <map>
#include <set>

namespace zinnia::config {

namespace {

    constexpr double maxWeight = 1000.0;
    constexpr Milliseconds minFlowIdle { 1000 };
    constexpr Milliseconds maxFlowIdle { std::chrono::hours { 24 } };
    constexpr Milliseconds minDeadline { 1 };
    constexpr Milliseconds maxDeadline { std::chrono::minutes { 10 } };

    const std::string nameSyntax = "1 to 64 letters, digits, '.', '_' and '-'";

    std::string elementPath(const char* list, std::size_t index)
    {
        return std::string { list } + "[" + std::to_string(index) + "]";
    }

    bool isValidWeight(double weight) noexcept { return weight > 0.0 && weight <= maxWeight; }

    /** @brief Checks single values, detects duplicates and collects the errors. */
    class Checker {
    public:
        void addError(ConfigErrorCode code, const std::string& field, std::string value, std::string allowed)
        {
            this->errors.push_back(ConfigError { code, field, std::move(value), std::move(allowed) });
        }

        void checkWeight(const std::string& field, double weight)
        {
            if (!isValidWeight(weight))
                this->addError(
                    ConfigErrorCode::BadWeight, field, std::to_string(weight), "greater than 0, at most 1000");
        }

        void checkDuration(const std::string& field, Milliseconds value, Milliseconds minimum, Milliseconds maximum)
        {
            if (value >= minimum && value <= maximum)
                return;
            this->addError(ConfigErrorCode::BadDuration, field, std::to_string(value.count()),
                std::to_string(minimum.count()) + " to " + std::to_string(maximum.count()) + " ms");
        }

        void checkName(const std::string& field, const std::string& name, std::set<std::string>& usedValues)
        {
            if (!isValidName(name))
                this->addError(ConfigErrorCode::BadName, field, name, nameSyntax);
            else if (!usedValues.insert(name).second)
                this->addError(ConfigErrorCode::DuplicateName, field, name, "a name that no other has");
        }

        template <class Id> void checkId(const std::string& field, Id id, std::set<Id>& usedValues)
        {
            if (id == Id {})
                this->addError(ConfigErrorCode::BadId, field, "0", "an id greater than 0");
            else if (!usedValues.insert(id).second)
                this->addError(
                    ConfigErrorCode::DuplicateId, field, std::to_string(id.value), "an id that no other has");
        }

        /** @param usedValues Addresses in use with the same transport protocol, and the fields that hold them. */
        void checkAddress(
            const std::string& field, const Endpoint& address, std::map<Endpoint, std::string>& usedValues)
        {
            if (address.address == 0 || address.port == 0) {
                this->addError(
                    ConfigErrorCode::BadAddress, field, address.toString(), "an address and a port greater than 0");
                return;
            }
            const auto [existing, added] = usedValues.emplace(address, field);
            if (!added)
                this->addError(
                    ConfigErrorCode::DuplicateAddress, field, address.toString(), "not also " + existing->second);
        }

        void checkListSize(const char* field, std::size_t size)
        {
            if (size > maxListElements)
                this->addError(ConfigErrorCode::TooMany, field, std::to_string(size), "at most 40000 elements");
        }

        ConfigErrors errors;
    };

    struct UsedAddresses {
        std::map<Endpoint, std::string> udp;
        std::map<Endpoint, std::string> tcp;
    };

    void checkKinds(Checker& checker, const Service& service, const std::string& field)
    {
        if (service.mode == ServiceMode::Datagram && !service.kinds.empty()) {
            checker.addError(ConfigErrorCode::KindsOfDatagramService, field + ".kinds",
                std::to_string(service.kinds.size()), "no kinds, or the mode 'request'");
        }
        std::set<std::string> names;
        std::set<std::string> paths;
        for (std::size_t i = 0; i < service.kinds.size(); ++i) {
            const RequestKind& kind = service.kinds[i];
            const std::string kindField = field + "." + elementPath("kinds", i);
            checker.checkName(kindField + ".name", kind.name, names);
            if (!paths.insert(kind.path).second)
                checker.addError(
                    ConfigErrorCode::DuplicatePath, kindField + ".path", kind.path, "a path that no other kind has");
            checker.checkWeight(kindField + ".weight", kind.weight);
            checker.checkDuration(kindField + ".deadline_ms", kind.deadline, minDeadline, maxDeadline);
        }
    }

    void checkServices(Checker& checker, const Configuration& configuration, UsedAddresses& addresses)
    {
        if (configuration.services.empty())
            checker.addError(ConfigErrorCode::NoService, "services", "", "at least one service");
        std::set<ServiceId> ids;
        std::set<std::string> names;
        for (std::size_t i = 0; i < configuration.services.size(); ++i) {
            const Service& service = configuration.services[i];
            const std::string field = elementPath("services", i);
            checker.checkId(field + ".id", service.id, ids);
            checker.checkName(field + ".name", service.name, names);
            checker.checkAddress(field + ".address", service.address, addresses.udp);
            if (service.buckets < 1 || service.buckets > maxBuckets)
                checker.addError(
                    ConfigErrorCode::BadBucketCount, field + ".buckets", std::to_string(service.buckets), "1 to 65536");
            checker.checkDuration(field + ".flow_idle_ms", service.flowIdleTimeout, minFlowIdle, maxFlowIdle);
            checkKinds(checker, service, field);
        }
    }

    std::set<ZoneId> checkZones(Checker& checker, const Configuration& configuration)
    {
        std::set<ZoneId> ids;
        std::set<std::string> names;
        bool hasZoneInService = false;
        for (std::size_t i = 0; i < configuration.zones.size(); ++i) {
            const Zone& zone = configuration.zones[i];
            const std::string field = elementPath("zones", i);
            checker.checkId(field + ".id", zone.id, ids);
            checker.checkName(field + ".name", zone.name, names);
            checker.checkWeight(field + ".weight", zone.weight);
            hasZoneInService = hasZoneInService || zone.state == ZoneState::InService;
        }
        if (!hasZoneInService)
            checker.addError(ConfigErrorCode::NoZoneInService, "zones", "", "at least one zone in service");
        return ids;
    }

    void checkZoneOf(Checker& checker, const std::string& field, ZoneId zone, const std::set<ZoneId>& zones)
    {
        if (!zones.contains(zone))
            checker.addError(
                ConfigErrorCode::UnknownZone, field + ".zone", std::to_string(zone.value), "the id of a zone");
    }

    void checkEntries(Checker& checker, const Configuration& configuration, const std::set<ZoneId>& zones,
        std::set<InstanceId>& instances, UsedAddresses& addresses)
    {
        std::set<ZoneId> zonesWithEntry;
        for (std::size_t i = 0; i < configuration.entries.size(); ++i) {
            const Entry& entry = configuration.entries[i];
            const std::string field = elementPath("entries", i);
            checker.checkId(field + ".id", entry.id, instances);
            checkZoneOf(checker, field, entry.zone, zones);
            checker.checkAddress(field + ".peer_address", entry.peerAddress, addresses.udp);
            checker.checkAddress(field + ".fabric_address", entry.fabricAddress, addresses.udp);
            checker.checkAddress(field + ".stream_address", entry.streamAddress, addresses.tcp);
            zonesWithEntry.insert(entry.zone);
        }
        for (const Zone& zone : configuration.zones) {
            if (zone.state == ZoneState::InService && zonesWithEntry.contains(zone.id))
                return;
        }
        checker.addError(ConfigErrorCode::NoEntry, "entries", "", "at least one entry in a zone that is in service");
    }

    void checkControls(Checker& checker, const Configuration& configuration, const std::set<ZoneId>& zones,
        std::set<InstanceId>& instances, UsedAddresses& addresses)
    {
        const std::size_t count = configuration.controls.size();
        if (count < 1 || count > maxControls)
            checker.addError(
                ConfigErrorCode::BadControlCount, "controls", std::to_string(count), "1 to 7 control instances");
        std::map<ZoneId, std::size_t> controlsPerZone;
        for (std::size_t i = 0; i < count; ++i) {
            const Control& control = configuration.controls[i];
            const std::string field = elementPath("controls", i);
            checker.checkId(field + ".id", control.id, instances);
            checkZoneOf(checker, field, control.zone, zones);
            checker.checkAddress(field + ".stream_address", control.streamAddress, addresses.tcp);
            checker.checkAddress(field + ".http_address", control.httpAddress, addresses.tcp);
            ++controlsPerZone[control.zone];
        }
        if (zones.size() < 2)
            return;
        // If one zone held a majority, no change could be committed while that zone is lost.
        for (const auto& [zone, controls] : controlsPerZone) {
            if (controls * 2 > count)
                checker.addError(ConfigErrorCode::ControlMajority, "controls",
                    "zone " + std::to_string(zone.value) + " has " + std::to_string(controls) + " of "
                        + std::to_string(count),
                    "at most half of the control instances in one zone");
        }
    }

    void checkDrained(Checker& checker, const Configuration& configuration)
    {
        std::set<ServiceId> services;
        for (const Service& service : configuration.services)
            services.insert(service.id);
        for (std::size_t i = 0; i < configuration.drained.size(); ++i) {
            const DrainedUpstream& upstream = configuration.drained[i];
            const std::string field = elementPath("drained", i);
            if (!services.contains(upstream.service))
                checker.addError(ConfigErrorCode::UnknownService, field + ".service",
                    std::to_string(upstream.service.value), "the id of a service");
            if (!isValidName(upstream.name))
                checker.addError(ConfigErrorCode::BadName, field + ".name", upstream.name, nameSyntax);
        }
    }

    template <class List> const typename List::value_type* findByName(const List& list, const std::string& name)
    {
        for (const auto& item : list) {
            if (item.name == name)
                return &item;
        }
        return nullptr;
    }

} // namespace

bool isValidName(std::string_view text) noexcept
{
    for (const char c : text) {
        const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        const bool digit = c >= '0' && c <= '9';
        if (!letter && !digit && c != '.' && c != '_' && c != '-')
            return false;
    }
    return !text.empty() && text.size() <= maxNameBytes;
}

ConfigErrors validate(const Configuration& configuration)
{
    Checker checker;
    checker.checkListSize("services", configuration.services.size());
    checker.checkListSize("zones", configuration.zones.size());
    checker.checkListSize("entries", configuration.entries.size());
    checker.checkListSize("drained", configuration.drained.size());
    if (!checker.errors.empty())
        return checker.errors;
    if (configuration.cluster == ClusterId {})
        checker.addError(ConfigErrorCode::BadId, "cluster", "0", "an id greater than 0");
    UsedAddresses addresses;
    std::set<InstanceId> instances;
    checkServices(checker, configuration, addresses);
    const std::set<ZoneId> zones = checkZones(checker, configuration);
    checkEntries(checker, configuration, zones, instances, addresses);
    checkControls(checker, configuration, zones, instances, addresses);
    checkDrained(checker, configuration);
    return checker.errors;
}

ConfigErrors validateRules(const Rules& rules, const Configuration& configuration)
{
    Checker checker;
    std::set<std::string> targets;
    const auto requireUnique = [&](const std::string& field, const std::string& target) {
        if (!targets.insert(field.substr(0, field.find('[')) + " " + target).second)
            checker.addError(ConfigErrorCode::DuplicateRule, field, target, "one rule for each target");
    };
    for (std::size_t i = 0; i < rules.kinds.size(); ++i) {
        const KindRule& rule = rules.kinds[i];
        const std::string field = elementPath("rules.kinds", i);
        const Service* service = findByName(configuration.services, rule.service);
        if (!service)
            checker.addError(
                ConfigErrorCode::UnknownService, field + ".service", rule.service, "the name of a service");
        else if (!findByName(service->kinds, rule.kind))
            checker.addError(
                ConfigErrorCode::UnknownKind, field + ".kind", rule.kind, "the name of a kind of the service");
        if (rule.weight)
            checker.checkWeight(field + ".weight", *rule.weight);
        requireUnique(field, rule.service + " " + rule.kind);
    }
    for (std::size_t i = 0; i < rules.zones.size(); ++i) {
        const std::string field = elementPath("rules.zones", i);
        if (!findByName(configuration.zones, rules.zones[i].zone))
            checker.addError(ConfigErrorCode::UnknownZone, field + ".zone", rules.zones[i].zone, "the name of a zone");
        checker.checkWeight(field + ".weight", rules.zones[i].weight);
        requireUnique(field, rules.zones[i].zone);
    }
    for (std::size_t i = 0; i < rules.idle.size(); ++i) {
        const std::string field = elementPath("rules.idle", i);
        if (!findByName(configuration.services, rules.idle[i].service))
            checker.addError(
                ConfigErrorCode::UnknownService, field + ".service", rules.idle[i].service, "the name of a service");
        checker.checkDuration(field + ".flow_idle_ms", rules.idle[i].flowIdleTimeout, minFlowIdle, maxFlowIdle);
        requireUnique(field, rules.idle[i].service);
    }
    return checker.errors;
}

} // namespace zinnia::config
