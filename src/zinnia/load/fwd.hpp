#pragma once

namespace zinnia::load {

struct LoadReport;
struct LoadReply;
struct RouteFacts;
struct ServiceCount;
struct ServiceLoad;
struct UpstreamCount;
struct UpstreamLoad;
struct ZoneSummary;
class LoadClient;
class ReportStore;
class SummaryStore;
class ZoneGrants;
class ZoneLoadTable;
class ZoneNeed;

} // namespace zinnia::load
