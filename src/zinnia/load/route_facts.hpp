#pragma once

#include "zinnia/config/route_table.hpp"
#include "zinnia/load/messages.hpp"

#include <map>
#include <string>

namespace zinnia::load {

/** @return The facts of all routes of a table, and their digest. */
[[nodiscard]] RouteFacts makeRouteFacts(const config::RouteTable& table);

/** @return The shortest latency objective of the routes to each service; services without any are left out. */
[[nodiscard]] std::map<std::string, Milliseconds> shortestObjectives(const config::RouteTable& table);

} // namespace zinnia::load
