/*
 * Declarations shared by the files that implement the home; see fleet_home.h.
 */
#ifndef TRANSPORT_FLEET_HOME_PRIVATE_H
#define TRANSPORT_FLEET_HOME_PRIVATE_H

#include "coordination/slot_demand.h"
#include "coordination/slot_outlook.h"
#include "coordination/spread.h"
#include "coordination/waiting_jobs.h"
#include "transport/fleet_job.h"

/* After this many assignments tasks stay in the queue of their owner: the free
   slots that other owners report evidently don't fit them.  */
#define FLEET_MAX_MOVABLE_ASSIGNMENTS 6

/* The jobs of a home that wait for slots.  */
struct home_waiting
{
  struct waiting_jobs jobs; /* struct fleet_job by waiting */
  struct slot_outlook outlook;
  struct slot_demand demand;   /* of the jobs that can be in time */
  const GPtrArray *zones;      /* names of all, NULL-ended; NULL if not set */
  struct fleet_shards *shards; /* NULL if not set */
  gint64 assigned_us; /* when jobs were last assigned to announced slots */
  guint n_rounds;     /* times that this was done */
};

struct fleet_home
{
  char *vm;
  char *name; /* of this home, from fleet_format_home () */
  char *availability_zone;
  guint64 incarnation;
  gdouble far_factor; /* run time of a task outside its rack relative to
                         that on its rack */
  struct vm_directory *directory;
  struct peer_hub *hub;
  struct fleet_owner *owner;
  struct fleet_admission *admission;
  const struct evacuation *evacuation; /* NULL: no zone is evacuated */
  GHashTable *jobs;    /* id -> struct fleet_job that is not answered */
  gboolean is_leaving; /* this VM shuts down */
  struct home_waiting waiting;
  guint resend_ms;    /* see fleet_home_set_resend_ms () */
  GHashTable *ending; /* id -> struct ending_job, for fleet_home_resent.c */
  GHashTable *peers;  /* name -> struct home_peer, for fleet_home_confirm.c */
  guint n_parts;      /* of all jobs, which numbers them: batches of a job that
                         was sent again must not be taken for its former ones */
};

/* fleet_home_rooms.c */

/* The live owners, struct spread_owner, that have slots, free or not, for
   tasks for SERVICE that need CPUS each.  VMs that are leaving are left out,
   except this one.  */
GArray *fleet_home_list_owners (struct fleet_home *home, const char *service,
                                gdouble cpus);

/* Retry-After of JOB, in milliseconds, if there is no room for it in time;
   FALLBACK_MS if retries are not spread.  */
gint64 fleet_home_get_retry_ms (struct fleet_job *job, gint64 fallback_ms);
/* fleet_home.c */

/* Assigns all tasks of JOB, none of which was started or is offered, to
   owners.  May give the job up or let it wait.  */
void fleet_home_assign_all (struct fleet_job *job);

/* Refuses JOB, of which nothing was started, for REASON, a static string.  */
void fleet_home_refuse (struct fleet_job *job, const char *reason);

/* fleet_home_waiting.c: the jobs that wait for slots.  */

/* Prepares JOB, a new one whose times are set, for waiting, and counts it in
   the demand.  */
void fleet_home_init_waiting (struct fleet_job *job);

/* Whether JOB, a new one, has to wait because jobs that go before it do, or
   since it can only be late and slots are expected.  It is then added to the
   jobs that wait, and assigned at once if possible.  */
gboolean fleet_home_wait_behind (struct fleet_job *job);

/* Lets JOB, of which nothing was started, wait for slots if they are expected.
   HAS_OWNER: owners have slots for it, but too few, or return it.  Returns
   whether it waits or was refused as the last in the order of more jobs than
   may wait.  */
gboolean fleet_home_wait (struct fleet_job *job, gboolean has_owner);

/* JOB no longer waits because of END.  REASON: why it is refused, or NULL.
   Does nothing if it does not wait.  */
void fleet_home_end_wait (struct fleet_job *job, const char *end,
                          const char *reason);

/* VM is lost: its upstreams are expected to get another owner.  */
void fleet_home_note_loss (struct fleet_home *home, const char *vm);

/* Refuses the jobs that have waited too long, and assigns others to slots.  */
void fleet_home_advance_waiting (struct fleet_home *home, gint64 now_us);

/* fleet_home_resent.c: a job that comes again while tasks that were started
   for it may still run.  */

/* A new table for home->ending.  */
GHashTable *fleet_home_new_ending (void);

/* JOB is closed: remembers it until nothing of it can run any more.  */
void fleet_home_keep_ending (struct fleet_job *job);

/* Whether JOB, a new one, has to wait for the end of a former one with its id.
   It is assigned then.  */
gboolean fleet_home_wait_for_former (struct fleet_job *job);

/* A part of JOB has ended for certain.  */
void fleet_home_end_part (struct fleet_job *job);

/* Forgets the jobs of which nothing can run any more at NOW_US.  */
void fleet_home_advance_ending (struct fleet_home *home, gint64 now_us);

/* fleet_home_confirm.c: which batches at other owners are still wanted.  */

/* A new table for home->peers.  */
GHashTable *fleet_home_new_peers (void);

/* A call that runs a batch at the owner VM begins.  Each needs its end.  */
void fleet_home_begin_call (struct fleet_home *home, const char *vm);

/* The call for the batch NUMBER at VM has ended.  IS_ANSWERED: VM has told
   that nothing of it runs.  */
void fleet_home_end_call (struct fleet_home *home, const char *vm,
                          guint number, gboolean is_answered);

/* Stops the batch NUMBER of JOB at VM.  VM is told until it has answered the
   batch or can't run it any longer.  */
void fleet_home_revoke (struct fleet_home *home, const char *vm,
                        const char *job, guint number);

/* Repeats stops that were not answered, and forgets old ones.  */
void fleet_home_advance_revocations (struct fleet_home *home, gint64 now_us);

/* fleet_part.c: how parts of jobs reach their owners.  */

/* Hands PART to its owner.  If that is another VM, ENDED is called with PART
   when the call has ended.  */
void fleet_part_send (struct fleet_part *part, peer_call_done_func *ended);

/* Tells the owner to stop PART.  Its end is reported later, from the main
   loop.  */
void fleet_part_stop (struct fleet_part *part);

#endif
