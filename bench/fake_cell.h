/*
 * Discrete-event simulation of one dispatcher with simulated upstreams and a
 * simulated clock.
 */
#ifndef BENCH_FAKE_CELL_H
#define BENCH_FAKE_CELL_H

#include "bench/workload.h"

/* The fault of a simulated upstream.  */
enum upstream_fault
{
  FAULT_NONE,
  FAULT_FAIL_FAST,   /* every task fails after 1 ms */
  FAULT_FAIL_PARTLY, /* a random 30% of the tasks fail */
  FAULT_HANG,        /* neither starts nor renewals are answered */
  FAULT_SLOW,        /* tasks run ten times as long */
  FAULT_UNREACHABLE, /* no request can be sent to it */
};

struct simulation_options
{
  const char *placement; /* name of a policy of coordination/placement.h */
  const char *order;     /* name of a policy of coordination/order.h */
  guint n_upstreams;
  guint n_teams; /* every team uses all the upstreams; 0 stands for 1 */
  guint slots_per_upstream;
  guint upstreams_per_rack; /* 0 stands for 1 */
  gint64 one_way_delay_us;  /* network delay between the VM and an upstream */
  gint64 warm_up_us; /* jobs that arrive earlier are left out of the team
                        results; jobs that finish earlier, of the goodput */
  enum upstream_fault fault;
  guint n_faulty;         /* the first n_faulty upstreams get the fault */
  gint64 fault_start_us;  /* since the start of the workload, like the
                             other times */
  gint64 fault_end_us;    /* DEADLINE_NEVER for a lasting fault */
  gint64 cancel_at_us;    /* when n_jobs_to_cancel jobs are cancelled */
  guint n_jobs_to_cancel; /* unfinished ones; 0 for none */
  guint max_queued_tasks; /* limit of a service; 0 for its default */
  gdouble other_vms_load; /* fraction of all slots used by other VMs' tasks */
  guint slot_share;       /* slots of each upstream that this VM may use; 0 for
                             all */
};

/* Counts of the jobs of one team that arrive after the warm-up.  */
struct team_result
{
  /* gdouble, for each complete job: response time over ideal response time.
     The ideal is the longest run time of its tasks plus a round trip.  */
  GArray *ratios;
  guint n_offered;
  guint n_complete;
  guint n_refused; /* not accepted */
  guint n_late;    /* accepted, then not run, or unfinished at the deadline */
  guint n_failed;  /* accepted, then failed for other reasons */
};

struct simulation_result
{
  struct team_result *teams;
  guint n_teams;
  guint64 n_starts;     /* attempts to start a task */
  guint64 n_refusals;   /* starts that were not sent or were refused */
  guint64 n_stops;      /* requests to stop a task */
  guint64 n_tasks_done; /* tasks of the complete jobs that the teams count */
  gint64 goodput_us;    /* run time of the tasks of the jobs that complete
                           between the warm-up and the workload's end_us */
  gint64 goodput_window_us; /* length of that time */

  /* Starts on faulty upstreams whose health has no probation on record, those
     with one, and the number on record for the upstream of the latest of these
     starts.  Each probation lengthens the next rest (exponential backoff), and
     successes remove probations from the record.  */
  guint n_faulty_starts_before;
  guint n_faulty_starts_after;
  guint n_probations;

  gdouble cpu_us; /* CPU time of the simulation, dispatcher included */
  guint n_cancelled;
  gdouble cancel_cpu_us;     /* CPU time of all cancellations */
  gdouble max_cancel_cpu_us; /* CPU time of the slowest cancellation */
};

/* Simulates WORKLOAD until all jobs have finished.  Uses the arguments only
   during the call.  Free the result with simulation_result_free ().  */
struct simulation_result *
simulation_run (const struct workload *workload,
                const struct simulation_options *options);
void simulation_result_free (struct simulation_result *result);

/* The ratios of all teams in one ascending array, which the caller owns.  Also
   sorts the ratios of each team.  */
GArray *simulation_result_merge_ratios (struct simulation_result *result);

/* The quantile P, 0 to 1, of the ascending array RATIOS, or 0 if it is
   empty.  */
gdouble ratios_get_quantile (const GArray *ratios, gdouble p);

#endif
