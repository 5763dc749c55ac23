#pragma once

#include "zinnia/upstream/registry.hpp"

#include <gtest/gtest.h>
#include <string>

namespace zinnia::upstream {

inline constexpr ServiceId logger { 1 };
inline constexpr ServiceId archive { 2 };
inline constexpr ZoneId zone { 1 };
inline constexpr TimePoint start { Seconds { 1000 } };

inline std::shared_ptr<config::Configuration> twoServices()
{
    auto configuration = std::make_shared<config::Configuration>();
    for (const auto& [id, name] : { std::pair { logger, "logger" }, std::pair { archive, "archive" } }) {
        config::Service service;
        service.id = id;
        service.name = name;
        configuration->services.push_back(service);
    }
    configuration->zones.push_back({ zone, "north", config::ZoneState::InService, 1.0 });
    return configuration;
}

inline CoapMessage registrationMessage(const std::vector<std::string>& queries, std::uint8_t code = coap::post)
{
    CoapMessage message;
    message.code = code;
    message.messageId = 7;
    message.token = { 1 };
    message.addOption(coap::uriPath, { 'r', 'd' });
    for (const auto& query : queries)
        message.addOption(coap::uriQuery, Bytes { query.begin(), query.end() });
    return message;
}

inline CoapMessage registrationOf(ServiceId service, int host, int incarnation, const std::string& extra = "load=0",
    const std::string& second = "drain=0")
{
    return registrationMessage({ "ep=u" + std::to_string(host), "lt=30", service == logger ? "d=logger" : "d=archive",
        "con=coap://10.0.0." + std::to_string(host) + ":5683", "inc=" + std::to_string(incarnation), extra, second });
}

inline CoapMessage locationRequest(std::uint8_t code, UpstreamId id)
{
    CoapMessage message = registrationMessage({}, code);
    std::array<char, 17> digits {};
    std::snprintf(digits.data(), digits.size(), "%llx", static_cast<unsigned long long>(id.value));
    const std::string text { digits.data() };
    message.addOption(coap::uriPath, Bytes { text.begin(), text.end() });
    return message;
}

template <class T> std::vector<T> actionsOf(const RegistryActions& actions)
{
    std::vector<T> found;
    for (const auto& action : actions) {
        if (const auto* match = std::get_if<T>(&action))
            found.push_back(*match);
    }
    return found;
}

} // namespace zinnia::upstream
