#include "standin/request_message.hpp"

#include "zinnia/wire/archive.hpp"

#include <sstream>

namespace zinnia::standin {
namespace {

    constexpr unsigned tokenBytes = 8;

    std::string codeText(std::uint8_t code)
    {
        const unsigned detail = code & 0x1FU;
        return "code_" + std::to_string(code >> 5U) + (detail < 10 ? "_0" : "_") + std::to_string(detail);
    }

} // namespace

ClassifiedAnswer classify(const CoapMessage& answer, std::uint64_t id, const std::string& service)
{
    if (answer.code >= coap::badRequest) {
        const auto outcomeValue = answer.uintOption(coap::outcome);
        const auto reason = answer.uintOption(coap::reason);
        std::string name = reason && *reason < refusalReasonNames.size()
            ? std::string { nameOf(static_cast<RefusalReason>(*reason)) }
            : codeText(answer.code);
        if (outcomeValue == static_cast<std::uint64_t>(coap::Outcome::NotRun))
            return { AnswerClass::NotRun, std::move(name), {} };
        if (outcomeValue == static_cast<std::uint64_t>(coap::Outcome::Unknown))
            return { AnswerClass::Unknown, std::move(name), {} };
        return { AnswerClass::Refused, std::move(name), {} };
    }
    auto content = wire::decode<ProbeAnswer>(answer.payload);
    if (!content.has_value() || content.value().id != id || content.value().service != service)
        return { AnswerClass::Wrong, {}, {} };
    return { AnswerClass::Delivered, {}, std::move(content.value()) };
}

CoapMessage makeRequest(const RequestFlowSpec& spec, std::uint64_t id, std::uint16_t messageId)
{
    CoapMessage message;
    message.type = CoapType::Confirmable;
    message.code = spec.method;
    message.messageId = messageId;
    message.token = tokenOf(id);
    std::istringstream segments { spec.path };
    for (std::string segment; std::getline(segments, segment, '/');)
        message.addOption(coap::uriPath, Bytes(segment.begin(), segment.end()));
    message.addUint(coap::deadline, static_cast<std::uint64_t>(spec.deadline.count()));
    message.addUint(coap::priority, spec.priority);
    message.addUint(coap::idempotent, spec.idempotent ? 1 : 0);
    message.payload = wire::encode(Probe { id, spec.service });
    return message;
}

Bytes tokenOf(std::uint64_t id)
{
    Bytes token;
    for (unsigned i = 0; i < tokenBytes; ++i)
        token.push_back(static_cast<std::uint8_t>(id >> (8U * (tokenBytes - 1 - i))));
    return token;
}

std::uint64_t idOfToken(const Bytes& token)
{
    std::uint64_t id = 0;
    for (const std::uint8_t byte : token)
        id = (id << 8U) | byte;
    return token.size() == tokenBytes ? id : 0;
}

Outgoing makeEmpty(const Endpoint& destination, CoapType type, std::uint16_t messageId)
{
    return toDatagram(destination, CoapMessage { type, coap::empty, messageId, {}, {}, {} });
}

} // namespace zinnia::standin
