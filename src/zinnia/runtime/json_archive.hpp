#pragma once

#include "zinnia/config/command.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/input_limits.hpp"
#include "zinnia/core/json_cost.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/runtime/settings_error.hpp"

#include <concepts>
#include <cstddef>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace zinnia::runtime {

namespace internal {

    template <class T>
    concept JsonStruct = requires
    {
        T::fieldNames.size();
    };
    template <class T>
    concept JsonEnum = std::is_enum_v<T> && requires(T value)
    {
        namesOf(value);
    };
    template <class T>
    concept JsonId = requires
    {
        typename T::Representation;
    };
    template <class T>
    concept JsonOptional = requires(const T& value)
    {
        value.has_value();
    };
    template <class T>
    concept JsonDuration = requires(const T& value)
    {
        value.count();
    };
    template <class T>
    concept JsonList = !std::same_as<T, std::string> && requires(T & value)
    {
        value.push_back(*value.begin());
    };

    /** @brief Calls `visit(field)` for each field of a described struct. */
    template <class Visit> struct EachField {
        Visit visit;
        template <class... Members> void operator()(Members&... members) { (this->visit(members), ...); }
    };
    template <class Visit> EachField(Visit) -> EachField<Visit>;

} // namespace internal

/**
 * @brief Converts a struct with `describe` and `fieldNames` to JSON.
 *
 * Ids and durations are numbers, addresses are strings of the form a.b.c.d:port, enumerations are names,
 * and a command is an object with its type in "type". Absent optional fields are left out.
 */
template <class T> [[nodiscard]] nlohmann::json toJson(const T& value)
{
    if constexpr (std::same_as<T, Endpoint>)
        return value.toString();
    else if constexpr (std::same_as<T, config::Command>) {
        nlohmann::json json = std::visit([](const auto& command) { return toJson(command); }, value);
        json["type"] = nameOf(config::typeOf(value));
        return json;
    } else if constexpr (internal::JsonEnum<T>)
        return nameIn(namesOf(value), value);
    else if constexpr (internal::JsonId<T>)
        return value.value;
    else if constexpr (internal::JsonDuration<T>)
        return value.count();
    else if constexpr (internal::JsonList<T>) {
        nlohmann::json list = nlohmann::json::array();
        for (const auto& item : value)
            list.push_back(toJson(item));
        return list;
    } else if constexpr (internal::JsonStruct<T>) {
        nlohmann::json json = nlohmann::json::object();
        std::size_t index = 0;
        internal::EachField each { [&](const auto& field) {
            const std::string name { T::fieldNames[index++] };
            if constexpr (internal::JsonOptional<std::remove_cvref_t<decltype(field)>>) {
                if (field)
                    json[name] = toJson(*field);
            } else
                json[name] = toJson(field);
        } };
        T::describe(value, each);
        return json;
    } else
        return value;
}

/** @brief Reads what `toJson` writes, and collects every error with the path of its field. */
class JsonReader {
public:
    /** @param source Name of the document for error messages. */
    explicit JsonReader(std::string source)
        : source { std::move(source) }
    {
    }

    template <class T> void read(const nlohmann::json& json, const std::string& path, T& value)
    {
        if constexpr (std::same_as<T, Endpoint>)
            this->readEndpoint(json, path, value);
        else if constexpr (std::same_as<T, config::Command>)
            this->readCommand(json, path, value, std::make_index_sequence<std::variant_size_v<config::Command>> {});
        else if constexpr (internal::JsonEnum<T>)
            this->readEnum(json, path, value);
        else if constexpr (internal::JsonId<T>)
            this->read(json, path, value.value);
        else if constexpr (internal::JsonDuration<T>) {
            std::int64_t count = 0;
            this->read(json, path, count);
            value = T { count };
        } else if constexpr (internal::JsonList<T>)
            this->readList(json, path, value);
        else if constexpr (internal::JsonStruct<T>)
            this->readStruct(json, path, value, "");
        else if constexpr (std::same_as<T, bool>) {
            if (this->expect(json.is_boolean(), json, path, "true or false"))
                value = json.template get<bool>();
        } else if constexpr (std::integral<T>)
            this->readInteger(json, path, value);
        else if constexpr (std::floating_point<T>) {
            if (this->expect(json.is_number(), json, path, "a number"))
                value = json.template get<T>();
        } else if (this->expect(json.is_string(), json, path, "a text"))
            value = json.template get<std::string>();
    }

    void fail(SettingsFault fault, const std::string& path, const std::string& value, const std::string& allowed);

