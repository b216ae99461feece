#include "commands/explain_cause.h"

#include "base/clock.h"

#include <string.h>

/* The HTTP status of a request that is wrong in itself.  */
#define BAD_REQUEST 400

/* Says by WHY whether the rule applies: it does when WHY is not empty.  */
typedef void rule_check (const struct story *story, GString *why);

struct rule
{
  const char *name;
  const char *title;
  const char *remedy;
  rule_check *check;
};

static const struct story_event *
get_event (const struct story *story, guint i)
{
  return g_ptr_array_index (story->events, i);
}

static gboolean
has_text (const struct story_event *event, const char *key, const char *value)
{
  return g_strcmp0 (story_event_text (event, key), value) == 0;
}

/* Whether the caller got an answer, or needs none.  */
static const struct story_event *
find_end (const struct story *story)
{
  static const enum event ends[] = { EVENT_JOB_ANSWERED, EVENT_JOB_TURNED_AWAY,
                                     EVENT_JOB_GIVEN_UP, EVENT_CALLER_GONE };
  const struct story_event *end = NULL;

  for (gsize i = 0; i < G_N_ELEMENTS (ends) && end == NULL; i++)
    end = story_find (story, ends[i]);
  return end;
}

static gboolean
is_done (const struct story *story)
{
  const struct story_event *answer = story_find (story, EVENT_JOB_ANSWERED);

  return answer != NULL && story_is_success (answer);
}

static const char *
get_given_up_reason (const struct story *story)
{
  const struct story_event *up = story_find (story, EVENT_JOB_GIVEN_UP);

  return up != NULL ? story_event_text (up, "reason") : NULL;
}

/* Whether the answer came later than the job's objective.  */
static gboolean
is_late (const struct story *story)
{
  const struct story_event *answer = story_find (story, EVENT_JOB_ANSWERED);

  return is_done (story) && story_event_int (answer, "objective_ms", 0) > 0
         && story_event_int (answer, "ms", 0)
                > story_event_int (answer, "objective_ms", 0);
}

/* What ended the process of VM after AT_US, as its log or others' tell.  A
   process that still logs when the job is over was not the cause.  */
static const char *
find_process_end (const struct story *story, const char *vm, gint64 at_us)
{
  const struct story_event *over = find_end (story);

  for (guint i = 0; i < story->events->len; i++)
    {
      const struct story_event *event = get_event (story, i);

      if (event->at_us < at_us)
        continue;
      if (event->number == EVENT_VM_LOST && has_text (event, "peer", vm))
        return "is no longer heard";
      if (g_strcmp0 (event->vm, vm) != 0)
        continue;
      if (event->number == EVENT_FLEET_STOPPED)
        return "was stopped";
      if (event->number == EVENT_FLEET_STARTED)
        return "started anew without having stopped: it crashed or was killed";
      if (over != NULL && !event->is_own && event->at_us > over->at_us)
        return NULL;
    }
  return NULL;
}

/* The time of the last line that VM logged of the job.  */
static gint64
find_last_time (const struct story *story, const char *vm)
{
  gint64 at_us = G_MININT64;

  for (guint i = 0; i < story->events->len; i++)
    {
      const struct story_event *event = get_event (story, i);

      if (event->is_own && g_strcmp0 (event->vm, vm) == 0)
        at_us = event->at_us;
    }
  return at_us;
}

static void
check_done (const struct story *story, GString *why)
{
  const struct story_event *answer = story_find (story, EVENT_JOB_ANSWERED);

  if (!is_done (story) || is_late (story))
    return;
  g_string_append (why, "the caller got its answer");
  if (story_event_int (answer, "ms", -1) >= 0)
    g_string_append_printf (why, " after %" G_GINT64_FORMAT " ms",
                            story_event_int (answer, "ms", 0));
}

