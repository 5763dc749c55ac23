#include "zinnia/wire/coap_codec.hpp"

#include <algorithm>
#include <coap3/coap.h>
#include <memory>

namespace zinnia::wire {
namespace {

    constexpr std::size_t headerBytes = 4;
    constexpr std::size_t maxTokenBytes = 8;
    constexpr unsigned coapVersion = 1;
    constexpr std::uint8_t payloadMarker = 0xFF;

    using Pdu = std::unique_ptr<coap_pdu_t, decltype(&coap_delete_pdu)>;

    /** Disables the library's log: it prints a warning for each rejected message, so a sender could flood the log. */
    void disableLibraryLog()
    {
        static const bool once = (coap_set_log_level(LOG_EMERG), true);
        (void)once;
    }

    /** Upper bound of the encoded size, with the longest form of each option header. */
    std::size_t maxEncodedSize(const CoapMessage& message)
    {
        constexpr std::size_t optionHeaderBytes = 5;
        std::size_t size = headerBytes + message.token.size() + 1 + message.payload.size();
        for (const auto& option : message.options)
            size += optionHeaderBytes + option.value.size();
        return size;
    }

} // namespace

Result<CoapMessage, CoapError> decodeCoap(BytesView bytes)
{
    if (bytes.size() < headerBytes)
        return CoapError::Truncated;
    if (bytes.size() > maxCoapBytes)
        return CoapError::TooLarge;
    if (bytes[0] >> 6U != coapVersion)
        return CoapError::WrongVersion;
    disableLibraryLog();
    const Pdu pdu { coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, bytes.size()), &coap_delete_pdu };
    if (!pdu || coap_pdu_parse(COAP_PROTO_UDP, bytes.data(), bytes.size(), pdu.get()) == 0)
        return CoapError::Malformed;

    CoapMessage message;
    message.type = static_cast<CoapType>(coap_pdu_get_type(pdu.get()));
    message.code = static_cast<std::uint8_t>(coap_pdu_get_code(pdu.get()));
    message.messageId = static_cast<std::uint16_t>(coap_pdu_get_mid(pdu.get()));
    const coap_bin_const_t token = coap_pdu_get_token(pdu.get());
    message.token.assign(token.s, token.s + token.length);
    coap_opt_iterator_t iterator;
    if (coap_option_iterator_init(pdu.get(), &iterator, COAP_OPT_ALL) != nullptr) {
        while (const coap_opt_t* option = coap_option_next(&iterator)) {
            const std::uint8_t* value = coap_opt_value(option);
            // The sum of the option deltas can exceed 16 bits, in which case the option number wraps around.
            if (!message.options.empty() && iterator.number < message.options.back().number)
                return CoapError::Malformed;
            message.options.push_back({ iterator.number, Bytes(value, value + coap_opt_length(option)) });
        }
    }
    std::size_t payloadSize = 0;
    const std::uint8_t* payload = nullptr;
    if (coap_get_data(pdu.get(), &payloadSize, &payload) != 0)
        message.payload.assign(payload, payload + payloadSize);
    return message;
}

Result<Bytes, CoapError> encodeCoap(const CoapMessage& message)
{
    if (message.token.size() > maxTokenBytes)
        return CoapError::TokenTooLong;
    const std::size_t maxSize = maxEncodedSize(message);
    if (maxSize > maxCoapBytes)
        return CoapError::TooLarge;
    if (message.code == coap::empty && maxSize != headerBytes + 1)
        return CoapError::Malformed;

    // Options are encoded one by one: `coap_add_option` refuses repeated options and adds a Hop-Limit option itself.
    Bytes bytes(maxSize);
    std::uint8_t* position = bytes.data();
    *position++ = static_cast<std::uint8_t>(
        (coapVersion << 6U) | (static_cast<unsigned>(message.type) << 4U) | message.token.size());
    *position++ = message.code;
    *position++ = static_cast<std::uint8_t>(message.messageId >> 8U);
    *position++ = static_cast<std::uint8_t>(message.messageId);
    position = std::copy(message.token.begin(), message.token.end(), position);
    std::uint16_t previous = 0;
    for (const auto& option : message.options) {
        if (option.number < previous)
            return CoapError::InvalidOption;
        const auto available = static_cast<std::size_t>(bytes.data() + bytes.size() - position);
        const std::size_t written
            = coap_opt_encode(position, available, option.number - previous, option.value.data(), option.value.size());
        if (written == 0)
            return CoapError::InvalidOption;
        position += written;
        previous = option.number;
    }
    if (!message.payload.empty()) {
        *position++ = payloadMarker;
        position = std::copy(message.payload.begin(), message.payload.end(), position);
    }
    bytes.resize(static_cast<std::size_t>(position - bytes.data()));
    return bytes;
}

} // namespace zinnia::wire
