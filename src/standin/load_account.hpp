#pragma once

#include "standin/interruption_classifier.hpp"
#include "zinnia/core/reasons.hpp"

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace zinnia::standin {

/** @brief Counts of one kind of request or stream. */
struct KindTotals {
    using Latencies = decltype(boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log> {}));

    double weight = 1;
    /** An idempotent request may run more than once. */
    bool idempotent = false;
    std::uint64_t sent = 0;
    /** Answers and notifications that were complete and belonged to the caller. */
    std::uint64_t delivered = 0;
    std::map<std::string, std::uint64_t> refused;
    std::uint64_t unknown = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t wrong = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t retransmissions = 0;
    /** Requests that upstreams ran more than once. */
    std::uint64_t ranTwice = 0;
    /** Requests that were refused as not run but that an upstream ran. */
    std::uint64_t ranAlthoughRefused = 0;
    Latencies latencies;

    KindTotals();
    /** @return The latency quantile in milliseconds, with the share from 0 to 1; 0 without answers. */
    [[nodiscard]] double quantile(double share) const;
};

/** @brief Counts of the flows of one service. */
struct FlowTotals {
    std::uint64_t opened = 0;
    std::uint64_t established = 0;
    std::uint64_t broken = 0;
    std::uint64_t upstreamLost = 0;
    std::map<std::string, std::uint64_t> givenUpByZone;
    std::uint64_t wrong = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t answers = 0;
    /** Open flows by the upstream that answers them. */
    std::map<std::string, std::int64_t> byUpstream;
};

/** @brief Counts of one interval of a run. */
struct LoadSample {
    std::uint64_t delivered = 0;
    double deliveredWeight = 0;
    std::uint64_t answers = 0;
    std::map<std::string, std::uint64_t> refused;
    std::uint64_t unknown = 0;
    std::uint64_t broken = 0;
    std::uint64_t givenUp = 0;
    std::uint64_t wrong = 0;
};

/** @brief Accounting of a load run. */
class LoadAccount {
public:
    void addKind(const std::string& kind, double weight, bool idempotent);

    void sent(const std::string& kind, std::uint64_t id);
    /** @param latency Empty for a notification, which has no latency. */
    void delivered(const std::string& kind, std::optional<Microseconds> latency);
    /** @param notRun True if the refusal states that the request did not run. */
    void refused(const std::string& kind, const std::string& reason, std::uint64_t id, bool notRun);
    void unknown(const std::string& kind);
    void unanswered(const std::string& kind) { ++this->kindTotals[kind].unanswered; }
    void wrong(const std::string& kind);
    void duplicate(const std::string& kind) { ++this->kindTotals[kind].duplicates; }
    void retransmitted(const std::string& kind) { ++this->kindTotals[kind].retransmissions; }

    void flowOpened(const std::string& service) { ++this->flowTotals[service].opened; }
    /** @brief Records the first answer of a flow. */
    void flowEstablished(const std::string& service) { ++this->flowTotals[service].established; }
    /** @brief Moves an open flow from upstream `from` to upstream `to`; either may be empty. */
    void flowMoved(const std::string& service, const std::string& from, const std::string& to);
    void flowAnswered(const std::string& service);
    void flowWrong(const std::string& service);
    void flowDuplicate(const std::string& service) { ++this->flowTotals[service].duplicates; }
    void classified(const InterruptionClassifier::Classified& classified);

    /** @return The counts since the last call. */
    [[nodiscard]] LoadSample takeSample();
    /** @return Maximum over mean of the open flows by upstream; 0 without flows. */
    [[nodiscard]] double imbalance(const std::string& service, std::size_t knownUpstreams) const;

    [[nodiscard]] const std::map<std::string, KindTotals>& kinds() const noexcept { return this->kindTotals; }
    [[nodiscard]] const std::map<std::string, FlowTotals>& flows() const noexcept { return this->flowTotals; }
    /** @return Ids of requests whose refusal stated that they did not run. */
    [[nodiscard]] const std::unordered_set<std::uint64_t>& notRun() const noexcept { return this->notRunIds; }
    /** @brief Compares with the requests that the upstreams ran, and sets `ranTwice` and `ranAlthoughRefused`. */
    void checkRuns(const std::unordered_map<std::uint64_t, std::uint64_t>& runs);

private:
    std::map<std::string, KindTotals> kindTotals;
    std::map<std::string, FlowTotals> flowTotals;
    std::unordered_set<std::uint64_t> notRunIds;
    /** Kind of each request; the pointers refer to keys of `kindTotals`. */
    std::unordered_map<std::uint64_t, const std::string*> kindOfId;
    LoadSample current;
};

} // namespace zinnia::standin
