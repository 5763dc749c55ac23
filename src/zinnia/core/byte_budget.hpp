#pragma once

#include <cstddef>
#include <utility>

namespace zinnia {

/** @brief Bounds the sum of the memory that several owners hold. Not for use by several threads. */
class ByteBudget {
public:
    /** @brief A part of the budget, which is returned when it is destroyed. */
    class Share {
    public:
        Share() = default;
        Share(Share&& other) noexcept
            : budget { std::exchange(other.budget, nullptr) }
            , bytes { std::exchange(other.bytes, 0) }
        {
        }
        Share& operator=(Share&& other) noexcept
        {
            std::swap(this->budget, other.budget);
            std::swap(this->bytes, other.bytes);
            return *this;
        }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;
        ~Share() { this->release(); }

        /**
         * @brief Adds bytes to this share.
         * @return False, with no change, if the budget does not allow it.
         */
        [[nodiscard]] bool grow(ByteBudget& from, std::size_t size) noexcept
        {
            if (size > from.limit - from.used)
                return false;
            from.used += size;
            this->budget = &from;
            this->bytes += size;
            return true;
        }

        [[nodiscard]] bool isEmpty() const noexcept { return this->bytes == 0; }

        void release() noexcept
        {
            if (this->budget != nullptr)
                this->budget->used -= std::exchange(this->bytes, 0);
        }

    private:
        ByteBudget* budget = nullptr;
        std::size_t bytes {};
    };

    /** @param limit Unit: bytes. Shares must not outlive the budget. */
    explicit ByteBudget(std::size_t limit)
        : limit { limit }
    {
    }
    ByteBudget(const ByteBudget&) = delete;
    ByteBudget& operator=(const ByteBudget&) = delete;

    [[nodiscard]] std::size_t usedBytes() const noexcept { return this->used; }

private:
    std::size_t limit;
    std::size_t used {};
};

} // namespace zinnia
