#include "zinnia/request/classify.hpp"

#include <algorithm>

namespace zinnia::request {

namespace {

    const config::RequestKind* kindOf(const config::Service* service, const std::string& path)
    {
        const config::RequestKind* best = nullptr;
        if (!service)
            return best;
        for (const auto& kind : service->kinds) {
            const bool matches = kind.path.empty() || path == kind.path || path.starts_with(kind.path + '/');
            if (matches && (!best || kind.path.size() > best->path.size()))
                best = &kind;
        }
        return best;
    }

    // Options hold up to 64 bits; the bound of 2^40 ms (about 35 years) avoids overflow in time arithmetic.
    Milliseconds toMilliseconds(std::uint64_t value)
    {
        constexpr std::uint64_t maxMs = 1ULL << 40U;
        return Milliseconds { static_cast<std::int64_t>(std::min(value, maxMs)) };
    }

} // namespace

RequestClass classify(const CoapMessage& message, const config::Service* service, Milliseconds maxDeadline)
{
    constexpr std::uint64_t lowestPriority = 255;
    const config::RequestKind* kind = kindOf(service, message.path());
    RequestClass result;
    const auto priority = message.uintOption(coap::priority);
    const std::uint8_t defaultPriority = kind ? kind->priority : std::uint8_t { 0 };
    result.priority = priority ? static_cast<std::uint8_t>(std::min(*priority, lowestPriority)) : defaultPriority;
    const auto idempotent = message.uintOption(coap::idempotent);
    const bool defaultIdempotent = kind ? kind->idempotent : message.code == coap::get;
    result.idempotent = idempotent ? *idempotent == 1 : defaultIdempotent;
    const auto deadline = message.uintOption(coap::deadline);
    result.deadline = std::min(maxDeadline, deadline ? toMilliseconds(*deadline) : kind ? kind->deadline : maxDeadline);
    if (const auto age = message.uintOption(coap::age))
        result.age = toMilliseconds(*age);
    return result;
}

} // namespace zinnia::request
