/* What a home makes of the results of its batches, without a network: the test
   stands in for the peer hub and for the owner of this VM.  */
#include "base/error.h"
#include "base/event_log.h"
#include "base/hash64.h"
#include "transport/fleet_home.h"
#include "transport/fleet_job.h"
#include "transport/peer_hub.h"

#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#define JOB "0123456789abcdef"
#define INCARNATION 5
#define N_TASKS 2
#define MAX_BATCHES 8
#define MAX_STOPS 8
#define RESEND_US (1300 * USEC_PER_MSEC)

/* A batch that the home has sent and that has not ended.  */
struct sent_batch
{
  guint number;
  guint n_tasks;
  guint indexes[PEER_TASKS_MAX];
  struct task_set crashed;
  struct task_set suspects;
  struct batch *batch; /* on this VM; NULL for one of vm-b */
  peer_call_done_func *ended;
  gpointer data;
};

/* The home's own VM has one upstream with two slots.  */
struct fleet_owner
{
  struct owner_driver driver;
  struct owner *owner;
};

/* A call that stops a batch.  */
struct sent_stop
{
  guint number;
  gboolean is_anew; /* over another connection */
  peer_call_done_func *ended;
  gpointer data; /* NULL once it has ended */
};

static guint n_dropped; /* checks of a silent connection */
static struct sent_stop stops[MAX_STOPS];
static guint n_stops;
static struct sent_batch sent[MAX_BATCHES];
static guint n_sent;
static peer_handler_func *claim_handler;
static peer_handler_func *return_handler;
static gpointer handler_data;
static const char *sender = "vm-b"; /* of the calls to the home */
static guint n_granted;             /* by the last reply to a claim */
static gboolean is_returning;
static gboolean is_known; /* as the last reply to a return said */

static struct sent_batch *
add_sent (guint number)
{
  struct sent_batch *added = &sent[n_sent++];

  g_assert_cmpuint (n_sent, <=, MAX_BATCHES);
  *added = (struct sent_batch){ .number = number };
  return added;
}

void
peer_hub_serve (struct peer_hub *hub, guint procedure,
                peer_handler_func *handler, gpointer data)
{
  if (procedure == PEER_CLAIM_TASKS)
    claim_handler = handler;
  else if (procedure == PEER_RETURN_TASKS)
    return_handler = handler;
  handler_data = data;
}

static void
add_stop (const peer_stop_args *args, gboolean is_anew,
          peer_call_done_func *ended, gpointer data)
{
  g_assert_cmpuint (n_stops, <, MAX_STOPS);
  g_assert_cmpuint (args->incarnation, ==, INCARNATION);
  stops[n_stops++] = (struct sent_stop){ args->number, is_anew, ended, data };
}

static void
end_stop (guint index, const peer_stop_result *result)
{
  gpointer data = stops[index].data;

  stops[index].data = NULL;
  if (data != NULL)
    stops[index].ended (result, NULL, data);
}

void
peer_hub_abort_silent (struct peer_hub *hub, const char *vm, gint64 since_us)
{
  g_assert_cmpint (since_us, <=, clock_now_us ());
  n_dropped++;
}

void
peer_hub_call_anew (struct peer_hub *hub, const char *vm, guint procedure,
                    const void *arguments, gint64 deadline_us,
                    peer_call_done_func *ended, gpointer data)
{
  g_assert_cmpuint (procedure, ==, PEER_STOP_BATCH);
  add_stop (arguments, TRUE, ended, data);
}

void
peer_hub_call (struct peer_hub *hub, const char *vm, guint procedure,
               const void *arguments, gint64 deadline_us,
               peer_call_done_func *ended, gpointer data)
{
  const peer_batch_args *args = arguments;
  struct sent_batch *added;

  if (procedure == PEER_STOP_BATCH)
    add_stop (arguments, FALSE, ended, data);
  if (procedure != PEER_RUN_BATCH)
    return;
  added = add_sent (args->number);
  added->n_tasks = args->indexes.indexes_len;
  memcpy (added->indexes, args->indexes.indexes_val,
          added->n_tasks * sizeof *added->indexes);
  task_set_add (&added->crashed, args->crashed.crashed_val,
                args->crashed.crashed_len);
  task_set_add (&added->suspects, args->suspects.suspects_val,
                args->suspects.suspects_len);
  added->ended = ended;
  added->data = data;
}

