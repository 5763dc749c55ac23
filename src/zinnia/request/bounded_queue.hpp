#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace zinnia::request {

/** @brief Order in which a queue is served; a full queue refuses the element that would be served last. */
enum class QueueOrder : unsigned char { ByPriority, FirstInFirstOut, LastInFirstOut };

/**
 * @brief Bounded priority queue, sorted by priority (0 first), then by arrival.
 *
 * A sorted vector: it has at most 64 elements, and a full queue needs access to both ends.
 */
template <class T> class BoundedQueue {
public:
    BoundedQueue(QueueOrder order, std::size_t limit)
        : order { order }
        , limit { limit }
    {
    }

    /**
     * @brief Adds an element.
     * @return The element evicted from a full queue, the last in queue order; with `ByPriority` the one of the lowest
     * priority, or the new one on a tie. Empty if the queue was not full.
     */
    [[nodiscard]] std::optional<T> push(std::uint8_t priority, T value)
    {
        const Item item { this->order == QueueOrder::ByPriority ? priority : std::uint8_t { 0 }, this->arrivals++,
            std::move(value) };
        const auto before = [this](const Item& left, const Item& right) {
            if (left.priority != right.priority)
                return left.priority < right.priority;
            return this->order == QueueOrder::LastInFirstOut ? left.arrival > right.arrival
                                                             : left.arrival < right.arrival;
        };
        this->items.insert(std::upper_bound(this->items.begin(), this->items.end(), item, before), item);
        if (this->items.size() <= this->limit)
            return std::nullopt;
        T last = std::move(this->items.back().value);
        this->items.pop_back();
        return last;
    }

    [[nodiscard]] std::optional<T> pop()
    {
        if (this->items.empty())
            return std::nullopt;
        T first = std::move(this->items.front().value);
        this->items.erase(this->items.begin());
        return first;
    }

    [[nodiscard]] bool remove(const T& value)
    {
        return std::erase_if(this->items, [&](const Item& item) { return item.value == value; }) > 0;
    }

    /** @return Number of elements that would be served before a new one of that priority. */
    [[nodiscard]] std::size_t ahead(std::uint8_t priority) const
    {
        if (this->order == QueueOrder::LastInFirstOut)
            return 0;
        if (this->order == QueueOrder::FirstInFirstOut)
            return this->items.size();
        return static_cast<std::size_t>(std::count_if(
            this->items.begin(), this->items.end(), [&](const Item& item) { return item.priority <= priority; }));
    }

    [[nodiscard]] std::vector<T> takeAll()
    {
        std::vector<T> values;
        values.reserve(this->items.size());
        for (auto& item : this->items)
            values.push_back(std::move(item.value));
        this->items.clear();
        return values;
    }

    [[nodiscard]] std::size_t size() const noexcept { return this->items.size(); }
    [[nodiscard]] bool empty() const noexcept { return this->items.empty(); }

private:
    struct Item {
        std::uint8_t priority;
        std::uint64_t arrival;
        T value;
    };

    QueueOrder order;
    std::size_t limit;
    std::uint64_t arrivals = 0;
    std::vector<Item> items;
};

} // namespace zinnia::request
