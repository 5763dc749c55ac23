#pragma once

#include "zinnia/core/result.hpp"
#include "zinnia/runtime/settings.hpp"

#include <array>
#include <cstdint>
#include <string>

namespace zinnia::runtime {

/** @brief Minimum length of the operator token. 32 random letters cannot be guessed. Unit: bytes. */
inline constexpr std::size_t minTokenBytes = 32;

/**
 * @brief The secret that all operators of a cluster share.
 *
 * Only its hash is kept, and hashes are compared in constant time, so neither the comparison nor the
 * length of a wrong token reveals anything about the right one.
 */
class OperatorToken {
public:
    /** @return Nothing if the token is shorter than `minTokenBytes`. */
    [[nodiscard]] static std::optional<OperatorToken> create(const std::string& token);

    /** @param authorization Value of the Authorization header: "Bearer" and the token. */
    [[nodiscard]] bool permits(std::string_view authorization) const;

private:
    using Hash = std::array<std::uint8_t, 32>;
    explicit OperatorToken(const Hash& hash)
        : hash { hash }
    {
    }
    [[nodiscard]] static Hash hashOf(std::string_view token);

    Hash hash;
};

/** @brief Reads the token from the file that the key "operator_token_file" names. Spaces at its end are ignored. */
[[nodiscard]] std::string readOperatorToken(TableReader& root);

} // namespace zinnia::runtime
