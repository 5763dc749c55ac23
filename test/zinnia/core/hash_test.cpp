#include "zinnia/core/hash.hpp"

#include <gtest/gtest.h>
#include <vector>

namespace zinnia {
namespace {

    std::size_t winner(std::uint64_t key, const std::vector<double>& weights)
    {
        std::size_t best = 0;
        double bestScore = -1;
        for (std::size_t i = 0; i < weights.size(); ++i) {
            const double score = rendezvousScore(hashOf(7, key, i), weights[i]);
            if (score > bestScore) {
                bestScore = score;
                best = i;
            }
        }
        return best;
    }

    // Guards against shares of keys that are not proportional to the weights.
    TEST(Rendezvous, SharesFollowWeights)
    {
        const std::vector<double> weights { 1, 2, 3 };
        std::vector<int> keyCounts(3);
        for (std::uint64_t key = 0; key < 60000; ++key)
            ++keyCounts[winner(key, weights)];
        EXPECT_NEAR(keyCounts[0], 10000, 500);
        EXPECT_NEAR(keyCounts[1], 20000, 500);
        EXPECT_NEAR(keyCounts[2], 30000, 500);
    }

    // Guards against keys that move between candidates whose weights did not change.
    TEST(Rendezvous, OneWeightMovesOnlyItsOwnKeys)
    {
        for (std::uint64_t key = 0; key < 10000; ++key) {
            const auto before = winner(key, { 1, 1, 1 });
            const auto after = winner(key, { 1, 1, 0 });
            EXPECT_TRUE(before == after || before == 2U) << key;
        }
    }

} // namespace
} // namespace zinnia
