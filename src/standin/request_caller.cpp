#include "standin/request_message.hpp"
#include "zinnia/wire/coap_codec.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace zinnia::standin {
namespace {

    /** How long after the deadline an answer is still accepted; then the caller abandons the request. */
    constexpr Seconds lateAnswerTimeout { 5 };

    /**
     * @brief Sends requests one after another from one port, at a fixed interval.
     *
     * Each request may run on another upstream, so these callers are not counted as flows.
     */
    class RequestCaller final : public Caller {
    public:
        RequestCaller(CallerContext context, RequestFlowSpec spec, std::uint64_t seed)
            : context { context }
            , spec { std::move(spec) }
            , retransmitter { seed, Retransmitter::Ageing::With }
            , messageId { static_cast<std::uint16_t>(seed) }
        {
        }

        Sent start(TimePoint now) override
        {
            this->end = now + this->spec.lifetime;
            return this->send(now);
        }

        Sent handle(BytesView bytes, TimePoint now) override
        {
            const auto decoded = wire::decodeCoap(bytes);
            if (!decoded.has_value()) {
                this->context.account.wrong(this->spec.kind);
                return {};
            }
            const CoapMessage& message = decoded.value();
            if (message.type == CoapType::Acknowledgement || message.type == CoapType::Reset)
                (void)this->retransmitter.acknowledge(this->spec.address, message.messageId);
            if (!message.isResponse())
                return {};
            Sent sent;
            if (message.type == CoapType::Confirmable)
                sent.push_back(makeEmpty(this->spec.address, CoapType::Acknowledgement, message.messageId));
            this->handleResponse(message, now);
            return sent;
        }

        Sent tick(TimePoint now) override
        {
            auto due = this->retransmitter.tick(now);
            for (std::size_t i = 0; i < due.retransmissions.size(); ++i)
                this->context.account.retransmitted(this->spec.kind);
            std::erase_if(this->open, [&](const auto& entry) {
                const bool late = entry.second.started + this->spec.deadline + lateAnswerTimeout <= now;
                if (late) {
                    this->context.account.unanswered(this->spec.kind);
                    (void)this->retransmitter.acknowledge(this->spec.address, entry.second.messageId);
                }
                return late;
            });
            this->ended = now >= this->end;
            if (!this->ended && now >= this->next)
                std::ranges::move(this->send(now), std::back_inserter(due.retransmissions));
            return std::move(due.retransmissions);
        }

        Sent stop(TimePoint now) override
        {
            this->end = std::min(this->end, now);
            return {};
        }

        bool isFinished() const override { return this->ended && this->open.empty(); }

    private:
        struct Exchange {
            TimePoint started;
            std::uint16_t messageId {};
        };

        Sent send(TimePoint now)
        {
            this->next = now + this->spec.interval;
            const std::uint64_t id = this->context.ids.allocate();
            CoapMessage request = makeRequest(this->spec, id, ++this->messageId);
            this->open.emplace(id, Exchange { now, this->messageId });
            this->context.account.sent(this->spec.kind, id);
            return { this->retransmitter.start(this->spec.address, std::move(request), now) };
        }

        void handleResponse(const CoapMessage& answer, TimePoint now)
        {
            LoadAccount& account = this->context.account;
            const std::uint64_t id = idOfToken(answer.token);
            const auto at = this->open.find(id);
            if (at == this->open.end()) {
                if (this->done.contains(id))
                    account.duplicate(this->spec.kind);
                else
                    account.wrong(this->spec.kind);
                return;
            }
            const ClassifiedAnswer result = classify(answer, id, this->spec.service);
            if (result.answerClass == AnswerClass::Delivered)
                account.delivered(this->spec.kind, now - at->second.started);
            else if (result.answerClass == AnswerClass::Unknown)
                account.unknown(this->spec.kind);
            else if (result.answerClass == AnswerClass::Wrong)
                account.wrong(this->spec.kind);
            else
                account.refused(this->spec.kind, result.reason, id, result.answerClass == AnswerClass::NotRun);
            (void)this->retransmitter.acknowledge(this->spec.address, at->second.messageId);
            this->open.erase(at);
            this->done.insert(id);
        }

        CallerContext context;
        RequestFlowSpec spec;
        Retransmitter retransmitter;
        std::uint16_t messageId;
        std::map<std::uint64_t, Exchange> open;
        std::set<std::uint64_t> done;
        TimePoint next;
        TimePoint end;
        bool ended = false;
    };

} // namespace

std::unique_ptr<Caller> makeRequestCaller(CallerContext context, RequestFlowSpec spec, std::uint64_t seed)
{
    return std::make_unique<RequestCaller>(context, std::move(spec), seed);
}

} // namespace zinnia::standin
