/*
 * The XDR definitions of the messages between entry VMs: the procedures of the
 * RPC program, beacons and heartbeats.  `make generate` turns this file into
 * peer_xdr.c and peer_xdr.h.
 */

/* Limits of strings and opaque data in bytes, and of lists in elements. */
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
const PEER_LISTING_MAX = 16777216;
const BEACON_ROOMS_MAX = 8;
const BEACON_PRIORITIES = 4;
const BEACON_SIZES = 8;
const BEACON_VMS_MAX = 3;
const BEACON_ZONES_MAX = 32;
const BEACON_CALLERS_MAX = 8;
const BEACON_SECTION_MAX = 1200;
const BEACON_CONFIRMATIONS_MAX = 64;
const BEACON_REVOKED_MAX = 32;

/* PING: checks that the called peer is alive, or asks it to check another peer
   that the caller suspects to be dead. */
struct peer_ping_args {
  string suspect<PEER_NAME_MAX>; /* empty to check the called peer itself */
};

struct peer_ping_result {
  unsigned hyper incarnation; /* of the checked peer; 0 without a reply */
  unsigned int verdict;       /* enum peer_ping_verdict */
};

enum peer_ping_verdict {
  PEER_PING_REACHED = 0,
  PEER_PING_REFUSED = 1, /* its machine refuses: its process has ended */
  PEER_PING_NO_REPLY = 2
};

/* FORWARD: a caller's request, forwarded to the home of its job. */
enum peer_forward_method {
  PEER_FORWARD_SUBMIT = 0,
  PEER_FORWARD_SHOW = 1,
  PEER_FORWARD_CANCEL = 2
};

struct peer_forward_args {
  peer_forward_method method;
  bool is_async; /* SUBMIT: reply when the job is accepted, not finished */
  string job_id<PEER_JOB_ID_MAX>;
  opaque body<PEER_BODY_MAX>;
};

struct peer_forward_result {
  unsigned int status;        /* HTTP status for the caller */
  unsigned int retry_after_s; /* value of Retry-After; 0 for none */
  opaque body<PEER_BODY_MAX>;
};

/* FETCH_DOCUMENTS: returns the configuration documents that are newer than the
   versions listed, or whose teams are not listed. */
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
  unsigned hyper base;            /* version that it was based on */
  string edit<PEER_JOB_ID_MAX>;   /* id of the edit that published it */
  string author<PEER_JOB_ID_MAX>; /* who published it */
  opaque text<PEER_DOCUMENT_MAX>; /* JSON */
};

struct peer_fetch_result {
  unsigned hyper next_offset; /* the called peer has read the log up to it */
  bool is_complete;           /* FALSE: call again for the rest */
  peer_document documents<PEER_DOCUMENTS_MAX>;
};

/* RUN_BATCH: the home of a job assigns tasks of it to an owner of upstreams.
   The reply is sent when the batch has ended. */
struct peer_batch_args {
  unsigned hyper incarnation; /* of the home */
  string job<PEER_JOB_ID_MAX>;
  unsigned int number; /* of the batch, unique in this incarnation */
  string service<PEER_SERVICE_MAX>;
  string spec<PEER_SPEC_MAX>; /* empty in an offer */
  string affinity<PEER_NAME_MAX>;       /* rack; empty for none */
  string required_label<PEER_NAME_MAX>; /* of upstreams; empty for none */
  unsigned int step;
  unsigned int milli_cpus;   /* of each task, as the two below */
  unsigned int memory_mb;
  unsigned int accelerators;
  hyper estimate_us;         /* run time of a task */
  unsigned int far_permille; /* run time away from the rack, in thousandths of
                                estimate_us */
  unsigned int per_upstream; /* most tasks on one upstream; 0 for no limit */
  unsigned int priority;     /* 0 goes first */
  unsigned int attempts;     /* failed runs of one task that end the batch */
  bool is_settled;   /* queued tasks are not returned to the home, unless no
                        upstream can take them */
  bool is_part;      /* other tasks of the job may have been started */
  bool needs_free_slots; /* tasks that find none on arrival are returned to
                            the home at once */
  hyper start_in_us; /* time left to start in order to meet the objective */
  hyper end_in_us;   /* time left until the batch is dropped if no task of it
                        was started */
  unsigned int n_offers; /* 0: the owner may start the tasks.  Otherwise the
                            number of owners that the tasks are offered to: it
                            may start only those that CLAIM_TASKS grants */
  unsigned int indexes<PEER_TASKS_MAX>; /* of the tasks, in the job */
  unsigned int crashed<PEER_TASKS_MAX>; /* those of them that were lost in a
                                           crash and are no suspects */
  unsigned int suspects<PEER_TASKS_MAX>; /* those that probably crash
                                            upstreams: they run alone */
};

