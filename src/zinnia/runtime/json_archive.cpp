#include "zinnia/runtime/json_archive.hpp"

#include <algorithm>

namespace zinnia::runtime {

void JsonReader::fail(
    SettingsFault fault, const std::string& path, const std::string& value, const std::string& allowed)
{
    this->found.push_back({ fault, this->source, 0, path, value, allowed });
}

bool JsonReader::expect(bool valid, const nlohmann::json& json, const std::string& path, const char* allowed)
{
    if (!valid)
        this->fail(SettingsFault::WrongType, path, json.is_structured() ? json.type_name() : json.dump(), allowed);
    return valid;
}

void JsonReader::readEndpoint(const nlohmann::json& json, const std::string& path, Endpoint& value)
{
    constexpr const char* form = "an address of the form a.b.c.d:port";
    if (!this->expect(json.is_string(), json, path, form))
        return;
    const auto text = json.get<std::string>();
    if (const auto endpoint = Endpoint::parse(text))
        value = *endpoint;
    else
        this->fail(SettingsFault::NotAllowed, path, text, form);
}

void JsonReader::checkKeys(const nlohmann::json& json, const std::string& path, const std::string_view* names,
    std::size_t count, std::string_view extra)
{
    for (const auto& [key, value] : json.items()) {
        if (std::find(names, names + count, key) != names + count || key == extra)
            continue;
        std::string allowedKeys;
        for (std::size_t i = 0; i < count; ++i)
            allowedKeys += (allowedKeys.empty() ? "" : ", ") + std::string { names[i] };
        std::string fieldPath = path;
        fieldPath.append(path.empty() ? "" : ".").append(key);
        this->fail(SettingsFault::UnknownKey, fieldPath, "", allowedKeys);
    }
}

} // namespace zinnia::runtime
