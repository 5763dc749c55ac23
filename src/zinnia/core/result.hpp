#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace zinnia {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/**
 * @brief A value or a typed failure.
 *
 * Reading the alternative that is not held terminates the process, so callers check first.
 */
template <class T, class E> using Result = outcome::basic_result<T, E, outcome::policy::terminate>;

using outcome::failure;
using outcome::success;

} // namespace zinnia
