#pragma once

#include "standin/load_account.hpp"
#include "standin/withdrawal_tracker.hpp"

#include <nlohmann/json.hpp>
#include <ostream>
#include <vector>

namespace zinnia::standin {

/** @return Open flows by service and upstream, with their imbalance. */
[[nodiscard]] nlohmann::json flowsJson(const LoadAccount& account, const UpstreamDirectory& directory);

/**
 * @brief The totals of a run.
 * @param upstreams Counters of the upstream stand-ins.
 * @param fabrics Counters of the fabric stand-ins.
 */
[[nodiscard]] nlohmann::json totalsJson(const LoadAccount& account, const WithdrawalTracker& withdrawals,
    const std::vector<nlohmann::json>& upstreams, const std::vector<nlohmann::json>& fabrics);

/** @brief Prints the totals as tables. */
void printTotals(std::ostream& out, const nlohmann::json& totals);

} // namespace zinnia::standin
