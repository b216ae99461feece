#include "commands/explain_cause.h"

#include "base/clock.h"

#include <string.h>

#define HTTP_STATUS_BAD_REQUEST 400

/* Appends to WHY, which is empty, why the rule applies.  Leaves it empty when
   the rule does not apply.  */
typedef void rule_check (const struct timeline *timeline, GString *why);

/* A rule and the cause that it finds, with the texts of struct explain_cause.
   The rule "home-lost" is checked by check_home_lost (), for example.  */
struct rule
{
  const char *name;
  const char *title;
  const char *remedy;
  rule_check *check;
};

static const struct timeline_event *
get_event (const struct timeline *timeline, guint i)
{
  return g_ptr_array_index (timeline->events, i);
}

static gboolean
has_text (const struct timeline_event *event, const char *key,
          const char *value)
{
  return g_strcmp0 (timeline_get_text (event, key), value) == 0;
}

/* The event that ended the job for its caller, or NULL.  */
static const struct timeline_event *
find_outcome (const struct timeline *timeline)
{
  static const enum event ends[] = { EVENT_JOB_ANSWERED, EVENT_JOB_TURNED_AWAY,
                                     EVENT_JOB_GIVEN_UP, EVENT_CALLER_GONE };
  const struct timeline_event *end = NULL;

  for (gsize i = 0; i < G_N_ELEMENTS (ends) && end == NULL; i++)
    end = timeline_find_first (timeline, ends[i]);
  return end;
}

/* Whether the caller got a successful answer.  */
static gboolean
is_done (const struct timeline *timeline)
{
  const struct timeline_event *answer
      = timeline_find_first (timeline, EVENT_JOB_ANSWERED);

  return answer != NULL && timeline_is_success (answer);
}

/* Why the home gave the job up, or NULL.  */
static const char *
get_given_up_reason (const struct timeline *timeline)
{
  const struct timeline_event *given_up
      = timeline_find_first (timeline, EVENT_JOB_GIVEN_UP);

  return given_up != NULL ? timeline_get_text (given_up, "reason") : NULL;
}

/* Whether the answer was successful but later than the job's objective.  */
static gboolean
is_late (const struct timeline *timeline)
{
  const struct timeline_event *answer
      = timeline_find_first (timeline, EVENT_JOB_ANSWERED);

  return is_done (timeline) && timeline_get_int (answer, "objective_ms", 0) > 0
         && timeline_get_int (answer, "ms", 0)
                > timeline_get_int (answer, "objective_ms", 0);
}

/* How the process of VM ended after AT_US, according to its own lines or those
   of other VMs; NULL if it did not.  A process that still logs after the
   outcome of the job was not the cause.  */
static const char *
find_process_end (const struct timeline *timeline, const char *vm,
                  gint64 at_us)
{
  const struct timeline_event *outcome = find_outcome (timeline);

  for (guint i = 0; i < timeline->events->len; i++)
    {
      const struct timeline_event *event = get_event (timeline, i);

      if (event->at_us < at_us)
        continue;
      if (event->number == EVENT_VM_LOST && has_text (event, "peer", vm))
        return "was reported lost";
      if (g_strcmp0 (event->vm, vm) != 0)
        continue;
      if (event->number == EVENT_FLEET_STOPPED)
        return "was stopped";
      if (event->number == EVENT_FLEET_STARTED)
        return "crashed or was killed (it restarted without a clean stop)";
      if (outcome != NULL && !event->has_job && event->at_us > outcome->at_us)
        return NULL;
    }
  return NULL;
}

/* The time of the last line about the job that VM logged, or G_MININT64.  */
static gint64
find_last_time (const struct timeline *timeline, const char *vm)
{
  gint64 at_us = G_MININT64;

  for (guint i = 0; i < timeline->events->len; i++)
    {
      const struct timeline_event *event = get_event (timeline, i);

      if (event->has_job && g_strcmp0 (event->vm, vm) == 0)
        at_us = event->at_us;
    }
  return at_us;
}

static void
check_done (const struct timeline *timeline, GString *why)
{
  const struct timeline_event *answer
      = timeline_find_first (timeline, EVENT_JOB_ANSWERED);

  if (!is_done (timeline) || is_late (timeline))
    return;
  g_string_append (why, "the caller got its answer");
  if (timeline_get_int (answer, "ms", -1) >= 0)
    g_string_append_printf (why, " after %" G_GINT64_FORMAT " ms",
                            timeline_get_int (answer, "ms", 0));
}

