#pragma once

namespace zinnia::request {

struct RequestId;
struct DispatchRequest;
struct RequestResult;
struct CancelRequest;
struct RecordRequest;
struct RecordRequestAck;
struct ObservationRecord;
struct ObservationRecordAck;
struct OwnerSettings;
struct HomeSettings;
class RequestOwner;
class RequestHome;
class RetryBudget;
enum class ResultKind : unsigned char;

} // namespace zinnia::request
