#include "zinnia/feed/state_transfer.hpp"

#include "zinnia/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace zinnia::feed {

namespace {

    /** Number of states that a control instance keeps, the newest one included. */
    constexpr std::size_t maxKeptStates = 4;
    /** Parts beyond this number in one request are not sent, so that a small request does not fill the link. */
    constexpr std::size_t maxPartsPerAnswer = 64;

    std::uint64_t digestOf(BytesView bytes)
    {
        return hashOfText(0, { reinterpret_cast<const char*>(bytes.data()), bytes.size() });
    }

} // namespace

std::size_t StateArchive::sizeOf(std::uint64_t revision, const Encoder& encode)
{
    // An instance that lost its disk may start with an older state.
    if (this->entries.empty() || this->entries.back().revision != revision) {
        std::erase_if(this->entries, [revision](const Entry& entry) { return entry.revision >= revision; });
        Bytes bytes = encode();
        const std::uint64_t digest = digestOf(bytes);
        this->entries.push_back({ revision, digest, std::move(bytes) });
        if (this->entries.size() > maxKeptStates)
            this->entries.pop_front();
    }
    return this->entries.back().bytes.size();
}

std::vector<StatePart> StateArchive::answer(const StatePartsRequest& request) const
{
    std::vector<StatePart> parts;
    if (this->entries.empty() || this->entries.back().revision < request.revision)
        return parts;
    const auto kept = std::find_if(this->entries.begin(), this->entries.end(),
        [&](const Entry& entry) { return entry.revision == request.revision; });
    const Entry& entry = kept == this->entries.end() ? this->entries.back() : *kept;
    for (const std::uint32_t part : request.parts) {
        const std::size_t offset = part * statePartBytes;
        if (parts.size() == maxPartsPerAnswer)
            break;
        if (offset >= entry.bytes.size())
            continue;
        const auto first = entry.bytes.begin() + static_cast<std::ptrdiff_t>(offset);
        const auto size = static_cast<std::ptrdiff_t>(std::min(statePartBytes, entry.bytes.size() - offset));
        parts.push_back({ request.subject, entry.revision, static_cast<std::uint32_t>(entry.bytes.size()), entry.digest,
            part, Bytes { first, first + size } });
    }
    return parts;
}

void StateTransfer::start(std::uint64_t newRevision, TimePoint now)
{
    this->reset();
    this->revision = newRevision;
    this->lastPartAt = now;
}

void StateTransfer::reset()
{
    this->revision = 0;
    this->digest = 0;
    this->bytes.clear();
    this->received.clear();
    this->missing = 0;
}

std::optional<OutgoingPartsRequest> StateTransfer::offer(
    InstanceId control, std::uint64_t offeredRevision, TimePoint now)
{
    if (this->isInProgress()) {
        // `tick` repeats requests to the same instance.
        if (control == this->source || now - this->lastPartAt < this->settings.retryDelay)
            return std::nullopt;
        // Parts that have arrived are of use if the other instance has the same state, or still keeps it.
        if (offeredRevision < this->revision)
            this->start(offeredRevision, now);
    } else {
        this->start(offeredRevision, now);
    }
    this->source = control;
    return this->nextRequest(now);
}

std::optional<OutgoingPartsRequest> StateTransfer::receive(InstanceId control, const StatePart& part, TimePoint now)
{
    if (!this->isInProgress() || part.revision < this->revision)
        return std::nullopt;
    const bool isValid = part.stateBytes > 0 && part.stateBytes <= maxTransferBytes
        && part.part < partCountOf(part.stateBytes)
        && part.bytes.size() == std::min(statePartBytes, part.stateBytes - part.part * statePartBytes);
    if (!isValid)
        return std::nullopt;
    const bool isOther
        = part.revision != this->revision || part.digest != this->digest || part.stateBytes != this->bytes.size();
    if (this->bytes.empty() || isOther) {
        // Only the instance that is asked may replace what others have sent.
        if (!this->bytes.empty() && control != this->source)
            return std::nullopt;
        this->start(part.revision, now);
        this->digest = part.digest;
        this->bytes.resize(part.stateBytes);
        this->received.assign(partCountOf(part.stateBytes), false);
        this->missing = this->received.size();
    }
    this->lastPartAt = now;
    if (!this->received[part.part]) {
        this->received[part.part] = true;
        --this->missing;
        std::copy(part.bytes.begin(), part.bytes.end(),
            this->bytes.begin() + static_cast<std::ptrdiff_t>(part.part * statePartBytes));
    }
    // Parts are sent in order, so those before the last one that have not arrived are probably lost.
    if (this->missing == 0 || part.part < std::min<std::size_t>(this->lastRequested, this->received.size() - 1))
        return std::nullopt;
    return this->nextRequest(now);
}

std::optional<OutgoingPartsRequest> StateTransfer::tick(TimePoint now)
{
    const bool isDue = now - std::max(this->lastPartAt, this->lastRequestAt) >= this->settings.retryDelay;
    if (!this->isInProgress() || !isDue)
        return std::nullopt;
    return this->nextRequest(now);
}

OutgoingPartsRequest StateTransfer::nextRequest(TimePoint now)
{
    this->lastRequestAt = now;
    OutgoingPartsRequest next { this->source, { this->subject, this->revision, {} } };
    if (this->bytes.empty()) {
        for (std::uint32_t part = 0; part < this->settings.partsPerRequest; ++part)
            next.request.parts.push_back(part);
    }
    for (std::uint32_t part = 0; part < this->received.size(); ++part) {
        if (!this->received[part] && next.request.parts.size() < this->settings.partsPerRequest)
            next.request.parts.push_back(part);
    }
    this->lastRequested = next.request.parts.empty() ? 0 : next.request.parts.back();
    return next;
}

std::optional<Bytes> StateTransfer::takeState()
{
    if (!this->isInProgress() || this->bytes.empty() || this->missing > 0)
        return std::nullopt;
    const bool isIntact = digestOf(this->bytes) == this->digest;
    Bytes state = std::exchange(this->bytes, {});
    this->reset();
    return isIntact ? std::optional { std::move(state) } : std::nullopt;
}

void StateTransfer::discardUpTo(std::uint64_t adoptedRevision)
{
    if (this->isInProgress() && this->revision <= adoptedRevision)
        this->reset();
}

} // namespace zinnia::feed
