#include "standin/load_account.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinnia::standin {
namespace {

    namespace histogram = boost::histogram;

    // 0.1 ms to 100 s; 20 bins a decade give quantiles within 12%.
    constexpr double lowestLatency = 0.1;
    constexpr double highestLatency = 100'000;
    constexpr unsigned latencyBins = 120;

} // namespace

KindTotals::KindTotals()
    : latencies { histogram::make_histogram(histogram::axis::regular<double, histogram::axis::transform::log> {
        latencyBins, lowestLatency, highestLatency }) }
{
}

double KindTotals::quantile(double share) const
{
    const double total = histogram::algorithm::sum(this->latencies);
    if (total <= 0)
        return 0;
    double seen = 0;
    for (auto&& bin : histogram::indexed(this->latencies, histogram::coverage::all)) {
        seen += static_cast<double>(*bin);
        if (seen >= share * total)
            return std::clamp(bin.bin().upper(), lowestLatency, highestLatency);
    }
    return highestLatency;
}

void LoadAccount::addKind(const std::string& kind, double weight, bool idempotent)
{
    KindTotals& totals = this->kindTotals[kind];
    totals.weight = weight;
    totals.idempotent = idempotent;
}

void LoadAccount::sent(const std::string& kind, std::uint64_t id)
{
    const auto at = this->kindTotals.try_emplace(kind).first;
    ++at->second.sent;
    this->kindOfId.emplace(id, &at->first);
}

void LoadAccount::checkRuns(const std::unordered_map<std::uint64_t, std::uint64_t>& runs)
{
    for (auto& [kind, totals] : this->kindTotals)
        totals.ranTwice = totals.ranAlthoughRefused = 0;
    for (const auto& [id, count] : runs) {
        const auto kind = this->kindOfId.find(id);
        if (kind == this->kindOfId.end())
            continue;
        KindTotals& totals = this->kindTotals[*kind->second];
        totals.ranTwice += count > 1 ? 1 : 0;
        totals.ranAlthoughRefused += this->notRunIds.contains(id) ? 1 : 0;
    }
}

void LoadAccount::delivered(const std::string& kind, std::optional<Microseconds> latency)
{
    KindTotals& totals = this->kindTotals[kind];
    ++totals.delivered;
    if (latency)
        totals.latencies(static_cast<double>(latency->count()) / 1000.0);
    ++this->current.delivered;
    this->current.deliveredWeight += totals.weight;
}

void LoadAccount::refused(const std::string& kind, const std::string& reason, std::uint64_t id, bool notRun)
{
    ++this->kindTotals[kind].refused[reason];
    ++this->current.refused[reason];
    if (notRun)
        this->notRunIds.insert(id);
}

void LoadAccount::unknown(const std::string& kind)
{
    ++this->kindTotals[kind].unknown;
    ++this->current.unknown;
}

void LoadAccount::wrong(const std::string& kind)
{
    ++this->kindTotals[kind].wrong;
    ++this->current.wrong;
}

void LoadAccount::flowMoved(const std::string& service, const std::string& from, const std::string& to)
{
    FlowTotals& totals = this->flowTotals[service];
    if (!from.empty())
        --totals.byUpstream[from];
    if (!to.empty())
        ++totals.byUpstream[to];
}

void LoadAccount::flowAnswered(const std::string& service)
{
    ++this->flowTotals[service].answers;
    ++this->current.answers;
}

void LoadAccount::flowWrong(const std::string& service)
{
    ++this->flowTotals[service].wrong;
    ++this->current.wrong;
}

void LoadAccount::classified(const InterruptionClassifier::Classified& classified)
{
    FlowTotals& totals = this->flowTotals[classified.interruption.service];
    if (classified.verdict == FlowVerdict::Broken) {
        ++totals.broken;
        ++this->current.broken;
    } else if (classified.verdict == FlowVerdict::GivenUp) {
        ++totals.givenUpByZone[classified.zone];
        ++this->current.givenUp;
    } else {
        ++totals.upstreamLost;
    }
}

LoadSample LoadAccount::takeSample() { return std::exchange(this->current, LoadSample {}); }

double LoadAccount::imbalance(const std::string& service, std::size_t knownUpstreams) const
{
    const auto at = this->flowTotals.find(service);
    if (at == this->flowTotals.end())
        return 0;
    std::int64_t sum = 0;
    std::int64_t most = 0;
    for (const auto& [name, flows] : at->second.byUpstream) {
        sum += flows;
        most = std::max(most, flows);
    }
    const auto upstreams = std::max(knownUpstreams, at->second.byUpstream.size());
    return sum <= 0 ? 0 : static_cast<double>(most) * static_cast<double>(upstreams) / static_cast<double>(sum);
}

} // namespace zinnia::standin
