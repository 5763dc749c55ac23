#pragma once

#include "zinnia/config/config_state_machine.hpp"
#include "zinnia/config/sample.hpp"
#include "zinnia/runtime/control_backend.hpp"
#include "zinnia/wire/config_codec.hpp"

namespace zinnia::runtime {

/** @brief A backend that commits immediately, returns a prepared result, or does not answer. */
class FakeBackend final : public ControlBackend {
public:
    void submit(const config::CommandRequest& request, std::function<void(SubmitResult)> done) override
    {
        if (this->silent)
            return;
        if (this->prepared)
            return done(*this->prepared);
        done(this->machine.apply(request, wire::commandDigest(request)));
    }
    config::Configuration configuration() const override { return this->machine.configuration(); }
    ClusterStatus status() const override { return this->current; }

    config::ConfigStateMachine machine { config::sampleCluster };
    ClusterStatus current { InstanceId { 21 }, ReplicaRole::Leader, {}, {}, {} };
    std::optional<SubmitResult> prepared;
    bool silent = false;
};

} // namespace zinnia::runtime
