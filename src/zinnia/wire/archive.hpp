#pragma once

#include "zinnia/core/bytes.hpp"
#include "zinnia/core/name_table.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/core/strong_id.hpp"
#include "zinnia/wire/packed.hpp"

#include <chrono>
#include <concepts>
#include <limits>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

namespace zinnia::wire {

/** @brief Maximum number of elements of a list in a message; longer ones are not decoded. */
inline constexpr std::size_t maxListElements = 65536;

/** @brief Why bytes could not be decoded into a message. */
enum class DecodeError : unsigned char { Truncated, WrongShape, OutOfRange, Trailing };

inline constexpr NameTable<DecodeError, 4> decodeErrorNames { {
    { DecodeError::Truncated, "truncated" },
    { DecodeError::WrongShape, "wrong_shape" },
    { DecodeError::OutOfRange, "out_of_range" },
    { DecodeError::Trailing, "trailing" },
} };
static_assert(isDense(decodeErrorNames));

[[nodiscard]] constexpr std::string_view nameOf(DecodeError error) noexcept { return nameIn(decodeErrorNames, error); }

namespace internal {

    struct NullVisitor {
        template <class... Fields> void operator()(Fields&...) { }
    };

    /** @brief A struct that lists its fields in `static describe(self, visitor)`. */
    template <class T>
    concept Described = requires(T& value, NullVisitor& visitor)
    {
        T::describe(value, visitor);
    };

    /** @brief A described struct whose last fields may be absent; they then keep their default values. */
    template <class T>
    concept HasOmittedFields = requires(const T& value)
    {
        {
            value.omittedFields()
            } -> std::same_as<std::size_t>;
    };

    template <class T> struct IsStrongId : std::false_type {
    };
    template <class Tag, class Rep> struct IsStrongId<StrongId<Tag, Rep>> : std::true_type {
    };
    template <class T> struct IsVector : std::false_type {
    };
    template <class T> struct IsVector<std::vector<T>> : std::true_type {
    };
    /** @brief A vector of structs that are encoded as one byte string. */
    template <class T> struct IsPackedVector : std::false_type {
    };
    template <Packed T> struct IsPackedVector<std::vector<T>> : std::true_type {
    };
    template <class T> struct IsOptional : std::false_type {
    };
    template <class T> struct IsOptional<std::optional<T>> : std::true_type {
    };
    template <class T> struct IsDuration : std::false_type {
    };
    template <class Rep, class Period> struct IsDuration<std::chrono::duration<Rep, Period>> : std::true_type {
    };
    template <class T> struct IsVariant : std::false_type {
    };
    template <class... Ts> struct IsVariant<std::variant<Ts...>> : std::true_type {
    };

} // namespace internal

/** @brief Encodes described structs as MessagePack arrays. */
class Writer {
public:
    explicit Writer(Bytes& target)
        : sink { &target }
        , packer { this->sink }
    {
    }

    template <class T> void write(const T& value)
    {
        if constexpr (std::integral<T> || std::same_as<T, std::string>)
            this->packer.pack(value);
        else if constexpr (std::is_enum_v<T>)
            this->packer.pack(static_cast<std::uint64_t>(value));
        else if constexpr (std::floating_point<T>)
            this->packer.pack(static_cast<double>(value));
        else if constexpr (internal::IsStrongId<T>::value)
            this->packer.pack(value.value);
        else if constexpr (internal::IsDuration<T>::value)
            this->packer.pack(static_cast<std::int64_t>(value.count()));
        else if constexpr (std::same_as<T, Bytes> || std::same_as<T, BytesView>) {
            this->packer.pack_bin(static_cast<std::uint32_t>(value.size()));
            this->packer.pack_bin_body(reinterpret_cast<const char*>(value.data()), value.size());
        } else if constexpr (internal::IsPackedVector<T>::value) {
            this->write(pack(value));
        } else if constexpr (internal::IsVector<T>::value) {
            this->packer.pack_array(static_cast<std::uint32_t>(value.size()));
            for (const auto& item : value)
                this->write(item);
        } else if constexpr (internal::IsOptional<T>::value) {
            this->packer.pack_array(value ? 1 : 0);
            if (value)
                this->write(*value);
        } else if constexpr (internal::IsVariant<T>::value) {
            this->packer.pack_array(2);
            this->packer.pack(static_cast<std::uint64_t>(value.index()));
            std::visit([this](const auto& alternative) { this->write(alternative); }, value);
        } else {
            static_assert(internal::Described<const T>, "list the fields of the struct in a static describe function");
            Fields fields { this };
            if constexpr (internal::HasOmittedFields<T>)
                fields.omitted = value.omittedFields();
            T::describe(value, fields);
        }
    }

private:
    struct Sink {
        Bytes* target;
        void write(const char* data, std::size_t size)
        {
            const auto* first = reinterpret_cast<const std::uint8_t*>(data);
            this->target->insert(this->target->end(), first, first + size);
        }
    };

