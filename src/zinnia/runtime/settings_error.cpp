#include "zinnia/runtime/settings_error.hpp"

namespace zinnia::runtime {

std::string SettingsError::toString() const
{
    std::string line = this->file;
    if (this->line != 0)
        line += ":" + std::to_string(this->line);
    line += ": ";
    if (!this->key.empty())
        line += this->key + ": ";
    line += nameIn(settingsFaultNames, this->fault);
    if (!this->value.empty())
        line += ": '" + this->value + "'";
    if (!this->allowed.empty())
        line += "; allowed: " + this->allowed;
    return line;
}

} // namespace zinnia::runtime
