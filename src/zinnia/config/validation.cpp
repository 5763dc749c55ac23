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

    const std::string nameForm = "1 to 64 letters, digits, '.', '_' and '-'";

    std::string indexed(const char* list, std::size_t index)
    {
        return std::string { list } + "[" + std::to_string(index) + "]";
    }

    bool isWeight(double weight) noexcept { return weight > 0.0 && weight <= maxWeight; }

    /** @brief Checks single values, detects duplicates and collects the errors. */
    class Checker {
    public:
        void fail(ConfigErrorCode fault, const std::string& field, std::string value, std::string allowed)
        {
            this->failures.push_back(ConfigError { fault, field, std::move(value), std::move(allowed) });
        }

        void weight(const std::string& field, double weight)
        {
            if (!isWeight(weight))
                this->fail(ConfigErrorCode::BadWeight, field, std::to_string(weight), "greater than 0, at most 1000");
        }

        void duration(const std::string& field, Milliseconds value, Milliseconds least, Milliseconds most)
        {
            if (value >= least && value <= most)
                return;
            this->fail(ConfigErrorCode::BadDuration, field, std::to_string(value.count()),
                std::to_string(least.count()) + " to " + std::to_string(most.count()) + " ms");
        }

        void name(const std::string& field, const std::string& name, std::set<std::string>& others)
        {
            if (!isValidName(name))
                this->fail(ConfigErrorCode::BadName, field, name, nameForm);
            else if (!others.insert(name).second)
                this->fail(ConfigErrorCode::DuplicateName, field, name, "a name that no other has");
        }

        template <class Id> void id(const std::string& field, Id id, std::set<Id>& others)
        {
            if (id == Id {})
                this->fail(ConfigErrorCode::BadId, field, "0", "an id greater than 0");
            else if (!others.insert(id).second)
                this->fail(ConfigErrorCode::DuplicateId, field, std::to_string(id.value), "an id that no other has");
        }

        /** @param others Addresses already in use with the same transport protocol, and the fields that hold them. */
        void address(const std::string& field, const Endpoint& address, std::map<Endpoint, std::string>& others)
        {
            if (address.address == 0 || address.port == 0) {
                this->fail(
                    ConfigErrorCode::BadAddress, field, address.toString(), "an address and a port greater than 0");
                return;
            }
            const auto [place, added] = others.emplace(address, field);
            if (!added)
                this->fail(ConfigErrorCode::DuplicateAddress, field, address.toString(), "not also " + place->second);
        }

        void listSize(const char* field, std::size_t size)
        {
            if (size > maxListElements)
                this->fail(ConfigErrorCode::TooMany, field, std::to_string(size), "at most 40000 elements");
        }

        ConfigErrors failures;
    };

    struct Addresses {
        std::map<Endpoint, std::string> udp;
        std::map<Endpoint, std::string> tcp;
    };

    void checkKinds(Checker& checker, const Service& service, const std::string& field)
    {
        if (service.mode == ServiceMode::Datagram && !service.kinds.empty()) {
            checker.fail(ConfigErrorCode::KindsOfDatagramService, field + ".kinds",
                std::to_string(service.kinds.size()), "no kinds, or the mode 'request'");
        }
        std::set<std::string> names;
        std::set<std::string> paths;
        for (std::size_t i = 0; i < service.kinds.size(); ++i) {
            const RequestKind& kind = service.kinds[i];
            const std::string place = field + "." + indexed("kinds", i);
            checker.name(place + ".name", kind.name, names);
            if (!paths.insert(kind.path).second)
                checker.fail(
                    ConfigErrorCode::DuplicatePath, place + ".path", kind.path, "a path that no other kind has");
            checker.weight(place + ".weight", kind.weight);
            checker.duration(place + ".deadline_ms", kind.deadline, minDeadline, maxDeadline);
        }
    }

    void checkServices(Checker& checker, const Configuration& configuration, Addresses& addresses)
    {
        if (configuration.services.empty())
            checker.fail(ConfigErrorCode::NoService, "services", "", "at least one service");
        std::set<ServiceId> ids;
        std::set<std::string> names;
        for (std::size_t i = 0; i < configuration.services.size(); ++i) {
            const Service& service = configuration.services[i];
            const std::string field = indexed("services", i);
            checker.id(field + ".id", service.id, ids);
            checker.name(field + ".name", service.name, names);
            checker.address(field + ".address", service.address, addresses.udp);
            if (service.buckets < 1 || service.buckets > maxBuckets)
                checker.fail(
                    ConfigErrorCode::BadBucketCount, field + ".buckets", std::to_string(service.buckets), "1 to 65536");
            checker.duration(field + ".flow_idle_ms", service.flowIdleTimeout, minFlowIdle, maxFlowIdle);
            checkKinds(checker, service, field);
        }
    }

    std::set<ZoneId> checkZones(Checker& checker, const Configuration& configuration)
    {
        std::set<ZoneId> ids;
        std::set<std::string> names;
        bool inService = false;
        for (std::size_t i = 0; i < configuration.zones.size(); ++i) {
            const Zone& zone = configuration.zones[i];
            const std::string field = indexed("zones", i);
            checker.id(field + ".id", zone.id, ids);
            checker.name(field + ".name", zone.name, names);
            checker.weight(field + ".weight", zone.weight);
            inService = inService || zone.state == ZoneState::InService;
        }
        if (!inService)
            checker.fail(ConfigErrorCode::NoZoneInService, "zones", "", "at least one zone in service");
        return ids;
    }

    void checkZoneOf(Checker& checker, const std::string& field, ZoneId zone, const std::set<ZoneId>& zones)
    {
        if (!zones.contains(zone))
            checker.fail(ConfigErrorCode::UnknownZone, field + ".zone", std::to_string(zone.value), "the id of a zone");
    }

    void checkEntries(Checker& checker, const Configuration& configuration, const std::set<ZoneId>& zones,
        std::set<InstanceId>& instances, Addresses& addresses)
    {
        std::set<ZoneId> served;
        for (std::size_t i = 0; i < configuration.entries.size(); ++i) {
            const Entry& entry = configuration.entries[i];
            const std::string field = indexed("entries", i);
            checker.id(field + ".id", entry.id, instances);
            checkZoneOf(checker, field, entry.zone, zones);
            checker.address(field + ".peer_address", entry.peerAddress, addresses.udp);
            checker.address(field + ".fabric_address", entry.fabricAddress, addresses.udp);
            checker.address(field + ".stream_address", entry.streamAddress, addresses.tcp);
            served.insert(entry.zone);
        }
        for (const Zone& zone : configuration.zones) {
            if (zone.state == ZoneState::InService && served.contains(zone.id))
                return;
        }
        checker.fail(ConfigErrorCode::NoEntry, "entries", "", "at least one entry in a zone that is in service");
    }

    void checkControls(Checker& checker, const Configuration& configuration, const std::set<ZoneId>& zones,
        std::set<InstanceId>& instances, Addresses& addresses)
    {
        const std::size_t count = configuration.controls.size();
        if (count < 1 || count > maxControls)
            checker.fail(
                ConfigErrorCode::BadControlCount, "controls", std::to_string(count), "1 to 7 control instances");
        std::map<ZoneId, std::size_t> inZone;
        for (std::size_t i = 0; i < count; ++i) {
            const Control& control = configuration.controls[i];
            const std::string field = indexed("controls", i);
            checker.id(field + ".id", control.id, instances);
            checkZoneOf(checker, field, control.zone, zones);
            checker.address(field + ".stream_address", control.streamAddress, addresses.tcp);
            checker.address(field + ".http_address", control.httpAddress, addresses.tcp);
            ++inZone[control.zone];
        }
        if (zones.size() < 2)
            return;
        // If one zone held a majority, no change could be committed while that zone is lost.
        for (const auto& [zone, controls] : inZone) {
            if (controls * 2 > count)
                checker.fail(ConfigErrorCode::ControlMajority, "controls",
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
            const std::string field = indexed("drained", i);
            if (!services.contains(upstream.service))
                checker.fail(ConfigErrorCode::UnknownService, field + ".service",
                    std::to_string(upstream.service.value), "the id of a service");
            if (!isValidName(upstream.name))
                checker.fail(ConfigErrorCode::BadName, field + ".name", upstream.name, nameForm);
        }
    }

    template <class List> const typename List::value_type* named(const List& list, const std::string& name)
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
    checker.listSize("services", configuration.services.size());
    checker.listSize("zones", configuration.zones.size());
    checker.listSize("entries", configuration.entries.size());
    checker.listSize("drained", configuration.drained.size());
    if (!checker.failures.empty())
        return checker.failures;
    if (configuration.cluster == ClusterId {})
        checker.fail(ConfigErrorCode::BadId, "cluster", "0", "an id greater than 0");
    Addresses addresses;
    std::set<InstanceId> instances;
    checkServices(checker, configuration, addresses);
    const std::set<ZoneId> zones = checkZones(checker, configuration);
    checkEntries(checker, configuration, zones, instances, addresses);
    checkControls(checker, configuration, zones, instances, addresses);
    checkDrained(checker, configuration);
    return checker.failures;
}

