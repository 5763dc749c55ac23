#include "zinnia/runtime/operator_token.hpp"

#include <fstream>
#include <sodium.h>
#include <sstream>

namespace zinnia::runtime {

std::optional<OperatorToken> OperatorToken::create(const std::string& token)
{
    if (token.size() < minTokenBytes)
        return std::nullopt;
    return OperatorToken { hashOf(token) };
}

bool OperatorToken::permits(std::string_view authorization) const
{
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme))
        return false;
    const Hash presentedHash = hashOf(authorization.substr(scheme.size()));
    return sodium_memcmp(presentedHash.data(), this->hash.data(), this->hash.size()) == 0;
}

OperatorToken::Hash OperatorToken::hashOf(std::string_view token)
{
    Hash hash {};
    crypto_generichash(
        hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(token.data()), token.size(), nullptr, 0);
    return hash;
}

std::string readOperatorToken(TableReader& root)
{
    constexpr const char* key = "operator_token_file";
    const std::string file = root.text(key);
    if (file.empty())
        return {};
    std::ifstream stream { file };
    std::ostringstream content;
    content << stream.rdbuf();
    std::string token = content.str();
    token.erase(token.find_last_not_of(" \r\n\t") + 1);
    if (token.size() < minTokenBytes)
        root.reject(key, file, "a readable file with a token of at least 32 bytes");
    return token;
}

} // namespace zinnia::runtime
