/*
 * Entry VMs of a fleet on the operators' platform, as real processes: the
 * store, the workers and `radishchute fleet` on 127.0.0.1, 127.0.0.2...
 *
 * Functions that cannot do their work abort the test.  What must hold of every
 * record of the workers is judged by fleet_bed_stop ().
 */
#ifndef T_SUPPORT_FLEET_BED_H
#define T_SUPPORT_FLEET_BED_H

#include "t/support/http.h"
#include "t/support/process.h"

#define FLEET_BED_MAX_VMS 8
#define FLEET_BED_MAX_WORKER_PROCESSES 8
#define FLEET_BED_WORKERS 6

/* Tasks of one core that a worker has room for.  */
#define FLEET_BED_SLOTS 4

/* After this a caller without an answer may send its job again.  */
#define FLEET_BED_RESEND_MS 1300

/* From a stop signal to the end of a VM.  */
#define FLEET_BED_GRACE_S 10

/* Routes: jobs that must start at once, and jobs that may wait for long.  */
#define FLEET_BED_HASTY "/hasty/"
#define FLEET_BED_PATIENT "/patient/"

/* What a bed consists of.  */
struct fleet_bed_plan
{
  guint n_vms;
  guint n_workers; /* shared out evenly over the processes */
  guint n_worker_processes;
  guint n_zones; /* 0 for one, at most 2: the VMs and the processes of workers
                    take turns */
  guint32 seed;  /* of what the stand-ins draw */
  gint64 max_slow_ppm;       /* of the workers' clocks; the first are right */
  gboolean has_proxy;        /* before the store, the workers and the peers */
  const char *log_directory; /* of the VMs' logs, or NULL for none */
  guint max_waiting_jobs;    /* see docs/SETTINGS.md */
  guint former_vms;          /* those that run the former build, as bits */
  const gdouble *cpu_shares; /* of the VMs, in cores, by which shards are
                                divided; NULL: evenly */
  guint vm_descriptors;      /* limits of the VMs' processes; 0: the test's */
  gsize vm_bytes;
};

struct fleet_bed
{
  struct fleet_bed_plan plan;
  char *directory;  /* settings files */
  guint16 ports[5]; /* the same on all VMs */
  struct process *store;
  struct process *proxy; /* NULL without one */
  struct process *workers[FLEET_BED_MAX_WORKER_PROCESSES];
  GSocket *reservation; /* of a block of ports */
  guint16 next_port;    /* to be drawn from it */
  guint16 worker_port;  /* of the first worker; 0 for any */
  guint n_vms;
  guint n_starts;                         /* of VMs */
  struct process *vms[FLEET_BED_MAX_VMS]; /* NULL when ended */
  guint n_jobs;
};

/*
 * The routes of the proxy: one for each worker, then one to the store for each
 * VM, each to a door of its own, one to the store for all workers, then one to
 * the peers' port of each VM, then one to the callers' port of each VM.
 */
guint fleet_bed_worker_route (const struct fleet_bed *bed, guint worker);
guint fleet_bed_store_route (const struct fleet_bed *bed, guint vm);
guint fleet_bed_peer_route (const struct fleet_bed *bed, guint vm);
guint fleet_bed_caller_route (const struct fleet_bed *bed, guint vm);

/* Starts everything of PLAN; without a desired state.  */
struct fleet_bed *fleet_bed_start_plan (const struct fleet_bed_plan *plan);

/* Starts VM, which has ended or was never started.  */
void fleet_bed_start_vm (struct fleet_bed *bed, guint vm);

/* Whether VM takes connections from callers.  */
gboolean fleet_bed_is_listening (struct fleet_bed *bed, guint vm);

/* The URL of the control NAME of a process of workers.  The caller owns it. */
char *fleet_bed_worker_control (struct fleet_bed *bed, guint process,
                                const char *name);

/* Ends everything without a judgement.  */
void fleet_bed_free (struct fleet_bed *bed);

/* Starts everything and waits until it serves.  */
struct fleet_bed *fleet_bed_start (guint n_vms);