    struct Fields {
        Writer* writer;
        /** Number of fields at the end that are not written. */
        std::size_t omitted = 0;
        template <class... Members> void operator()(const Members&... members)
        {
            const std::size_t count = sizeof...(Members) - this->omitted;
            this->writer->packer.pack_array(static_cast<std::uint32_t>(count));
            std::size_t index = 0;
            ((index++ < count ? this->writer->write(members) : void()), ...);
        }
    };

    Sink sink;
    msgpack::packer<Sink> packer;
};

/** @brief Decodes the output of `Writer`; any other input is a `DecodeError`. */
class Reader {
public:
    template <class T> [[nodiscard]] static bool read(const msgpack::object& object, T& value)
    {
        if constexpr (std::same_as<T, bool>) {
            if (object.type != msgpack::type::BOOLEAN)
                return false;
            value = object.via.boolean;
            return true;
        } else if constexpr (std::is_enum_v<T>)
            return readUnsigned<std::underlying_type_t<T>>(object, value);
        else if constexpr (std::unsigned_integral<T>)
            return readUnsigned<T>(object, value);
        else if constexpr (std::signed_integral<T>)
            return readSigned(object, value);
        else if constexpr (std::floating_point<T>) {
            // msgpack-cxx encodes a floating-point number without a fractional part as an integer.
            if (object.type == msgpack::type::POSITIVE_INTEGER)
                value = static_cast<T>(object.via.u64);
            else if (object.type == msgpack::type::NEGATIVE_INTEGER)
                value = static_cast<T>(object.via.i64);
            else if (object.type == msgpack::type::FLOAT64 || object.type == msgpack::type::FLOAT32)
                value = static_cast<T>(object.via.f64);
            else
                return false;
            return true;
        } else if constexpr (internal::IsStrongId<T>::value)
            return read(object, value.value);
        else if constexpr (internal::IsDuration<T>::value) {
            std::int64_t count = 0;
            if (!readSigned(object, count))
                return false;
            value = T { count };
            return true;
        } else if constexpr (std::same_as<T, std::string>) {
            if (object.type != msgpack::type::STR)
                return false;
            value.assign(object.via.str.ptr, object.via.str.size);
            return true;
        } else if constexpr (std::same_as<T, Bytes>) {
            if (object.type != msgpack::type::BIN)
                return false;
            const auto* first = reinterpret_cast<const std::uint8_t*>(object.via.bin.ptr);
            value.assign(first, first + object.via.bin.size);
            return true;
        } else if constexpr (std::same_as<T, BytesView>) {
            if (object.type != msgpack::type::BIN)
                return false;
            value = BytesView { reinterpret_cast<const std::uint8_t*>(object.via.bin.ptr), object.via.bin.size };
            return true;
        } else if constexpr (internal::IsPackedVector<T>::value) {
            BytesView bytes;
            return read(object, bytes) && unpack(bytes, value);
        } else if constexpr (internal::IsVector<T>::value)
            return readVector(object, value);
        else if constexpr (internal::IsOptional<T>::value)
            return readOptional(object, value);
        else if constexpr (internal::IsVariant<T>::value)
            return readVariant(object, value);
        else {
            static_assert(internal::Described<T>, "list the fields of the struct in a static describe function");
            if (object.type != msgpack::type::ARRAY)
                return false;
            Fields fields { &object.via.array };
            // A value without content omits all fields that may be absent.
            if constexpr (internal::HasOmittedFields<T>)
                fields.optional = T {}.omittedFields();
            T::describe(value, fields);
            return fields.valid;
        }
    }

private:
    struct Fields {
        const msgpack::object_array* array;
        bool valid = true;
        /** Number of fields at the end that may be absent. */
        std::size_t optional = 0;
        template <class... Members> void operator()(Members&... members)
        {
            const std::size_t count = this->array->size;
            if (count > sizeof...(Members) || count + this->optional < sizeof...(Members)) {
                this->valid = false;
                return;
            }
            std::size_t index = 0;
            ((this->valid = this->valid && (index >= count || read(this->array->ptr[index], members)), ++index), ...);
        }
    };