    [[nodiscard]] const SettingsErrors& errors() const noexcept { return this->found; }

private:
    [[nodiscard]] bool expect(bool valid, const nlohmann::json& json, const std::string& path, const char* allowed);
    void readEndpoint(const nlohmann::json& json, const std::string& path, Endpoint& value);
    void checkKeys(const nlohmann::json& json, const std::string& path, const std::string_view* names,
        std::size_t count, std::string_view extra);

    template <class T> void readInteger(const nlohmann::json& json, const std::string& path, T& value)
    {
        if (!this->expect(json.is_number_integer(), json, path, "an integer"))
            return;
        const bool fits = json.is_number_unsigned() ? std::in_range<T>(json.template get<std::uint64_t>())
                                                    : std::in_range<T>(json.template get<std::int64_t>());
        if (!fits)
            this->fail(SettingsFault::NotAllowed, path, json.dump(),
                "an integer from " + std::to_string(std::numeric_limits<T>::min()) + " to "
                    + std::to_string(std::numeric_limits<T>::max()));
        else
            value = json.template get<T>();
    }

    template <class T> void readEnum(const nlohmann::json& json, const std::string& path, T& value)
    {
        if (!this->expect(json.is_string(), json, path, "a name"))
            return;
        const auto name = json.template get<std::string>();
        if (const auto found = valueIn(namesOf(value), name)) {
            value = *found;
            return;
        }
        std::string allowed;
        for (const auto& row : namesOf(value))
            allowed += (allowed.empty() ? "" : ", ") + std::string { row.name };
        this->fail(SettingsFault::NotAllowed, path, name, allowed);
    }

    template <class T> void readList(const nlohmann::json& json, const std::string& path, T& value)
    {
        if (!this->expect(json.is_array(), json, path, "an array"))
            return;
        for (std::size_t i = 0; i < json.size(); ++i)
            this->read(json[i], path + "[" + std::to_string(i) + "]", value.emplace_back());
    }

    template <class T>
    void readStruct(const nlohmann::json& json, const std::string& path, T& value, std::string_view extra)
    {
        if (!this->expect(json.is_object(), json, path, "an object"))
            return;
        this->checkKeys(json, path, T::fieldNames.data(), T::fieldNames.size(), extra);
        std::size_t index = 0;
        internal::EachField each { [&](auto& field) {
            const std::string name { T::fieldNames[index++] };
            const std::string fieldPath = path.empty() ? name : path + "." + name;
            const auto found = json.find(name);
            if constexpr (internal::JsonOptional<std::remove_cvref_t<decltype(field)>>) {
                if (found != json.end())
                    this->read(*found, fieldPath, field.emplace());
            } else if (found != json.end())
                this->read(*found, fieldPath, field);
            else
                this->fail(SettingsFault::Missing, fieldPath, "", "");
        } };
        T::describe(value, each);
    }

    template <std::size_t... Index>
    void readCommand(
        const nlohmann::json& json, const std::string& path, config::Command& value, std::index_sequence<Index...>)
    {
        config::CommandType type {};
        const bool typed = json.is_object() && json.contains("type");
        const std::size_t before = this->found.size();
        this->readEnum(typed ? json["type"] : nlohmann::json {}, path + ".type", type);
        if (this->found.size() != before)
            return;
        const auto readIf = [&]<std::size_t I>(std::integral_constant<std::size_t, I>) {
            if (I == static_cast<std::size_t>(type))
                this->readStruct(json, path, value.template emplace<I>(), "type");
        };
        (readIf(std::integral_constant<std::size_t, Index> {}), ...);
    }

    std::string source;
    SettingsErrors found;
};

/** @return The struct in a JSON text, or every error. @param source Name of the text for error messages. */
template <class T> [[nodiscard]] Result<T, SettingsErrors> parseJson(std::string_view text, const std::string& source)
{
    const JsonCost cost = jsonCostOf(text);
    const InputLimits& limits = limitsOf(InputKind::Command);
    const bool isAffordable = cost.depth <= limits.depth && cost.values <= limits.values;
    const auto json = isAffordable ? nlohmann::json::parse(text, nullptr, false) : nlohmann::json {};
    JsonReader reader { source };
    if (!isAffordable)
        reader.fail(SettingsFault::Syntax, "", "", "JSON with fewer values");
    else if (json.is_discarded())
        reader.fail(SettingsFault::Syntax, "", "", "JSON");
    T value {};
    if (reader.errors().empty())
        reader.read(json, "", value);
    if (!reader.errors().empty())
        return reader.errors();
    return value;
}

} // namespace zinnia::runtime
