#include "zinnia/wire/coap_codec.hpp"

#include <gtest/gtest.h>
#include <random>

namespace zinnia::wire {
namespace {

    CoapMessage sample()
    {
        CoapMessage message { CoapType::Confirmable, coap::put, 0xBEEF, { 1, 2, 3, 4, 5, 6, 7, 8 }, {},
            { 9, 0xFF, 8 } };
        message.addOption(coap::uriPath, { 's', 'l', 'u', 'i', 'c', 'e' });
        message.addOption(coap::uriPath, { '4' });
        message.addUint(coap::observe, 0);
        message.addUint(coap::maxAge, 70000);
        message.addUint(coap::deadline, 4000);
        message.addUint(coap::priority, 0);
        message.addUint(coap::idempotent, 1);
        message.addUint(coap::age, 93000);
        message.addUint(coap::reason, 7);
        return message;
    }

    // Guards against lost or reordered options, in particular those of the experimental range.
    TEST(CoapCodec, ReadsWhatItWrites)
    {
        const auto bytes = encodeCoap(sample());
        ASSERT_TRUE(bytes.has_value());
        const auto decoded = decodeCoap(bytes.value());
        ASSERT_TRUE(decoded.has_value());
        EXPECT_EQ(decoded.value(), sample());
        EXPECT_EQ(decoded.value().path(), "sluice/4");
    }

    // Guards against a wrong message length when token, options or payload are missing.
    TEST(CoapCodec, WritesTheExactBytesOfSmallMessages)
    {
        const CoapMessage reset { CoapType::Reset, coap::empty, 0x1234, {}, {}, {} };
        EXPECT_EQ(encodeCoap(reset).value(), (Bytes { 0x70, 0x00, 0x12, 0x34 }));
        const CoapMessage tokenOnly { CoapType::NonConfirmable, coap::content, 1, { 7 }, {}, {} };
        EXPECT_EQ(encodeCoap(tokenOnly).value(), (Bytes { 0x51, 0x45, 0, 1, 7 }));
        const CoapMessage payloadOnly { CoapType::Acknowledgement, coap::content, 1, {}, {}, { 5 } };
        EXPECT_EQ(encodeCoap(payloadOnly).value(), (Bytes { 0x60, 0x45, 0, 1, 0xFF, 5 }));
        for (const auto& message : { reset, tokenOnly, payloadOnly })
            EXPECT_EQ(decodeCoap(encodeCoap(message).value()).value(), message);
    }

    // Guards against reading past a truncated message: a prefix is refused or is a shorter message.
    TEST(CoapCodec, TruncatedMessagesAreRefusedOrShorter)
    {
        const Bytes bytes = encodeCoap(sample()).value();
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            const auto decoded = decodeCoap(BytesView { bytes }.first(size));
            if (decoded.has_value()) {
                EXPECT_GE(size, 12U) << "the token is incomplete";
                EXPECT_NE(decoded.value(), sample());
            } else {
                EXPECT_EQ(decoded.error(), size < 4 ? CoapError::Truncated : CoapError::Malformed);
            }
        }
    }

    // Guards against encoding messages that a peer has to reject.
    TEST(CoapCodec, RefusesWhatCannotBeWritten)
    {
        CoapMessage message = sample();
        message.token.resize(9);
        EXPECT_EQ(encodeCoap(message).error(), CoapError::TokenTooLong);
        message = sample();
        message.payload.resize(maxCoapBytes);
        EXPECT_EQ(encodeCoap(message).error(), CoapError::TooLarge);
        message = sample();
        std::swap(message.options.front(), message.options.back());
        EXPECT_EQ(encodeCoap(message).error(), CoapError::InvalidOption);
        message = { CoapType::Reset, coap::empty, 1, {}, {}, { 1 } };
        EXPECT_EQ(encodeCoap(message).error(), CoapError::Malformed);
    }

    // Guards against changes of forwarded messages: lost repeated options, and the Hop-Limit option that the
    // library adds behind a Proxy-Scheme option (39).
    TEST(CoapCodec, KeepsRepeatedAndUnknownOptions)
    {
        CoapMessage message = sample();
        message.addUint(coap::maxAge, 5);
        message.addOption(39, { 'c', 'o', 'a', 'p' });
        message.addOption(65535, Bytes(300, 1));
        EXPECT_EQ(decodeCoap(encodeCoap(message).value()).value(), message);
    }

    // Guards against option numbers that wrap around and are then out of order.
    TEST(CoapCodec, RefusesOptionNumbersBeyondSixteenBits)
    {
        const Bytes bytes { 0x50, 0x01, 0, 1, 0xE0, 0xFE, 0x00, 0xE0, 0x0F, 0x00 };
        EXPECT_EQ(decodeCoap(bytes).error(), CoapError::Malformed);
    }

    // Guards against crashes on mutated input, and against decoded messages that cannot be encoded again.
    TEST(CoapCodec, SurvivesMutatedInput)
    {
        std::mt19937_64 random { 7 };
        const Bytes good = encodeCoap(sample()).value();
        int accepted = 0;
        for (int round = 0; round < 20000; ++round) {
            Bytes bytes = good;
            bytes.resize(random() % (good.size() + 1));
            for (int change = 0; change < 3 && !bytes.empty(); ++change)
                bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
            const auto decoded = decodeCoap(bytes);
            if (!decoded.has_value())
                continue;
            ++accepted;
            const auto again = encodeCoap(decoded.value());
            ASSERT_TRUE(again.has_value()) << nameOf(again.error());
            EXPECT_EQ(decodeCoap(again.value()).value(), decoded.value());
        }
        EXPECT_GT(accepted, 100);
    }

} // namespace
} // namespace zinnia::wire