struct peer_batch_result {
  unsigned int end; /* enum batch_end */
  bool has_started; /* a task of the batch may have been started */
  string reason<PEER_SERVICE_MAX>;
  unsigned int done<PEER_TASKS_MAX>;     /* tasks that ended with success */
  unsigned int returned<PEER_TASKS_MAX>; /* every task that was returned,
                                            RETURN_TASKS calls included */
  unsigned int crashed<PEER_TASKS_MAX>;  /* of these, as in RUN_BATCH */
  unsigned int suspects<PEER_TASKS_MAX>; /* of these, as in RUN_BATCH */
};

/* RETURN_TASKS: an owner returns tasks to the home.  None of them runs. */
struct peer_return_args {
  unsigned hyper incarnation; /* of the home */
  string job<PEER_JOB_ID_MAX>;
  unsigned int number; /* of the batch */
  bool has_started; /* another task of the batch may have been started */
  unsigned int indexes<PEER_TASKS_MAX>;
  unsigned int crashed<PEER_TASKS_MAX>;  /* of all tasks returned so far, as in
                                            RUN_BATCH */
  unsigned int suspects<PEER_TASKS_MAX>; /* likewise */
};

struct peer_return_result {
  bool is_known; /* FALSE: there is no such batch */
};

/* CLAIM_TASKS: an owner that has free slots for tasks that it was offered asks
   the home for some of them.  The home grants each task to one owner. */
struct peer_claim_args {
  unsigned hyper incarnation; /* of the home */
  string job<PEER_JOB_ID_MAX>;
  unsigned int number;  /* of the batch that offers the tasks */
  unsigned int n_tasks; /* that would start at once */
};

struct peer_claim_result {
  unsigned int granted<PEER_TASKS_MAX>; /* indexes of the tasks, in the job */
  bool is_exhausted; /* there is nothing left to claim */
  string spec<PEER_SPEC_MAX>; /* of the job, if a task was granted */
};

/* STOP_BATCH: the home cancels a batch. */
struct peer_stop_args {
  unsigned hyper incarnation; /* of the home */
  string job<PEER_JOB_ID_MAX>;
  unsigned int number; /* of the batch */
};

struct peer_stop_result {
  bool is_known; /* FALSE: there is no such batch */
};

/* YIELD: asks the owner of a shard to release it, since the platform has
   assigned it to the caller. */
struct peer_yield_args {
  unsigned int shard;
  unsigned int n_held; /* shards that the caller owns */
};

struct peer_yield_result {
  bool is_acknowledged;
};

/* FETCH_ROUTES: returns the desired state when it is newer than
   known_version. */
struct peer_routes_args {
  unsigned hyper known_version;
};

struct peer_routes_result {
  opaque text<PEER_DOCUMENT_MAX>; /* empty when there is nothing newer */
};

/* FETCH_LISTING: returns what the called VM knows of the platform's list of
   upstreams beyond a position. */
struct peer_listing_args {
  unsigned hyper position; /* up to which the caller knows it; 0 for nothing */
};

struct peer_listing_result {
  opaque text<PEER_LISTING_MAX>; /* empty: ask again later, or another VM */
  unsigned int age_ms; /* since the list ended at the position of the text */
};

/* The capacity that a VM's upstreams have for one service, in tasks of usual
   size. */
struct beacon_room {
  unsigned hyper service;  /* hash of its name */
  unsigned int n_slots;    /* tasks that fit on empty upstreams */
  unsigned int unit_milli_cpus;    /* of a typical task */
  opaque free_slots[BEACON_SIZES]; /* tasks that would start at once, by their
                                      size */
  unsigned int n_queued[BEACON_PRIORITIES]; /* tasks that aren't late, by
                                               priority */
  unsigned int starts_per_s[BEACON_PRIORITIES]; /* lately, by priority */
  unsigned int ends_per_s; /* of runs, as expected of those running */
};

struct beacon_vm {
  string name<PEER_NAME_MAX>;
  string ip<PEER_ADDRESS_MAX>;
  string availability_zone<PEER_NAME_MAX>;
};

