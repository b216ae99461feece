/*
 * The parts of the load model: its VMs, its jobs and the messages between
 * them.
 */
#ifndef T_SUPPORT_LOAD_MODEL_PRIVATE_H
#define T_SUPPORT_LOAD_MODEL_PRIVATE_H

#include "coordination/caller_share.h"
#include "coordination/owner.h"
#include "coordination/queue_sum.h"
#include "coordination/retry_spread.h"
#include "coordination/slot_demand.h"
#include "coordination/spread.h"
#include "coordination/task_offer.h"
#include "coordination/vm_room.h"
#include "coordination/waiting_jobs.h"
#include "t/support/load_model.h"
#include "t/support/load_upstream.h"

/* Memory of a waiting job.  */
#define LOAD_JOB_BYTES 1000

struct model_vm
{
  struct owner_driver driver;
  struct load_model *model;
  guint index;
  gboolean is_dead;
  struct owner *owner;
  struct load_upstreams *upstreams;
  struct vm_room room;       /* as it is now */
  struct vm_room *announced; /* of each other VM, as this one knows it */
  gboolean *is_lost;         /* of each other VM, likewise */
  struct caller_share *share;
  struct retry_spread *retries;
  struct caller_list largest;  /* as it was last reported */
  struct waiting_jobs waiting; /* struct model_job by waiting */
  struct slot_demand demand;
  gint64 assigned_us; /* when waiting jobs were last assigned */
  guint n_rounds;
};

struct model_job
{
  struct list_node link; /* in model->jobs */
  guint kind;
  guint caller;
  gboolean is_retry;
  char *id;
  struct model_vm *home;
  guint run_ms;      /* of its tasks */
  guint estimate_ms; /* that the home knows */
  gdouble cpus;      /* of each of its tasks */
  gint64 accepted_us;
  gint64 start_by_us;
  gint64 end_by_us;
  struct waiting_job waiting;
  guint n_assignments;
  struct task_set done;
  guint n_parts;
  guint n_open; /* parts that have not ended */
  gboolean has_started;
  gboolean is_over;
  struct task_set wanted;
  gboolean is_granted[TASK_OFFER_MAX];
  GPtrArray *parts; /* struct model_part */
};

/* Tasks of a job at one owner.  */
struct model_part
{
  struct model_job *job;
  struct model_vm *vm;
  guint number;
  guint n_offers;
  struct task_set offered; /* or given, if N_OFFERS is 0 */
  struct task_set tasks;   /* given or granted, and not returned */
  gboolean is_open;
  struct batch *batch; /* at the owner; NULL once it has ended */
};

enum message_kind
{
  MESSAGE_BATCH,
  MESSAGE_STOP,
  MESSAGE_CLAIM,
  MESSAGE_GRANT,
  MESSAGE_RETURN,
  MESSAGE_END,
};

struct message
{
  enum message_kind kind;
  gint64 arrives_us;
  struct model_part *part;
  guint n;
  guint indexes[TASK_OFFER_MAX];
  gboolean flag; /* GRANT: nothing is left; RETURN, END: something started */
  enum batch_end end;
  struct task_set done; /* END: tasks that the owner has run with success */
};

/* A refused job that is to return.  */
struct model_return
{
  gint64 due_us;
  guint kind;
  guint caller;
  guint run_ms;
  guint estimate_ms;
  char *id;
};

/* Jobs of which the senders or the number of attempts differ.  */
enum job_group
{
  GROUP_FIRST, /* of caller 0 */
  GROUP_OTHERS,
  GROUP_RETRIES,
  GROUP_COUNT
};

struct load_model
{
  struct load_config config;
  GRand *rand;
  gint64 now_us;
  gint64 announce_us;             /* when the next beacons are due */
  gint64 slots_expected_until_us; /* more than are announced */
  struct model_vm *vms;
  struct list_node jobs; /* struct model_job that is not over */
  GPtrArray *all_jobs;   /* struct model_job */
  GPtrArray *messages;   /* struct message on the way */
  guint n_messages;
  gdouble due[LOAD_MAX_KINDS]; /* jobs that are to arrive, with fractions */
  gint64 counted_from_us;      /* jobs that arrived before are not counted */
  struct load_result results[LOAD_MAX_KINDS];
  gdouble kind_factors[LOAD_MAX_KINDS];
  guint flood_kind;
  guint flood_jobs_per_s;
  gint flood_home;
  gdouble flood_due;  /* as in due */
  gint64 report_us;   /* when the next reports of callers are due */
  GPtrArray *returns; /* struct model_return */
  struct load_result groups[GROUP_COUNT];
  gdouble others_worth;        /* of the jobs of all callers but the first */
  gdouble others_worth_served; /* of these, in time */
};

/* load_model.c */

/* A message about PART, on its way from now on.  */
struct message *load_model_send (struct model_part *part,
                                 enum message_kind kind);

/* VALUE, changed by up to PERCENT at random.  */
guint load_model_vary (struct load_model *model, guint value, guint percent);

/* How long a run of a task of JOB takes at speed 1.  */
guint load_model_draw_run_ms (struct load_model *model,
                              const struct model_job *job);

/* load_home.c: the homes of jobs.  Their rules are those of
   transport/fleet_home.c.  */

const struct load_kind *load_job_get_kind (const struct model_job *job);

/* A job of KIND arrives at a random home.  */
void load_home_submit (struct load_model *model, guint kind);

/* A job of the flood arrives.  */
void load_home_submit_flood (struct load_model *model);

/* A refused job returns to a random home.  */
void load_home_submit_return (struct load_model *model,
                              const struct model_return *returned);
void load_home_free_return (gpointer data);
void load_home_free_job (gpointer data);

/* Computes the room of VM as it is now.  */
void load_home_refresh_room (struct model_vm *vm);

/* Assigns all tasks of JOB, of which none was started.  */
void load_home_assign_all (struct model_job *job);

/* Refuses JOB, of which nothing was started.  */
void load_home_refuse (struct model_job *job);

/* Writes the owners with slots for tasks of CPUS each that HOME knows to
   OWNERS, which has room for all.  Returns their number.  */
guint load_home_list_owners (struct model_vm *home, gdouble cpus,
                             struct spread_owner *owners);

/* Handle what an owner has sent.  */
void load_home_handle_claim (const struct message *message);
void load_home_handle_returned (const struct message *message);
void load_home_handle_end (const struct message *message);

/* The homes notice that VM is gone: jobs that have tasks there are lost, and
   its offers count as withdrawn.  */
void load_home_lose_vm (struct load_model *model, struct model_vm *vm);

/* load_waiting.c: jobs that wait for slots.  Their rules are those of
   transport/fleet_home_waiting.c.  */

/* Counts JOB, which has arrived, in the demand of its home.  */
void load_waiting_note_arrival (struct model_job *job);

/* Prepares JOB, whose times are set, for waiting.  */
void load_waiting_init (struct model_job *job);

/* Whether JOB, a new one, waits since others do that go before it.  */
gboolean load_waiting_is_behind (struct model_job *job);

/* Lets JOB, of which nothing was started, wait if slots are expected.  Returns
   whether it does.  */
gboolean load_waiting_add (struct model_job *job, gboolean has_owner);

/* JOB waits no longer, if it did.  */
void load_waiting_end (struct model_job *job);

/* Refuses jobs that have waited too long at VM, and assigns others.  */
void load_waiting_advance (struct model_vm *vm);

#endif
