#include "standin/registrar.hpp"

#include <algorithm>

namespace zinnia::standin {
namespace {

    /** An entry on the loopback answers within milliseconds; without an answer for this long it is considered gone. */
    constexpr Milliseconds answerTimeout { 500 };
    constexpr Milliseconds refusalRetryDelay { 1000 };
    constexpr std::size_t tokenBytes = 8;
    constexpr std::uint16_t locationPath = 8; // option number, RFC 7252
    constexpr int renewalsPerLifetime = 3;

    void putWord(Bytes& bytes, std::uint32_t value)
    {
        for (int shift = 24; shift >= 0; shift -= 8)
            bytes.push_back(static_cast<std::uint8_t>(value >> static_cast<unsigned>(shift)));
    }

    void addText(CoapMessage& message, std::uint16_t number, const std::string& text)
    {
        message.addOption(number, Bytes(text.begin(), text.end()));
    }

} // namespace

Registrar::Registrar(Settings settings)
    : settings { std::move(settings) }
    , current { this->settings.index }
    , messageId { static_cast<std::uint16_t>(this->settings.index * 257U) }
{
}

const Endpoint& Registrar::entry() const
{
    return this->settings.entries[this->current % this->settings.entries.size()];
}

std::optional<Outgoing> Registrar::tick(const Announcement& announcement, TimePoint now)
{
    if (this->settings.entries.empty())
        return std::nullopt;
    if (this->waiting && now >= this->answerDue) {
        this->waiting = false;
        ++this->unansweredCount;
        ++this->current;
        this->due = now;
    }
    if (now < this->due)
        return std::nullopt;
    ++this->attempt;
    this->waiting = true;
    this->answerDue = now + answerTimeout;
    this->due = TimePoint::max();
    return toDatagram(this->entry(), this->message(coap::post, announcement));
}

bool Registrar::handle(const CoapMessage& answer, TimePoint now)
{
    Bytes expected;
    putWord(expected, this->settings.index);
    putWord(expected, this->attempt);
    if (!this->waiting || answer.token != expected || !answer.isResponse())
        return false;
    this->waiting = false;
    if (answer.code < coap::badRequest) {
        ++this->acceptedCount;
        this->registeredUntil = now + this->settings.lifetime;
        this->location.clear();
        for (const auto& option : answer.options) {
            if (option.number == locationPath)
                this->location.push_back(option.value);
        }
        // Keeps a renewal that was requested while this one was pending.
        if (this->due == TimePoint::max())
            this->due = now + Microseconds { this->settings.lifetime } / renewalsPerLifetime;
    } else {
        ++this->refusedCount;
        ++this->current;
        this->due = now + refusalRetryDelay;
    }
    return true;
}

Outgoing Registrar::removal(const Announcement& announcement)
{
    this->waiting = false;
    this->registeredUntil = TimePoint::min();
    if (this->settings.entries.empty())
        return {};
    return toDatagram(this->entry(), this->message(coap::deleteMethod, announcement));
}

CoapMessage Registrar::message(std::uint8_t code, const Announcement& announcement)
{
    CoapMessage message;
    message.type = CoapType::Confirmable;
    message.code = code;
    message.messageId = ++this->messageId;
    putWord(message.token, this->settings.index);
    putWord(message.token, this->attempt);
    if (code == coap::deleteMethod && !this->location.empty()) {
        for (const Bytes& segment : this->location)
            message.addOption(coap::uriPath, segment);
        return message;
    }
    addText(message, coap::uriPath, "rd");
    const auto query = [&message](const std::string& name, const std::string& value) {
        addText(message, coap::uriQuery, name + "=" + value);
    };
    query("ep", announcement.name);
    query("lt", std::to_string(this->settings.lifetime.count()));
    query("d", announcement.service);
    query("zone", announcement.zone);
    query("con", announcement.address.toString());
    query("inc", std::to_string(announcement.incarnation.value));
    query("seq", std::to_string(this->attempt));
    query("slots", std::to_string(announcement.slots));
    query("conns", std::to_string(announcement.connections));
    query("load", std::to_string(announcement.load));
    if (announcement.draining)
        query("drain", "1");
    return message;
}

std::optional<std::uint32_t> Registrar::indexOf(const Bytes& token)
{
    if (token.size() != tokenBytes)
        return std::nullopt;
    std::uint32_t index = 0;
    for (std::size_t i = 0; i < sizeof(index); ++i)
        index = (index << 8U) | token[i];
    return index;
}

} // namespace zinnia::standin
