#pragma once

#include "standin/control_port.hpp"
#include "standin/counter_poller.hpp"
#include "standin/load_settings.hpp"
#include "standin/start_error.hpp"
#include "standin/upstream_directory.hpp"
#include "standin/withdrawal_tracker.hpp"
#include "zinnia/runtime/datagram_batch.hpp"
#include "zinnia/runtime/udp_socket.hpp"

#include <fstream>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace zinnia::standin {

/** @brief Generates the workload from many local ports, and accounts for the results. */
class LoadProcess {
public:
    /** @param loop Has to outlive the process; the process stops it when the run is over. */
    [[nodiscard]] static Result<std::unique_ptr<LoadProcess>, StartError> create(
        runtime::EventLoop& loop, const LoadSettings& settings);

    ~LoadProcess();
    LoadProcess(const LoadProcess&) = delete;
    LoadProcess& operator=(const LoadProcess&) = delete;

    /** @brief Opens no more flows, waits for the open requests and then stops the loop. */
    void finish();
    [[nodiscard]] ControlRoutes routes();

private:
    struct Open {
        std::unique_ptr<Caller> caller;
        runtime::UdpSocket socket;
    };

    LoadProcess(runtime::EventLoop& loop, const LoadSettings& settings);

    void tick();
    void openDue(TimePoint now);
    void openFlow(const LoadPart& part, bool longLived, TimePoint now);
    void receive(int descriptor);
    void send(int descriptor, const std::vector<Outgoing>& datagrams);
    void sample(TimePoint now);
    void classify(TimePoint now, bool all);
    void updateFromCounters(const std::vector<PolledCounters>& all);
    void updateUpstream(const std::string& zone, const nlohmann::json& upstream);
    [[nodiscard]] ControlResult mark(const nlohmann::json& body);
    void complete();
    void writeLine(const nlohmann::json& line);
    [[nodiscard]] nlohmann::json totals();

    runtime::EventLoop* loop;
    LoadSettings settings;
    std::mt19937_64 random;
    std::ofstream output;
    LoadAccount account;
    InterruptionClassifier interruptionClassifier;
    ProbeIds ids;
    UpstreamDirectory directory;
    WithdrawalTracker withdrawals;
    runtime::DatagramReceiver receiver;
    runtime::DatagramSender sender;
    std::unordered_map<int, Open> open;
    std::vector<TimePoint> nextArrival;
    std::vector<std::uint32_t> longLivedOpened;
    TimePoint started;
    TimePoint nextSample;
    TimePoint finishDeadline;
    bool finishing = false;
    /** Open flows when the run ended. */
    nlohmann::json flowsAtEnd = nlohmann::json::object();
    std::uint64_t socketsRefused = 0;
    /** Upstream names that each control port reported; they are gone when the port no longer answers. */
    std::unordered_map<Endpoint, std::set<std::string>> upstreamNamesByControl;
    std::unordered_map<Endpoint, nlohmann::json> lastCounters;
    runtime::TimerId timer;
    std::unique_ptr<CounterPoller> poller;
};

} // namespace zinnia::standin
