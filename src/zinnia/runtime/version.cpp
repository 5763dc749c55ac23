#include "zinnia/runtime/version.hpp"

namespace zinnia::runtime {

std::string_view version() noexcept { return ZINNIA_VERSION; }

} // namespace zinnia::runtime
