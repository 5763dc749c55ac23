#pragma once

#include <algorithm>

namespace zinnia::request {

/**
 * @brief Limits the retries of a service to a fraction of its requests.
 *
 * A token bucket: each new request adds `ratio` tokens, up to `burst`, and each retry takes one, so that retries cannot
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

    /** @brief Takes a token for a retry. @return True if there was one, that is, if the retry is allowed. */
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
