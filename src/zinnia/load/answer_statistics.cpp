#include "zinnia/load/answer_statistics.hpp"

namespace zinnia::load {

namespace {

    /** Answers in the window with which the mean of an upstream becomes known, and below which it is forgotten. */
    constexpr double knownFrom = 8;
    constexpr double forgottenBelow = 1;
    /** Answers with which the mean of the short window is used: one answer in 30 that takes 7 times as long changes the
     * mean by a fifth. */
    constexpr double fastFrom = 32;
    /** Below this weight nothing is known of a service. */
    constexpr double slowFrom = 0.01;

} // namespace

void UpstreamAnswers::add(std::uint32_t answers, Microseconds time, TimePoint now)
{
    this->count.add(answers, now);
    this->time.add(static_cast<double>(time.count()), now);
}

bool UpstreamAnswers::updateKnown(TimePoint now)
{
    this->isKnown = this->count.value(now) >= (this->isKnown ? forgottenBelow : knownFrom);
    return this->isKnown;
}

double UpstreamAnswers::mean(TimePoint now) const
{
    const double answers = this->count.value(now);
    return answers > 0 ? this->time.value(now) / answers : 0;
}

void ServiceAnswers::add(std::uint32_t answers, Microseconds time, TimePoint now)
{
    const auto total = static_cast<double>(time.count());
    this->fastCount.add(answers, now);
    this->fastTime.add(total, now);
    this->slowCount.add(answers, now);
    this->slowTime.add(total, now);
}

Microseconds ServiceAnswers::mean(TimePoint now) const
{
    if (const double answers = this->fastCount.value(now); answers >= fastFrom)
        return Microseconds { std::llround(this->fastTime.value(now) / answers) };
    if (const double answers = this->slowCount.value(now); answers >= slowFrom)
        return Microseconds { std::llround(this->slowTime.value(now) / answers) };
    return Microseconds { 0 };
}

} // namespace zinnia::load