ConfigErrors validateRules(const Rules& rules, const Configuration& configuration)
{
    Checker checker;
    std::set<std::string> targets;
    const auto once = [&](const std::string& field, const std::string& target) {
        if (!targets.insert(field.substr(0, field.find('[')) + " " + target).second)
            checker.fail(ConfigErrorCode::DuplicateRule, field, target, "one rule for each target");
    };
    for (std::size_t i = 0; i < rules.kinds.size(); ++i) {
        const KindRule& rule = rules.kinds[i];
        const std::string field = indexed("rules.kinds", i);
        const Service* service = named(configuration.services, rule.service);
        if (!service)
            checker.fail(ConfigErrorCode::UnknownService, field + ".service", rule.service, "the name of a service");
        else if (!named(service->kinds, rule.kind))
            checker.fail(ConfigErrorCode::UnknownKind, field + ".kind", rule.kind, "the name of a kind of the service");
        if (rule.weight)
            checker.weight(field + ".weight", *rule.weight);
        once(field, rule.service + " " + rule.kind);
    }
    for (std::size_t i = 0; i < rules.zones.size(); ++i) {
        const std::string field = indexed("rules.zones", i);
        if (!named(configuration.zones, rules.zones[i].zone))
            checker.fail(ConfigErrorCode::UnknownZone, field + ".zone", rules.zones[i].zone, "the name of a zone");
        checker.weight(field + ".weight", rules.zones[i].weight);
        once(field, rules.zones[i].zone);
    }
    for (std::size_t i = 0; i < rules.idle.size(); ++i) {
        const std::string field = indexed("rules.idle", i);
        if (!named(configuration.services, rules.idle[i].service))
            checker.fail(
                ConfigErrorCode::UnknownService, field + ".service", rules.idle[i].service, "the name of a service");
        checker.duration(field + ".flow_idle_ms", rules.idle[i].flowIdleTimeout, minFlowIdle, maxFlowIdle);
        once(field, rules.idle[i].service);
    }
    return checker.failures;
}

} // namespace zinnia::config
