// The protocol between entry instances.
// Times are Unix milliseconds; every time on the wire is a deadline.
namespace py gentianpulley.peer_gen

// What a task needs: thousandths of a core, mebibytes, whole accelerators.
struct ResourceNeed {
  1: required i32 processors_milli
  2: required i32 memory_mib
  3: required i32 accelerators
}

// One incarnation of a request, sent to the owner that shall place it.
struct TaskOrder {
  1: required string task_id
  2: required string request_key
  3: required i32 incarnation
  4: required string work_class
  5: required string team
  6: required ResourceNeed need
  7: required i64 start_before_ms
  8: required i64 deadline_ms
  9: required binary payload
  10: required list<string> data_tags
  // The job record and its revision; empty and 0 if the class needs none.
  11: required binary record
  12: required i64 record_revision
  13: required string checkpoint
}

// What is known of a task. phase: see gentianpulley.task.TaskPhase.
struct TaskReport {
  1: required string task_id
  2: required string phase
  3: required i32 code
  4: required string detail
  5: required string worker
  6: required binary answer
  7: required string digest
}

// Free capacity of one owner, summed and at its roomiest worker.
struct Headroom {
  1: required ResourceNeed total
  2: required ResourceNeed largest
  3: required i32 free_slots
  4: required i32 owned_workers
  // The distinct capacities of the owned workers.
  5: required list<ResourceNeed> shapes
}

struct Heartbeat {
  1: required string instance
  2: required string boot_id
  3: required string failure_domain
  4: required i64 cfg_revision
  5: required i64 domains_revision
  6: required bool draining
  7: required i64 store_heard_ms
  8: required Headroom headroom
}

// A versioned document: kind is "cfg" or "domains", body is its JSON.
struct Document {
  1: required string kind
  2: required i64 revision
  3: required binary body
}

service Peer {
  TaskReport run(1: TaskOrder order, 2: i32 wait_ms)
  TaskReport await_answer(1: string task_id, 2: string worker, 3: i32 wait_ms)
  TaskReport cancel(1: string task_id, 2: string worker)
  list<string> cancel_local(1: list<string> request_keys)
  Heartbeat heartbeat(1: Heartbeat mine)
  Document fetch_document(1: string kind)
}
