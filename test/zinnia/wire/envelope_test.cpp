#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/time.hpp"
#include "zinnia/wire/archive.hpp"
#include "zinnia/wire/envelope.hpp"

#include <gtest/gtest.h>
#include <random>

namespace zinnia::wire {
namespace {

    constexpr ClusterKey key { 1, 2, 3 };
    constexpr ClusterId cluster { 9 };
    const Bytes body { 4, 5, 6 };

    // Guards against accepting a message that was modified in transit.
    TEST(Envelope, RefusesEveryFlippedBit)
    {
        Sealer sealer { key, cluster, InstanceId { 1 }, Epoch { 1 } };
        Opener opener { key, cluster };
        const Bytes message = sealer.seal(MessageKind::Heartbeat, body);
        for (std::size_t bit = 0; bit < message.size() * 8; ++bit) {
            Bytes forged = message;
            forged[bit / 8] ^= static_cast<std::uint8_t>(1U << (bit % 8));
            ASSERT_EQ(opener.open(forged).error(), RefusalReason::BadTag);
        }
        EXPECT_TRUE(opener.open(message).has_value());
    }

    // Guards against replayed datagrams and against refusing reordered ones.
    TEST(Envelope, RefusesReplaysButNotReordering)
    {
        Sealer sealer { key, cluster, InstanceId { 1 }, Epoch { 1 } };
        Opener opener { key, cluster };
        const Bytes first = sealer.seal(MessageKind::Heartbeat, body);
        const Bytes second = sealer.seal(MessageKind::Heartbeat, body);
        EXPECT_TRUE(opener.open(second).has_value());
        EXPECT_TRUE(opener.open(first).has_value());
        EXPECT_EQ(opener.open(first).error(), RefusalReason::Replayed);
        EXPECT_EQ(opener.open(second).error(), RefusalReason::Replayed);
        const Bytes late = sealer.seal(MessageKind::Heartbeat, body);
        for (int i = 0; i < 1000; ++i)
            ASSERT_TRUE(opener.open(sealer.seal(MessageKind::Heartbeat, body)).has_value());
        EXPECT_TRUE(opener.open(late).has_value());
        EXPECT_EQ(opener.open(late).error(), RefusalReason::Replayed);
        const Bytes tooLate = sealer.seal(MessageKind::Heartbeat, body);
        for (int i = 0; i < 1024; ++i)
            ASSERT_TRUE(opener.open(sealer.seal(MessageKind::Heartbeat, body)).has_value());
        EXPECT_EQ(opener.open(tooLate).error(), RefusalReason::Replayed);
        EXPECT_EQ(opener.open(first).error(), RefusalReason::Replayed);
    }

    // Guards against accepting messages of the previous process after a restart.
    TEST(Envelope, RefusesAnOlderEpoch)
    {
        Sealer old { key, cluster, InstanceId { 1 }, Epoch { 1 } };
        Sealer restarted { key, cluster, InstanceId { 1 }, Epoch { 2 } };
        Opener opener { key, cluster };
        EXPECT_TRUE(opener.open(restarted.seal(MessageKind::Heartbeat, body)).has_value());
        EXPECT_EQ(opener.open(old.seal(MessageKind::Heartbeat, body)).error(), RefusalReason::Replayed);
    }

    // Guards against accepting messages of another cluster that uses the same key.
    TEST(Envelope, RefusesAnotherCluster)
    {
        Sealer sealer { key, ClusterId { 8 }, InstanceId { 1 }, Epoch { 1 } };
        Opener opener { key, cluster };
        EXPECT_EQ(opener.open(sealer.seal(MessageKind::Heartbeat, body)).error(), RefusalReason::WrongCluster);
    }

    struct Sample {
        std::uint8_t small {};
        std::int64_t negative {};
        Milliseconds delay {};
        InstanceId id;
        std::optional<Endpoint> endpoint;
        std::vector<std::string> names;
        Bytes payload;
        std::variant<std::uint32_t, Endpoint> choice;

        template <class Self, class Visitor> static void describe(Self& self, Visitor& visit)
        {
            visit(self.small, self.negative, self.delay, self.id, self.endpoint, self.names, self.payload, self.choice);
        }
    };

    Sample sample()
    {
        return { 200, -5, Milliseconds { 70 }, InstanceId { 3 }, Endpoint { 1, 2 }, { "a", "" }, { 0, 255 },
            Endpoint { 3, 4 } };
    }

    // Guards against fields that are lost or swapped between encoding and decoding.
    TEST(Archive, ReadsWhatItWrites)
    {
        const auto decoded = decode<Sample>(encode(sample()));
        ASSERT_TRUE(decoded.has_value());
        EXPECT_EQ(encode(decoded.value()), encode(sample()));
        EXPECT_EQ(std::get<Endpoint>(decoded.value().choice), (Endpoint { 3, 4 }));
    }

    // Guards against reading past a truncated message, and against accepting trailing bytes.
    TEST(Archive, RefusesTruncatedAndTrailingBytes)
    {
        Bytes bytes = encode(sample());
        for (std::size_t size = 0; size < bytes.size(); ++size)
            EXPECT_FALSE(decode<Sample>(BytesView { bytes }.first(size)).has_value()) << size;
        bytes.push_back(0);
        EXPECT_EQ(decode<Sample>(bytes).error(), DecodeError::Trailing);
    }

    // Guards against crashes and huge allocations on random and mutated input.
    TEST(Archive, SurvivesRandomInput)
    {
        std::mt19937_64 random { 42 };
        const Bytes good = encode(sample());
        for (int round = 0; round < 20000; ++round) {
            Bytes bytes = good;
            if (round % 2 == 0)
                bytes.resize(random() % 64);
            for (int change = 0; change < 4 && !bytes.empty(); ++change)
                bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
            (void)decode<Sample>(bytes);
        }
    }

} // namespace
} // namespace zinnia::wire