const char *
peer_request_get_sender (const struct peer_request *request)
{
  return sender;
}

void
peer_request_reply (struct peer_request *request, const void *result)
{
  if (is_returning)
    is_known = ((const peer_return_result *)result)->is_known;
  else
    n_granted = ((const peer_claim_result *)result)->granted.granted_len;
}

struct owner *
fleet_owner_get_owner (struct fleet_owner *owner)
{
  return owner->owner;
}

void
fleet_owner_run (struct fleet_owner *owner, struct batch *batch,
                 struct batch_sink *sink)
{
  struct sent_batch *added = add_sent (batch->number);

  batch->user_data = sink;
  added->batch = batch;
  for (guint i = 0; i < batch->n_tasks; i++)
    {
      const struct batch_task *task = &batch->tasks[i];

      added->indexes[added->n_tasks++] = task->index;
      if (task->is_suspect)
        task_set_add (&added->suspects, &task->index, 1);
      else if (task->n_crashes > 0)
        task_set_add (&added->crashed, &task->index, 1);
    }
}

char *
fleet_format_home (const char *vm, guint64 incarnation)
{
  return g_strdup (vm);
}

static void
on_poll (struct owner_driver *driver, struct owned_upstream *upstream,
         gint64 until_ms, guint wait_ms)
{
}

static void
on_wake_at (struct owner_driver *driver, gint64 when_us)
{
}

static const struct owner_driver_ops driver_ops
    = { .poll = on_poll, .wake_at = on_wake_at };

static void
on_vm_live (struct vm_directory_listener *listener, const struct vm *vm)
{
}

static const struct vm_directory_listener_ops directory_ops
    = { .vm_became_live = on_vm_live };

struct bed
{
  struct fleet_answer_handler handler;
  struct vm_directory_listener directory_listener;
  struct fleet_settings settings;
  struct vm_directory *directory;
  struct fleet_owner owner;
  struct fleet_admission *admission;
  struct fleet_home *home;
  guint n_answers;
  enum fleet_outcome outcome;
  int log_fd;
  char *log_path;
};

static void
on_answer (struct fleet_answer_handler *handler,
           const struct fleet_answer *answer)
{
  struct bed *bed = (struct bed *)handler;

  bed->n_answers++;
  bed->outcome = answer->outcome;
}

/* A beacon of vm-b: slots for four tasks, none of them free right now.  */
static void
announce (struct bed *bed)
{
  struct vm_room room = { .service_hash = hash64_string ("s"), .n_slots = 4 };
  struct vm_beacon news = { .name = "vm-b",
                            .ip = "127.0.0.1",
                            .availability_zone = "z",
                            .incarnation = 7,
                            .sequence = 1,
                            .rooms = &room,
                            .n_rooms = 1 };

  free_slots_init (&room.free_slots, 1);
  g_assert_nonnull (
      vm_directory_handle_beacon (bed->directory, &news, clock_now_us ()));
}

/* This VM takes an upstream, which has answered a poll.  */
static void
take_upstream (struct bed *bed)
{
  static const struct listed_upstream spec = { .id = "u",
                                               .address = "127.0.0.1:1",
                                               .service = "s",
                                               .rack = "",
                                               .availability_zone = "z",
                                               .shape = { .cpus = N_TASKS },
                                               .instance_start_ms = 1 };
  static const struct upstream_report report
      = { .clock_ms = 5000, .instance_start_ms = 1 };
  gint64 now_us = clock_now_us ();
  struct owned_upstream *upstream
      = owner_take_upstream (bed->owner.owner, &spec, 1, now_us);

  owner_poll_ended (bed->owner.owner, upstream, upstream->n_polls,
                    ORDER_ACCEPTED, &report, now_us);
}

