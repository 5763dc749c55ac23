#include "zinnia/runtime/metrics.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <cmath>
#include <sstream>

namespace zinnia::runtime {

namespace {

    constexpr double minMicroseconds = 100;
    constexpr double maxMicroseconds = 1e8;
    constexpr unsigned bucketsPerDecade = 5;
    constexpr unsigned bucketCount = 6 * bucketsPerDecade;
    constexpr double microsecondsPerSecond = 1e6;

    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using ThreadSafeCount = boost::histogram::accumulators::thread_safe<std::uint64_t>;
    using Store = decltype(boost::histogram::make_histogram_with(
        boost::histogram::dense_storage<ThreadSafeCount> {}, std::declval<Axis>()));

    std::string number(double value)
    {
        std::ostringstream out;
        out.precision(12);
        out << value;
        return out.str();
    }

    std::string escaped(const std::string& value)
    {
        std::string text;
        for (const char c : value) {
            if (c == '\\' || c == '"')
                text += '\\';
            if (c == '\n')
                text += "\\n";
            else
                text += c;
        }
        return text;
    }

    std::string labelsOf(const MetricKey& key)
    {
        return key.label.empty() ? "" : key.label + "=\"" + escaped(key.value) + "\"";
    }

    std::string braced(const std::string& labels) { return labels.empty() ? "" : "{" + labels + "}"; }

    void appendType(std::string& text, std::string& previous, const std::string& name, std::string_view type)
    {
        if (name == previous)
            return;
        text += "# TYPE " + name + " ";
        text += type;
        text += "\n";
        previous = name;
    }

    template <class Table, class Counters>
    void appendReasons(std::string& text, const std::string& name, const Table& names, const Counters& counters)
    {
        text += "# TYPE " + name + " counter\n";
        for (const auto& row : names) {
            const auto count = counters[static_cast<std::size_t>(row.value)].value();
            text += name + "{reason=\"" + std::string { row.name } + "\"} " + std::to_string(count) + "\n";
        }
    }

    template <class T, class Map> T& findOrCreate(Map& map, const MetricKey& key)
    {
        auto& place = map[key];
        if (!place)
            place = std::make_unique<T>();
        return *place;
    }

} // namespace

namespace internal {

    struct LatencyStore {
        Store histogram = boost::histogram::make_histogram_with(boost::histogram::dense_storage<ThreadSafeCount> {},
            Axis { bucketCount, minMicroseconds, maxMicroseconds });
    };

} // namespace internal

LatencyHistogram::LatencyHistogram()
    : store { std::make_unique<internal::LatencyStore>() }
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Microseconds duration) noexcept
{
    const std::int64_t count = std::max<std::int64_t>(duration.count(), 0);
    // The logarithm of 0 is outside the axis, so durations below 1 us count as 1 us.
    this->store->histogram(static_cast<double>(std::max<std::int64_t>(count, 1)));
    this->total.fetch_add(1, std::memory_order_relaxed);
    this->sum.fetch_add(count, std::memory_order_relaxed);
}

std::uint64_t LatencyHistogram::count() const noexcept { return this->total.load(std::memory_order_relaxed); }

Microseconds LatencyHistogram::quantile(double probability) const
{
    const auto& axis = this->store->histogram.axis();
    const auto rank = static_cast<std::uint64_t>(std::ceil(probability * static_cast<double>(this->count())));
    std::uint64_t cumulativeCount = 0;
    for (int i = -1; i < axis.size(); ++i) {
        cumulativeCount += this->store->histogram.at(i).load();
        if (cumulativeCount >= rank && cumulativeCount > 0)
            return Microseconds { static_cast<std::int64_t>(std::llround(axis.value(i + 1))) };
    }
    return Microseconds { cumulativeCount > 0 || this->count() > 0 ? static_cast<std::int64_t>(maxMicroseconds) : 0 };
}

void LatencyHistogram::appendPrometheus(std::string& text, const std::string& name, const std::string& labels) const
{
    const auto& axis = this->store->histogram.axis();
    const std::string prefix = labels.empty() ? "" : labels + ",";
    std::uint64_t cumulativeCount = 0;
    const auto appendBucket = [&](const std::string& edge) {
        text.append(name).append("_bucket{").append(prefix).append("le=\"").append(edge).append("\"} ");
        text.append(std::to_string(cumulativeCount)).append("\n");
    };
    for (int i = -1; i < axis.size(); ++i) {
        cumulativeCount += this->store->histogram.at(i).load();
        appendBucket(number(axis.value(i + 1) / microsecondsPerSecond));
    }
    cumulativeCount += this->store->histogram.at(axis.size()).load();
    const double seconds = static_cast<double>(this->sum.load(std::memory_order_relaxed)) / microsecondsPerSecond;
    appendBucket("+Inf");
    text += name + "_sum" + braced(labels) + " " + number(seconds) + "\n";
    text += name + "_count" + braced(labels) + " " + std::to_string(cumulativeCount) + "\n";
}

Counter& MetricsRegistry::counter(const MetricKey& key)
{
    const std::scoped_lock lock { this->mutex };
    return findOrCreate<Counter>(this->counters, key);
}

Gauge& MetricsRegistry::gauge(const MetricKey& key)
{
    const std::scoped_lock lock { this->mutex };
    return findOrCreate<Gauge>(this->gauges, key);
}

LatencyHistogram& MetricsRegistry::latency(const MetricKey& key)
{
    const std::scoped_lock lock { this->mutex };
    return findOrCreate<LatencyHistogram>(this->latencies, key);
}

std::string MetricsRegistry::prometheusText() const
{
    const std::scoped_lock lock { this->mutex };
    std::string text;
    std::string previous;
    for (const auto& [key, counter] : this->counters) {
        appendType(text, previous, key.name, "counter");
        text += key.name + braced(labelsOf(key)) + " " + std::to_string(counter->value()) + "\n";
    }
    for (const auto& [key, gauge] : this->gauges) {
        appendType(text, previous, key.name, "gauge");
        text += key.name + braced(labelsOf(key)) + " " + number(gauge->value()) + "\n";
    }
    for (const auto& [key, latency] : this->latencies) {
        appendType(text, previous, key.name, "histogram");
        latency->appendPrometheus(text, key.name, labelsOf(key));
    }
    appendReasons(text, "zinnia_refusals_total", refusalReasonNames, this->refusalCounters);
    appendReasons(text, "zinnia_retries_total", retryReasonNames, this->retryCounters);
    return text;
}

} // namespace zinnia::runtime
