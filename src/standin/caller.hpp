#pragma once

#include "standin/load_account.hpp"
#include "standin/probe.hpp"
#include "standin/retransmitter.hpp"

#include <memory>
#include <string>
#include <vector>

namespace zinnia::standin {

/** @brief Allocates request ids that are unique among the load generators of a run. */
class ProbeIds {
public:
    explicit ProbeIds(std::uint32_t generator)
        : next { std::uint64_t { generator } << 40U }
    {
    }
    [[nodiscard]] std::uint64_t allocate() noexcept { return ++this->next; }

private:
    std::uint64_t next;
};

/** @brief State that all callers of a run share. Has to outlive them. */
struct CallerContext {
    LoadAccount& account;
    InterruptionClassifier& classifier;
    ProbeIds& ids;
};

/** @brief One caller behind one local UDP port: a state machine without I/O. */
class Caller {
public:
    using Sent = std::vector<Outgoing>;

    virtual ~Caller() = default;
    [[nodiscard]] virtual Sent start(TimePoint now) = 0;
    [[nodiscard]] virtual Sent handle(BytesView bytes, TimePoint now) = 0;
    [[nodiscard]] virtual Sent tick(TimePoint now) = 0;
    /** @brief Ends the flow before its lifetime is over, at the end of a run. */
    [[nodiscard]] virtual Sent stop(TimePoint now) = 0;
    [[nodiscard]] virtual bool isFinished() const = 0;

protected:
    Caller() = default;
    Caller(const Caller&) = default;
    Caller& operator=(const Caller&) = default;
};

/** @brief A flow of opaque datagrams. */
struct DatagramFlowSpec {
    std::string service;
    Endpoint address;
    /** Time between datagrams. */
    Microseconds interval { 1'000'000 };
    Microseconds lifetime { 10'000'000 };
};

/** @brief Requests of one kind, or one Observe stream. */
struct RequestFlowSpec {
    std::string service;
    Endpoint address;
    std::string kind;
    std::string path;
    std::uint8_t method = coap::post;
    std::uint8_t priority = 0;
    bool idempotent = false;
    Milliseconds deadline { 10000 };
    Microseconds lifetime { 10'000'000 };
    /** Time between requests of one caller; not used by streams. */
    Microseconds interval { 1'000'000 };
};

[[nodiscard]] std::unique_ptr<Caller> makeDatagramCaller(CallerContext context, DatagramFlowSpec spec);
[[nodiscard]] std::unique_ptr<Caller> makeRequestCaller(
    CallerContext context, RequestFlowSpec spec, std::uint64_t seed);
[[nodiscard]] std::unique_ptr<Caller> makeStreamCaller(CallerContext context, RequestFlowSpec spec, std::uint64_t seed);

} // namespace zinnia::standin