static void
check_no_route (const struct story *story, GString *why)
{
  const struct story_event *away = story_find (story, EVENT_JOB_TURNED_AWAY);

  if (away == NULL || !has_text (away, "reason", "route"))
    return;
  g_string_append_printf (why, "%s knew no route for the request", away->vm);
  for (guint i = 0; i < story->events->len; i++)
    {
      const struct story_event *event = get_event (story, i);

      if (event->number == EVENT_ROUTES_IN_FORCE
          || event->number == EVENT_ROUTES_REFUSED)
        g_string_append_printf (
            why, "; version %" G_GINT64_FORMAT " of the desired state was %s",
            story_event_int (event, "version", 0),
            event->number == EVENT_ROUTES_REFUSED ? "refused" : "in force");
    }
}

/* Room is short where VMs are cut off, when the job comes or when it ends.  */
static void
append_lost (const struct story *story, const struct story_event *end,
             GString *why)
{
  const struct story_event *accepted = story_find (story, EVENT_JOB_ACCEPTED);
  guint n_lost = story_count_lost (story, end->vm, end->at_us);

  if (accepted != NULL)
    n_lost = MAX (n_lost, story_count_lost (story, end->vm, accepted->at_us));
  if (n_lost > 0)
    g_string_append_printf (why, "; %s had lost touch with %u other VMs",
                            end->vm, n_lost);
}

