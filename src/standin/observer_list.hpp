#pragma once

#include "standin/upstream_spec.hpp"
#include "zinnia/core/bytes.hpp"

#include <map>
#include <utility>
#include <vector>

namespace zinnia::standin {

/** @brief One Observe stream (RFC 7641). */
struct Observer {
    Endpoint source;
    Bytes token;
    std::uint64_t probe {};
    Microseconds period {};
    TimePoint next;
    /** Value of the Observe option of the last notification. */
    std::uint32_t sequence = 1;
    std::uint16_t lastMessageId {};
};

/** @brief The Observe streams of one emulated upstream. */
class ObserverList {
public:
    /** @brief Adds a stream, or replaces the one of the same caller and token. */
    void add(Observer observer);
    bool remove(const Endpoint& source, const Bytes& token);
    /** @brief Removes the stream whose last notification had that message id. */
    bool removeByMessage(const Endpoint& source, std::uint16_t messageId);
    /** @return The streams that are due; their next due time and sequence number are advanced. */
    [[nodiscard]] std::vector<Observer*> due(TimePoint now);
    void clear() { this->observers.clear(); }
    [[nodiscard]] std::size_t size() const noexcept { return this->observers.size(); }

private:
    std::map<std::pair<Endpoint, Bytes>, Observer> observers;
};

} // namespace zinnia::standin