static struct fleet_submission *
make_submission (void)
{
  struct fleet_submission *submission = g_new0 (struct fleet_submission, 1);

  submission->job = g_strdup (JOB);
  submission->spec = g_strdup ("");
  submission->service = g_strdup ("s");
  submission->need.cpus = 1;
  submission->n_tasks = N_TASKS;
  submission->estimate_us = 10 * USEC_PER_MSEC;
  submission->objective_us = 60 * USEC_PER_SEC;
  submission->attempts = 3;
  return submission;
}

/* A home at vm-a that has sent a job of two tasks to itself if IS_LOCAL, or to
   vm-b.  */
static struct bed *
bed_new (gboolean is_local)
{
  static const struct owner_limits limits
      = { .lease_ms = 900, .max_lease_ms = 1000 };
  struct bed *bed = g_new0 (struct bed, 1);

  n_sent = 0;
  n_stops = 0;
  n_dropped = 0;
  bed->handler.answer = on_answer;
  bed->log_fd = g_file_open_tmp (NULL, &bed->log_path, NULL);
  event_log_set_output (bed->log_fd, "vm-a");
  bed->directory_listener.ops = &directory_ops;
  bed->directory = vm_directory_new (&bed->directory_listener, "vm-a");
  bed->owner.driver.ops = &driver_ops;
  bed->owner.owner = owner_new (&bed->owner.driver, &limits);
  if (is_local)
    take_upstream (bed);
  else
    announce (bed);
  bed->admission
      = fleet_admission_new (&bed->settings, bed->directory, &bed->owner);
  bed->home = fleet_home_new ("vm-a", INCARNATION, "z", 1.5, bed->directory,
                              NULL, &bed->owner, bed->admission);
  g_assert_nonnull (
      fleet_home_submit (bed->home, make_submission (), &bed->handler));
  g_assert_cmpuint (n_sent, ==, 1);
  g_assert_cmpuint (sent[0].n_tasks, ==, N_TASKS);
  return bed;
}

static void
bed_free (struct bed *bed)
{
  for (guint i = 0; i < n_stops; i++)
    end_stop (i, NULL);
  fleet_home_free (bed->home);
  fleet_admission_free (bed->admission);
  owner_free (bed->owner.owner);
  vm_directory_free (bed->directory);
  event_log_set_output (-1, NULL);
  close (bed->log_fd);
  g_unlink (bed->log_path);
  g_free (bed->log_path);
  g_free (bed);
}

/* The owner of the batch INDEX, if that is an offer, claims N_TASKS of it and
   gets them.  That of this VM takes no notice of the grant.  */
static void
claim (guint index, guint n_tasks)
{
  struct batch *batch = sent[index].batch;
  peer_claim_args args = { .incarnation = INCARNATION,
                           .job = (char *)JOB,
                           .number = sent[index].number,
                           .n_tasks = n_tasks };

  if (batch == NULL)
    {
      claim_handler (NULL, &args, handler_data);
      g_assert_cmpuint (n_granted, ==, n_tasks);
    }
  else if (batch->n_offers > 0)
    {
      struct batch_sink *sink = batch->user_data;

      batch->is_ending = TRUE;
      sink->tasks_claimed (sink, batch, n_tasks);
    }
}

/* SENDER_VM returns the task INDEX of the first batch.  */
static void
return_task (const char *sender_vm, guint index)
{
  peer_return_args args = { .incarnation = INCARNATION,
                            .job = (char *)JOB,
                            .number = sent[0].number,
                            .indexes = { 1, &index } };

  sender = sender_vm;
  is_returning = TRUE;
  return_handler (NULL, &args, handler_data);
  is_returning = FALSE;
  sender = "vm-b";
}

