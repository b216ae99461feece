/*
 * Worker stand-ins: machines of the operators' platform that run tasks.
 *
 * One process serves many, each on its own port, and one more port for the
 * controls of all.  worker_run.c runs the tasks under leases, worker_http.c
 * speaks the protocol, worker_beat.c registers the workers in the store
 * stand-in, worker_control.c serves the test, worker.c is the program.
 */
#ifndef T_STANDIN_WORKER_H
#define T_STANDIN_WORKER_H

#include "base/list.h"
#include "t/standin/listener.h"
#include "t/standin/worker_record.h"

/* What a task needs or a worker has.  */
struct room
{
  gint64 cpu; /* thousandths of a core */
  gint64 memory_mb;
  gint64 gpu;
};

enum worker_call
{
  CALL_START,
  CALL_STOP,
  CALL_HOLD,
  WORKER_CALL_COUNT
};

struct worker_faults
{
  gint64 lose_percent; /* of calls: carried out, no answer */
  gint64 drop_percent; /* of calls: neither */
  gint64 late_percent; /* of calls: carried out after LATE_MS, no answer */
  gint64 late_ms;
  gboolean is_on[WORKER_CALL_COUNT]; /* the calls that these apply to */
  gint64 fail_percent;               /* of tasks */
  gint64 hang_percent;               /* of tasks */
  double slow_factor;                /* run times are multiplied by it */
  gint64 unhealthy;                  /* a status that starts get; 0 for none */
};

enum worker_state
{
  WORKER_READY,
  WORKER_DRAINING,
  WORKER_DOWN,   /* crashed or left: connections are reset */
  WORKER_SILENT, /* without power: nothing is answered */
};

/* The workers of the process and what they have in common.  */
struct fleet
{
  GPtrArray *workers; /* struct worker * */
  struct worker_record *record;
  GRand *random;
  SoupSession *session;
  guint16 store_port; /* 0 for none */
  char *service;
  char *zone;
  gint64 heartbeat_ms;
  gint64 hold_max_ms;
  gint64 stop_ms;
  gboolean has_admission_check;
};

struct worker
{
  struct fleet *fleet;
  guint index;
  char *id;
  guint16 port;
  guint16 entry_port; /* the port that its entry names */
  char *labels[2];    /* kind and rack */
  struct room capacity;
  gint64 slow_ppm; /* by which its clock is slow */
  struct worker_faults faults;
  enum worker_state state;
  gint64 born_us;
  gint64 born_ms;
  guint64 seq;
  guint beat_timer;
  gboolean is_beating;  /* the store is being told; one call at a time */
  gboolean is_beat_due; /* one more is to follow it */
  gboolean is_unregistering;
  guint leave_timer;
  gint64 drain_ms;
  gint64 leave_us; /* when it leaves; 0 while that is not known */
  guint64 largest_token;
  gint64 lease_us; /* when all leases end */
  GPtrArray *runs; /* struct worker_run *; NULL while it is down */
  guint run_timer;
  GHashTable *closed_runs; /* task -> highest run stopped or ended, guint64 */
  GQueue ends;             /* struct run_end_entry * */
  guint64 n_ends;
  struct list_node holds; /* struct hold, that wait for an end */
};

struct worker_run
{
  struct worker *worker;
  char *task;
  guint64 number;
  struct room need;
  gint64 started_us;
  gint64 work_us; /* as it takes here */
  gint64 end_us;  /* DEADLINE_NEVER while it hangs */
  gboolean is_failing;
  gboolean is_hanging;
  gboolean is_stopping;
  struct record_entry *entry;
};

struct run_end_entry
{
  guint64 number;
  char *task;
  guint64 run;
  enum record_end end;
};

/* Its clock, in ms; starts anew with each life.  */
gint64 worker_clock_ms (const struct worker *worker, gint64 now_us);

/* Begins a life of WORKER under its id.  */
void worker_boot (struct worker *worker);

/* Ends the life of WORKER with all that runs there; STATE is WORKER_DOWN or
   WORKER_SILENT.  */
void worker_end_life (struct worker *worker, enum worker_state state);

/* Brings all that is due to its end.  Harmless when the worker is down.  */
void worker_advance (struct worker *worker);

/* Prolongs all leases to UNTIL_MS of its clock, as far as it grants that.  */
void worker_prolong (struct worker *worker, gint64 until_ms);

struct worker_run *worker_find_run (struct worker *worker, const char *task,
                                    guint64 number);

/* The highest run of TASK that was stopped or ended there; 0 for none.  */
guint64 worker_get_closed (const struct worker *worker, const char *task);

/* Starts the run, as its valid SPEC asks for, unless it does not fit and the
   worker checks that.  Returns whether it did.  */
gboolean worker_start_run (struct worker *worker, const char *task,
                           guint64 number, const char *spec);

/* Whether SPEC can be read: a number of ms, then words.  */
gboolean worker_is_spec_valid (const char *spec);

/* Stops the run, or sees to it that it never starts.  */
void worker_stop_run (struct worker *worker, const char *task, guint64 number);

/* Forgets the ends up to LAST_SEEN.  */
void worker_forget_ends (struct worker *worker, guint64 last_seen);

/* What runs and has ended after LAST_SEEN, as an answer to hold.  */
json_t *worker_list_runs (struct worker *worker, guint64 last_seen);

/* Serves the protocol of WORKER on SERVER.  */
void worker_add_calls (struct worker *worker, SoupServer *server);

/* Answers the holds that wait for an end, where there is one.  */
void worker_wake_holds (struct worker *worker);

/* Breaks the holds that wait: their worker is gone.  */
void worker_break_holds (struct worker *worker);

/* Serves the controls of FLEET on SERVER.  */
void fleet_add_controls (struct fleet *fleet, SoupServer *server);

/* Writes what WORKER says of itself to the store, now and with each
   heartbeat.  */
void worker_beat (struct worker *worker);

/* Takes the entry of WORKER out of the store.  */
void worker_unregister (struct worker *worker);

/* The drain of WORKER has been noted: it leaves after its time.  */
void worker_begin_leaving (struct worker *worker);

/* Draws whether something of that probability happens.  */
gboolean fleet_draw (struct fleet *fleet, gint64 percent);

#endif
