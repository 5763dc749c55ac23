#include "zinnia/upstream/registration.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <vector>

namespace zinnia::upstream {

namespace {

    constexpr std::uint16_t locationPath = 8; // option number, RFC 7252
    constexpr std::uint8_t notFound = coapCode(4, 4);
    constexpr std::uint8_t conflict = coapCode(4, 9);
    constexpr std::size_t maxNameLength = 63; // bytes; RFC 9176, section 5

    std::string_view textOf(const Bytes& bytes)
    {
        return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
    }

    /** @brief The Uri-Query options of a message, read as "name=value". */
    class Parameters {
    public:
        explicit Parameters(const CoapMessage& message)
            : message { &message }
        {
        }

        [[nodiscard]] std::optional<std::string_view> text(std::string_view name) const
        {
            for (const auto& option : this->message->options) {
                const auto query = textOf(option.value);
                if (option.number == coap::uriQuery && query.size() > name.size() && query.starts_with(name)
                    && query[name.size()] == '=')
                    return query.substr(name.size() + 1);
            }
            return std::nullopt;
        }

        /** @brief Sets `target` if the parameter is present. @return True if it was absent or valid. */
        template <class T> [[nodiscard]] bool number(std::string_view name, T& target, T minimum = 0) const
        {
            const auto value = this->text(name);
            if (!value)
                return true;
            const auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), target);
            return error == std::errc {} && end == value->data() + value->size() && target >= minimum;
        }

    private:
        const CoapMessage* message;
    };

    bool readLease(const Parameters& parameters, std::optional<Seconds>& lease)
    {
        std::uint32_t seconds = 0;
        if (!parameters.text("lt"))
            return true;
        if (!parameters.number<std::uint32_t>("lt", seconds, 1))
            return false;
        lease = std::min(Seconds { seconds }, maxLease);
        return true;
    }

    std::optional<Endpoint> readAddress(const Parameters& parameters, const Endpoint& source)
    {
        auto text = parameters.text("con");
        if (!text)
            return source;
        constexpr std::string_view scheme = "coap://";
        if (text->starts_with(scheme))
            text->remove_prefix(scheme.size());
        return Endpoint::parse(*text);
    }

    bool isInZone(const Parameters& parameters, const config::Configuration& configuration, ZoneId zone)
    {
        const auto name = parameters.text("zone");
        return !name
            || std::any_of(configuration.zones.begin(), configuration.zones.end(),
                [&](const config::Zone& candidate) { return candidate.id == zone && candidate.name == *name; });
    }

    Result<Registration, RefusalReason> parseRegistration(
        const Parameters& parameters, const Endpoint& source, const config::Configuration& configuration, ZoneId zone)
    {
        Registration registration;
        const auto name = parameters.text("ep");
        const auto service = parameters.text("d");
        const auto address = readAddress(parameters, source);
        std::optional<Seconds> lease;
        std::uint8_t draining = 0;
        if (!name || name->empty() || name->size() > maxNameLength || !service || !address || address->port == 0
            || !parameters.text("inc") || !readLease(parameters, lease)
            || !parameters.number("inc", registration.incarnation.value)
            || !parameters.number("seq", registration.sequence)
            || !parameters.number<std::uint32_t>("slots", registration.slots, 1)
            || !parameters.number("conns", registration.connections) || !parameters.number("load", registration.load)
            || !parameters.number("drain", draining))
            return RefusalReason::Malformed;
        const auto foundService = std::find_if(configuration.services.begin(), configuration.services.end(),
            [&](const config::Service& candidate) { return candidate.name == *service; });
        if (foundService == configuration.services.end())
            return RefusalReason::UnknownService;
        if (!isInZone(parameters, configuration, zone))
            return RefusalReason::WrongZone;
        registration.service = foundService->id;
        registration.name = *name;
        registration.address = *address;
        registration.lease = lease.value_or(maxLease);
        registration.draining = draining != 0;
        return registration;
    }

    std::optional<UpstreamId> parseLocation(std::string_view text)
    {
        UpstreamId id;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id.value, 16);
        if (error != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return id;
    }

    std::uint8_t codeOf(RefusalReason reason)
    {
        switch (reason) {
        case RefusalReason::UnknownService:
        case RefusalReason::UnknownRegistration:
            return notFound;
        case RefusalReason::WrongZone:
            return coap::forbidden;
        case RefusalReason::StaleIncarnation:
            return conflict;
        case RefusalReason::RegistrationTableFull:
            return coap::serviceUnavailable;
        default:
            return coap::badRequest;
        }
    }

} // namespace

Result<DirectoryRequest, RefusalReason> parseDirectoryRequest(
    const CoapMessage& message, const Endpoint& source, const config::Configuration& configuration, ZoneId zone)
{
    const std::string path = message.path();
    const Parameters parameters { message };
    DirectoryRequest request;
    if (path == "rd" && message.code == coap::post) {
        const auto registration = parseRegistration(parameters, source, configuration, zone);
        if (!registration)
            return registration.error();
        request.registration = registration.value();
        return request;
    }
    constexpr std::string_view prefix = "rd/";
    if (!path.starts_with(prefix) || (message.code != coap::post && message.code != coap::deleteMethod))
        return RefusalReason::Malformed;
    const auto id = parseLocation(std::string_view { path }.substr(prefix.size()));
    std::uint32_t load = 0;
    std::uint8_t draining = 0;
    if (!id || !readLease(parameters, request.lease) || !parameters.number("load", load)
        || !parameters.number("drain", draining))
        return RefusalReason::Malformed;
    request.kind = message.code == coap::post ? DirectoryRequest::Kind::Renew : DirectoryRequest::Kind::Remove;
    request.id = *id;
    request.draining = draining != 0;
    if (parameters.text("load"))
        request.load = load;
    return request;
}

CoapMessage directoryAnswer(const CoapMessage& request, std::uint8_t code)
{
    CoapMessage answer;
    answer.type = request.type == CoapType::Confirmable ? CoapType::Acknowledgement : CoapType::NonConfirmable;
    answer.code = code;
    answer.messageId = request.messageId;
    answer.token = request.token;
    return answer;
}

CoapMessage createdAnswer(const CoapMessage& request, UpstreamId id)
{
    constexpr std::string_view directory = "rd";
    std::array<char, 16> digits {};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), id.value, 16);
    CoapMessage answer = directoryAnswer(request, coap::created);
    answer.addOption(locationPath, Bytes { directory.begin(), directory.end() });
    answer.addOption(locationPath, Bytes { digits.data(), end });
    return answer;
}

CoapMessage directoryRefusal(const CoapMessage& request, RefusalReason reason)
{
    constexpr std::uint32_t retryDelaySeconds = 10; // a third of the maximum lease, the usual interval of renewals
    CoapMessage answer = directoryAnswer(request, codeOf(reason));
    if (reason == RefusalReason::RegistrationTableFull)
        answer.addUint(coap::maxAge, retryDelaySeconds);
    answer.addUint(coap::reason, static_cast<std::uint64_t>(reason));
    return answer;
}

} // namespace zinnia::upstream