static void
finish_local (struct batch *batch, const guint *done, guint n_done)
{
  struct batch_sink *sink = batch->user_data;

  for (guint i = 0; i < batch->n_tasks; i++)
    for (guint k = 0; k < n_done; k++)
      if (batch->tasks[i].index == done[k])
        batch->tasks[i].state = BATCH_TASK_DONE;
  batch->end = BATCH_DONE;
  batch->n_started = n_done;
  sink->batch_ended (sink, batch);
  batch_free (batch);
}

/* The batch INDEX ends as done, with the N_DONE tasks DONE.  */
static void
finish (guint index, const guint *done, guint n_done)
{
  peer_batch_result result = { .end = BATCH_DONE,
                               .has_started = TRUE,
                               .reason = (char *)"",
                               .done = { n_done, (guint *)done } };

  if (sent[index].batch != NULL)
    finish_local (sent[index].batch, done, n_done);
  else
    sent[index].ended (&result, NULL, sent[index].data);
}

static gboolean
is_logged (struct bed *bed, const char *name)
{
  g_autofree char *word = g_strdup_printf ("\"%s\"", name);
  g_autofree char *text = NULL;

  g_assert_true (event_log_flush ());
  g_assert_true (g_file_get_contents (bed->log_path, &text, NULL, NULL));
  return strstr (text, word) != NULL;
}

static void
expect_done (struct bed *bed, guint n_batches)
{
  g_assert_cmpuint (n_sent, ==, n_batches);
  g_assert_cmpuint (bed->n_answers, ==, 1);
  g_assert_cmpint (bed->outcome, ==, FLEET_DONE);
}

/* The rest of a job, task 1, is reported, sent again and run.  */
static void
run_rest (struct bed *bed)
{
  static const guint rest = 1;

  g_assert_cmpuint (bed->n_answers, ==, 0);
  g_assert_true (is_logged (bed, "tasks-ignored"));
  g_assert_cmpuint (n_sent, ==, 2);
  g_assert_cmpuint (sent[1].n_tasks, ==, 1);
  g_assert_cmpuint (sent[1].indexes[0], ==, rest);
  claim (1, 1);
  finish (1, &rest, 1);
  expect_done (bed, 2);
}

/* A grant that its owner ignored is run, not counted as done.  */
static void
test_ignored_grant (gconstpointer is_local)
{
  static const guint done = 0;
  struct bed *bed = bed_new (GPOINTER_TO_INT (is_local));

  claim (0, 2);
  finish (0, &done, 1);
  run_rest (bed);
  bed_free (bed);
}

/* A task counted twice must not hide one that never ran.  */
static void
test_named_twice (void)
{
  static const guint done[] = { 0, 0 };
  struct bed *bed = bed_new (FALSE);

  claim (0, 2);
  finish (0, done, 2);
  run_rest (bed);
  bed_free (bed);
}

/* The owner of the batch INDEX returns both tasks: 0 was lost in a crash, and
   1 is a suspect.  */
static void
return_crashed (guint index)
{
  static guint both[] = { 0, 1 };
  struct batch *batch = sent[index].batch;
  peer_batch_result result = { .end = BATCH_DONE,
                               .has_started = TRUE,
                               .reason = (char *)"",
                               .returned = { 2, both },
                               .crashed = { 1, both },
                               .suspects = { 1, both + 1 } };

  if (batch == NULL)
    {
      sent[index].ended (&result, NULL, sent[index].data);
      return;
    }
  for (guint i = 0; i < 2; i++)
    {
      batch->tasks[i].state = BATCH_TASK_RETURNED;
      batch->tasks[i].n_crashes = 1;
      batch->tasks[i].is_suspect = batch->tasks[i].index == 1;
    }
  batch->n_queued = batch->n_offered = 0;
  finish_local (batch, NULL, 0);
}

/* What one owner has seen to crash upstreams must not start anew at the next:
   it would crash that one's upstreams too.  */
