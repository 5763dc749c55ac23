#pragma once

#include "zinnia/core/reasons.hpp"
#include "zinnia/core/time.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace zinnia::runtime {

/** @brief A count that only increases. May be changed and read by several threads. */
class Counter {
public:
    void add(std::uint64_t step = 1) noexcept { this->count.fetch_add(step, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const noexcept { return this->count.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> count { 0 };
};

/** @brief A value that may increase and decrease. May be changed and read by several threads. */
class Gauge {
public:
    void set(double value) noexcept { this->current.store(value, std::memory_order_relaxed); }
    [[nodiscard]] double value() const noexcept { return this->current.load(std::memory_order_relaxed); }

private:
    std::atomic<double> current { 0 };
};

namespace internal {
    struct LatencyStore;
} // namespace internal

/** @brief Distribution of durations in logarithmic buckets from 100 us to 100 s, five a decade. */
class LatencyHistogram {
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram&) = delete;
    LatencyHistogram& operator=(const LatencyHistogram&) = delete;

    void record(Microseconds duration) noexcept;
    [[nodiscard]] std::uint64_t count() const noexcept;
    /** @return Upper edge of the bucket that contains the quantile (0 to 1); zero when empty. */
    [[nodiscard]] Microseconds quantile(double probability) const;
    /** @brief Appends the samples of the Prometheus histogram `name`. `labels` is "" or `key="value"`. */
    void appendPrometheus(std::string& text, const std::string& name, const std::string& labels) const;

private:
    std::unique_ptr<internal::LatencyStore> store;
    std::atomic<std::uint64_t> total { 0 };
    std::atomic<std::int64_t> sum { 0 };
};

/** @brief Name of a metric and at most one label. */
struct MetricKey {
    std::string name;
    std::string label {};
    std::string value {};

    [[nodiscard]] friend auto operator<=>(const MetricKey&, const MetricKey&) = default;
};

/**
 * @brief All metrics of a process.
 *
 * A counter, gauge or histogram is created at its first use and lives as long as the registry, so
 * callers keep the reference instead of looking it up for each packet.
 */
class MetricsRegistry {
public:
    [[nodiscard]] Counter& counter(const MetricKey& key);
    [[nodiscard]] Gauge& gauge(const MetricKey& key);
    [[nodiscard]] LatencyHistogram& latency(const MetricKey& key);

    [[nodiscard]] Counter& refusals(RefusalReason reason) noexcept
    {
        return this->refusalCounters[static_cast<std::size_t>(reason)];
    }
    [[nodiscard]] Counter& retries(RetryReason reason) noexcept
    {
        return this->retryCounters[static_cast<std::size_t>(reason)];
    }

    /** @return All metrics in the Prometheus text format, sorted by name. */
    [[nodiscard]] std::string prometheusText() const;

private:
    mutable std::mutex mutex;
    std::map<MetricKey, std::unique_ptr<Counter>> counters;
    std::map<MetricKey, std::unique_ptr<Gauge>> gauges;
    std::map<MetricKey, std::unique_ptr<LatencyHistogram>> latencies;
    std::array<Counter, refusalReasonNames.size()> refusalCounters;
    std::array<Counter, retryReasonNames.size()> retryCounters;
};

} // namespace zinnia::runtime
