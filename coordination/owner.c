#include "coordination/owner_private.h"

/* How long an upstream may hold back the answer to a poll until a run ends. */
#define POLL_WAIT_MS 200

/* When nothing runs, the poll that only acknowledges ended runs is delayed by
   this, so that it can acknowledge further ones too.  */
#define ACK_DELAY_US (25 * USEC_PER_MSEC)

/* How often runs are checked, with and without batches.  */
#define CHECK_INTERVAL_US (20 * USEC_PER_MSEC)
#define IDLE_CHECK_INTERVAL_US (200 * USEC_PER_MSEC)

/* CPUs of a typical task before the first batch.  */
#define INITIAL_TYPICAL_CPUS 4.0

/* A longer time between two calls means that the process was paused: leases
   may have expired, and upstreams may have restarted or have another owner. */
#define PAUSE_THRESHOLD_US (500 * USEC_PER_MSEC)

struct owner *
owner_new (struct owner_driver *driver, const struct owner_limits *limits)
{
  struct owner *owner = g_new0 (struct owner, 1);

  owner->driver = driver;
  owner->limits = *limits;
  owner->typical_cpus = INITIAL_TYPICAL_CPUS;
  owner->upstreams = g_hash_table_new (g_str_hash, g_str_equal);
  list_init (&owner->queue);
  list_init (&owner->batches);
  return owner;
}

static void
free_batches (struct list_node *batches)
{
  while (!list_is_empty (batches))
    batch_free (list_entry (batches->next, struct batch, link));
}

void
owner_free (struct owner *owner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct owned_upstream *upstream = value;

      while (!list_is_empty (&upstream->runs))
        run_free (list_entry (upstream->runs.next, struct run, link));
      upstream->is_removed = TRUE;
      owned_unref (upstream);
    }
  free_batches (&owner->queue);
  free_batches (&owner->batches);
  g_hash_table_unref (owner->upstreams);
  g_free (owner);
}

struct owned_upstream *
owner_find_upstream (struct owner *owner, const char *id)
{
  return g_hash_table_lookup (owner->upstreams, id);
}

struct owned_upstream *
owner_take_upstream (struct owner *owner, const struct listed_upstream *spec,
                     guint64 token, gint64 now_us)
{
  struct owned_upstream *upstream = owner_find_upstream (owner, spec->id);

  if (upstream == NULL)
    {
      upstream = owned_new (spec, token);
      upstream->poll_due_us = now_us;
      g_hash_table_insert (owner->upstreams, upstream->id, upstream);
    }
  else
    owned_update (upstream, spec);
  if (token > upstream->token)
    {
      upstream->token = token;
      /* Another VM may have owned it in between.  */
      owned_mark_stale (upstream, now_us);
    }
  upstream->is_releasing = FALSE;
  if (spec->instance_start_ms != 0 && upstream->instance_start_ms != 0
      && spec->instance_start_ms > upstream->instance_start_ms)
    owner_begin_instance (owner, upstream, spec->instance_start_ms, now_us);
  owner_start_queued (owner, now_us);
  owner_advance (owner, now_us);
  return owner_find_upstream (owner, spec->id);
}

void
owner_release_upstream (struct owner *owner, const char *id, gint64 now_us)
{
  struct owned_upstream *upstream = owner_find_upstream (owner, id);

  if (upstream == NULL)
    return;
  upstream->is_releasing = TRUE;
  owner_finish_release (owner, upstream);
}

void
owner_remove_upstream (struct owner *owner, const char *id, gint64 now_us)
{
  struct owned_upstream *upstream = owner_find_upstream (owner, id);

  if (upstream == NULL)
    return;
  if (upstream->state == OWNED_UNRESPONSIVE)
    owner_note_crash (owner, upstream);
  upstream->is_removed = TRUE;
  g_hash_table_steal (owner->upstreams, id);
  owner_drop_runs (owner, upstream, now_us);
  owner_verify_crashes (owner, upstream, now_us);
  owner->driver->ops->ownership_ended (owner->driver, upstream, FALSE);
  owned_unref (upstream);
  owner_start_queued (owner, now_us);
}

void
owner_foreach_upstream (struct owner *owner,
                        void (*visit) (struct owned_upstream *upstream,
                                       gpointer data),
                        gpointer data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (value, data);
}

/* Adds the tasks in BATCHES for SERVICE, or for all services if that is NULL,
   to ROOM.  */
static void
add_batches (const struct list_node *batches, const char *service,
             struct owner_room *room)
{
  const struct list_node *node;

