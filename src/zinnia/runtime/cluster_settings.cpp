#include "zinnia/runtime/cluster_settings.hpp"

#include <sodium.h>

namespace zinnia::runtime {

ClusterSettings readClusterSettings(TableReader& root)
{
    TableReader table = root.table("cluster");
    ClusterSettings settings;
    settings.id = table.id<ClusterId>("id");
    const std::string digits = table.text("key");
    std::size_t size = 0;
    const char* end = nullptr;
    const int status
        = sodium_hex2bin(settings.key.data(), settings.key.size(), digits.data(), digits.size(), nullptr, &size, &end);
    if (status != 0 || size != settings.key.size() || end != digits.data() + digits.size())
        table.reject("key", std::to_string(digits.size()) + " characters", "64 hexadecimal digits");
    return settings;
}

std::vector<ControlSeed> readControlSeeds(TableReader& root)
{
    std::vector<ControlSeed> seeds;
    for (TableReader& table : root.tables("control"))
        seeds.push_back({ table.id<InstanceId>("id"), table.endpoint("stream") });
    return seeds;
}

} // namespace zinnia::runtime
