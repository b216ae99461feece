/*
 * A small fleet for the cases of the second review: the store and the workers
 * of the project's stand-ins, and entry VMs as the deploy file starts them, as
 * real processes on loopback addresses.
 *
 * A function that can't do its work ends the program with status 2, which
 * tells that the case could not run.  All processes end with the program.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <glib.h>
#include <jansson.h>
#include <sys/types.h>

#define RIG_MAX_VMS 4
#define RIG_MAX_WORKERS 16

/* A route of the desired state: host jobs.example, prefix /NAME/.  */
struct rig_route
{
  const char *name;
  int prio;
};

struct rig_plan
{
  int n_vms; /* VM I is in zone "zone-I"; each zone has workers of its own */
  int n_workers; /* of each zone */
  int cpu;       /* of a worker, in thousandths of a core */
  int memory_mb;
  int goal_ms;                    /* of each route */
  const struct rig_route *routes; /* ends with a NULL name */
};

/* Whether the disruption is to be left out: TROUBLE=0.  */
gboolean rig_is_calm (void);

/* Starts everything and waits until each VM says that it is ready.  The
   record of the case is written to record.txt in FOLDER.  */
void rig_start (const struct rig_plan *plan, const char *folder);

/* Ends all processes, writes the result to the record and ends the program:
   with 1 if the rule was broken, else with 0.  */
void rig_end (gboolean is_broken, const char *format, ...)
    G_GNUC_PRINTF (2, 3) G_GNUC_NORETURN;

/* Ends the program with 2.  */
void rig_give_up (const char *format, ...)
    G_GNUC_PRINTF (1, 2) G_GNUC_NORETURN;

/* Writes a line, with the milliseconds since the start, to the record.  */
void rig_note (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* Leaves the lines of requests and answers out of the record.  */
void rig_set_quiet (gboolean is_quiet);

/* Milliseconds since the start of the case.  */
double rig_now_ms (void);
/* Milliseconds of CLOCK_BOOTTIME, as in the record of the workers.  */
gint64 rig_boot_ms (void);
void rig_sleep_until (double ms);
void rig_sleep (double ms);

void rig_start_vm (int vm);
void rig_wait_ready (int vm);
/* What VM answers to the platform's question whether it is ready; 0 for no
   answer.  */
int rig_get_ready_status (int vm);
void rig_signal_vm (int vm, int signal_number);
/* Sends SIGKILL and waits for the end.  */
void rig_kill_vm (int vm);
/* Whether the process of VM has ended by itself; *SIGNAL is set to the signal
   that ended it, 0 if it exited.  */
gboolean rig_has_ended (int vm, int *signal_number);

/* One request on a channel of its own.  Returns the status, 0 when there was
   no whole answer within TIMEOUT_MS.  *BODY, unless NULL, is to be freed.  */
int rig_request (int vm, const char *method, const char *path,
                 const char *text, int deadline_ms, int timeout_ms,
                 char **body);

/* The text of a best-effort job of one step.  Free with g_free ().  */
char *rig_job (int n_tasks, int run_ms, int cpu, int memory_mb);

/* A channel of a client, for requests whose answer is read later.  */
struct rig_channel
{
  int fd; /* -1 when closed */
  GString *input;
  char *name; /* of the job, for the record */
  double sent_ms;
};

void rig_open (struct rig_channel *channel, int vm);
void rig_close (struct rig_channel *channel);
/* Sends the job ID to PREFIX; returns whether the channel took it.  */
gboolean rig_send (struct rig_channel *channel, const char *prefix,
                   const char *id, const char *text, int deadline_ms);
/* The status of the answer if it has come whole; 0 if not yet, -1 if the
   channel was closed without one.  Notes what it finds in the record.  */
int rig_poll_answer (struct rig_channel *channel);

/* Controls of the workers of ZONE, and their record.  */
void rig_set_faults (int zone, const char *json);
json_t *rig_get_record (int zone);
/* Writes every run of the record of ZONE to the record of the case.  */
void rig_note_runs (int zone);

#endif
