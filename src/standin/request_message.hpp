#pragma once

#include "standin/caller.hpp"
#include "zinnia/core/name_table.hpp"

#include <string>

namespace zinnia::standin {

/** @brief Outcome of a request as its answer states it. */
enum class AnswerClass : unsigned char { Delivered, NotRun, Unknown, Refused, Wrong };

inline constexpr NameTable<AnswerClass, 5> answerClassNames { {
    { AnswerClass::Delivered, "delivered" },
    { AnswerClass::NotRun, "not_run" },
    { AnswerClass::Unknown, "unknown" },
    { AnswerClass::Refused, "refused" },
    { AnswerClass::Wrong, "wrong" },
} };
static_assert(isDense(answerClassNames));

/** @brief Classification of an answer to request `id` to `service`. */
struct ClassifiedAnswer {
    AnswerClass answerClass {};
    /** Name of the refusal; empty for other answers. */
    std::string reason;
    /** Valid for delivered answers only. */
    ProbeAnswer content;
};

[[nodiscard]] ClassifiedAnswer classify(const CoapMessage& answer, std::uint64_t id, const std::string& service);

/** @return A confirmable request of the flow's kind; its token is the id. */
[[nodiscard]] CoapMessage makeRequest(const RequestFlowSpec& spec, std::uint64_t id, std::uint16_t messageId);

/** @return The token of `makeRequest` for that id. */
[[nodiscard]] Bytes tokenOf(std::uint64_t id);

/** @return The id in a token made by `makeRequest`, or 0. */
[[nodiscard]] std::uint64_t idOfToken(const Bytes& token);

/** @return An empty acknowledgement or reset of a message. */
[[nodiscard]] Outgoing makeEmpty(const Endpoint& destination, CoapType type, std::uint16_t messageId);

} // namespace zinnia::standin
