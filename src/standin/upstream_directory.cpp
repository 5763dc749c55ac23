#include "standin/upstream_directory.hpp"

#include <algorithm>

namespace zinnia::standin {

std::string UpstreamDirectory::zoneOf(const std::string& name) const
{
    const auto at = this->upstreams.find(name);
    return at == this->upstreams.end() ? std::string {} : at->second.zone;
}

bool UpstreamDirectory::isRunning(const std::string& name, std::uint64_t generation) const
{
    const auto at = this->upstreams.find(name);
    if (at == this->upstreams.end())
        return true;
    // A generation of 0 comes from a mark, which states only that the upstream is gone.
    return at->second.answering && at->second.generation <= generation;
}

std::size_t UpstreamDirectory::countOf(const std::string& service) const
{
    return static_cast<std::size_t>(std::count_if(this->upstreams.begin(), this->upstreams.end(),
        [&](const auto& entry) { return entry.second.service == service; }));
}

} // namespace zinnia::standin
