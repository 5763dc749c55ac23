#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/runtime/datagram_batch.hpp"
#include "zinnia/runtime/poller.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace zinnia::standin {

/** @brief Sends datagrams at once or after a delay; those of one socket with one delay keep their order. */
class DelayLine {
public:
    /** @param poller Has to outlive the line. */
    explicit DelayLine(runtime::Poller& poller)
        : poller { &poller }
    {
    }
    ~DelayLine();
    DelayLine(const DelayLine&) = delete;
    DelayLine& operator=(const DelayLine&) = delete;

    void add(int descriptor, const Endpoint& destination, BytesView header, BytesView payload, Microseconds delay);
    /** @brief Sends the datagrams that were added without a delay, and those that are due. */
    void flush();

    [[nodiscard]] std::size_t waiting() const noexcept { return this->heap.size(); }
    [[nodiscard]] const runtime::DatagramSender& sender() const noexcept { return this->batch; }

private:
    struct Waiting {
        TimePoint due;
        std::uint64_t order;
        int descriptor;
        Endpoint destination;
        Bytes bytes;
    };

    [[nodiscard]] static bool isLater(const Waiting& left, const Waiting& right) noexcept;
    void arm();

    runtime::Poller* poller;
    runtime::DatagramSender batch;
    std::vector<Waiting> heap;
    std::uint64_t nextOrder = 0;
    std::optional<runtime::TimerId> timer;
    TimePoint timerDue;
};

} // namespace zinnia::standin