static void
test_crashes_carried (gconstpointer is_local)
{
  struct bed *bed = bed_new (GPOINTER_TO_INT (is_local));

  g_assert_cmpuint (sent[0].crashed.n + sent[0].suspects.n, ==, 0);
  claim (0, 2);
  return_crashed (0);
  g_assert_cmpuint (n_sent, ==, 2);
  g_assert_cmpuint (sent[1].n_tasks, ==, 2);
  g_assert_cmpuint (sent[1].crashed.n, ==, 1);
  g_assert_cmpuint (sent[1].crashed.indexes[0], ==, 0);
  g_assert_cmpuint (sent[1].suspects.n, ==, 1);
  g_assert_cmpuint (sent[1].suspects.indexes[0], ==, 1);
  claim (1, 2);
  finish (1, (const guint[]){ 0, 1 }, 2);
  expect_done (bed, 2);
  bed_free (bed);
}

/* A job whose tasks are all named must not wait for more, or be reported.  */
static void
test_all_named (gconstpointer is_local)
{
  static const guint done[] = { 1, 0 };
  struct bed *bed = bed_new (GPOINTER_TO_INT (is_local));

  claim (0, 2);
  finish (0, done, 2);
  expect_done (bed, 1);
  g_assert_false (is_logged (bed, "tasks-ignored"));
  bed_free (bed);
}

/* A task that an owner returns without having been granted it, since its claim
   was lost, must not wait for the end of the owner's other tasks.  */
static void
test_ungranted_returned (void)
{
  static const guint first = 0;
  static const guint second = 1;
  struct bed *bed = bed_new (FALSE);

  claim (0, 1);
  return_task ("vm-b", 1);
  g_assert_cmpuint (n_sent, ==, 2);
  g_assert_cmpuint (sent[1].n_tasks, ==, 1);
  g_assert_cmpuint (sent[1].indexes[0], ==, 1);
  finish (0, &first, 1);
  claim (1, 1);
  finish (1, &second, 1);
  expect_done (bed, 2);
  bed_free (bed);
}

/* A VM that does not own a batch must not return its tasks: they would run
   twice.  */
static void
test_returned_by_other (void)
{
  static const guint done[] = { 0, 1 };
  struct bed *bed = bed_new (FALSE);

  claim (0, 2);
  return_task ("vm-c", 1);
  g_assert_cmpuint (n_sent, ==, 1);
  finish (0, done, 2);
  expect_done (bed, 1);
  bed_free (bed);
}

/* What the home tells vm-b of its batches there.  */
static struct owner_confirmation
get_confirmation (struct bed *bed)
{
  struct owner_confirmation list[CONFIRMATIONS_MAX];

  g_assert_cmpuint (
      fleet_home_list_confirmed (bed->home, list, CONFIRMATIONS_MAX), ==, 1);
  g_assert_cmpstr (list[0].vm, ==, "vm-b");
  g_assert_true (list[0].is_complete);
  return list[0];
}

static gboolean
has_confirmation (struct bed *bed)
{
  struct owner_confirmation list[CONFIRMATIONS_MAX];

  return fleet_home_list_confirmed (bed->home, list, CONFIRMATIONS_MAX) > 0;
}

static void
cancel (struct bed *bed)
{
  fleet_home_cancel_job (
      bed->home, g_hash_table_lookup (fleet_home_get_jobs (bed->home), JOB));
}

/* An owner that does not hear a stop would run on beside the job that is sent
   again: the stop is repeated over another connection, and beacons name the
   batch, until its owner has answered.  */
static void
test_stop_repeated (void)
{
  static const peer_stop_result answer = { .is_known = TRUE };
  struct bed *bed = bed_new (FALSE);

  g_assert_cmpuint (get_confirmation (bed).n_revoked, ==, 0);
  cancel (bed);
  g_assert_cmpuint (n_stops, ==, 1);
  g_assert_cmpuint (get_confirmation (bed).n_revoked, ==, 1);
  g_assert_cmpuint (get_confirmation (bed).revoked[0], ==, sent[0].number);
  end_stop (0, NULL);
  fleet_home_advance (bed->home, clock_now_us ());
  g_assert_cmpuint (n_stops, ==, 2);
  g_assert_true (stops[1].is_anew);
  g_assert_cmpuint (stops[1].number, ==, sent[0].number);
  end_stop (1, &answer);
  fleet_home_advance (bed->home, clock_now_us ());
  g_assert_cmpuint (n_stops, ==, 2);
  g_assert_cmpuint (get_confirmation (bed).n_revoked, ==, 1);
  finish (0, NULL, 0);
  g_assert_false (has_confirmation (bed));
  bed_free (bed);
}

