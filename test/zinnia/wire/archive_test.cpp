#include "zinnia/consensus/types.hpp"
#include "zinnia/wire/archive.hpp"

#include <gtest/gtest.h>

namespace zinnia::wire {
namespace {

    // Guards against memberships that the previous release cannot read although they have none of the later fields, and
    // against logs of the previous release that cannot be read any more.
    TEST(Archive, AMembershipWithoutArrivalsIsEncodedAsInThePreviousRelease)
    {
        const consensus::Membership membership { { { InstanceId { 7 }, 1 } } };
        const Bytes previous { 0x91, 0x91, 0x92, 0x07, 0x01 };
        EXPECT_EQ(encode(membership), previous);
        const auto decoded = decode<consensus::Membership>(previous);
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded.value(), membership);
    }

    // Guards against an order of arrival that is lost on the way, and against arrays of other sizes.
    TEST(Archive, OnlyTrailingFieldsMayBeAbsent)
    {
        const consensus::Membership membership { { { InstanceId { 7 }, 1 } }, { InstanceId { 7 }, InstanceId { 9 } } };
        const auto decoded = decode<consensus::Membership>(encode(membership));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded.value(), membership);
        EXPECT_FALSE(decode<consensus::Membership>(Bytes { 0x90 }));
        EXPECT_FALSE(decode<consensus::Membership>(Bytes { 0x93, 0x90, 0x90, 0x90 }));
        EXPECT_FALSE(decode<consensus::ReplicaId>(Bytes { 0x91, 0x07 }));
    }

} // namespace
} // namespace zinnia::wire