/* A caller with much of the demand that the sender has seen lately. */
struct beacon_caller {
  unsigned hyper caller;     /* hash of its account or address */
  unsigned int demand_milli; /* CPUs that its jobs ask for, in thousandths */
};

/* The datagram that a VM sends to all others many times a second. */
struct beacon {
  unsigned int magic;
  beacon_vm sender;
  unsigned hyper incarnation;
  unsigned int sequence; /* older beacons are ignored */
  unsigned int interval_ms; /* until the next beacon to this receiver */
  bool is_leaving;
  unsigned hyper held; /* bit mask of the shards of its zone that it owns: bit N
                          for shard N */
  unsigned hyper routes_version; /* of its desired state */
  unsigned hyper evacuation_position; /* the operator's evacuation requests
                                         before it are applied; 0: none known */
  unsigned hyper evacuated_zones<BEACON_ZONES_MAX>; /* hashes of names */
  unsigned int capacity; /* of its processor, in thousandths of a core; 0: not
                            known */
  unsigned hyper listing_position; /* it knows the platform's list of upstreams
                                      up to there; 0: not at all */
  unsigned hyper listing_changed; /* the last change in its zone is before it */
  unsigned int listing_age_ms; /* since the list ended at listing_position */
  bool is_listing_read;        /* by the sender, from the store */
  beacon_caller callers<BEACON_CALLERS_MAX>;
  beacon_room rooms<BEACON_ROOMS_MAX>;
  beacon_vm known<BEACON_VMS_MAX>; /* gossip: some live VMs that it knows */
};

/* Sections follow the beacon in its datagram.  A receiver skips the kinds that
   it does not know, and reads a beacon without sections as one in which each
   section is empty. */
enum beacon_section_kind {
  BEACON_CONFIRMATIONS = 1 /* struct beacon_confirmations */
};

struct beacon_section {
  unsigned int kind; /* enum beacon_section_kind */
  opaque data<BEACON_SECTION_MAX>;
};

/* What the sender, a home, tells an owner of its batches there: it wants all
   of them but those that are named, and has heard the owner's beacon SEQUENCE
   before. */
struct beacon_confirmation {
  unsigned hyper receiver; /* hash of its name and incarnation */
  unsigned int sequence;   /* 0: nothing is confirmed */
  unsigned int revoked<BEACON_REVOKED_MAX>; /* numbers of batches */
};

struct beacon_confirmations {
  beacon_confirmation list<BEACON_CONFIRMATIONS_MAX>;
};

/* The credential of every RPC call. */
struct peer_credential {
  string sender<PEER_NAME_MAX>;
  string receiver<PEER_NAME_MAX>;
  unsigned hyper incarnation; /* of the sender */
  unsigned hyper sequence;    /* of the call; protects against replays */
  unsigned hyper sent_unix_ms;
};

/* Follows the credential.  A receiver reads a call without it as one with
   zeros. */
struct peer_credential_heard {
  unsigned hyper incarnation; /* of the receiver, as the sender knows it */
  unsigned int sequence;      /* of the receiver's latest beacon that the
                                 sender has heard; 0: none */
};

/* The kinds of sections of a heartbeat.  Each section is optional. */
enum heartbeat_section_kind {
  HEARTBEAT_INTRODUCTION = 1, /* name and address of the sender */
  HEARTBEAT_DIGEST = 2,       /* versions of its configuration */
  HEARTBEAT_LOADS = 3,        /* its queues and free slots, by service */
  HEARTBEAT_LEAVING = 4       /* names of VMs that are leaving */
};

struct heartbeat_introduction {
  string name<PEER_NAME_MAX>;
  string availability_zone<PEER_NAME_MAX>;
  string address<PEER_ADDRESS_MAX>;
};

/* The configuration that the sender has. */
struct heartbeat_digest {
  unsigned hyper versions;    /* hash of the versions of all documents */
  unsigned hyper next_offset; /* it has read the log up to this offset */
};

struct heartbeat_load {
  unsigned hyper service; /* hash of "TEAM/SERVICE" */
  unsigned int queued;    /* tasks */
  unsigned int free;      /* slots */
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
  unsigned int sequence; /* protects against replays */
  unsigned int sent_ms; /* low 32 bits of the Unix time in milliseconds */
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
    peer_claim_result PEER_CLAIM_TASKS (peer_claim_args) = 9;
    peer_listing_result PEER_FETCH_LISTING (peer_listing_args) = 10;
  } = 1;
} = 0x20526368;
