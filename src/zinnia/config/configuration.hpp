#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/time.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnia::config {

/** @brief What is distributed over the upstreams of a service: flows of opaque datagrams, or single CoAP requests. */
enum class ServiceMode : std::uint8_t { Datagram, Request };

inline constexpr NameTable<ServiceMode, 2> serviceModeNames { {
    { ServiceMode::Datagram, "datagram" },
    { ServiceMode::Request, "request" },
} };
static_assert(isDense(serviceModeNames));

[[nodiscard]] constexpr const auto& namesOf(ServiceMode) noexcept { return serviceModeNames; }

/** @brief Whether a zone receives traffic. */
enum class ZoneState : std::uint8_t { InService, Withdrawn };

inline constexpr NameTable<ZoneState, 2> zoneStateNames { {
    { ZoneState::InService, "in_service" },
    { ZoneState::Withdrawn, "withdrawn" },
} };
static_assert(isDense(zoneStateNames));

[[nodiscard]] constexpr const auto& namesOf(ZoneState) noexcept { return zoneStateNames; }

/** @brief Properties of the requests to one path of a request service. */
struct RequestKind {
    std::string name;
    /** CoAP Uri-Path without a leading slash; an empty path matches every request. */
    std::string path;
    /** 0 is most important. */
    std::uint8_t priority {};
    /** Factor by which a delivered request counts in the metrics. */
    double weight = 1.0;
    bool idempotent {};
    Milliseconds deadline { 10000 };

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 6> fieldNames { "name", "path", "priority", "weight", "idempotent",
        "deadline_ms" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.name, self.path, self.priority, self.weight, self.idempotent, self.deadline);
    }
    [[nodiscard]] friend bool operator==(const RequestKind&, const RequestKind&) = default;
};

/** @brief A load-balanced service with one address in the fabric. */
struct Service {
    ServiceId id;
    std::string name;
    Endpoint address;
    ServiceMode mode {};
    std::uint32_t buckets = 1024;
    /** Time without packets after which a flow ends. */
    Milliseconds flowIdleTimeout { 60000 };
    std::vector<RequestKind> kinds;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 7> fieldNames { "id", "name", "address", "mode", "buckets",
        "flow_idle_ms", "kinds" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.name, self.address, self.mode, self.buckets, self.flowIdleTimeout, self.kinds);
    }
    [[nodiscard]] friend bool operator==(const Service&, const Service&) = default;
};

/** @brief An availability zone. */
struct Zone {
    ZoneId id;
    std::string name;
    ZoneState state {};
    /** Relative share of the buckets of each service. */
    double weight = 1.0;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 4> fieldNames { "id", "name", "state", "weight" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.name, self.state, self.weight);
    }
    [[nodiscard]] friend bool operator==(const Zone&, const Zone&) = default;
};

/** @brief An entry instance, which forwards packets from the fabric to upstreams. */
struct Entry {
    InstanceId id;
    ZoneId zone;
    /** UDP address for messages between entry instances. */
    Endpoint peerAddress;
    /** UDP address on which the fabric delivers packets. */
    Endpoint fabricAddress;
    /** TCP address of the nghttp2 stream server. */
    Endpoint streamAddress;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 5> fieldNames { "id", "zone", "peer_address", "fabric_address",
        "stream_address" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.zone, self.peerAddress, self.fabricAddress, self.streamAddress);
    }
    [[nodiscard]] friend bool operator==(const Entry&, const Entry&) = default;
};

/** @brief A control instance, which replicates the configuration and serves the operators. */
struct Control {
    InstanceId id;
    ZoneId zone;
    /** TCP address of the nghttp2 stream server. */
    Endpoint streamAddress;
    /** TCP address of the operators' HTTP interface. */
    Endpoint httpAddress;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 4> fieldNames { "id", "zone", "stream_address", "http_address" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.id, self.zone, self.streamAddress, self.httpAddress);
    }
    [[nodiscard]] friend bool operator==(const Control&, const Control&) = default;
};

/** @brief An upstream that an operator is draining, identified by service and name. */
struct DrainedUpstream {
    ServiceId service;
    std::string name;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 2> fieldNames { "service", "name" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.service, self.name);
    }
    [[nodiscard]] friend bool operator==(const DrainedUpstream&, const DrainedUpstream&) = default;
};

/** @brief Overrides priority and weight of a request kind; absent values stay as in the inventory. */
struct KindRule {
    std::string service;
    std::string kind;
    std::optional<std::uint8_t> priority;
    std::optional<double> weight;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 4> fieldNames { "service", "kind", "priority", "weight" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.service, self.kind, self.priority, self.weight);
    }
    [[nodiscard]] friend bool operator==(const KindRule&, const KindRule&) = default;
};

/** @brief Overrides the weight of a zone, its relative share of buckets. */
struct ZoneRule {
    std::string zone;
    double weight = 1.0;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 2> fieldNames { "zone", "weight" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.zone, self.weight);
    }
    [[nodiscard]] friend bool operator==(const ZoneRule&, const ZoneRule&) = default;
};

/** @brief Overrides the idle timeout of a service's flows. */
struct IdleTimeoutRule {
    std::string service;
    Milliseconds flowIdleTimeout {};

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 2> fieldNames { "service", "flow_idle_ms" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.service, self.flowIdleTimeout);
    }
    [[nodiscard]] friend bool operator==(const IdleTimeoutRule&, const IdleTimeoutRule&) = default;
};

/** @brief Operator rules, which override values of the inventory. */
struct Rules {
    std::vector<KindRule> kinds;
    std::vector<ZoneRule> zones;
    std::vector<IdleTimeoutRule> idle;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 3> fieldNames { "kinds", "zones", "idle" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.kinds, self.zones, self.idle);
    }
    [[nodiscard]] friend bool operator==(const Rules&, const Rules&) = default;
};

/** @brief The complete configuration of a cluster; only replaced as a unit, by a higher version. */
struct Configuration {
    ClusterId cluster;
    ConfigVersion version;
    std::vector<Service> services;
    std::vector<Zone> zones;
    std::vector<Entry> entries;
    std::vector<Control> controls;
    std::vector<DrainedUpstream> drained;
    /** Already applied to `services` and `zones`; kept to be applied again to a new inventory. */
    Rules rules;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 8> fieldNames { "cluster", "version", "services", "zones", "entries",
        "controls", "drained", "rules" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.cluster, self.version, self.services, self.zones, self.entries, self.controls, self.drained,
            self.rules);
    }
    [[nodiscard]] friend bool operator==(const Configuration&, const Configuration&) = default;
};

} // namespace zinnia::config
