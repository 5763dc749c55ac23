#pragma once

#include "zinnia/core/ids.hpp"
#include "zinnia/load/messages.hpp"

#include <map>
#include <string>
#include <vector>

namespace zinnia::load {

/** @brief The last summary of each control instance of the other zones; those older than 1 s are discarded. */
class SummaryStore {
public:
    /** A control instance sends a summary every 200 ms. */
    static constexpr Milliseconds lifetime { 1000 };

    /** @brief Replaces the summary of a control instance. @return False if it is not newer. */
    bool merge(InstanceId control, const ZoneSummary& summary, TimePoint now);
    /** @brief Discards old summaries. */
    void expire(TimePoint now);
    /** @return For each zone the summary of the lowest id. Valid until the next call of another function. */
    [[nodiscard]] std::vector<const ZoneSummary*> current() const;

private:
    struct Entry {
        ZoneSummary summary;
        TimePoint receivedAt;
    };

    std::map<InstanceId, Entry> summaries;
};

/** @return Load of a service in a summary; null if it is not listed. */
[[nodiscard]] const ServiceSummary* findService(const ZoneSummary& summary, const std::string& service);

} // namespace zinnia::load
