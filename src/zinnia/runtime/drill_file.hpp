#pragma once

#include "zinnia/core/time.hpp"
#include "zinnia/runtime/json_archive.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnia::runtime {

/** @brief First line of a drill file: the parameters of the run. */
struct DrillStart {
    static constexpr std::string_view type = "start";

    std::string user;
    std::string drill;
    std::uint64_t seed {};

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 3> fieldNames { "user", "drill", "seed" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.user, self.drill, self.seed);
    }
    [[nodiscard]] friend bool operator==(const DrillStart&, const DrillStart&) = default;
};

/** @brief Packets that upstreams of one zone received. */
struct DrillZonePackets {
    std::string zone;
    std::uint64_t packets {};

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 2> fieldNames { "zone", "packets" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.zone, self.packets);
    }
    [[nodiscard]] friend bool operator==(const DrillZonePackets&, const DrillZonePackets&) = default;
};

/** @brief Counts of the 100 ms that end at `at`. */
struct DrillSample {
    static constexpr std::string_view type = "sample";

    /** Time since the start of the load. */
    Milliseconds at {};
    std::uint64_t delivered {};
    std::uint64_t refused {};
    /** Flows detected as broken. */
    std::uint64_t broken {};
    std::vector<DrillZonePackets> packets;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 5> fieldNames { "at_ms", "delivered", "refused", "broken",
        "packets" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.at, self.delivered, self.refused, self.broken, self.packets);
    }
    [[nodiscard]] friend bool operator==(const DrillSample&, const DrillSample&) = default;
};

/** @brief An action of the operators or the script, such as "zone withdrawn" with the zone as detail. */
struct DrillEvent {
    static constexpr std::string_view type = "event";

    /** Time since the start of the load. */
    Milliseconds at {};
    std::string name;
    std::string detail;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 3> fieldNames { "at_ms", "name", "detail" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.at, self.name, self.detail);
    }
    [[nodiscard]] friend bool operator==(const DrillEvent&, const DrillEvent&) = default;
};

namespace drill_event {
    inline constexpr std::string_view zoneWithdrawn = "zone withdrawn";
    inline constexpr std::string_view zoneReturned = "zone returned";
} // namespace drill_event

/** @brief Requests of one kind over the whole run. */
struct DrillKind {
    std::string kind;
    double weight = 1.0;
    std::uint64_t sent {};
    std::uint64_t delivered {};

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 4> fieldNames { "kind", "weight", "sent", "delivered" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.kind, self.weight, self.sent, self.delivered);
    }
    [[nodiscard]] friend bool operator==(const DrillKind&, const DrillKind&) = default;
};

/** @brief Refusals with one reason over the whole run. */
struct DrillRefusals {
    std::string reason;
    std::uint64_t count {};

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 2> fieldNames { "reason", "count" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.reason, self.count);
    }
    [[nodiscard]] friend bool operator==(const DrillRefusals&, const DrillRefusals&) = default;
};

/** @brief Last line of a drill file: the measures of the whole run. Absent counts were not measured. */
struct DrillTotals {
    static constexpr std::string_view type = "totals";

    std::uint64_t flows {};
    std::uint64_t brokenFlows {};
    /** Flows of a withdrawn zone. */
    std::uint64_t givenUpFlows {};
    /** Maximum over mean of the flows of the upstreams. */
    std::optional<double> imbalance;
    std::uint64_t sent {};
    std::uint64_t delivered {};
    std::uint64_t refused {};
    std::uint64_t unknown {};
    /** Answers that belong to another request. */
    std::optional<std::uint64_t> wrongAnswers;
    /** Requests that were refused as not run although they ran. */
    std::optional<std::uint64_t> falseRefusals;
    /** Non-idempotent requests that ran more than once. */
    std::optional<std::uint64_t> repeatedRuns;
    std::vector<DrillKind> kinds;
    std::vector<DrillRefusals> refusals;

    /** Names of the fields in JSON, in the order of `describe`. */
    static constexpr std::array<std::string_view, 13> fieldNames { "flows", "broken_flows", "given_up_flows",
        "imbalance", "sent", "delivered", "refused", "unknown", "wrong_answers", "false_refusals", "repeated_runs",
        "kinds", "refusals" };

    template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
    {
        visit(self.flows, self.brokenFlows, self.givenUpFlows, self.imbalance, self.sent, self.delivered, self.refused,
            self.unknown, self.wrongAnswers, self.falseRefusals, self.repeatedRuns, self.kinds, self.refusals);
    }
    [[nodiscard]] friend bool operator==(const DrillTotals&, const DrillTotals&) = default;
};

/** @brief All records of a drill file. */
struct DrillFile {
    DrillStart start;
    std::vector<DrillSample> samples;
    std::vector<DrillEvent> events;
    DrillTotals totals;

    [[nodiscard]] friend bool operator==(const DrillFile&, const DrillFile&) = default;
};

/** @return One line of a drill file, line break included. */
template <class T> [[nodiscard]] std::string drillLine(const T& record)
{
    nlohmann::json json = toJson(record);
    json["type"] = T::type;
    return json.dump() + "\n";
}

/** @return The file's records, or every error with its line. @param file Name for error messages. */
[[nodiscard]] Result<DrillFile, SettingsErrors> parseDrill(const std::string& text, const std::string& file);

} // namespace zinnia::runtime
