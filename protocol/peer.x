/*
 * What entry VMs say to each other: the procedures of the RPC program and the
 * datagrams.  `make generate` turns this file into peer_xdr.c and peer_xdr.h.
 */

const PEER_NAME_MAX = 63;
const PEER_ADDRESS_MAX = 63;
const PEER_JOB_ID_MAX = 160;
const PEER_SERVICE_MAX = 191;
const PEER_BODY_MAX = 67108864;
const PEER_DOCUMENT_MAX = 1048576;
const PEER_DOCUMENTS_MAX = 64;
const PEER_VERSIONS_MAX = 4096;
const PEER_MAC_MAX = 32;
const HEARTBEAT_LOADS_MAX = 32;
const HEARTBEAT_LEAVING_MAX = 8;
const HEARTBEAT_SECTIONS_MAX = 4;
const PEER_SPEC_MAX = 65536;
const PEER_TASKS_MAX = 130;
const BEACON_ROOMS_MAX = 8;
const BEACON_VMS_MAX = 4;

/* PING: "are you there", or "can you reach that suspect". */
struct peer_ping_args {
  string suspect<PEER_NAME_MAX>; /* empty for the called peer itself */
};

struct peer_ping_result {
  unsigned hyper incarnation; /* of the suspect, or of the called peer */
  unsigned int verdict;       /* enum peer_ping_verdict */
};

enum peer_ping_verdict {
  PEER_PING_REACHED = 0,
  PEER_PING_REFUSED = 1, /* its machine answers, its process is gone */
  PEER_PING_NO_REPLY = 2
};

/* FORWARD: a caller's request, passed to the home of its job. */
enum peer_forward_method {
  PEER_FORWARD_SUBMIT = 0,
  PEER_FORWARD_SHOW = 1,
  PEER_FORWARD_CANCEL = 2
};

struct peer_forward_args {
  peer_forward_method method;
  bool is_async; /* SUBMIT: answer once the job is accepted */
  string job_id<PEER_JOB_ID_MAX>;
  opaque body<PEER_BODY_MAX>;
};

struct peer_forward_result {
  unsigned int status;        /* of HTTP */
  unsigned int retry_after_s; /* 0 for none */
  opaque body<PEER_BODY_MAX>;
};

/* FETCH_DOCUMENTS: the documents that are newer than those listed. */
struct peer_document_version {
  string team<PEER_NAME_MAX>;
  unsigned hyper document_version;
};

struct peer_fetch_args {
  peer_document_version known<PEER_VERSIONS_MAX>;
};

struct peer_document {
  string team<PEER_NAME_MAX>;
  unsigned hyper document_version;
  unsigned hyper base;
  string edit<PEER_JOB_ID_MAX>;
  string author<PEER_JOB_ID_MAX>;
  opaque text<PEER_DOCUMENT_MAX>;
};

struct peer_fetch_result {
  unsigned hyper next_offset; /* of the log, that the answerer has reached */
  bool is_complete;           /* FALSE: ask again for the rest */
  peer_document documents<PEER_DOCUMENTS_MAX>;
};

/* RUN_BATCH: tasks of one job, handed to an owner of upstreams.  Times are
   microseconds from when the call was sent.  The reply is the batch's end. */
struct peer_batch_args {
  unsigned hyper incarnation; /* of the home */
  string job<PEER_JOB_ID_MAX>;
  unsigned int number; /* tells the batches of one job apart */
  string service<PEER_SERVICE_MAX>;
  string spec<PEER_SPEC_MAX>;
  string affinity<PEER_NAME_MAX>;
  string required_label<PEER_NAME_MAX>;
  unsigned int step;
  unsigned int milli_cpus;
  unsigned int memory_mb;
  unsigned int accelerators;
  hyper estimate_us;
  unsigned int far_permille;
  unsigned int per_upstream;
  unsigned int priority;
  unsigned int attempts;
  bool is_settled; /* queued tasks stay with the owner */
  bool is_part;    /* others of the job's tasks may have begun */
  bool is_trial;   /* what does not start at once is given back */
  hyper start_in_us;
  hyper end_in_us;
  unsigned int indexes<PEER_TASKS_MAX>;
};

struct peer_batch_result {
  unsigned int end; /* enum batch_end */
  bool has_started; /* a task of it may have been started */
  string reason<PEER_SERVICE_MAX>;
  unsigned int returned<PEER_TASKS_MAX>; /* all tasks ever given back */
};

