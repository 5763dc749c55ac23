#pragma once

#include "zinnia/core/ids.hpp"
#include "zinnia/core/time.hpp"

#include <map>
#include <set>
#include <vector>

namespace zinnia::feed {

/** @brief Times of the roster. */
struct RosterSettings {
    /** An instance heard within this time is live. */
    Milliseconds live { 1500 };
    /** An instance that is no seed and was not heard for this long is forgotten. */
    Milliseconds memory { 60000 };
};

/** @brief What a message of an instance says about its start. */
enum class RosterChange : unsigned char { Known, Appeared, Restarted, Returned };

/** @brief The control instances that one of them knows: the seeds, and those it hears of from the others. */
class ControlRoster {
public:
    ControlRoster(const RosterSettings& settings, InstanceId self, const std::vector<InstanceId>& seeds, TimePoint now);

    /** @brief Replaces the seeds; instances that are known stay known. */
    void setSeeds(const std::vector<InstanceId>& seeds, TimePoint now);
    /** @brief A message of an instance arrived. */
    RosterChange heard(InstanceId instance, Epoch epoch, TimePoint now);
    /** @brief Another instance names live ones. @return Whether one of them was not known. */
    bool learn(const std::vector<InstanceId>& instances, TimePoint now);
    /** @brief Another instance tells which ones it hears. */
    void recordHearing(InstanceId instance, const std::vector<InstanceId>& live);
    /** @return Whether an instance hears another one itself, as far as it has told. */
    [[nodiscard]] bool doesHear(InstanceId instance, InstanceId other) const;
    /** @return Whether an instance was forgotten. */
    bool forgetOld(TimePoint now);

    /** @return All others that are known. */
    [[nodiscard]] std::vector<InstanceId> peers() const;
    /** @return Those heard lately, and this one. */
    [[nodiscard]] std::vector<InstanceId> live(TimePoint now) const;

private:
    struct Member {
        bool seed {};
        TimePoint learnedAt;
        TimePoint heardAt;
        Epoch epoch;
        std::set<InstanceId> hears;
    };

    RosterSettings settings;
    InstanceId self;
    std::map<InstanceId, Member> members;
};

} // namespace zinnia::feed
