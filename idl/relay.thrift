// Calls to a worker through another entry instance, which forwards them.
// A connection is for one life of one worker, named by its first call.
// Times are Unix milliseconds on the relay's clock, those that end in
// worker_ms on the worker's.
namespace py gentianpulley.relay_gen

// What a call came to. After UNREACHABLE, LATE and NO_PAYLOAD nothing was sent
// to the worker; after SILENT it may have acted.
enum Outcome {
  ANSWERED = 1
  UNREACHABLE = 2
  SILENT = 3
  FENCED = 4
  GONE = 5
  LATE = 6
  NO_PAYLOAD = 7
}

struct Target {
  1: required string worker_id
  2: required string address
  3: required i64 born_ms
}

struct Answer {
  1: required Outcome outcome
  2: optional string detail
}

struct Run {
  1: required string job_id
  2: required i32 occurrence
  3: required i32 step
  4: required i32 ordinal
  5: required i64 run
}

struct RunningRow {
  1: required Run run
  2: required string checkpoint
  3: required i32 progress_percent
  4: required i32 gauge
}

struct EndedRow {
  1: required i64 number
  2: required Run run
  3: required string cause
  4: required string checkpoint
}

struct SavedRow {
  1: required i32 place
  2: required string checkpoint
}

// What differs from the list of an earlier version; places are those in it.
// New rows follow at the end. `base` 0 is the empty list.
struct ListChange {
  1: required i32 base
  2: required i32 version
  3: required list<i32> gone
  4: required list<i32> moved
  5: required list<i32> progress_percents
  6: required list<i32> gauges
  7: required list<SavedRow> saved
  8: required list<RunningRow> added
}

struct Look {
  1: required i64 deadline_ms
  2: required i64 wait_until_ms
  3: required i64 token
  4: required i64 acked_number
  5: required i64 lease_worker_ms
  // The version of the list that the caller has, 0 if it has none.
  6: required i32 version
}

struct LookAnswer {
  1: required Answer answer
  2: required i64 clock_worker_ms
  3: required i64 born_ms
  4: optional ListChange running
  5: required list<EndedRow> ended
}

// Nothing is sent to the worker after `deadline_ms`.
struct Order {
  1: required i64 deadline_ms
  2: required i64 token
  3: required i64 lease_worker_ms
  4: required Run run
}

// Without `payload`, the relay reads the job's, which has to have this digest.
struct Start {
  1: required string checkpoint
  2: required string ticket
  3: optional string payload
  4: optional binary payload_digest
}

struct StartAnswer {
  1: required Answer answer
  2: required string verdict
  3: required i64 clock_worker_ms
  4: required i64 born_ms
}

service Relay {
  // Returns the relay's clock.
  i64 attach(1: Target target)
  LookAnswer look(1: Look look)
  StartAnswer start(1: Order order, 2: Start start)
  Answer stop(1: Order order)
  Answer pace(1: Order order, 2: i32 percent)
}