/* The connection breaks, so that the owner can answer no more: beacons name
   the batch until nothing of it can run any longer, and no further.  What may
   still be on its way over a silent connection is dropped with that.  */
static void
test_revoked_until_void (void)
{
  struct bed *bed = bed_new (FALSE);
  gint64 now_us = clock_now_us ();
  g_autoptr (GError) error = NULL;

  cancel (bed);
  error_set (&error, ERROR_UNAVAILABLE, "the connection broke");
  sent[0].ended (NULL, error, sent[0].data);
  fleet_home_advance (bed->home, now_us + RESEND_US / 4);
  g_assert_cmpuint (n_dropped, ==, 0);
  fleet_home_advance (bed->home, now_us + RESEND_US / 2);
  g_assert_cmpuint (n_dropped, ==, 1);
  fleet_home_advance (bed->home, now_us + RESEND_US);
  g_assert_cmpuint (n_dropped, ==, 1);
  g_assert_cmpuint (get_confirmation (bed).n_revoked, ==, 1);
  fleet_home_advance (bed->home, now_us + 3 * RESEND_US);
  g_assert_false (has_confirmation (bed));
  bed_free (bed);
}

static gboolean
on_is_connected (struct fleet_answer_handler *handler)
{
  return FALSE;
}

/* A home that was paused finds a claim, or a question whether it wants a
   batch, before it has noticed that the caller has left meanwhile.  What it
   answers would let tasks run that the caller has sent again.  */
static void
test_caller_left_unnoticed (void)
{
  struct bed *bed = bed_new (FALSE);
  peer_return_args check = { .incarnation = INCARNATION,
                             .job = (char *)JOB,
                             .number = sent[0].number };

  is_returning = TRUE;
  return_handler (NULL, &check, handler_data);
  g_assert_true (is_known);
  bed->handler.is_connected = on_is_connected;
  return_handler (NULL, &check, handler_data);
  g_assert_false (is_known);
  is_returning = FALSE;
  n_granted = 9;
  claim_handler (NULL,
                 &(peer_claim_args){ .incarnation = INCARNATION,
                                     .job = (char *)JOB,
                                     .number = sent[0].number,
                                     .n_tasks = 1 },
                 handler_data);
  g_assert_cmpuint (n_granted, ==, 0);
  bed_free (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/fleet-home/ignored-grant", GINT_TO_POINTER (FALSE),
                        test_ignored_grant);
  g_test_add_data_func ("/fleet-home/ignored-grant-local",
                        GINT_TO_POINTER (TRUE), test_ignored_grant);
  g_test_add_func ("/fleet-home/named-twice", test_named_twice);
  g_test_add_data_func ("/fleet-home/all-named", GINT_TO_POINTER (FALSE),
                        test_all_named);
  g_test_add_data_func ("/fleet-home/all-named-local", GINT_TO_POINTER (TRUE),
                        test_all_named);
  g_test_add_func ("/fleet-home/ungranted-returned", test_ungranted_returned);
  g_test_add_func ("/fleet-home/returned-by-other", test_returned_by_other);
  g_test_add_data_func ("/fleet-home/crashes-carried", GINT_TO_POINTER (FALSE),
                        test_crashes_carried);
  g_test_add_data_func ("/fleet-home/crashes-carried-local",
                        GINT_TO_POINTER (TRUE), test_crashes_carried);
  g_test_add_func ("/fleet-home/stop-repeated", test_stop_repeated);
  g_test_add_func ("/fleet-home/revoked-until-void", test_revoked_until_void);
  g_test_add_func ("/fleet-home/caller-left-unnoticed",
                   test_caller_left_unnoticed);
  return g_test_run ();
}