static void
check_no_route (const struct timeline *timeline, GString *why)
{
  const struct timeline_event *turned_away
      = timeline_find_first (timeline, EVENT_JOB_TURNED_AWAY);

  if (turned_away == NULL || !has_text (turned_away, "reason", "route"))
    return;
  g_string_append_printf (why, "%s had no route for the request",
                          turned_away->vm);
  for (guint i = 0; i < timeline->events->len; i++)
    {
      const struct timeline_event *event = get_event (timeline, i);

      if (event->number == EVENT_ROUTES_IN_FORCE
          || event->number == EVENT_ROUTES_REFUSED)
        g_string_append_printf (
            why, "; version %" G_GINT64_FORMAT " of the desired state was %s",
            timeline_get_int (event, "version", 0),
            event->number == EVENT_ROUTES_REFUSED ? "refused" : "in force");
    }
}

/* Appends how many VMs the home had lost when the job was accepted or at END,
   whichever is more.  A home that is cut off from other VMs can't use their
   free slots.  */
static void
append_lost_vms (const struct timeline *timeline,
                 const struct timeline_event *end, GString *why)
{
  const struct timeline_event *accepted
      = timeline_find_first (timeline, EVENT_JOB_ACCEPTED);
  guint n_lost = timeline_count_lost_vms (timeline, end->vm, end->at_us);

  if (accepted != NULL)
    n_lost = MAX (
        n_lost, timeline_count_lost_vms (timeline, end->vm, accepted->at_us));
  if (n_lost > 0)
    g_string_append_printf (why, "; %s had lost contact with %u other VMs",
                            end->vm, n_lost);
}

/* Appends when the VM that turned the job away had started, was told to stop
   or had lost the store.  */
static void
append_recent_vm_events (const struct timeline *timeline,
                         const struct timeline_event *turned_away,
                         GString *why)
{
  for (guint i = 0; i < timeline->events->len; i++)
    {
      const struct timeline_event *event = get_event (timeline, i);
      gint64 ago_ms = (turned_away->at_us - event->at_us) / USEC_PER_MSEC;

      if (g_strcmp0 (event->vm, turned_away->vm) != 0
          || event->at_us > turned_away->at_us)
        continue;
      if (event->number == EVENT_FLEET_STARTED)
        g_string_append_printf (
            why, "; it had started %" G_GINT64_FORMAT " ms before", ago_ms);
      else if (event->number == EVENT_FLEET_DRAINING)
        g_string_append_printf (
            why, "; it had been told to stop %" G_GINT64_FORMAT " ms before",
            ago_ms);
      else if (event->number == EVENT_STORE_LOST)
        g_string_append_printf (why,
                                "; it had lost the platform's store "
                                "%" G_GINT64_FORMAT " ms before",
                                ago_ms);
    }
}

static gboolean
has_no_owner (const struct timeline_event *turned_away)
{
  return has_text (turned_away, "reason", "no upstream is owned by a live VM");
}

static void
check_no_owner (const struct timeline *timeline, GString *why)
{
  const struct timeline_event *turned_away
      = timeline_find_first (timeline, EVENT_JOB_TURNED_AWAY);

  if (turned_away == NULL || !has_no_owner (turned_away))
    return;
  g_string_append_printf (
      why, "%s knew of no live VM that owns upstreams of the service",
      turned_away->vm);
  append_recent_vm_events (timeline, turned_away, why);
  append_lost_vms (timeline, turned_away, why);
}

/* Whether the owner of the batch that RETURNED names had reported free slots
   for all tasks of the batch.  */
static gboolean
had_free_slots (const struct timeline *timeline,
                const struct timeline_event *returned)
{
  for (guint i = 0; i < timeline->events->len; i++)
    {
      const struct timeline_event *sent = get_event (timeline, i);

      if (sent->number == EVENT_BATCH_SENT
          && timeline_is_same_batch (sent, returned))
        return timeline_get_int (sent, "free_slots", 0)
               >= timeline_get_int (sent, "tasks", 1);
    }
  return FALSE;
}

/* Appends how many batches were sent to owners, how often owners returned
   unstarted tasks, and how many of these returns came from owners that had
   reported enough free slots.  */
