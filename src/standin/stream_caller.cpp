#include "standin/request_message.hpp"
#include "zinnia/wire/coap_codec.hpp"

#include <optional>
#include <set>

namespace zinnia::standin {
namespace {

    constexpr Seconds refusalRetryDelay { 1 };
    constexpr Seconds lateAnswerTimeout { 5 };
    constexpr std::uint64_t observeRegister = 0;
    constexpr std::uint64_t observeDeregister = 1;

    /** @brief Maintains one Observe stream, and registers it again when it is refused or its notifications stop. */
    class StreamCaller final : public Caller {
    public:
        StreamCaller(CallerContext context, RequestFlowSpec spec, std::uint64_t seed)
            : context { context }
            , spec { std::move(spec) }
            , continuity { this->spec.service }
            , retransmitter { seed, Retransmitter::Ageing::With }
            , messageId { static_cast<std::uint16_t>(seed) }
        {
            this->spec.method = coap::get;
            this->spec.idempotent = true;
        }

        Sent start(TimePoint now) override
        {
            this->context.account.flowOpened(this->spec.service);
            this->end = now + this->spec.lifetime;
            return { this->registerStream(now) };
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
            // A reset cancels an earlier stream at the upstream, because it has no observer any more.
            const std::uint64_t id = idOfToken(message.token);
            const bool known = id == this->streamId || id == this->deregisteringId;
            Sent sent;
            if (message.type == CoapType::Confirmable || (!known && message.find(coap::observe)))
                sent.push_back(makeEmpty(
                    this->spec.address, known ? CoapType::Acknowledgement : CoapType::Reset, message.messageId));
            if (known)
                this->handleResponse(message, now);
            else if (this->pastStreams.contains(id))
                this->context.account.duplicate(this->spec.kind);
            else
                this->context.account.wrong(this->spec.kind);
            return sent;
        }

        Sent tick(TimePoint now) override
        {
            auto due = this->retransmitter.tick(now);
            for (std::size_t i = 0; i < due.retransmissions.size(); ++i)
                this->context.account.retransmitted(this->spec.kind);
            if (this->deregisteringId != 0)
                return std::move(due.retransmissions);
            const std::string before = this->continuity.upstream();
            if (auto interruption = this->continuity.check(now)) {
                this->context.classifier.add(std::move(*interruption));
                this->context.account.flowMoved(this->spec.service, before, {});
                this->nextRegistration = now;
            }
            if (this->awaitingFirst && !this->nextRegistration
                && now >= this->registered + this->spec.deadline + lateAnswerTimeout) {
                this->context.account.unanswered(this->spec.kind);
                this->nextRegistration = now;
            }
            if (now >= this->end) {
                for (auto& datagram : this->stop(now))
                    due.retransmissions.push_back(std::move(datagram));
            } else if (this->nextRegistration && now >= *this->nextRegistration) {
                due.retransmissions.push_back(this->registerStream(now));
            }
            return std::move(due.retransmissions);
        }

        Sent stop(TimePoint now) override
        {
            if (this->deregisteringId != 0)
                return {};
            this->context.account.flowMoved(this->spec.service, this->continuity.upstream(), {});
            this->deregisteringId = this->streamId;
            // Has its own request id: an upstream may run it, which must not count as a second run of the registration.
            CoapMessage request = makeRequest(this->spec, this->context.ids.allocate(), ++this->messageId);
            request.token = tokenOf(this->streamId);
            request.addUint(coap::observe, observeDeregister);
            return { this->retransmitter.start(this->spec.address, std::move(request), now) };
        }

        bool isFinished() const override { return this->deregisteringId != 0 && this->retransmitter.size() == 0; }

    private:
        Outgoing registerStream(TimePoint now)
        {
            if (this->streamId != 0)
                this->pastStreams.insert(this->streamId);
            this->nextRegistration.reset();
            (void)this->retransmitter.acknowledge(this->spec.address, this->messageId);
            this->awaitingFirst = true;
            this->registered = now;
            this->streamId = this->context.ids.allocate();
            this->continuity.expect(now);
            this->context.account.sent(this->spec.kind, this->streamId);
            CoapMessage request = makeRequest(this->spec, this->streamId, ++this->messageId);
            request.addUint(coap::observe, observeRegister);
            return this->retransmitter.start(this->spec.address, std::move(request), now);
        }

        void handleResponse(const CoapMessage& message, TimePoint now)
        {
            if (this->deregisteringId != 0)
                return;
            LoadAccount& account = this->context.account;
            const ClassifiedAnswer result = classify(message, this->streamId, this->spec.service);
            if (result.answerClass == AnswerClass::Wrong) {
                account.wrong(this->spec.kind);
                return;
            }
            if (result.answerClass != AnswerClass::Delivered) {
                if (result.answerClass == AnswerClass::Unknown)
                    account.unknown(this->spec.kind);
                else
                    account.refused(
                        this->spec.kind, result.reason, this->streamId, result.answerClass == AnswerClass::NotRun);
                this->nextRegistration = now + refusalRetryDelay;
                this->awaitingFirst = false;
                return;
            }
            // Only the first answer has a latency: notifications are sent when the upstream has an update.
            account.delivered(
                this->spec.kind, this->awaitingFirst ? std::optional { now - this->registered } : std::nullopt);
            this->awaitingFirst = false;
            account.flowAnswered(this->spec.service);
            const std::string before = this->continuity.upstream();
            auto interruption = this->continuity.answered(result.content.upstream, result.content.generation, now);
            if (interruption)
                this->context.classifier.add(std::move(*interruption));
            if (!this->established)
                account.flowEstablished(this->spec.service);
            this->established = true;
            if (before != this->continuity.upstream())
                account.flowMoved(this->spec.service, before, this->continuity.upstream());
            this->continuity.expect(now);
        }

        CallerContext context;
        RequestFlowSpec spec;
        FlowContinuity continuity;
        Retransmitter retransmitter;
        std::uint16_t messageId;
        std::uint64_t streamId = 0;
        /** The stream that is being deregistered; 0 while the stream is wanted. */
        std::uint64_t deregisteringId = 0;
        std::set<std::uint64_t> pastStreams;
        std::optional<TimePoint> nextRegistration;
        bool awaitingFirst = true;
        bool established = false;
        TimePoint registered;
        TimePoint end;
    };

} // namespace

std::unique_ptr<Caller> makeStreamCaller(CallerContext context, RequestFlowSpec spec, std::uint64_t seed)
{
    return std::make_unique<StreamCaller>(context, std::move(spec), seed);
}

} // namespace zinnia::standin
