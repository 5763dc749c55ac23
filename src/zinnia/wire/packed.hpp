#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/core/strong_id.hpp"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <vector>

namespace zinnia::wire {

/**
 * @brief A described struct that asks for the short encoding in vectors (`isPacked`).
 *
 * Its fields are unsigned integers, 32-bit ids and durations that are not negative. MessagePack adds a byte for each
 * struct and one for each number from 128 on.
 */
template <class T>
concept Packed = T::isPacked;

/** @brief Appends the fields of a struct: ids as 4 bytes, lowest first; numbers with 7 bits in each byte, lowest first.
 */
class PackedWriter {
public:
    explicit PackedWriter(Bytes& target)
        : target { &target }
    {
    }

    template <class... Members> void operator()(const Members&... members) { (this->write(members), ...); }

private:
    template <class Tag> void write(StrongId<Tag, std::uint32_t> id)
    {
        for (unsigned shift = 0; shift < 32; shift += 8)
            this->target->push_back(static_cast<std::uint8_t>(id.value >> shift));
    }
    template <class Rep, class Period> void write(std::chrono::duration<Rep, Period> time)
    {
        this->write(static_cast<std::uint64_t>(time.count() < 0 ? 0 : time.count()));
    }
    void write(std::unsigned_integral auto number)
    {
        std::uint64_t rest = number;
        for (; rest >= 0x80; rest >>= 7U)
            this->target->push_back(static_cast<std::uint8_t>(rest | 0x80U));
        this->target->push_back(static_cast<std::uint8_t>(rest));
    }

    Bytes* target;
};

/** @brief Reads the output of `PackedWriter`; anything else makes it invalid. */
class PackedReader {
public:
    explicit PackedReader(BytesView bytes)
        : bytes { bytes }
    {
    }

    template <class... Members> void operator()(Members&... members) { (this->read(members), ...); }

    [[nodiscard]] bool isValid() const noexcept { return this->valid; }
    [[nodiscard]] bool isAtEnd() const noexcept { return this->position == this->bytes.size(); }

private:
    template <class Tag> void read(StrongId<Tag, std::uint32_t>& id)
    {
        id.value = 0;
        for (unsigned shift = 0; shift < 32; shift += 8)
            id.value |= std::uint32_t { this->next() } << shift;
    }
    template <class Rep, class Period> void read(std::chrono::duration<Rep, Period>& time)
    {
        const std::uint64_t number = this->readNumber();
        if (number > static_cast<std::uint64_t>(std::numeric_limits<Rep>::max()))
            this->valid = false;
        else
            time = std::chrono::duration<Rep, Period> { static_cast<Rep>(number) };
    }
    template <std::unsigned_integral T> void read(T& target)
    {
        const std::uint64_t number = this->readNumber();
        if (number > std::numeric_limits<T>::max())
            this->valid = false;
        target = static_cast<T>(number);
    }

    std::uint64_t readNumber()
    {
        std::uint64_t number = 0;
        for (unsigned shift = 0; shift < 64; shift += 7) {
            const std::uint8_t byte = this->next();
            // The last byte of a number of 64 bits has one bit.
            if (shift == 63 && byte > 1)
                break;
            number |= std::uint64_t { byte & 0x7FU } << shift;
            if (byte < 0x80)
                return number;
        }
        this->valid = false;
        return 0;
    }
    std::uint8_t next()
    {
        if (this->isAtEnd()) {
            this->valid = false;
            return 0;
        }
        return this->bytes[this->position++];
    }

    BytesView bytes;
    std::size_t position = 0;
    bool valid = true;
};

/** @return The encoding of structs one after the other. */
template <Packed T> [[nodiscard]] Bytes pack(const std::vector<T>& items)
{
    Bytes bytes;
    PackedWriter writer { bytes };
    for (const T& item : items)
        T::describe(item, writer);
    return bytes;
}

/** @return False if the bytes are not a sequence of complete structs; `items` is undefined then. */
template <Packed T> [[nodiscard]] bool unpack(BytesView bytes, std::vector<T>& items)
{
    items.clear();
    PackedReader reader { bytes };
    while (reader.isValid() && !reader.isAtEnd())
        T::describe(items.emplace_back(), reader);
    return reader.isValid();
}

} // namespace zinnia::wire