  for (node = batches->next; node != batches; node = node->next)
    {
      const struct batch *batch = list_entry (node, struct batch, link);

      if (service != NULL && !g_str_equal (batch->service, service))
        continue;
      if (batch->is_late)
        room->n_late += batch_count_waiting (batch);
      else
        room->n_queued[owner_room_priority (batch->priority)]
            += batch_count_waiting (batch);
      room->n_running += batch->n_active;
    }
}

guint
owner_room_priority (guint priority)
{
  return MIN (priority, ROOM_PRIORITIES - 1);
}

guint
owner_room_count_queued (const struct owner_room *room)
{
  guint n = room->n_late;

  for (guint i = 0; i < ROOM_PRIORITIES; i++)
    n += room->n_queued[i];
  return n;
}

/* The rate at which the runs of UPSTREAM are expected to end.  */
static gdouble
estimate_ends_per_s (const struct owned_upstream *upstream)
{
  const struct list_node *node;
  gdouble ends_per_s = 0;

  for (node = upstream->runs.next; node != &upstream->runs; node = node->next)
    {
      const struct run *run = list_entry (node, struct run, link);

      if (run->expected_us > 0)
        ends_per_s += (gdouble)USEC_PER_SEC / (gdouble)run->expected_us;
    }
  return ends_per_s;
}

/* Adds the room of UPSTREAM, which accepts runs, to ROOM.  */
static void
add_room (const struct owner *owner, const struct owned_upstream *upstream,
          struct owner_room *room, gint64 now_us)
{
  gdouble free_cpus = owned_get_free_cpus (upstream);
  guint n_slots = (guint)(upstream->shape.cpus / owner->typical_cpus);
  gboolean is_warming_up = owned_is_warming_up (upstream, now_us);

  room->n_upstreams++;
  room->free_cpus += free_cpus;
  room->total_cpus += upstream->shape.cpus;
  if (!is_warming_up)
    free_slots_add_upstream (&room->free_slots, free_cpus);
  else if (upstream->n_runs == 0 && free_cpus > 0)
    free_slots_add_single (&room->free_slots, free_cpus);
  room->n_slots += is_warming_up ? 1 : MAX (n_slots, 1u);
  for (guint i = 0; i < ROOM_PRIORITIES; i++)
    room->starts_per_s[i] += event_rate_get (&upstream->starts[i], now_us);
  room->ends_per_s += estimate_ends_per_s (upstream);
}

void
owner_get_room (struct owner *owner, const char *service,
                struct owner_room *room, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  struct free_slots trial_slots; /* of those on probation */
  guint n_on_probation = 0;

  *room = (struct owner_room){ 0 };
  free_slots_init (&room->free_slots, owner->typical_cpus);
  free_slots_init (&trial_slots, owner->typical_cpus);
  g_hash_table_iter_init (&iter, owner->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct owned_upstream *upstream = value;

      if (!owned_is_usable (upstream, now_us) || upstream->shape.cpus <= 0
          || (service != NULL && !g_str_equal (upstream->service, service)))
        continue;
      if (!upstream->is_on_probation)
        add_room (owner, upstream, room, now_us);
      n_on_probation += upstream->is_on_probation ? 1 : 0;
      if (upstream->is_on_probation && upstream->n_runs == 0)
        free_slots_add_single (&trial_slots, upstream->shape.cpus);
    }
  /* If all are on probation, each has room for the one run that may end it. */
  if (room->n_slots == 0)
    {
      room->n_slots = n_on_probation;
      room->free_slots = trial_slots;
    }
  add_batches (&owner->queue, service, room);
  add_batches (&owner->batches, service, room);
}

/* How many tasks that need CPUS each would start at once on UPSTREAM.  */
static guint
count_free_slots (const struct owned_upstream *upstream, gdouble cpus,
                  gint64 now_us)
{
  const struct shape need = { .cpus = cpus };
  gdouble free_cpus = upstream->shape.cpus - upstream->used.cpus;

  if (!owned_can_start (upstream, &need, now_us))
    return 0;
  if (upstream->is_on_probation || owned_is_warming_up (upstream, now_us)
      || cpus <= 0)
    return 1;
  return (guint)((free_cpus + CPU_EPSILON) / cpus);
}

guint
owner_count_free_slots (struct owner *owner, const char *service, gdouble cpus,
                        gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, owner->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct owned_upstream *upstream = value;

      if (g_str_equal (upstream->service, service))
        n += count_free_slots (upstream, cpus, now_us);
    }
  return n;
}