/* The same without a desired state, and without waiting for it.  */
struct fleet_bed *fleet_bed_start_bare (guint n_vms);

/* Puts the desired state.  */
void fleet_bed_put_state (struct fleet_bed *bed);

/* The operator evacuates the zone with that index, or takes it back.  */
void fleet_bed_evacuate (struct fleet_bed *bed, guint zone);
void fleet_bed_take_back (struct fleet_bed *bed, guint zone);

/* Waits until the VMs that run know each other and the desired state, and own
   all workers among them.  */
void fleet_bed_wait_settled (struct fleet_bed *bed);

/*
 * Judges the workers' record: nothing ran twice at once, nothing over a
 * worker's capacity.  Ends everything.
 */
void fleet_bed_stop (struct fleet_bed *bed);

/* The URL of PATH on VM INDEX, through the proxy if there is one.  The caller
   owns it.  */
char *fleet_bed_url (struct fleet_bed *bed, guint vm, const char *path);

/* The address of VM, the same for all its ports.  The caller owns it.  */
char *fleet_bed_vm_ip (guint vm);

/* The ports of the VMs for callers, readiness checks and scrapes.  */
guint16 fleet_bed_get_callers_port (const struct fleet_bed *bed);
guint16 fleet_bed_get_readiness_port (const struct fleet_bed *bed);
guint16 fleet_bed_get_metrics_port (const struct fleet_bed *bed);

/* What VM says of itself.  The caller owns it.  */
json_t *fleet_bed_dump (struct fleet_bed *bed, guint vm);

/* The running VM that owns the most workers.  */
guint fleet_bed_find_owner (struct fleet_bed *bed);

/* Kills VM by SIGKILL.  */
void fleet_bed_kill_vm (struct fleet_bed *bed, guint vm);

/* Sets the faults of the workers, of the store.  */
void fleet_bed_set_worker_faults (struct fleet_bed *bed, const char *faults);
void fleet_bed_set_store_faults (struct fleet_bed *bed, const char *faults);

/* The workers' record, which the caller owns.  */
json_t *fleet_bed_get_record (struct fleet_bed *bed);

/* Waits until the member NAME of the record is at least N.  */
void fleet_bed_wait_count (struct fleet_bed *bed, const char *name, gint64 n);

/* Waits until no worker runs anything.  */
void fleet_bed_wait_idle (struct fleet_bed *bed);

/* Runs that were started of the job ID; of its task INDEX.  */
guint fleet_bed_count_starts (struct fleet_bed *bed, const char *id);
guint fleet_bed_count_task (struct fleet_bed *bed, const char *id,
                            guint index);

/* Lets time pass in the main loop.  */
void fleet_bed_pass (guint ms);

/* A job on its way.  */
struct fleet_call
{
  char *id;
  const char *route;
  guint n_tasks;
  guint run_ms;
  struct http_call *call; /* NULL when answered */
  guint status;           /* of the last answer, 0 for none */
  char *body;
};

/* Sends a new job of N_TASKS, which run RUN_MS each, to VM.  */
struct fleet_call *fleet_bed_begin (struct fleet_bed *bed, guint vm,
                                    const char *route, guint n_tasks,
                                    guint run_ms);

/* Sends the job of CALL, which has ended, to VM again.  */
void fleet_call_repeat (struct fleet_bed *bed, struct fleet_call *call,
                        guint vm);

/* Waits for the answer; returns its status, 0 for none.  */
guint fleet_call_wait (struct fleet_call *call);

/* Whether the last answer says that the job was done.  */
gboolean fleet_call_is_done (const struct fleet_call *call);

/* The last answer must be whole: as a caller is to understand it.  */
void fleet_call_assert_whole (const struct fleet_call *call);

/* Frees CALL, leaving it if it still waits.  */
void fleet_call_free (struct fleet_call *call);

/* Sends a job, waits, and returns whether it was done.  */
gboolean fleet_bed_run (struct fleet_bed *bed, guint vm, guint n_tasks,
                        guint run_ms);

#endif
