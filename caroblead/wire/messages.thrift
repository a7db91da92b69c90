// Messages between the processes of caroblead.
// After a change run `make wire` and commit what it writes.

namespace py messages

struct Envelope {
  1: i64 call,
  2: i16 kind,
  3: i64 clock,
  4: i32 budget_ms,
  5: binary body,
  6: optional string action,
}

struct WireFault {
  1: string reason,
  2: string step,
  3: string peer,
  4: optional string detail,
  5: optional string field,
  6: optional i32 retry_after_ms,
}

struct RunRequest {
  1: string request,
  2: string incarnation,
  3: string shard,
  4: string team,
  5: string queue,
  6: bool repeatable,
  7: i32 deadline_ms,
  8: binary payload,
}

struct SubmitJob {
  1: string job,
  2: string shard,
  3: string team,
  4: string queue,
  5: i32 tasks,
  6: i32 millicores,
  7: i32 memory_mb,
  8: i32 accelerators,
  9: i64 run_time_ms,
  10: i64 deadline_ms,
  11: bool repeatable,
}

struct CancelJob {
  1: string job,
  2: string team,
}

struct ListJobs {
  1: string team,
  2: optional string job,
}

struct JobState {
  1: string job,
  2: string team,
  3: string queue,
  4: string state,
  5: i32 tasks,
  6: i32 waiting,
  7: i32 running,
  8: i32 done,
  9: i32 failed,
  10: i32 unknown,
  11: optional string detail,
}

struct Reply {
  1: i8 outcome,
  2: optional i32 status,
  3: optional binary body,
  4: optional WireFault fault,
  5: optional list<JobState> jobs,
}

struct ShardDigest {
  1: string shard,
  2: i64 epoch,
  3: i32 free_slots,
  4: i32 free_millicores,
  5: i32 waiting,
}

struct Digest {
  1: string node,
  2: string zone,
  3: string incarnation,
  4: string host,
  5: i32 placer_port,
  6: i32 gate_port,
  7: i64 ticket,
  8: i64 config,
  9: bool draining,
  10: list<ShardDigest> shards,
  11: i64 settled,
}

struct FetchConfig {
  1: i64 since,
}

struct ConfigReply {
  1: i64 ticket,
  2: string state,
}

struct MoveGrant {
  1: string team,
  2: i64 version,
  3: string source,
  4: string target,
  5: i32 units,
}

struct Drain {
  1: string node,
}

struct Handover {
  1: string shard,
  2: i64 epoch,
  3: string node,
}

struct AskAdvice {
  1: string step,
  2: list<string> vms,
}

struct Ticket {
  1: string vm,
  2: string ticket,
}

struct AdviceReply {
  1: bool answered,
  2: list<Ticket> tickets,
}

struct AskState {
  1: string job,
  2: i32 wait_ms,
}

struct StateReply {
  1: optional string state,
}
