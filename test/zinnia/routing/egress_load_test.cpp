#include "zinnia/routing/link_simulation.hpp"

#include <gtest/gtest.h>
#include <iomanip>
#include <iostream>

namespace zinnia::routing::test {
namespace {

    /** A tenth of the time in which a short request is to be answered (400 ms). */
    constexpr Milliseconds maxShortWait { 40 };
    constexpr std::array<std::uint64_t, 3> seeds { 1, 2, 3 };

    /** @return The figures of the worst of several seeds. */
    template <class Order> LinkFigures worstOf(double uploadShare, bool refusesUploads = false)
    {
        LinkFigures worst { Milliseconds { 0 }, 0.0, 1.0, 1.0, 1.0 };
        for (const std::uint64_t seed : seeds) {
            Order order;
            LinkLoad load;
            load.uploadShare = uploadShare;
            load.seed = seed;
            load.refusesUploads = refusesUploads;
            const LinkFigures figures = LinkSimulation { order, load }.run();
            worst.shortWaitP99 = std::max(worst.shortWaitP99, figures.shortWaitP99);
            worst.uploadsRefused = std::max(worst.uploadsRefused, figures.uploadsRefused);
            worst.uploadsInAim = std::min(worst.uploadsInAim, figures.uploadsInAim);
            worst.uploadsServed = std::min(worst.uploadsServed, figures.uploadsServed);
            worst.sentPerUsefulByte = std::max(worst.sentPerUsefulByte, figures.sentPerUsefulByte);
        }
        return worst;
    }

    void print(const char* name, double uploadShare, const LinkFigures& figures)
    {
        std::cout << std::left << std::setw(16) << name << " uploads " << std::fixed << std::setprecision(2)
                  << uploadShare << " of the link: short requests wait p99 " << figures.shortWaitP99.count()
                  << " ms, uploads refused " << figures.uploadsRefused << ", in aim " << figures.uploadsInAim
                  << ", served " << figures.uploadsServed << ", sent/useful " << figures.sentPerUsefulByte << '\n';
    }

    class UploadsBesideShortRequests : public testing::TestWithParam<double> { };

    // Pattern: uploads fill the link of a router, with short requests beside them. Guards against requests that wait
    // behind upload data, and against retransmissions that fill the link because packets wait longer than 200 ms.
    TEST_P(UploadsBesideShortRequests, WaitBrieflyAndAreSentOnce)
    {
        const LinkFigures figures = worstOf<RouterQueue>(this->GetParam());
        print("router queue", this->GetParam(), figures);
        EXPECT_LE(figures.shortWaitP99, maxShortWait);
        EXPECT_LE(figures.sentPerUsefulByte, 1.10);
    }

    INSTANTIATE_TEST_SUITE_P(LinkShares, UploadsBesideShortRequests, testing::Values(0.5, 0.8, 1.1));

    // Guards against uploads that are not served on a link with room for all of them.
    TEST(EgressLoad, UploadsThatFitAreServed)
    {
        EXPECT_GE(worstOf<RouterQueue>(0.5).uploadsServed, 0.97);
        EXPECT_GE(worstOf<RouterQueue>(0.8).uploadsServed, 0.97);
    }

    // Guards against accepted uploads that end at their deadline on a link that cannot carry all of them.
    TEST(EgressLoad, AcceptedUploadsAreServedOnAnOverloadedLink)
    {
        for (const double uploadShare : { 1.1, 1.5 }) {
            const LinkFigures all = worstOf<RouterQueue>(uploadShare);
            print("accepts all", uploadShare, all);
            EXPECT_LT(all.uploadsServed, 0.97);
            const LinkFigures admitted = worstOf<RouterQueue>(uploadShare, true);
            print("refuses uploads", uploadShare, admitted);
            EXPECT_GE(admitted.uploadsServed, 0.97);
            EXPECT_LE(admitted.shortWaitP99, maxShortWait);
        }
        // Nearly nothing is refused while there is room.
        const LinkFigures light = worstOf<RouterQueue>(0.5, true);
        print("refuses uploads", 0.5, light);
        EXPECT_LE(light.uploadsRefused, 0.03);
    }

    // The other orders show the fault that the queue answers, under the same load.
    TEST(EgressLoad, OtherOrdersLetShortRequestsWait)
    {
        for (const double uploadShare : { 0.5, 0.8, 1.1 }) {
            const LinkFigures inOrder = worstOf<FirstInFirstOut>(uploadShare);
            print("in order", uploadShare, inOrder);
            const LinkFigures byKind = worstOf<StrictPriority>(uploadShare);
            print("strict priority", uploadShare, byKind);
            print("equal shares", uploadShare, worstOf<EqualShares>(uploadShare));
            EXPECT_GT(inOrder.shortWaitP99, maxShortWait);
            EXPECT_GT(byKind.shortWaitP99, maxShortWait);
            EXPECT_LT(inOrder.uploadsServed, 0.97);
        }
    }

} // namespace
} // namespace zinnia::routing::test
