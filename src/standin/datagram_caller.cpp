#include "standin/caller.hpp"
#include "zinnia/wire/archive.hpp"

#include <set>

namespace zinnia::standin {
namespace {

    class DatagramCaller final : public Caller {
    public:
        DatagramCaller(CallerContext context, DatagramFlowSpec spec)
            : context { context }
            , spec { std::move(spec) }
            , continuity { this->spec.service }
        {
        }

        Sent start(TimePoint now) override
        {
            this->context.account.flowOpened(this->spec.service);
            this->end = now + this->spec.lifetime;
            return this->send(now);
        }

        Sent handle(BytesView bytes, TimePoint now) override
        {
            const auto answer = wire::decode<ProbeAnswer>(bytes);
            if (!answer.has_value() || answer.value().service != this->spec.service
                || !this->sentIds.contains(answer.value().id)) {
                this->context.account.flowWrong(this->spec.service);
                return {};
            }
            if (!this->answeredIds.insert(answer.value().id).second) {
                this->context.account.flowDuplicate(this->spec.service);
                return {};
            }
            this->context.account.flowAnswered(this->spec.service);
            if (this->answeredIds.size() == 1)
                this->context.account.flowEstablished(this->spec.service);
            const std::string before = this->continuity.upstream();
            auto interruption = this->continuity.answered(answer.value().upstream, answer.value().generation, now);
            if (interruption)
                this->context.classifier.add(std::move(*interruption));
            if (!this->finished && before != this->continuity.upstream())
                this->context.account.flowMoved(this->spec.service, before, this->continuity.upstream());
            return {};
        }

        Sent tick(TimePoint now) override
        {
            const std::string before = this->continuity.upstream();
            if (auto interruption = this->continuity.check(now)) {
                this->context.classifier.add(std::move(*interruption));
                this->context.account.flowMoved(this->spec.service, before, {});
            }
            if (now >= this->end)
                return this->stop(now);
            return now >= this->next ? this->send(now) : Sent {};
        }

        Sent stop(TimePoint) override
        {
            if (!this->finished)
                this->context.account.flowMoved(this->spec.service, this->continuity.upstream(), {});
            this->finished = true;
            return {};
        }

        bool isFinished() const override { return this->finished; }

    private:
        Sent send(TimePoint now)
        {
            this->next = now + this->spec.interval;
            this->continuity.expect(now);
            const std::uint64_t id = this->context.ids.allocate();
            this->sentIds.insert(id);
            return { { this->spec.address, wire::encode(Probe { id, this->spec.service }) } };
        }

        CallerContext context;
        DatagramFlowSpec spec;
        FlowContinuity continuity;
        std::set<std::uint64_t> sentIds;
        std::set<std::uint64_t> answeredIds;
        TimePoint next;
        TimePoint end;
        bool finished = false;
    };

} // namespace

std::unique_ptr<Caller> makeDatagramCaller(CallerContext context, DatagramFlowSpec spec)
{
    return std::make_unique<DatagramCaller>(context, std::move(spec));
}

} // namespace zinnia::standin