static void
append_batch_counts (const struct timeline *timeline, GString *why)
{
  guint n_sent = 0;
  guint n_returned = 0;
  guint n_with_free_slots = 0;

  for (guint i = 0; i < timeline->events->len; i++)
    {
      const struct timeline_event *event = get_event (timeline, i);

      n_sent += event->number == EVENT_BATCH_SENT;
      if (event->number != EVENT_TASKS_RETURNED)
        continue;
      n_returned++;
      n_with_free_slots += had_free_slots (timeline, event);
    }
  if (n_sent > 0)
    g_string_append_printf (why,
                            "; batches sent to owners: %u, returns of "
                            "unstarted tasks: %u, of these from owners that "
                            "had reported enough free slots: %u",
                            n_sent, n_returned, n_with_free_slots);
}

static gboolean
is_vm_leaving (const struct timeline_event *turned_away)
{
  return has_text (turned_away, "reason",
                   "this VM is leaving; send the job again");
}

static void
check_leaving (const struct timeline *timeline, GString *why)
{
  const struct timeline_event *turned_away
      = timeline_find_first (timeline, EVENT_JOB_TURNED_AWAY);

  if (turned_away == NULL || !is_vm_leaving (turned_away))
    return;
  g_string_append_printf (why, "%s was leaving and accepted no new jobs",
                          turned_away->vm);
  append_recent_vm_events (timeline, turned_away, why);
}

static gboolean
is_invalid (const struct timeline_event *turned_away)
{
  return timeline_get_int (turned_away, "status", 0)
         == HTTP_STATUS_BAD_REQUEST;
}

static void
check_invalid (const struct timeline *timeline, GString *why)
{
  const struct timeline_event *turned_away
      = timeline_find_first (timeline, EVENT_JOB_TURNED_AWAY);

  if (turned_away != NULL && is_invalid (turned_away))
    g_string_append_printf (why, "%s refused it: %s", turned_away->vm,
                            timeline_get_text (turned_away, "reason"));
}

static gboolean
is_over_share (const struct timeline_event *turned_away)
{
  return has_text (turned_away, "cause", "over-share");
}

static void
check_over_share (const struct timeline *timeline, GString *why)
{
  static const char *const except[]
      = { "reason", "status", "cause", "outcome", NULL };
  const struct timeline_event *turned_away
      = timeline_find_first (timeline, EVENT_JOB_TURNED_AWAY);
  g_autoptr (GString) figures = g_string_new (NULL);

  if (turned_away == NULL || !is_over_share (turned_away))
    return;
  timeline_format_fields (turned_away, except, figures);
  g_string_append_printf (why, "%s refused the job before anything ran (%s)",
                          turned_away->vm, figures->str);
}

static void
check_turned_away (const struct timeline *timeline, GString *why)
{
  static const char *const except[] = { "reason", "status", NULL };
  const struct timeline_event *turned_away
      = timeline_find_first (timeline, EVENT_JOB_TURNED_AWAY);
  g_autoptr (GString) figures = g_string_new (NULL);
  const char *reason;

  if (turned_away == NULL || has_text (turned_away, "reason", "route")
      || has_no_owner (turned_away) || is_vm_leaving (turned_away)
      || is_invalid (turned_away) || is_over_share (turned_away))
    return;
  reason = timeline_get_text (turned_away, "reason");
  timeline_format_fields (turned_away, except, figures);
  g_string_append_printf (why, "%s refused the job before anything ran: %s",
                          turned_away->vm,
                          reason != NULL ? reason : "no reason given");
  if (figures->len > 0)
    g_string_append_printf (why, " (%s)", figures->str);
  append_batch_counts (timeline, why);
  append_lost_vms (timeline, turned_away, why);
}

static void
check_home_lost (const struct timeline *timeline, GString *why)
{
  const char *end;

  if (g_strcmp0 (get_given_up_reason (timeline), "this VM had to stop") == 0)
    g_string_append_printf (
        why, "its home %s had to stop before the job ended", timeline->home);
  /* The outcome may be in a damaged line, so nothing follows from its
     absence.  */
  if (timeline->home == NULL || find_outcome (timeline) != NULL
      || timeline->n_damaged > 0)
    return;
  end = find_process_end (timeline, timeline->home,
                          find_last_time (timeline, timeline->home));
  if (end != NULL)
    g_string_append_printf (why, "its home %s %s before it answered",
                            timeline->home, end);
}