    template <class Rep, class T> static bool readUnsigned(const msgpack::object& object, T& value)
    {
        if (object.type != msgpack::type::POSITIVE_INTEGER)
            return false;
        if (object.via.u64 > static_cast<std::uint64_t>(std::numeric_limits<Rep>::max()))
            return false;
        value = static_cast<T>(object.via.u64);
        return true;
    }

    template <class T> static bool readSigned(const msgpack::object& object, T& value)
    {
        if (object.type == msgpack::type::POSITIVE_INTEGER) {
            if (object.via.u64 > static_cast<std::uint64_t>(std::numeric_limits<T>::max()))
                return false;
            value = static_cast<T>(object.via.u64);
            return true;
        }
        if (object.type != msgpack::type::NEGATIVE_INTEGER || object.via.i64 < std::numeric_limits<T>::min())
            return false;
        value = static_cast<T>(object.via.i64);
        return true;
    }

    template <class T> static bool readVector(const msgpack::object& object, std::vector<T>& value)
    {
        if (object.type != msgpack::type::ARRAY)
            return false;
        value.clear();
        value.reserve(object.via.array.size);
        for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
            T item {};
            if (!read(object.via.array.ptr[i], item))
                return false;
            value.push_back(std::move(item));
        }
        return true;
    }

    template <class T> static bool readOptional(const msgpack::object& object, std::optional<T>& value)
    {
        if (object.type != msgpack::type::ARRAY || object.via.array.size > 1)
            return false;
        value.reset();
        return object.via.array.size == 0 || read(object.via.array.ptr[0], value.emplace());
    }

    template <class... Ts> static bool readVariant(const msgpack::object& object, std::variant<Ts...>& value)
    {
        if (object.type != msgpack::type::ARRAY || object.via.array.size != 2)
            return false;
        std::uint64_t index = 0;
        if (!read(object.via.array.ptr[0], index) || index >= sizeof...(Ts))
            return false;
        using Alternative = bool (*)(const msgpack::object&, std::variant<Ts...>&);
        constexpr std::array<Alternative, sizeof...(Ts)> table { &readAlternative<Ts, Ts...>... };
        return table[index](object.via.array.ptr[1], value);
    }

    template <class T, class... Ts>
    static bool readAlternative(const msgpack::object& object, std::variant<Ts...>& value)
    {
        return read(object, value.template emplace<T>());
    }
};

/** @brief Appends the encoding of a described struct to `target`. */
template <class T> void encodeTo(Bytes& target, const T& message)
{
    Writer writer { target };
    writer.write(message);
}

/** @return The encoding of a described struct. */
template <class T> [[nodiscard]] Bytes encode(const T& message)
{
    Bytes bytes;
    encodeTo(bytes, message);
    return bytes;
}

/**
 * @brief Decodes a complete buffer.
 * @return The message, or `DecodeError` if the bytes are truncated, encode another type or are longer than the message.
 *         Views in the message refer to `bytes`.
 */
template <class T> [[nodiscard]] Result<T, DecodeError> decode(BytesView bytes)
{
    // Maximum numbers of array and map elements, of string, binary and extension bytes, and of nesting levels.
    const msgpack::unpack_limit limits { maxListElements, 64, 1 << 24, 1 << 24, 1024, 32 };
    const auto refer = [](msgpack::type::object_type, std::size_t, void*) { return true; };
    try {
        std::size_t offset = 0;
        msgpack::zone zone;
        const msgpack::object object = msgpack::unpack(
            zone, reinterpret_cast<const char*>(bytes.data()), bytes.size(), offset, refer, nullptr, limits);
        if (offset != bytes.size())
            return DecodeError::Trailing;
        T message {};
        if (!Reader::read(object, message))
            return DecodeError::WrongShape;
        return message;
    } catch (const msgpack::size_overflow&) {
        return DecodeError::OutOfRange;
    } catch (const msgpack::unpack_error&) {
        return DecodeError::Truncated;
    }
}

} // namespace zinnia::wire