/* Polls UPSTREAM if that is due and no poll is in flight.  */
static void
poll_if_due (struct owner *owner, struct owned_upstream *upstream,
             gint64 now_us)
{
  gboolean has_runs = !list_is_empty (&upstream->runs);
  gint64 until_ms = 0;
  guint wait_ms = 0;

  if (upstream->is_polling || upstream->poll_due_us > now_us)
    return;
  if (!has_runs && upstream->state == OWNED_HELD
      && upstream->last_ended_entry > upstream->acked_ended_entry
      && upstream->last_end_us + ACK_DELAY_US > now_us)
    {
      upstream->poll_due_us = upstream->last_end_us + ACK_DELAY_US;
      return;
    }
  /* A renewal would also prolong the runs of a former owner, which expects
     them to end.  */
  if (has_runs && upstream->n_foreign == 0 && upstream->clock_read_us != 0
      && !owned_is_stale (upstream)
      && upstream->n_unanswered_polls < OWNED_MAX_UNANSWERED_POLLS)
    until_ms = owner_get_lease_end_ms (owner, upstream, NULL, now_us);
  if (until_ms <= upstream->leased_until_ms)
    until_ms = 0;
  if (has_runs && upstream->state == OWNED_HELD && upstream->n_foreign == 0
      && !owner_expects_news (upstream, now_us))
    wait_ms = POLL_WAIT_MS;
  upstream->leased_until_ms = MAX (upstream->leased_until_ms, until_ms);
  upstream->is_poll_held = wait_ms > 0;
  upstream->is_polling = TRUE;
  upstream->polled_us = now_us;
  upstream->poll_due_us = DEADLINE_NEVER;
  upstream->n_polls++;
  upstream->reported_ended_entry = upstream->last_ended_entry;
  owner->driver->ops->poll (owner->driver, upstream, until_ms, wait_ms);
}

gboolean
owner_was_paused_since (const struct owner *owner, gint64 since_us,
                        gint64 now_us)
{
  if (owner->last_call_us == 0)
    return FALSE;
  return owner->paused_us > since_us
         || now_us - owner->last_call_us > PAUSE_THRESHOLD_US;
}

void
owner_detect_pause (struct owner *owner, gint64 now_us)
{
  gint64 since_us = now_us - owner->last_call_us;
  GHashTableIter iter;
  gpointer value;

  if (owner->last_call_us == 0)
    since_us = 0;
  owner->last_call_us = now_us;
  if (since_us <= PAUSE_THRESHOLD_US)
    return;
  owner->paused_us = now_us;
  g_hash_table_iter_init (&iter, owner->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    owned_mark_stale (value, now_us);
}

static GPtrArray *
list_upstreams (struct owner *owner)
{
  GPtrArray *upstreams
      = g_ptr_array_new_with_free_func ((GDestroyNotify)owned_unref);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (upstreams, owned_ref (value));
  return upstreams;
}

static void
check_all_runs (struct owner *owner, gint64 now_us)
{
  g_autoptr (GPtrArray) upstreams = list_upstreams (owner);

  for (guint i = 0; i < upstreams->len; i++)
    {
      struct owned_upstream *upstream = g_ptr_array_index (upstreams, i);

      if (!upstream->is_removed)
        owner_check_runs (owner, upstream, now_us);
      if (!upstream->is_removed)
        owner_finish_release (owner, upstream);
    }
  owner_apply_crash_limits (owner, now_us);
  owner_stop_unconfirmed (owner, now_us);
  owner_expire_batches (owner, now_us);
  owner_start_queued (owner, now_us);
}

static gboolean
is_busy (const struct owner *owner)
{
  return !list_is_empty (&owner->queue) || !list_is_empty (&owner->batches);
}

void
owner_advance (struct owner *owner, gint64 now_us)
{
  gint64 wake_us
      = now_us
        + (is_busy (owner) ? CHECK_INTERVAL_US : IDLE_CHECK_INTERVAL_US);
  GHashTableIter iter;
  gpointer value;

  owner_detect_pause (owner, now_us);
  if (now_us - owner->runs_checked_us >= CHECK_INTERVAL_US)
    {
      owner->runs_checked_us = now_us;
      check_all_runs (owner, now_us);
    }
  g_hash_table_iter_init (&iter, owner->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct owned_upstream *upstream = value;

      owner_check_starts (upstream, now_us);
      poll_if_due (owner, upstream, now_us);
      wake_us = MIN (wake_us, upstream->start_check_us);
      /* One that is being polled is polled again after its answer.  */
      if (!upstream->is_polling)
        wake_us = MIN (wake_us, MAX (upstream->poll_due_us, now_us + 1));
    }
  wake_us
      = MIN (wake_us, owner->runs_checked_us + CHECK_INTERVAL_US
                          + (is_busy (owner) ? 0 : IDLE_CHECK_INTERVAL_US));
  if (wake_us == owner->wake_us)
    return;
  owner->wake_us = wake_us;
  owner->driver->ops->wake_at (owner->driver, wake_us);
}