/* What the home of a job without upstreams had just gone through.  */
static void
append_recent (const struct story *story, const struct story_event *away,
               GString *why)
{
  for (guint i = 0; i < story->events->len; i++)
    {
      const struct story_event *event = get_event (story, i);
      gint64 ago_ms = (away->at_us - event->at_us) / USEC_PER_MSEC;

      if (g_strcmp0 (event->vm, away->vm) != 0 || event->at_us > away->at_us)
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
is_without_owner (const struct story_event *away)
{
  return has_text (away, "reason", "no upstream is owned by a live VM");
}

static void
check_no_owner (const struct story *story, GString *why)
{
  const struct story_event *away = story_find (story, EVENT_JOB_TURNED_AWAY);

  if (away == NULL || !is_without_owner (away))
    return;
  g_string_append_printf (
      why, "%s knew of no live VM that owns upstreams of the service",
      away->vm);
  append_recent (story, away, why);
  append_lost (story, away, why);
}

/* Whether the owner of the batch that RETURNED names had told of room for all
   of it.  */
static gboolean
had_promise (const struct story *story, const struct story_event *returned)
{
  for (guint i = 0; i < story->events->len; i++)
    {
      const struct story_event *sent = get_event (story, i);

      if (sent->number == EVENT_BATCH_SENT
          && story_is_same_batch (sent, returned))
        return story_event_int (sent, "free_slots", 0)
               >= story_event_int (sent, "tasks", 1);
    }
  return FALSE;
}

/* How often the job was handed to owners, what they gave back unstarted, and
   how often they had told of room for it.  */
static void
append_search (const struct story *story, GString *why)
{
  guint n_sent = 0;
  guint n_returned = 0;
  guint n_promised = 0;

  for (guint i = 0; i < story->events->len; i++)
    {
      const struct story_event *event = get_event (story, i);

      n_sent += event->number == EVENT_BATCH_SENT;
      if (event->number != EVENT_TASKS_RETURNED)
        continue;
      n_returned++;
      n_promised += had_promise (story, event);
    }
  if (n_sent > 0)
    g_string_append_printf (why,
                            "; batches handed to owners: %u, times that tasks "
                            "came back unstarted: %u, of these from owners "
                            "that had told of room for all: %u",
                            n_sent, n_returned, n_promised);
}

static gboolean
is_by_leaving_vm (const struct story_event *away)
{
  return has_text (away, "reason", "this VM is leaving; send the job again");
}

static void
check_leaving (const struct story *story, GString *why)
{
  const struct story_event *away = story_find (story, EVENT_JOB_TURNED_AWAY);

  if (away == NULL || !is_by_leaving_vm (away))
    return;
  g_string_append_printf (why, "%s took no more jobs", away->vm);
  append_recent (story, away, why);
}

static gboolean
is_invalid (const struct story_event *away)
{
  return story_event_int (away, "status", 0) == BAD_REQUEST;
}

static void
check_invalid (const struct story *story, GString *why)
{
  const struct story_event *away = story_find (story, EVENT_JOB_TURNED_AWAY);

  if (away != NULL && is_invalid (away))
    g_string_append_printf (why, "%s refused it: %s", away->vm,
                            story_event_text (away, "reason"));
}

static void
check_turned_away (const struct story *story, GString *why)
{
  static const char *const except[] = { "reason", "status", NULL };
  const struct story_event *away = story_find (story, EVENT_JOB_TURNED_AWAY);
  g_autoptr (GString) figures = g_string_new (NULL);
  const char *reason;

  if (away == NULL || has_text (away, "reason", "route")
      || is_without_owner (away) || is_by_leaving_vm (away)
      || is_invalid (away))
    return;
  reason = story_event_text (away, "reason");
  story_event_describe (away, except, figures);
  g_string_append_printf (why, "%s refused the job before anything ran: %s",
                          away->vm, reason != NULL ? reason : "no reason");
  if (figures->len > 0)
    g_string_append_printf (why, " (%s)", figures->str);
  append_search (story, why);
  append_lost (story, away, why);
}

static void
check_home_lost (const struct story *story, GString *why)
{
  const char *end;

  if (g_strcmp0 (get_given_up_reason (story), "this VM had to stop") == 0)
    g_string_append_printf (why, "its home %s had to stop before it was done",
                            story->home);
  if (story->home == NULL || find_end (story) != NULL || story->n_cut > 0)
    return;
  end = find_process_end (story, story->home,
                          find_last_time (story, story->home));
  if (end != NULL)
    g_string_append_printf (why, "its home %s %s before it answered",
                            story->home, end);
}

/* Whether a line tells that the batch of SENT has come or ended.  */
static gboolean
has_batch_event (const struct story *story, const struct story_event *sent,
                 enum event number)
{
  for (guint i = 0; i < story->events->len; i++)
    if (get_event (story, i)->is_own && get_event (story, i)->number == number
        && story_is_same_batch (sent, get_event (story, i)))
      return TRUE;
  return FALSE;
}

/* Whether all tasks of the batch SENT came back unstarted.  */
static gboolean
is_returned (const struct story *story, const struct story_event *sent)
{
  gint64 n_left = story_event_int (sent, "tasks", G_MAXINT64);

  for (guint i = 0; i < story->events->len; i++)
    {
      const struct story_event *event = get_event (story, i);

      if (event->number == EVENT_TASKS_RETURNED
          && story_is_same_batch (sent, event))
        n_left -= story_event_int (event, "tasks", 0);
    }
  return n_left <= 0;
}

/* Whether OWNER has told anything of the job since SENT.  */
static gboolean
has_told (const struct story *story, const struct story_event *sent,
          const char *owner)
{
  for (guint i = 0; i < story->events->len; i++)
    {
      const struct story_event *event = get_event (story, i);

      if (event->is_own && event != sent && event->at_us >= sent->at_us
          && g_strcmp0 (event->vm, owner) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Calls VISIT with each batch sent whose end is not known.  */
static void
visit_open_batches (const struct story *story, GString *why,
                    void (*visit) (const struct story *story,
                                   const struct story_event *sent,
                                   const char *owner, GString *why))
{
  for (guint i = 0; i < story->events->len; i++)
    {
      const struct story_event *sent = get_event (story, i);
      const char *owner = story_event_text (sent, "owner");

      if (sent->number == EVENT_BATCH_SENT && owner != NULL
          && !has_batch_event (story, sent, EVENT_BATCH_ENDED)
          && !is_returned (story, sent))
        visit (story, sent, owner, why);
    }
}

static void
explain_owner_lost (const struct story *story, const struct story_event *sent,
                    const char *owner, GString *why)
{
  const char *end = find_process_end (story, owner, sent->at_us);

  if (end != NULL)
    g_string_append_printf (why, "%s%s, to which tasks were sent, %s",
                            why->len > 0 ? "; " : "", owner, end);
}

/* Why the home took an owner for lost that lives on, as when the network
   between them was cut.  */
static void
explain_cut (const struct story *story, GString *why)
{
  static const char *const reasons[]
      = { "the owner of its upstreams is lost",
          "the connection to its owner broke", NULL };
  const char *reason = get_given_up_reason (story);

  if (reason == NULL || !g_strv_contains (reasons, reason))
    return;
  g_string_append_printf (why, "%s gave the job up: %s; it had sent tasks to",
                          story->home, reason);
  for (guint i = 0; i < story->events->len; i++)
    if (get_event (story, i)->number == EVENT_BATCH_SENT)
      g_string_append_printf (
          why, " %s", story_event_text (get_event (story, i), "owner"));
}

static void
check_owner_lost (const struct story *story, GString *why)
{
  if (is_done (story))
    return;
  visit_open_batches (story, why, explain_owner_lost);
  if (why->len == 0)
    explain_cut (story, why);
}

static void
explain_owner_silent (const struct story *story,
                      const struct story_event *sent, const char *owner,
                      GString *why)
{
  if (g_strcmp0 (owner, sent->vm) != 0 && !has_told (story, sent, owner)
      && find_process_end (story, owner, sent->at_us) == NULL)
    g_string_append_printf (
        why,
        "%stasks were sent to %s, which has no line of them in these logs",
        why->len > 0 ? "; " : "", owner);
}

static void
check_owner_silent (const struct story *story, GString *why)
{
  visit_open_batches (story, why, explain_owner_silent);
}

/* Whether EVENT tells that an upstream did not answer or was too slow.  */
static gboolean
is_hanging (const struct story_event *event)
{
  static const char *const reasons[]
      = { "lapsed", "lost", "silent", "slow", "mute", "unanswered", NULL };
  const char *reason = story_event_text (event, "reason");
  const char *end = story_event_text (event, "end");

  if (event->number == EVENT_RUN_UNANSWERED
      || event->number == EVENT_UPSTREAM_MUTE)
    return TRUE;
  if (event->number == EVENT_TASK_RETRIED
      || event->number == EVENT_UPSTREAM_RESTING)
    return reason != NULL && g_strv_contains (reasons, reason);
  return event->number == EVENT_RUN_ENDED && end != NULL
         && g_strv_contains (reasons, end);
}

static gboolean
is_failure (const struct story_event *event)
{
  if (event->number == EVENT_RUN_ENDED)
    return has_text (event, "end", "failed");
  if (event->number == EVENT_TASK_RETRIED)
    return !is_hanging (event);
  return event->number == EVENT_BATCH_ENDED
         && has_text (event, "end", "failed");
}

/* A run that is told of by two lines counts once: the key of what a line is
   about.  */
static char *
format_run (const struct story_event *event)
{
  const char *task = story_event_text (event, "task");

  return g_strdup_printf ("%s/%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT "/%s",
                          task != NULL ? task : "",
                          story_event_int (event, "task", -1),
                          story_event_int (event, "run", -1),
                          story_event_text (event, "upstream"));
}

/* Appends how many runs on which upstreams the lines chosen by IS_CHOSEN tell
   of, as "u7 (2), u9 (1)".  */
static void
append_upstreams (const struct story *story, GString *text,
                  gboolean (*is_chosen) (const struct story_event *event))
{
  g_autoptr (GHashTable) runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_autoptr (GHashTable) counts = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) names = g_ptr_array_new ();

  for (guint i = 0; i < story->events->len; i++)
    {
      const struct story_event *event = get_event (story, i);
      const char *upstream = story_event_text (event, "upstream");
      gpointer count;

      if (upstream == NULL || !is_chosen (event))
        continue;
      if (!g_hash_table_lookup_extended (counts, upstream, NULL, &count))
        {
          count = NULL;
          g_ptr_array_add (names, (gpointer)upstream);
        }
      if (event->is_own && g_hash_table_add (runs, format_run (event)))
        count = GUINT_TO_POINTER (GPOINTER_TO_UINT (count) + 1);
      g_hash_table_insert (counts, (gpointer)upstream, count);
    }
  for (guint i = 0; i < names->len; i++)
    g_string_append_printf (
        text, "%s%s (%u)", i > 0 ? ", " : "", (const char *)names->pdata[i],
        GPOINTER_TO_UINT (g_hash_table_lookup (counts, names->pdata[i])));
}

static void
check_hanging (const struct story *story, GString *why)
{
  g_autoptr (GString) upstreams = g_string_new (NULL);

  append_upstreams (story, upstreams, is_hanging);
  if (upstreams->len > 0)
    g_string_append_printf (
        why, "no answer or far too slow, runs of this job in brackets: %s",
        upstreams->str);
}

static void
check_failed (const struct story *story, GString *why)
{
  g_autoptr (GString) upstreams = g_string_new (NULL);

  append_upstreams (story, upstreams, is_failure);
  if (upstreams->len > 0)
    g_string_append_printf (why, "runs that failed, by upstream: %s",
                            upstreams->str);
  for (guint i = 0; i < story->events->len; i++)
    if (is_failure (get_event (story, i))
        && get_event (story, i)->number == EVENT_BATCH_ENDED)
      g_string_append_printf (why, "%sthe batch on %s used up its attempts",
                              why->len > 0 ? "; " : "",
                              get_event (story, i)->vm);
}

/* The reason that the owners gave for a batch that they stopped.  */
static const char *
find_stop_reason (const struct story *story, const char **owner)
{
  for (guint i = 0; i < story->events->len; i++)
    {
      const struct story_event *event = get_event (story, i);

      if (event->number == EVENT_BATCH_ENDED
          && has_text (event, "end", "stopped")
          && story_event_text (event, "reason") != NULL)
        {
          *owner = event->vm;
          return story_event_text (event, "reason");
        }
    }
  return NULL;
}

static void
check_no_room (const struct story *story, GString *why)
{
  static const char *const reasons[]
      = { "no room in time", "no room before its deadline",
          "the queues are longer than its time", NULL };
  const char *reason = get_given_up_reason (story);
  const char *owner = story->home;

  if (reason == NULL)
    return;
  if (!g_strv_contains (reasons, reason))
    reason = find_stop_reason (story, &owner);
  if (reason == NULL || !g_strv_contains (reasons, reason))
    return;
  g_string_append_printf (why, "%s: %s, when some of it had started", owner,
                          reason);
  append_search (story, why);
  append_lost (story, story_find (story, EVENT_JOB_GIVEN_UP), why);
}

/* From the acceptance of the job until its last batch with a start had its
   first one, in milliseconds.  */
static gint64
measure_wait (const struct story *story)
{
  const struct story_event *accepted = story_find (story, EVENT_JOB_ACCEPTED);
  gint64 wait_us = 0;

  for (guint i = 0; accepted != NULL && i < story->events->len; i++)
    for (guint k = i + 1; k < story->events->len; k++)
      {
        const struct story_event *sent = get_event (story, i);
        const struct story_event *ended = get_event (story, k);
        gint64 in_us = story_event_int (ended, "waited_us", -1);

        if (sent->number == EVENT_BATCH_SENT
            && ended->number == EVENT_BATCH_ENDED && in_us >= 0
            && story_is_same_batch (sent, ended))
          wait_us = MAX (wait_us, sent->at_us - accepted->at_us + in_us);
      }
  return wait_us / USEC_PER_MSEC;
}

/* Whether a late job's tasks mostly waited, rather than ran for long.  */
static gboolean
has_waited (const struct story *story)
{
  const struct story_event *accepted = story_find (story, EVENT_JOB_ACCEPTED);
  const struct story_event *answer = story_find (story, EVENT_JOB_ANSWERED);
  gint64 estimate_ms
      = accepted != NULL
            ? story_event_int (accepted, "estimate_us", 0) / USEC_PER_MSEC
            : 0;

  return 2 * measure_wait (story)
         > story_event_int (answer, "ms", 0) - estimate_ms;
}

/* The longest run of the job that ended well.  */
static void
append_longest (const struct story *story, GString *why)
{
  gint64 longest_ms = 0;
  const char *longest = NULL;
  gsize length = 0;

  for (guint i = 0; i < story->events->len; i++)
    {
      const struct story_event *event = get_event (story, i);
      const char *upstream = NULL;
      gsize upstream_length = 0;
      gint64 ms = event->is_own ? story_find_longest_ms (event, &upstream,
                                                         &upstream_length)
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

static void
append_times (const struct story *story, GString *why)
{
  const struct story_event *accepted = story_find (story, EVENT_JOB_ACCEPTED);
  const struct story_event *answer = story_find (story, EVENT_JOB_ANSWERED);

  g_string_append_printf (
      why,
      "answered after %" G_GINT64_FORMAT " ms, objective %" G_GINT64_FORMAT
      " ms; its last batch began after %" G_GINT64_FORMAT " ms",
      story_event_int (answer, "ms", 0),
      story_event_int (answer, "objective_ms", 0), measure_wait (story));
  if (accepted != NULL)
    g_string_append_printf (
        why, "; the estimate of a task was %" G_GINT64_FORMAT " ms",
        story_event_int (accepted, "estimate_us", 0) / USEC_PER_MSEC);
  append_longest (story, why);
}

static void
check_waited (const struct story *story, GString *why)
{
  if (!is_late (story) || !has_waited (story))
    return;
  append_times (story, why);
  append_search (story, why);
}

static void
check_slow_run (const struct story *story, GString *why)
{
  if (is_late (story) && !has_waited (story))
    append_times (story, why);
}

static void
check_paused (const struct story *story, GString *why)
{
  for (guint i = 0; i < story->events->len; i++)
    if (get_event (story, i)->number == EVENT_LOOP_LATE)
      g_string_append_printf (
          why, "%s%s stood still for %" G_GINT64_FORMAT " ms",
          why->len > 0 ? "; " : "", get_event (story, i)->vm,
          story_event_int (get_event (story, i), "ms", 0));
}

static void
check_upstream_gone (const struct story *story, GString *why)
{
  for (guint i = 0; i < story->events->len; i++)
    {
      const struct story_event *event = get_event (story, i);
      g_autofree char *text = NULL;

      if (event->number != EVENT_UPSTREAM_GONE
          && event->number != EVENT_UPSTREAM_FENCED)
        continue;
      text = g_strdup_printf ("%s %s", story_event_text (event, "upstream"),
                              event->number == EVENT_UPSTREAM_GONE
                                  ? "was removed"
                                  : "went over to another owner");
      if (strstr (why->str, text) == NULL)
        g_string_append_printf (why, "%s%s", why->len > 0 ? "; " : "", text);
    }
}

static void
check_caller_gone (const struct story *story, GString *why)
{
  const struct story_event *gone = story_find (story, EVENT_CALLER_GONE);

  if (gone == NULL)
    return;
  g_string_append (why, "the caller closed its connection");
  if (story_event_int (gone, "ms", -1) >= 0)
    g_string_append_printf (why, " after %" G_GINT64_FORMAT " ms",
                            story_event_int (gone, "ms", 0));
}

static void
check_given_up (const struct story *story, GString *why)
{
  const struct story_event *up = story_find (story, EVENT_JOB_GIVEN_UP);
  const char *reason = get_given_up_reason (story);
  const char *owner = NULL;
  const char *stop = find_stop_reason (story, &owner);

  if (up == NULL)
    return;
  g_string_append_printf (why, "%s gave the job up: %s", up->vm,
                          reason != NULL ? reason : "no reason");
  if (stop != NULL && g_strcmp0 (stop, reason) != 0)
    g_string_append_printf (why, "; %s stopped tasks: %s", owner, stop);
}

static void
check_dropped (const struct story *story, GString *why)
{
  if (story->n_cut > 0)
    g_string_append_printf (why,
                            "%u lines that name the job are not whole, as "
                            "when a reader mixes the lines of processes",
                            story->n_cut);
  for (guint i = 0; i < story->events->len; i++)
    if (get_event (story, i)->number == EVENT_LOG_LINES_DROPPED)
      {
        g_string_append_printf (why, "%s%s dropped log lines around that time",
                                why->len > 0 ? "; " : "",
                                get_event (story, i)->vm);
        return;
      }
}

static void
check_unknown (const struct story *story, GString *why)
{
  const struct story_event *last = story_find_last (story);

  if (last == NULL)
    g_string_append (why, "no line names the job");
  else
    g_string_append_printf (why,
                            "the last line is '%s' on %s, and none tells why",
                            last->name, last->vm);
}

/* The likeliest first.  The last one always applies.  */
static const struct rule rules[] = {
  { "done", "nothing: the job was answered whole", "", check_done },
  { "no-route", "the desired state has no route for it",
    "correct or publish the routes", check_no_route },
  { "no-owner", "no live VM owned upstreams for it",
    "look at why: a start or the loss of VMs (fleet-started, vm-lost), or a "
    "store that does not answer; the caller may ask again",
    check_no_owner },
  { "leaving", "it came to a VM that was leaving",
    "the caller may ask again; if it repeats, look at why callers still reach "
    "that VM",
    check_leaving },
  { "invalid", "the request was not valid", "correct the caller",
    check_invalid },
  { "turned-away", "turned away for lack of room",
    "if owners had told of room, compare what the job needs with their "
    "upstreams; else add upstreams or lower the load",
    check_turned_away },
  { "home-lost", "lost with its home",
    "look at that VM; the caller may ask "
    "again",
    check_home_lost },
  { "owner-lost", "lost with the owner of the upstreams", "look at that VM",
    check_owner_lost },
  { "hanging-upstream", "an upstream hangs or is slow", "look at the upstream",
    check_hanging },
  { "failed-upstream", "its tasks failed",
    "look at the upstream; if several "
    "failed, at the job's input",
    check_failed },
  { "no-room", "no room in time",
    "if owners had told of room, compare what the job needs with their "
    "upstreams; else add upstreams or lower the load",
    check_no_room },
  { "waited", "late: it waited for room",
    "add upstreams or lower the load; room that was promised and taken by "
    "others shows as many returns",
    check_waited },
  { "slow-run", "late: its tasks ran for longer than estimated",
    "look at the upstream of its longest run; else correct the caller's "
    "estimate",
    check_slow_run },
  { "upstream-gone", "an upstream went away",
    "harmless unless it repeats; look at who removes upstreams",
    check_upstream_gone },
  { "paused", "a VM stood still", "look at the VM's processor and memory",
    check_paused },
  { "owner-silent", "the owner never saw the tasks",
    "give the owner's log if it is missing; else look at the network between "
    "the VMs",
    check_owner_silent },
  { "caller-gone", "the caller went away", "look at the caller's timeout",
    check_caller_gone },
  { "given-up", "given up", "the reason says what was used up",
    check_given_up },
  { "log-gap", "log lines are missing",
    "speed the reader of the logs up, or lower the level", check_dropped },
  { "unknown", "not known from these logs",
    "give the logs of all VMs that the lines name, from 10 minutes after it "
    "too",
    check_unknown },
};

static void
free_cause (gpointer data)
{
  struct explain_cause *cause = data;

  g_free (cause->why);
  g_free (cause);
}

static void
try_rule (const struct story *story, const struct rule *rule,
          GPtrArray *causes)
{
  g_autoptr (GString) why = g_string_new (NULL);
  struct explain_cause *cause;

  rule->check (story, why);
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
explain_cause_find (const struct story *story)
{
  GPtrArray *causes = g_ptr_array_new_with_free_func (free_cause);
  gsize n_rules = G_N_ELEMENTS (rules);

  for (gsize i = 0; i + 1 < n_rules; i++)
    try_rule (story, &rules[i], causes);
  if (causes->len == 0)
    try_rule (story, &rules[n_rules - 1], causes);
  return causes;
}
