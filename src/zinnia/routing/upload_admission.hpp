#pragma once

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace zinnia::routing {

/** @brief Limits of an `UploadAdmission`. */
struct UploadAdmissionSettings {
    /** Rate of the outgoing link; 0 for an unlimited one. Unit: bytes per second. */
    std::uint64_t bytesPerSecond {};
    /** Mean size of a route's requests from which on they count as uploads. Unit: bytes. */
    std::size_t minUploadBytes = 10'000;
    /** Longest expected time until a new upload is sent; callers give up soon after. */
    Milliseconds maxUploadTime { 2000 };
};

/**
 * @brief Decides whether the outgoing link can carry another upload in time.
 *
 * The size of a route's requests is learned from those that were answered. An upload that is refused at its opening has
 * not run, and its caller's next attempt is likely to arrive at another router, whose link may be free.
 */
class UploadAdmission {
public:
    explicit UploadAdmission(const UploadAdmissionSettings& settings)
        : settings { settings }
    {
    }

    /** @brief Adds the size of an answered request to the mean of its route. */
    void recordRequest(const Endpoint& route, std::size_t bytes);

    /** @brief Forgets the sizes of routes that `isKnown` does not accept. */
    template <class Predicate> void retain(Predicate isKnown)
    {
        std::erase_if(this->meanBytes, [&](const auto& item) { return !isKnown(item.first); });
    }

    /** @param waitingUploads Flows whose data waits for the link. @return False if the opening should be refused. */
    [[nodiscard]] bool admits(const Endpoint& route, std::size_t waitingUploads) const;

private:
    UploadAdmissionSettings settings;
    /** Running mean of the bytes of a request, by route. */
    std::unordered_map<Endpoint, std::size_t> meanBytes;
};

} // namespace zinnia::routing
