#include "zinnia/wire/proxy_protocol.hpp"

#include <gtest/gtest.h>
#include <random>

namespace zinnia::wire {
namespace {

    const Endpoint caller = *Endpoint::parse("127.0.1.9:40001");
    const Endpoint service = *Endpoint::parse("127.0.9.1:5683");

    Bytes sample()
    {
        Bytes bytes(proxyHeaderBytes);
        encodeProxyHeader(std::span<std::uint8_t, proxyHeaderBytes> { bytes }, caller, service);
        bytes.insert(bytes.end(), { 1, 2, 3 });
        return bytes;
    }

    // Guards against swapped addresses and a payload that starts at the wrong offset.
    TEST(ProxyProtocol, ReadsWhatItWrites)
    {
        const Bytes bytes = sample();
        const auto decoded = decodeProxy(bytes);
        ASSERT_TRUE(decoded.has_value());
        EXPECT_EQ(decoded.value().source, caller);
        EXPECT_EQ(decoded.value().destination, service);
        EXPECT_EQ(Bytes(decoded.value().payload.begin(), decoded.value().payload.end()), (Bytes { 1, 2, 3 }));
    }

    // Guards against a header that other implementations of the PROXY protocol cannot decode.
    TEST(ProxyProtocol, WritesThePublishedBytes)
    {
        const Bytes bytes = sample();
        const Bytes expected { 0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D, 0x0A, 0x51, 0x55, 0x49, 0x54, 0x0A, 0x21, 0x12, 0,
            12, 127, 0, 1, 9, 127, 0, 9, 1, 0x9C, 0x41, 0x16, 0x33, 1, 2, 3 };
        EXPECT_EQ(bytes, expected);
    }

    // Guards against reading past a truncated header.
    TEST(ProxyProtocol, RefusesTruncatedHeaders)
    {
        const Bytes bytes = sample();
        for (std::size_t size = 0; size < proxyHeaderBytes; ++size)
            EXPECT_EQ(decodeProxy(BytesView { bytes }.first(size)).error(), ProxyError::Truncated) << size;
        EXPECT_TRUE(decodeProxy(BytesView { bytes }.first(proxyHeaderBytes)).value().payload.empty());
    }

    // Guards against reading a caller's address from headers of other commands, families and versions.
    TEST(ProxyProtocol, ReportsTheReasonOfARefusal)
    {
        const auto changed = [](std::size_t at, std::uint8_t value) {
            Bytes bytes = sample();
            bytes[at] = value;
            return decodeProxy(bytes).error();
        };
        EXPECT_EQ(changed(0, 0), ProxyError::WrongSignature);
        EXPECT_EQ(changed(12, 0x11), ProxyError::WrongVersion);
        EXPECT_EQ(changed(12, 0x20), ProxyError::WrongCommand);
        EXPECT_EQ(changed(13, 0x11), ProxyError::WrongFamily);
        EXPECT_EQ(changed(15, 11), ProxyError::Truncated);
        EXPECT_EQ(changed(14, 1), ProxyError::Truncated);
    }

    // Guards against treating the optional fields after the addresses as payload.
    TEST(ProxyProtocol, SkipsOptionalFields)
    {
        Bytes bytes = sample();
        bytes[15] = 14;
        EXPECT_EQ(decodeProxy(bytes).value().payload.size(), 1U);
    }

    // Guards against crashes on mutated input.
    TEST(ProxyProtocol, SurvivesMutatedInput)
    {
        std::mt19937_64 random { 11 };
        for (int round = 0; round < 20000; ++round) {
            Bytes bytes = sample();
            bytes.resize(random() % (bytes.size() + 1));
            for (int change = 0; change < 2 && !bytes.empty(); ++change)
                bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
            const auto decoded = decodeProxy(bytes);
            if (!decoded.has_value())
                continue;
            EXPECT_LE(decoded.value().payload.size(), bytes.size() - proxyHeaderBytes);
        }
    }

} // namespace
} // namespace zinnia::wire
