#include "zinnia/routing/upload_admission.hpp"

namespace zinnia::routing {

namespace {

    /** Inverse weight of a new request in the running mean. */
    constexpr std::size_t smoothingFactor = 8;

} // namespace

void UploadAdmission::recordRequest(const Endpoint& route, std::size_t bytes)
{
    if (this->settings.bytesPerSecond == 0)
        return;
    const auto [entry, isNew] = this->meanBytes.try_emplace(route, bytes);
    if (!isNew)
        entry->second = (entry->second * (smoothingFactor - 1) + bytes) / smoothingFactor;
}

bool UploadAdmission::admits(const Endpoint& route, std::size_t waitingUploads) const
{
    if (this->settings.bytesPerSecond == 0 || waitingUploads == 0)
        return true;
    const auto mean = this->meanBytes.find(route);
    if (mean == this->meanBytes.end() || mean->second < this->settings.minUploadBytes)
        return true;
    const std::uint64_t expectedBytes = (waitingUploads + 1) * std::uint64_t { mean->second };
    const Milliseconds expectedTime { static_cast<std::int64_t>(expectedBytes * 1000 / this->settings.bytesPerSecond) };
    return expectedTime <= this->settings.maxUploadTime;
}

} // namespace zinnia::routing
