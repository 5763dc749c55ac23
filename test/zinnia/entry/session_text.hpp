#pragma once

#include "zinnia/entry/event.hpp"
#include "zinnia/runtime/json_archive.hpp"
#include "zinnia/wire/peer_codec.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <sstream>
#include <string>

namespace zinnia::entry::test {

// Names of the types, in the order of the variants' alternatives.
inline constexpr std::array<std::string_view, std::variant_size_v<Event>> eventTypes { "fabric", "upstream",
    "request_port", "registration", "peer", "configuration", "tick", "stop" };
inline constexpr std::array<std::string_view, std::variant_size_v<Action>> actionTypes { "to_caller", "to_upstream",
    "request_packet", "registration_answer", "to_peer", "fetch_configuration", "report", "count_refusal", "count_retry",
    "adopted", "stopped" };
inline constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>> messageTypes { "heartbeat",
    "forward_packet", "replicate_flows", "replicate_ack", "handover_request", "handover_records", "handover_done",
    "handover_ack", "record_request", "record_request_ack", "dispatch_request", "request_result", "cancel_request",
    "upstream_update" };

// Fields of each event and action in their recorded order, used to write both and to read events.
template <class V> void visitFields(V& visit, FabricPacket& event)
{
    visit("caller", event.caller), visit("service", event.serviceAddress), visit("payload", event.payload);
}
template <class V> void visitFields(V& visit, UpstreamPacket& event)
{
    visit("source", event.upstream), visit("port", event.localPort), visit("payload", event.payload);
}
template <class V> void visitFields(V& visit, RequestPortPacket& event)
{
    visit("source", event.upstream), visit("payload", event.payload);
}
template <class V> void visitFields(V& visit, RegistrationPacket& event)
{
    visit("source", event.source), visit("payload", event.payload);
}
template <class V> void visitFields(V& visit, PeerPacket& event)
{
    visit("from", event.from.value), visit("message", event.message);
}
template <class V> void visitFields(V& visit, ConfigurationOffered& event) { visit("json", event.configuration); }
template <class V> void visitFields(V&, Tick&) { }
template <class V> void visitFields(V&, StopRequested&) { }
template <class V> void visitFields(V& visit, SendToCaller& action)
{
    const BytesView payload = action.generatedPayload.empty() ? action.payload : BytesView { action.generatedPayload };
    visit("caller", action.caller), visit("service", action.serviceAddress), visit("payload", payload);
}
template <class V> void visitFields(V& visit, SendToUpstream& action)
{
    visit("to", action.upstream), visit("port", action.localPort), visit("payload", action.payload);
}
template <class V> void visitFields(V& visit, SendRequestPacket& action)
{
    visit("to", action.upstream), visit("payload", BytesView { action.payload });
}
template <class V> void visitFields(V& visit, SendRegistrationAnswer& action)
{
    visit("to", action.destination), visit("payload", BytesView { action.payload });
}
template <class V> void visitFields(V& visit, SendToPeer& action)
{
    visit("to", action.to.value), visit("message", action.message);
}
template <class V> void visitFields(V& visit, FetchConfiguration& action) { visit("from", action.from.value); }
template <class V> void visitFields(V& visit, Report& action)
{
    visit("event", eventRowOf(action.event).name), visit("instance", action.instance.value);
    visit("address", action.address), visit("number", action.number), visit("reason", nameOf(action.reason));
}
template <class V> void visitFields(V& visit, CountRefusal& action) { visit("reason", nameOf(action.reason)); }
template <class V> void visitFields(V& visit, CountRetry& action) { visit("reason", nameOf(action.reason)); }
template <class V> void visitFields(V& visit, Adopted& action)
{
    visit("version", action.configuration->version.value);
}
template <class V> void visitFields(V&, Stopped&) { }

/** @brief Formats fields as " name=value". */
struct FieldWriter {
    std::string text;

    static std::string word(std::string_view value) { return std::string { value }; }
    static std::string word(const Endpoint& value) { return value.toString(); }
    static std::string word(std::uint64_t value) { return std::to_string(value); }
    static std::string word(const std::shared_ptr<const config::Configuration>& value)
    {
        return runtime::toJson(*value).dump();
    }
    static std::string word(BytesView value)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string hex;
        for (const std::uint8_t byte : value)
            hex.append({ digits[byte >> 4U], digits[byte & 15U] });
        return hex;
    }
    static std::string word(const PeerMessage& value)
    {
        Bytes body;
        wire::encodePeerBody(body, value);
        return std::string { messageTypes[value.index()] } + " payload=" + word(BytesView { body });
    }
    template <class T> void operator()(const char* name, const T& value)
    {
        this->text += std::string { " " } + name + "=" + word(value);
    }
};

/** @brief Parses a recorded line: time, "event" or "action", type and fields. */
struct FieldReader {
    std::int64_t time {};
    std::string direction;
    std::string type;
    std::map<std::string, std::string> fields;
    Bytes payload;

    explicit FieldReader(const std::string& line)
    {
        std::istringstream words { line };
        words >> this->time >> this->direction >> this->type;
        for (std::string word; words >> word;)
            this->fields[word.substr(0, word.find('='))] = word.substr(word.find('=') + 1);
        const std::string& hex = this->fields["payload"];
        for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
            this->payload.push_back(static_cast<std::uint8_t>(std::stoul(hex.substr(i, 2), nullptr, 16)));
    }
    void operator()(const char* name, Endpoint& value) const { value = Endpoint::parse(this->fields.at(name)).value(); }
    void operator()(const char*, BytesView& value) const { value = this->payload; }
    template <std::unsigned_integral T> void operator()(const char* name, T& value) const
    {
        value = static_cast<T>(std::stoull(this->fields.at(name)));
    }
    void operator()(const char* name, PeerMessage& value) const
    {
        // Message kinds are numbered from 1 in the order of the alternatives.
        const auto found = std::find(messageTypes.begin(), messageTypes.end(), this->fields.at(name));
        const auto kind = static_cast<wire::MessageKind>(found - messageTypes.begin() + 1);
        value = wire::decodePeerBody(kind, this->payload).value();
    }
    void operator()(const char* name, std::shared_ptr<const config::Configuration>& value) const
    {
        auto read = runtime::parseJson<config::Configuration>(this->fields.at(name), "golden");
        value = std::make_shared<const config::Configuration>(std::move(read.value()));
    }
};

} // namespace zinnia::entry::test