/* Whether an event with NUMBER is about the batch of SENT.  */
static gboolean
has_batch_event (const struct timeline *timeline,
                 const struct timeline_event *sent, enum event number)
{
  for (guint i = 0; i < timeline->events->len; i++)
    if (get_event (timeline, i)->has_job
        && get_event (timeline, i)->number == number
        && timeline_is_same_batch (sent, get_event (timeline, i)))
      return TRUE;
  return FALSE;
}

/* Whether all tasks of the batch SENT were returned unstarted.  */
static gboolean
is_batch_returned (const struct timeline *timeline,
                   const struct timeline_event *sent)
{
  gint64 n_left = timeline_get_int (sent, "tasks", G_MAXINT64);

  for (guint i = 0; i < timeline->events->len; i++)
    {
      const struct timeline_event *event = get_event (timeline, i);

      if (event->number == EVENT_TASKS_RETURNED
          && timeline_is_same_batch (sent, event))
        n_left -= timeline_get_int (event, "tasks", 0);
    }
  return n_left <= 0;
}

/* Whether OWNER has logged anything about the job since SENT.  */
static gboolean
has_owner_logged (const struct timeline *timeline,
                  const struct timeline_event *sent, const char *owner)
{
  for (guint i = 0; i < timeline->events->len; i++)
    {
      const struct timeline_event *event = get_event (timeline, i);

      if (event->has_job && event != sent && event->at_us >= sent->at_us
          && g_strcmp0 (event->vm, owner) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Calls VISIT for each batch that was sent and whose end is not known.  */
static void
for_each_open_batch (const struct timeline *timeline, GString *why,
                     void (*visit) (const struct timeline *timeline,
                                    const struct timeline_event *sent,
                                    const char *owner, GString *why))
{
  for (guint i = 0; i < timeline->events->len; i++)
    {
      const struct timeline_event *sent = get_event (timeline, i);
      const char *owner = timeline_get_text (sent, "owner");

      if (sent->number == EVENT_BATCH_SENT && owner != NULL
          && !has_batch_event (timeline, sent, EVENT_BATCH_ENDED)
          && !is_batch_returned (timeline, sent))
        visit (timeline, sent, owner, why);
    }
}

/* Appends OWNER if its process ended after SENT.  */
static void
append_owner_lost (const struct timeline *timeline,
                   const struct timeline_event *sent, const char *owner,
                   GString *why)
{
  const char *end = find_process_end (timeline, owner, sent->at_us);

  if (end != NULL)
    g_string_append_printf (why, "%s%s, to which tasks were sent, %s",
                            why->len > 0 ? "; " : "", owner, end);
}

/* Appends why the home gave the job up if it considered an owner lost that
   went on running, as when the network between them was interrupted.  */
static void
append_lost_connection (const struct timeline *timeline, GString *why)
{
  static const char *const reasons[]
      = { "the owner of its upstreams is lost",
          "the connection to its owner broke", NULL };
  const char *reason = get_given_up_reason (timeline);

  if (reason == NULL || !g_strv_contains (reasons, reason))
    return;
  g_string_append_printf (why, "%s gave the job up: %s; it had sent tasks to",
                          timeline->home, reason);
  for (guint i = 0; i < timeline->events->len; i++)
    if (get_event (timeline, i)->number == EVENT_BATCH_SENT)
      g_string_append_printf (
          why, " %s", timeline_get_text (get_event (timeline, i), "owner"));
}

static void
check_owner_lost (const struct timeline *timeline, GString *why)
{
  if (is_done (timeline))
    return;
  for_each_open_batch (timeline, why, append_owner_lost);
  if (why->len == 0)
    append_lost_connection (timeline, why);
}

/* Appends OWNER if it runs on another VM than the home, is not known to have
   ended, and has logged nothing about the job since SENT.  */
static void
append_owner_silent (const struct timeline *timeline,
                     const struct timeline_event *sent, const char *owner,
                     GString *why)
{
  if (g_strcmp0 (owner, sent->vm) != 0
      && !has_owner_logged (timeline, sent, owner)
      && find_process_end (timeline, owner, sent->at_us) == NULL)
    g_string_append_printf (
        why,
        "%stasks were sent to %s, but no later line of that VM in these logs "
        "names the job",
        why->len > 0 ? "; " : "", owner);
}

static void
check_owner_silent (const struct timeline *timeline, GString *why)
{
  for_each_open_batch (timeline, why, append_owner_silent);
}

/* Whether EVENT shows that an upstream did not answer or was too slow.  */
static gboolean
is_hanging (const struct timeline_event *event)
{
  static const char *const reasons[]
      = { "lapsed", "lost", "silent", "slow", "mute", "unanswered", NULL };
  const char *reason = timeline_get_text (event, "reason");
  const char *end = timeline_get_text (event, "end");

  if (event->number == EVENT_RUN_UNANSWERED
      || event->number == EVENT_UPSTREAM_MUTE)
    return TRUE;
  if (event->number == EVENT_TASK_RETRIED
      || event->number == EVENT_UPSTREAM_RESTING)
    return reason != NULL && g_strv_contains (reasons, reason);
  return event->number == EVENT_RUN_ENDED && end != NULL
         && g_strv_contains (reasons, end);
}

/* Whether EVENT shows that a run or a whole batch failed, other than by an
   upstream that hangs.  */
static gboolean
is_failed (const struct timeline_event *event)
{
  if (event->number == EVENT_RUN_ENDED)
    return has_text (event, "end", "failed");
  if (event->number == EVENT_TASK_RETRIED)
    return !is_hanging (event);
  return event->number == EVENT_BATCH_ENDED
         && has_text (event, "end", "failed");
}

/* Identifies the run of EVENT, so that a run with several lines counts once.
   The caller owns the key.  */
static char *
format_run_key (const struct timeline_event *event)
{
  const char *task = timeline_get_text (event, "task");

  return g_strdup_printf ("%s/%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT "/%s",
                          task != NULL ? task : "",
                          timeline_get_int (event, "task", -1),
                          timeline_get_int (event, "run", -1),
                          timeline_get_text (event, "upstream"));
}

/* Appends the upstreams of the events that IS_CHOSEN selects, each with the
   number of runs of the job in them, as "u7 (2), u9 (1)".  */
static void
append_upstreams (const struct timeline *timeline, GString *text,
                  gboolean (*is_chosen) (const struct timeline_event *event))
{
  g_autoptr (GHashTable) runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_autoptr (GHashTable) counts = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) names = g_ptr_array_new ();

  for (guint i = 0; i < timeline->events->len; i++)
    {
      const struct timeline_event *event = get_event (timeline, i);
      const char *upstream = timeline_get_text (event, "upstream");
      gpointer count;

      if (upstream == NULL || !is_chosen (event))
        continue;
      if (!g_hash_table_lookup_extended (counts, upstream, NULL, &count))
        {
          count = NULL;
          g_ptr_array_add (names, (gpointer)upstream);
        }
      if (event->has_job && g_hash_table_add (runs, format_run_key (event)))
        count = GUINT_TO_POINTER (GPOINTER_TO_UINT (count) + 1);
      g_hash_table_insert (counts, (gpointer)upstream, count);
    }
  for (guint i = 0; i < names->len; i++)
    g_string_append_printf (
        text, "%s%s (%u)", i > 0 ? ", " : "", (const char *)names->pdata[i],
        GPOINTER_TO_UINT (g_hash_table_lookup (counts, names->pdata[i])));
}

static void
check_hanging_upstream (const struct timeline *timeline, GString *why)
{
  g_autoptr (GString) upstreams = g_string_new (NULL);

  append_upstreams (timeline, upstreams, is_hanging);
  if (upstreams->len > 0)
    g_string_append_printf (why,
                            "upstreams that did not answer or were too slow, "
                            "with the number of runs of "
                            "this job: %s",
                            upstreams->str);
}

static void
check_failed_upstream (const struct timeline *timeline, GString *why)
{
  g_autoptr (GString) upstreams = g_string_new (NULL);

  append_upstreams (timeline, upstreams, is_failed);
  if (upstreams->len > 0)
    g_string_append_printf (why, "runs that failed, by upstream: %s",
                            upstreams->str);
  for (guint i = 0; i < timeline->events->len; i++)
    if (is_failed (get_event (timeline, i))
        && get_event (timeline, i)->number == EVENT_BATCH_ENDED)
      g_string_append_printf (why, "%sthe batch on %s used up its attempts",
                              why->len > 0 ? "; " : "",
                              get_event (timeline, i)->vm);
}

/* The reason of the first batch that an owner stopped with a reason, or NULL.
   Sets *OWNER to the name of that VM.  */
static const char *
find_stop_reason (const struct timeline *timeline, const char **owner)
{
  for (guint i = 0; i < timeline->events->len; i++)
    {
      const struct timeline_event *event = get_event (timeline, i);

      if (event->number == EVENT_BATCH_ENDED
          && has_text (event, "end", "stopped")
          && timeline_get_text (event, "reason") != NULL)
        {
          *owner = event->vm;
          return timeline_get_text (event, "reason");
        }
    }
  return NULL;
}

static void
check_no_room (const struct timeline *timeline, GString *why)
{
  static const char *const reasons[]
      = { "no room in time", "no room before its deadline",
          "the queues are longer than its time", NULL };
  const char *reason = get_given_up_reason (timeline);
  const char *owner = timeline->home;

  if (reason == NULL)
    return;
  if (!g_strv_contains (reasons, reason))
    reason = find_stop_reason (timeline, &owner);
  if (reason == NULL || !g_strv_contains (reasons, reason))
    return;
  g_string_append_printf (why, "%s: %s, after part of the job had started",
                          owner, reason);
  append_batch_counts (timeline, why);
  append_lost_vms (timeline,
                   timeline_find_first (timeline, EVENT_JOB_GIVEN_UP), why);
}

/* The time from the acceptance of the job until the last of its batches began,
   in milliseconds.  A batch begins with the start of its first task.  Batches
   that started no task don't count.  */
static gint64
measure_wait_ms (const struct timeline *timeline)
{
  const struct timeline_event *accepted
      = timeline_find_first (timeline, EVENT_JOB_ACCEPTED);
  gint64 wait_us = 0;

  for (guint i = 0; accepted != NULL && i < timeline->events->len; i++)
    for (guint k = i + 1; k < timeline->events->len; k++)
      {
        const struct timeline_event *sent = get_event (timeline, i);
        const struct timeline_event *ended = get_event (timeline, k);
        gint64 batch_wait_us = timeline_get_int (ended, "waited_us", -1);

        if (sent->number == EVENT_BATCH_SENT
            && ended->number == EVENT_BATCH_ENDED && batch_wait_us >= 0
            && timeline_is_same_batch (sent, ended))
          wait_us
              = MAX (wait_us, sent->at_us - accepted->at_us + batch_wait_us);
      }
  return wait_us / USEC_PER_MSEC;
}

/* Whether more than half of the time that a late job took beyond its estimate
   was spent waiting.  */
static gboolean
is_wait_dominant (const struct timeline *timeline)
{
  const struct timeline_event *accepted
      = timeline_find_first (timeline, EVENT_JOB_ACCEPTED);
  const struct timeline_event *answer
      = timeline_find_first (timeline, EVENT_JOB_ANSWERED);
  gint64 estimate_ms
      = accepted != NULL
            ? timeline_get_int (accepted, "estimate_us", 0) / USEC_PER_MSEC
            : 0;

  return 2 * measure_wait_ms (timeline)
         > timeline_get_int (answer, "ms", 0) - estimate_ms;
}

/* Appends the duration and the upstream of the longest successful run.  */
static void
append_longest_run (const struct timeline *timeline, GString *why)
{
  gint64 longest_ms = 0;
  const char *longest = NULL;
  gsize length = 0;

  for (guint i = 0; i < timeline->events->len; i++)
    {
      const struct timeline_event *event = get_event (timeline, i);
      const char *upstream = NULL;
      gsize upstream_length = 0;
      gint64 ms = event->has_job ? timeline_get_longest_run_ms (
                      event, &upstream, &upstream_length)
                                 : 0;

      if (ms <= longest_ms)
        continue;
      longest_ms = ms;
      longest = upstream;
      length = upstream_length;
    }
  if (longest != NULL)
    g_string_append_printf (
        why, "; its longest run took %" G_GINT64_FORMAT " ms on %.*s",
        longest_ms, (int)length, longest);
}

/* Appends the figures of a late job.  */
static void
append_times (const struct timeline *timeline, GString *why)
{
  const struct timeline_event *accepted
      = timeline_find_first (timeline, EVENT_JOB_ACCEPTED);
  const struct timeline_event *answer
      = timeline_find_first (timeline, EVENT_JOB_ANSWERED);

  g_string_append_printf (
      why,
      "answered after %" G_GINT64_FORMAT " ms, objective %" G_GINT64_FORMAT
      " ms; its last batch began after %" G_GINT64_FORMAT " ms",
      timeline_get_int (answer, "ms", 0),
      timeline_get_int (answer, "objective_ms", 0),
      measure_wait_ms (timeline));
  if (accepted != NULL)
    g_string_append_printf (
        why, "; the estimate of a task was %" G_GINT64_FORMAT " ms",
        timeline_get_int (accepted, "estimate_us", 0) / USEC_PER_MSEC);
  append_longest_run (timeline, why);
}

static void
check_waited (const struct timeline *timeline, GString *why)
{
  if (!is_late (timeline) || !is_wait_dominant (timeline))
    return;
  append_times (timeline, why);
  append_batch_counts (timeline, why);
}

static void
check_slow_run (const struct timeline *timeline, GString *why)
{
  if (is_late (timeline) && !is_wait_dominant (timeline))
    append_times (timeline, why);
}

static void
check_paused (const struct timeline *timeline, GString *why)
{
  for (guint i = 0; i < timeline->events->len; i++)
    if (get_event (timeline, i)->number == EVENT_LOOP_LATE)
      g_string_append_printf (
          why, "%sthe main loop of %s paused for %" G_GINT64_FORMAT " ms",
          why->len > 0 ? "; " : "", get_event (timeline, i)->vm,
          timeline_get_int (get_event (timeline, i), "ms", 0));
}

static void
check_upstream_gone (const struct timeline *timeline, GString *why)
{
  for (guint i = 0; i < timeline->events->len; i++)
    {
      const struct timeline_event *event = get_event (timeline, i);
      g_autofree char *text = NULL;

      if (event->number != EVENT_UPSTREAM_GONE
          && event->number != EVENT_UPSTREAM_FENCED)
        continue;
      text = g_strdup_printf ("%s %s", timeline_get_text (event, "upstream"),
                              event->number == EVENT_UPSTREAM_GONE
                                  ? "was removed"
                                  : "was taken over by another owner");
      if (strstr (why->str, text) == NULL)
        g_string_append_printf (why, "%s%s", why->len > 0 ? "; " : "", text);
    }
}

static void
check_caller_gone (const struct timeline *timeline, GString *why)
{
  const struct timeline_event *gone
      = timeline_find_first (timeline, EVENT_CALLER_GONE);

  if (gone == NULL)
    return;
  g_string_append (why, "the caller closed its connection");
  if (timeline_get_int (gone, "ms", -1) >= 0)
    g_string_append_printf (why, " after %" G_GINT64_FORMAT " ms",
                            timeline_get_int (gone, "ms", 0));
}

static void
check_given_up (const struct timeline *timeline, GString *why)
{
  const struct timeline_event *given_up
      = timeline_find_first (timeline, EVENT_JOB_GIVEN_UP);
  const char *reason = get_given_up_reason (timeline);
  const char *owner = NULL;
  const char *stop = find_stop_reason (timeline, &owner);

  if (given_up == NULL)
    return;
  g_string_append_printf (why, "%s gave the job up: %s", given_up->vm,
                          reason != NULL ? reason : "no reason given");
  if (stop != NULL && g_strcmp0 (stop, reason) != 0)
    g_string_append_printf (why, "; %s stopped tasks: %s", owner, stop);
}

static void
check_log_gap (const struct timeline *timeline, GString *why)
{
  if (timeline->n_damaged > 0)
    g_string_append_printf (why,
                            "%u lines that name the job are incomplete, as "
                            "when a log reader mixes the lines of processes",
                            timeline->n_damaged);
  for (guint i = 0; i < timeline->events->len; i++)
    if (get_event (timeline, i)->number == EVENT_LOG_LINES_DROPPED)
      {
        g_string_append_printf (why, "%s%s dropped log lines around that time",
                                why->len > 0 ? "; " : "",
                                get_event (timeline, i)->vm);
        return;
      }
}

static void
check_unknown (const struct timeline *timeline, GString *why)
{
  const struct timeline_event *last = timeline_find_last (timeline);

  if (last == NULL)
    g_string_append (why, "no line names the job");
  else
    g_string_append_printf (
        why, "the last line is '%s' on %s, and no line shows a cause",
        last->name, last->vm);
}

/* The most likely cause first.  The last rule is tried only when no other
   applies, and always applies.  */
static const struct rule rules[] = {
  { "done", "nothing went wrong: the job was answered in time", "",
    check_done },
  { "no-route", "the desired state has no route for it",
    "correct or publish the routes", check_no_route },
  { "no-owner", "no live VM owned upstreams for it",
    "find the cause: VMs that have just started or were lost (fleet-started, "
    "vm-lost), or a store that does not answer; the caller may retry",
    check_no_owner },
  { "leaving", "it was sent to a VM that was leaving",
    "the caller may retry; if this repeats, find out why callers still reach "
    "that VM",
    check_leaving },
  { "invalid", "the request was not valid", "correct the caller's request",
    check_invalid },
  { "over-share", "its caller requested more than its share",
    "find out why that caller sends so much; the others are served first",
    check_over_share },
  { "turned-away", "turned away for lack of room",
    "if owners had reported free slots, compare what the job needs with their "
    "upstreams; otherwise add upstreams or reduce the load",
    check_turned_away },
  { "home-lost", "its home was lost or stopped",
    "check that VM; the caller may retry", check_home_lost },
  { "owner-lost", "the owner of its upstreams was lost or stopped",
    "check that VM", check_owner_lost },
  { "hanging-upstream", "an upstream hangs or is slow", "check the upstream",
    check_hanging_upstream },
  { "failed-upstream", "its tasks failed",
    "check the upstream; if several failed, check the job's input",
    check_failed_upstream },
  { "no-room", "no room in time",
    "if owners had reported free slots, compare what the job needs with their "
    "upstreams; otherwise add upstreams or reduce the load",
    check_no_room },
  { "waited", "late: it waited for room",
    "add upstreams or reduce the load; many returns show that other jobs took "
    "the free slots that owners had reported",
    check_waited },
  { "slow-run", "late: its tasks ran for longer than estimated",
    "check the upstream of its longest run; otherwise correct the caller's "
    "estimate",
    check_slow_run },
  { "upstream-gone", "an upstream was removed or changed its owner",
    "harmless unless it repeats; then find out who removes upstreams",
    check_upstream_gone },
  { "paused", "the main loop of a VM paused", "check the VM's CPU and memory",
    check_paused },
  { "owner-silent", "the owner logged nothing about the tasks",
    "add the owner's log if it is missing; otherwise check the network "
    "between the VMs",
    check_owner_silent },
  { "caller-gone", "the caller disconnected", "check the caller's timeout",
    check_caller_gone },
  { "given-up", "the home gave the job up",
    "the reason names the limit that was reached", check_given_up },
  { "log-gap", "log lines are missing or incomplete",
    "make the log reader faster, or log at a less verbose level",
    check_log_gap },
  { "unknown", "not known from these logs",
    "add the logs of all VMs that the lines name, up to 10 minutes after the "
    "job",
    check_unknown },
};

static void
free_cause (gpointer data)
{
  struct explain_cause *cause = data;

  g_free (cause->why);
  g_free (cause);
}

/* Adds the cause of RULE to CAUSES if the rule applies.  */
static void
apply_rule (const struct timeline *timeline, const struct rule *rule,
            GPtrArray *causes)
{
  g_autoptr (GString) why = g_string_new (NULL);
  struct explain_cause *cause;

  rule->check (timeline, why);
  if (why->len == 0)
    return;
  cause = g_new0 (struct explain_cause, 1);
  cause->name = rule->name;
  cause->title = rule->title;
  cause->remedy = rule->remedy;
  cause->why = g_strdup (why->str);
  g_ptr_array_add (causes, cause);
}

GPtrArray *
explain_cause_find (const struct timeline *timeline)
{
  GPtrArray *causes = g_ptr_array_new_with_free_func (free_cause);
  gsize n_rules = G_N_ELEMENTS (rules);

  for (gsize i = 0; i + 1 < n_rules; i++)
    apply_rule (timeline, &rules[i], causes);
  if (causes->len == 0)
    apply_rule (timeline, &rules[n_rules - 1], causes);
  return causes;
}
