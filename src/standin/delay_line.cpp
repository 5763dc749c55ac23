#include "standin/delay_line.hpp"

#include <algorithm>

namespace zinnia::standin {

DelayLine::~DelayLine()
{
    if (this->timer)
        this->poller->cancel(*this->timer);
}

void DelayLine::add(
    int descriptor, const Endpoint& destination, BytesView header, BytesView payload, Microseconds delay)
{
    if (delay <= Microseconds { 0 }) {
        this->batch.add(descriptor, destination, header, payload);
        return;
    }
    Bytes bytes(header.begin(), header.end());
    bytes.insert(bytes.end(), payload.begin(), payload.end());
    this->heap.push_back({ this->poller->now() + delay, this->nextOrder++, descriptor, destination, std::move(bytes) });
    std::push_heap(this->heap.begin(), this->heap.end(), &DelayLine::isLater);
}

void DelayLine::flush()
{
    const TimePoint now = this->poller->now();
    while (!this->heap.empty() && this->heap.front().due <= now) {
        std::pop_heap(this->heap.begin(), this->heap.end(), &DelayLine::isLater);
        const Waiting& ready = this->heap.back();
        this->batch.add(ready.descriptor, ready.destination, {}, ready.bytes);
        this->heap.pop_back();
    }
    this->batch.flush();
    this->arm();
}

void DelayLine::arm()
{
    if (this->heap.empty() || (this->timer && this->timerDue <= this->heap.front().due))
        return;
    if (this->timer)
        this->poller->cancel(*this->timer);
    this->timerDue = this->heap.front().due;
    this->timer = this->poller->schedule(this->timerDue - this->poller->now(), [this] {
        this->timer.reset();
        this->flush();
    });
}

bool DelayLine::isLater(const Waiting& left, const Waiting& right) noexcept
{
    return left.due != right.due ? left.due > right.due : left.order > right.order;
}

} // namespace zinnia::standin
