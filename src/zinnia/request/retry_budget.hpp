#pragma once

#include <algorithm>

namespace zinnia::request {

/**
 * @brief Bounds the retries of a service to a share of its fresh requests.
 *
 * A token bucket: each fresh request adds `ratio` tokens and each retry takes one, so that retries cannot
 * multiply the load of upstreams that are already overloaded.
 */
class RetryBudget {
public:
    RetryBudget(double ratio, double burst) noexcept
        : ratio { ratio }
        , burst { burst }
        , tokens { burst }
    {
    }

    void recordRequest() noexcept { this->tokens = std::min(this->burst, this->tokens + this->ratio); }

    /** @return Whether a retry is allowed; if so, it is counted. */
    [[nodiscard]] bool tryTake() noexcept
    {
        if (this->tokens < 1)
            return false;
        this->tokens -= 1;
        return true;
    }

private:
    double ratio;
    double burst;
    double tokens;
};

} // namespace zinnia::request
