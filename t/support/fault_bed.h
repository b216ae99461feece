/*
 * A deployment whose every leg runs through the fault-injecting proxy, and
 * whose records are judged by the checker when it stops.
 *
 * Every job is submitted under a ticket, so that its id is known whatever
 * happens to its answer.
 */
#ifndef T_SUPPORT_FAULT_BED_H
#define T_SUPPORT_FAULT_BED_H

#include "t/support/checker.h"
#include "t/support/deployment.h"
#include "t/support/http.h"

#define FAULT_BED_MAX_UPSTREAMS 8

/* The lease of tasks, in milliseconds.  */
#define FAULT_BED_LEASE_MS 1000

struct fault_bed
{
  struct deployment *deployment;
  guint n_upstreams;
  struct process *upstreams[FAULT_BED_MAX_UPSTREAMS];
  gboolean is_recorded[FAULT_BED_MAX_UPSTREAMS];
  struct process *upstream_proxy; /* a route to each upstream */
  struct process *caller_proxy;   /* a route to each entry VM */
  struct checker *checker;
  guint next_value;
};

/* Starts everything and waits until the document is in force.  */
struct fault_bed *fault_bed_start (guint n_entries, guint n_upstreams);

/* Judges the records, fails the test if need be, and ends everything.  */
void fault_bed_stop (struct fault_bed *bed);

/* Sets the faults between the entry VMs and the upstreams.  */
void fault_bed_set_upstream_faults (struct fault_bed *bed, const char *faults);

/* Sets the faults between the callers and the entry VMs.  */
void fault_bed_set_caller_faults (struct fault_bed *bed, const char *faults);

/* Sets the faults of the upstream stand-in INDEX itself.  */
void fault_bed_set_task_faults (struct fault_bed *bed, guint index,
                                const char *faults);

/* Sets the outage of the platform stand-in, as in "silent" or "none".  */
void fault_bed_set_outage (struct fault_bed *bed, const char *mode);

/* Waits until the upstream INDEX runs a task, or until it runs none.  */
void fault_bed_wait_busy (struct fault_bed *bed, guint index);
void fault_bed_wait_idle (struct fault_bed *bed, guint index);

/* The tasks that were started on all upstreams.  */
gint64 fault_bed_count_starts (struct fault_bed *bed);

/*
 * Kills the process of upstream INDEX.  Its starts are read before, when
 * nothing reaches it any more.
 */
void fault_bed_kill_upstream (struct fault_bed *bed, guint index);

/* Adds the version that entry VM INDEX shows in force to the checker.  */
void fault_bed_record_version (struct fault_bed *bed, guint index);

struct fault_call;

/*
 * Submits a job of N_TASKS tasks of RUN_MS to entry VM ENTRY, through the
 * proxy.
 */
struct fault_call *fault_bed_begin (struct fault_bed *bed, guint entry,
                                    guint n_tasks, guint run_ms);

/* Submits the job of CALL once more, to entry VM ENTRY without the proxy.  */
struct fault_call *fault_bed_repeat (struct fault_bed *bed, guint entry,
                                     const struct fault_call *call);

/*
 * Waits for the answer of CALL, adds it to the checker and returns its HTTP
 * status, 0 for no answer.  CALL stays, for fault_bed_repeat ().
 */
guint fault_call_wait (struct fault_bed *bed, struct fault_call *call);

/* The kind of error that CALL was answered, or NULL.  Owned by CALL.  */
const char *fault_call_kind (const struct fault_call *call);

/* The kind of error and its message, or "no answer".  Owned by CALL.  */
const char *fault_call_error (const struct fault_call *call);

/* Frees CALL, closing its connection if it still waits.  */
void fault_call_free (struct fault_call *call);

/* Submits a job, waits, and returns the status.  */
guint fault_bed_run (struct fault_bed *bed, guint entry, guint n_tasks,
                     guint run_ms);

#endif
