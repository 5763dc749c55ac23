#include "zinnia/request/owner.hpp"
#include "zinnia/upstream/registry.hpp"
#include "zinnia/wire/peer_codec.hpp"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <string>

namespace zinnia::bench {

namespace {

    constexpr TimePoint start { Seconds { 1000 } };

    std::size_t heapBytes() { return mallinfo2().uordblks; }

    double nanoseconds(std::chrono::steady_clock::time_point since, std::size_t count)
    {
        const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - since;
        return spent.count() / static_cast<double>(count);
    }

    CoapMessage announcement(std::uint32_t host)
    {
        CoapMessage message;
        message.code = coap::post;
        message.addOption(coap::uriPath, { 'r', 'd' });
        const std::string address = Endpoint { 0x0A000000U + host, 5683 }.toString();
        for (const std::string& query : { "ep=u" + std::to_string(host), std::string { "d=logger" },
                 "con=coap://" + address, std::string { "inc=1" }, std::string { "lt=30" }, std::string { "load=1" } })
            message.addOption(coap::uriQuery, Bytes { query.begin(), query.end() });
        return message;
    }

    /** @brief Measures renewals at intervals of 10 s, and ten ticks between them. */
    void benchRegistry(std::uint32_t size)
    {
        auto configuration = std::make_shared<config::Configuration>();
        configuration->services.emplace_back();
        configuration->services.back().name = "logger";
        upstream::RegistrySettings settings;
        settings.maxRegistrations = size;
        upstream::UpstreamRegistry registry { settings, InstanceId { 1 }, ZoneId { 1 } };
        (void)registry.handle(upstream::ConfigurationAdopted { configuration }, start);
        std::vector<upstream::RegistrationReceived> events;
        for (std::uint32_t host = 0; host < size; ++host)
            events.push_back({ { 1, 1 }, announcement(host) });
        const std::size_t before = heapBytes();
        for (const auto& event : events)
            (void)registry.handle(event, start);
        const double bytes = static_cast<double>(heapBytes() - before) / size;
        constexpr std::size_t rounds = 10;
        std::size_t updates = 0;
        double renewal = 0;
        double tick = 0;
        TimePoint now = start;
        for (std::size_t round = 0; round < rounds; ++round) {
            now += Seconds { 10 };
            const auto renewalsBegin = std::chrono::steady_clock::now();
            for (const auto& event : events) {
                for (const auto& action : registry.handle(event, now))
                    updates += std::holds_alternative<upstream::SendUpdate>(action) ? 1 : 0;
            }
            renewal += nanoseconds(renewalsBegin, events.size()) / rounds;
            const auto ticksBegin = std::chrono::steady_clock::now();
            for (int i = 1; i <= 10; ++i)
                (void)registry.handle(upstream::RegistryTick {}, now + Milliseconds { 100 } * i);
            tick += nanoseconds(ticksBegin, 10) / rounds;
        }
        std::printf("%10u %14.0f %14.2f %14.1f %14.2f\n", size, bytes, renewal / 1000, tick / 1000,
            static_cast<double>(updates) / static_cast<double>(rounds * events.size()));
    }

    /** @brief Measures requests whose small answers are kept for retransmissions. */
    void benchRequestKeys(std::uint32_t size)
    {
        request::OwnerSettings settings;
        settings.maxRequests = size;
        settings.maxCachedAnswerBytes = std::size_t { 1 } << 30U;
        const request::PeerProcess self { InstanceId { 1 }, Epoch { 1 } };
        request::RequestOwner owner { settings, self };
        (void)owner.handle(request::LeaseExtended { start + Seconds { 1000 } }, start);
        upstream::UpstreamInfo info;
        info.id = UpstreamId { 1 };
        info.state = upstream::UpstreamState::Ready;
        (void)owner.handle(request::UpstreamsUpdated { { info }, {} }, start);
        (void)owner.handle(request::HomeChanged { info.id, self }, start);
        const std::size_t before = heapBytes();
        const auto begin = std::chrono::steady_clock::now();
        std::size_t inProgress = 0;
        for (std::uint32_t i = 0; i < size; ++i) {
            request::RequestReceived placed;
            placed.caller = { 0x0A000000U + i / 16, 5000 };
            placed.candidates = { info.id };
            placed.message.code = coap::get;
            placed.message.messageId = static_cast<std::uint16_t>(i);
            placed.message.token = { 1, 2, 3, 4 };
            const std::size_t idle = heapBytes();
            request::RequestResult result;
            for (const auto& action : owner.handle(placed, start)) {
                if (const auto* sent = std::get_if<request::SendToPeer>(&action)) {
                    const auto& dispatch = std::get<request::DispatchRequest>(sent->message);
                    result = { dispatch.id, dispatch.attempt, dispatch.upstream, request::ResultKind::Answered, {}, {},
                        {} };
                }
            }
            inProgress += heapBytes() - idle;
            result.answer.code = coap::content;
            result.answer.payload = Bytes(64);
            (void)owner.handle(request::ResultReceived { self.instance, result }, start);
        }
        const double spent = nanoseconds(begin, size);
        const double bytes = static_cast<double>(heapBytes() - before) / size;
        std::printf("%10u %14.0f %14.0f %14.2f\n", size, bytes, static_cast<double>(inProgress) / size, spent / 1000);
    }

    /** @brief Measures the sealed size of an update with `size` registrations, without IP and UDP headers. */
    void benchUpdate(std::uint32_t size)
    {
        upstream::UpstreamUpdate update { ZoneId { 1 }, {} };
        for (std::uint32_t host = 1; host <= size; ++host) {
            upstream::UpstreamRecord& record = update.records.emplace_back();
            record.service = ServiceId { 1000 };
            record.name = "u" + std::to_string(host);
            record.address = { 0x0A000000U + host, 5683 };
            record.incarnation = Incarnation { 1764800000000 }; // milliseconds since 1970
            record.lease = record.leaseRemaining = Seconds { 30 };
            record.sequence = 1000;
            record.slots = 2;
            record.connections = 2000;
            record.load = 50;
        }
        Bytes body;
        wire::encodePeerBody(body, entry::PeerMessage { update });
        wire::Sealer sealer { {}, ClusterId { 1 }, InstanceId { 1 }, Epoch { 1764800000000 } };
        const std::size_t bytes = sealer.seal(wire::MessageKind::UpstreamUpdate, body).size();
        std::printf("%10u %14zu %14.1f\n", size, bytes, static_cast<double>(bytes) / size);
    }

} // namespace

} // namespace zinnia::bench

int main()
{
    std::printf(
        "Registrations\n%10s %14s %14s %14s %14s\n", "size", "bytes each", "us/renewal", "us/tick", "updates each");
    for (const std::uint32_t size : { 100U, 1000U, 4000U, 16000U, 32000U })
        zinnia::bench::benchRegistry(size);
    std::printf("\nRequest keys, kept with an answer of 64 bytes\n%10s %14s %14s %14s\n", "size", "bytes kept",
        "in progress", "us/request");
    for (const std::uint32_t size : { 1000U, 8000U, 65536U, 262144U })
        zinnia::bench::benchRequestKeys(size);
    std::printf("\nUpdates between entries, sealed\n%10s %14s %14s\n", "records", "bytes", "bytes each");
    for (const std::uint32_t size : { 1U, 2U, 5U, 10U, 40U, 100U })
        zinnia::bench::benchUpdate(size);
    return 0;
}