/* RETURN_TASKS: an owner gives tasks, none of which runs, back to the home. */
struct peer_return_args {
  unsigned hyper incarnation; /* of the home */
  string job<PEER_JOB_ID_MAX>;
  unsigned int number;
  bool has_started; /* another task of the batch may have been started */
  unsigned int indexes<PEER_TASKS_MAX>;
};

struct peer_return_result {
  bool is_known;
};

/* STOP_BATCH: the home no longer wants it. */
struct peer_stop_args {
  unsigned hyper incarnation; /* of the home */
  string job<PEER_JOB_ID_MAX>;
  unsigned int number;
};

struct peer_stop_result {
  bool is_known;
};

/* YIELD: the platform has assigned a shard to the caller. */
struct peer_yield_args {
  unsigned int shard;
  unsigned int n_held; /* by the caller */
};

struct peer_yield_result {
  bool is_acknowledged;
};

/* FETCH_ROUTES: the desired state, when newer than VERSION. */
struct peer_routes_args {
  unsigned hyper known_version;
};

struct peer_routes_result {
  opaque text<PEER_DOCUMENT_MAX>; /* empty when there is nothing newer */
};

/* What a VM tells all others many times a second. */
struct beacon_room {
  unsigned hyper service; /* hash of its name */
  unsigned int n_slots;
  unsigned int free_slots;
  unsigned int n_queued;
  unsigned int queued_ms; /* run time of the queued tasks */
};

struct beacon_vm {
  string name<PEER_NAME_MAX>;
  string ip<PEER_ADDRESS_MAX>;
  string availability_zone<PEER_NAME_MAX>;
};

struct beacon {
  unsigned int magic;
  beacon_vm sender;
  unsigned hyper incarnation;
  unsigned int sequence;
  bool is_leaving;
  unsigned hyper held; /* shards of its zone, as bits */
  unsigned hyper routes_version;
  beacon_room rooms<BEACON_ROOMS_MAX>;
  beacon_vm known<BEACON_VMS_MAX>; /* some of those that it knows */
};

/* The credential of every call. */
struct peer_credential {
  string sender<PEER_NAME_MAX>;
  string receiver<PEER_NAME_MAX>;
  unsigned hyper incarnation; /* of the sender */
  unsigned hyper sequence;
  unsigned hyper sent_unix_ms;
};

/* The parts of a heartbeat that do not travel each time. */
enum heartbeat_section_kind {
  HEARTBEAT_INTRODUCTION = 1,
  HEARTBEAT_DIGEST = 2,
  HEARTBEAT_LOADS = 3,
  HEARTBEAT_LEAVING = 4
};

struct heartbeat_introduction {
  string name<PEER_NAME_MAX>;
  string availability_zone<PEER_NAME_MAX>;
  string address<PEER_ADDRESS_MAX>;
};

struct heartbeat_digest {
  unsigned hyper versions;
  unsigned hyper next_offset;
};

struct heartbeat_load {
  unsigned hyper service; /* hash of "TEAM/SERVICE" */
  unsigned int queued;
  unsigned int free;
};

typedef string heartbeat_vm_name<PEER_NAME_MAX>;

union heartbeat_section switch (heartbeat_section_kind kind) {
case HEARTBEAT_INTRODUCTION:
  heartbeat_introduction introduction;
case HEARTBEAT_DIGEST:
  heartbeat_digest digest;
case HEARTBEAT_LOADS:
  heartbeat_load loads<HEARTBEAT_LOADS_MAX>;
case HEARTBEAT_LEAVING:
  heartbeat_vm_name leaving<HEARTBEAT_LEAVING_MAX>;
};

struct heartbeat {
  unsigned int header;   /* magic, version and flags */
  unsigned hyper sender; /* hash of the VM's name */
  unsigned hyper incarnation;
  unsigned int sequence;
  unsigned int sent_ms; /* the low half of the Unix milliseconds */
  heartbeat_section sections<HEARTBEAT_SECTIONS_MAX>;
};

program RADISHCHUTE_PEER {
  version RADISHCHUTE_PEER_V1 {
    peer_ping_result PEER_PING (peer_ping_args) = 1;
    peer_forward_result PEER_FORWARD (peer_forward_args) = 2;
    peer_fetch_result PEER_FETCH_DOCUMENTS (peer_fetch_args) = 3;
    peer_batch_result PEER_RUN_BATCH (peer_batch_args) = 4;
    peer_stop_result PEER_STOP_BATCH (peer_stop_args) = 5;
    peer_yield_result PEER_YIELD (peer_yield_args) = 6;
    peer_routes_result PEER_FETCH_ROUTES (peer_routes_args) = 7;
    peer_return_result PEER_RETURN_TASKS (peer_return_args) = 8;
  } = 1;
} = 0x20526368;
