#include "standin/interruption_classifier.hpp"

namespace zinnia::standin {

void FlowContinuity::expect(TimePoint now)
{
    if (!this->waitingSince)
        this->waitingSince = now;
}

std::optional<Interruption> FlowContinuity::answered(
    const std::string& name, std::uint64_t newGeneration, TimePoint now)
{
    std::optional<Interruption> interruption;
    if (this->isEstablished() && (name != this->currentUpstream || newGeneration != this->generation))
        interruption = Interruption { this->service, this->currentUpstream, this->generation, now };
    this->currentUpstream = name;
    this->generation = newGeneration;
    this->waitingSince.reset();
    return interruption;
}

std::optional<Interruption> FlowContinuity::check(TimePoint now)
{
    if (!this->waitingSince || now < *this->waitingSince + answerTimeout)
        return std::nullopt;
    this->waitingSince = now;
    if (!this->isEstablished())
        return std::nullopt;
    Interruption interruption { this->service, std::move(this->currentUpstream), this->generation, now };
    this->currentUpstream.clear();
    return interruption;
}

std::vector<InterruptionClassifier::Classified> InterruptionClassifier::classify(
    const UpstreamDirectory& directory, TimePoint now)
{
    std::vector<Classified> result;
    while (!this->pending.empty() && this->pending.front().detectedAt + classificationDelay <= now) {
        Interruption interruption = std::move(this->pending.front());
        this->pending.pop_front();
        std::string zone = directory.zoneOf(interruption.upstream);
        FlowVerdict verdict = FlowVerdict::Broken;
        if (directory.wasWithdrawn(zone))
            verdict = FlowVerdict::GivenUp;
        else if (!directory.isRunning(interruption.upstream, interruption.generation))
            verdict = FlowVerdict::UpstreamLost;
        result.push_back({ std::move(interruption), verdict, std::move(zone) });
    }
    return result;
}

std::vector<InterruptionClassifier::Classified> InterruptionClassifier::classifyAll(const UpstreamDirectory& directory)
{
    return this->classify(directory, TimePoint::max());
}

} // namespace zinnia::standin
