/*
 * Divides the shards of a zone by the capacity of its VMs; see ownership.h.
 */
#include "coordination/ownership_private.h"

#include "base/hash64.h"

/* Capacities that differ by less than this count as equal, and the shards are
   divided evenly.  */
#define UNIFORM_PERCENT 110

/* A request by capacity must improve the balance by at least this much, so
   that two VMs with nearly the same need do not exchange shards.  120 would
   leave two shards each with eight VMs of which one has lost half of its
   capacity.  */
#define BALANCE_PERCENT 115

/* Shards that peers may be about to release to this VM at a time.  */
#define MAX_GRANTS 2

/* Requests by capacity are at least this far apart: the timeout of a
   request.  */
#define BALANCE_INTERVAL_US (300 * G_GINT64_CONSTANT (1000))

/* A peer is in doubt, and not asked by capacity, until it has been up for
   PEER_SETTLE_US, for CAPACITY_SETTLE_US after its capacity has changed, and
   when its last beacon is older than BEACON_OVERDUE_US.  Beacons are 150 ms
   apart at most, so two are missing then.  */
#define PEER_SETTLE_US (2000 * G_GINT64_CONSTANT (1000))
#define CAPACITY_SETTLE_US (200 * G_GINT64_CONSTANT (1000))
#define BEACON_OVERDUE_US (300 * G_GINT64_CONSTANT (1000))

/* A VM lets a peer that needs a shard more ask first, for this long at most:
   that peer may be unable to ask.  */
#define MAX_BLOCKED_US (5000 * G_GINT64_CONSTANT (1000))

/* How long the VM that a shard is assigned to leaves it to another VM after a
   live peer has released it.  Covers two beacons and their way.  */
#define HANDOVER_US (500 * G_GINT64_CONSTANT (1000))

/* A VM that does not divide by capacity takes a shard that is assigned to it
   as soon as it is free, so where there may be one, a VM that was granted a
   shard waits to hear of it.  */
#define UNKNOWN_CAPACITY_WAIT_US (250 * G_GINT64_CONSTANT (1000))

/* A grant is void after this: the last run of an upstream may take several
   seconds to end, but not this long.  */
#define GRANT_TIMEOUT_US (30000 * G_GINT64_CONSTANT (1000))

/* A VM asks again for a granted shard that is still held: the holder may have
   taken it again while this VM was cut off.  */
#define GRANT_CHECK_US (2000 * G_GINT64_CONSTANT (1000))

/* Keeps products of capacities and numbers of shards within 64 bits.  */
#define MAX_CAPACITY 1000000u

void
ownership_share_by_capacity (struct ownership *ownership)
{
  ownership->is_by_capacity = TRUE;
}

void
ownership_set_platform_reached (struct ownership *ownership,
                                gboolean is_reached)
{
  ownership->is_platform_reached = is_reached;
}

void
ownership_defer_balance (struct ownership *o, gint64 until_us)
{
  o->balance_from_us = MAX (o->balance_from_us, until_us);
}

/* Known capacities, summed up.  */
struct capacity_sum
{
  guint64 sum;
  guint n;
  guint min;
  guint max;
};

static void
add_capacity (struct capacity_sum *sum, guint capacity)
{
  if (capacity == 0)
    return;
  sum->min = sum->n > 0 ? MIN (sum->min, capacity) : capacity;
  sum->max = MAX (sum->max, capacity);
  sum->sum += capacity;
  sum->n++;
}

void
ownership_update_average (struct ownership *o, gint64 now_us)
{
  struct capacity_sum sum = { 0 };
  GHashTableIter iter;
  gpointer value;

  o->average_capacity = 0;
  o->has_unknown_capacity = FALSE;
  if (!o->is_by_capacity)
    return;
  add_capacity (&sum, o->capacity);
  g_hash_table_iter_init (&iter, o->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ownership_peer *peer = value;

      if (peer->is_leaving || !ownership_peer_is_heard (peer, now_us))
        continue;
      add_capacity (&sum, peer->capacity);
      o->has_unknown_capacity |= peer->capacity == 0;
    }
  if ((guint64)sum.max * 100 > (guint64)sum.min * UNIFORM_PERCENT)
    o->average_capacity = (guint)(sum.sum / sum.n);
}

void
ownership_set_capacity (struct ownership *ownership, guint milli_cores,
                        gint64 now_us)
{
  ownership->capacity = MIN (milli_cores, MAX_CAPACITY);
  ownership_update_average (ownership, now_us);
}

/* The shards that PEER has granted are void.  */
static void
drop_grants (struct ownership *o, const struct ownership_peer *peer)
{
  for (guint i = 0; i < OWNERSHIP_MAX_SHARDS; i++)
    if (o->shards[i].granted_by == peer->name_hash)
      o->shards[i].granted_by = 0;
}

void
ownership_update_peer_capacity (struct ownership *ownership, const char *peer,
                                guint64 incarnation, guint milli_cores,
                                gint64 now_us)
{
  guint capacity = MIN (milli_cores, MAX_CAPACITY);
  struct ownership_peer *sender;

  if (!ownership->is_by_capacity || g_str_equal (peer, ownership->vm))
    return;
  ownership_update_time (ownership, now_us);
  sender = ownership_ensure_peer (ownership, peer);
  if (sender->incarnation != incarnation)
    {
      drop_grants (ownership, sender);
      sender->held = 0;
    }
  if (sender->incarnation != incarnation
      || !ownership_peer_is_heard (sender, now_us))
    sender->up_since_us = now_us;
  sender->incarnation = incarnation;
  if (sender->capacity == capacity)
    return;
  sender->capacity = capacity;
  sender->capacity_since_us = now_us;
}

/* CAPACITY, or the average where it is not known; 1 for all VMs while shards
   are divided evenly.  */
static guint64
get_weight (const struct ownership *o, guint capacity)
{
  if (o->average_capacity == 0)
    return 1;
  return capacity != 0 ? capacity : o->average_capacity;
}

/* Whether the move of a shard improves the balance to PERCENT of what it
   was.  */
static gboolean
improves_balance (const struct ownership *o, guint n_from, guint capacity_from,
                  guint n_to, guint capacity_to, guint percent)
{
  guint64 from = get_weight (o, capacity_from);
  guint64 to = get_weight (o, capacity_to);

  return n_from > 0
         && (n_from * G_GUINT64_CONSTANT (2) - 1) * to * 100
                > (n_to * G_GUINT64_CONSTANT (2) + 1) * from * percent;
}

gboolean
ownership_is_fair_yield (const struct ownership *o, guint n_from,
                         guint capacity_from, guint n_to, guint capacity_to)
{
  return improves_balance (o, n_from, capacity_from, n_to, capacity_to, 100);
}

gboolean
ownership_may_yield (const struct ownership *o, guint number, guint n_held,
                     guint capacity)
{
  guint n_own
      = ownership_count_bits (ownership_get_shards_in_state (o, SHARD_HELD));
  gboolean is_assigned = (o->assigned & ownership_shard_bit (number)) != 0;

  /* Only a request by capacity is for a shard that is assigned to this VM.
     Several VMs may have asked this one by the same beacon.  */
  return improves_balance (
      o, n_own, o->capacity, n_held, capacity,
      is_assigned && o->average_capacity != 0 ? BALANCE_PERCENT : 100);
}

guint
ownership_count_grants (const struct ownership *o)
{
  guint n = 0;

  for (guint i = 0; i < OWNERSHIP_MAX_SHARDS; i++)
    n += o->shards[i].granted_by != 0 ? 1 : 0;
  return n;
}

gboolean
ownership_handle_yield_reply (struct ownership *ownership, const char *peer,
                              guint shard, gboolean is_granted, gint64 now_us)
{
  guint64 name_hash = hash64_string (peer);
  struct shard *s;

  if (!ownership->is_by_capacity || shard >= OWNERSHIP_MAX_SHARDS)
    return FALSE;
  ownership_update_time (ownership, now_us);
  s = &ownership->shards[shard];
  if (!is_granted && s->granted_by == name_hash)
    s->granted_by = 0;
  if (!is_granted || s->granted_by == name_hash || s->state != SHARD_FREE
      || ownership->is_leaving)
    return FALSE;
  s->granted_by = name_hash;
  s->granted_us = now_us;
  s->free_from_us = 0;
  /* The VM that it is assigned to need not wait for anyone else.  */
  s->retake_delay_us = 0;
  s->retake_from_us = now_us;
  return TRUE;
}

void
ownership_note_drops (struct ownership *o, const struct ownership_peer *peer,
                      guint64 dropped, gint64 now_us)
{
  if (o->average_capacity == 0 || peer->is_leaving)
    return;
  for (guint i = 0; i < OWNERSHIP_MAX_SHARDS; i++)
    if ((dropped & ownership_shard_bit (i)) != 0
        && o->shards[i].granted_by == 0)
      o->shards[i].retake_from_us
          = MAX (o->shards[i].retake_from_us, now_us + HANDOVER_US);
}

static const struct ownership_peer *
find_peer_by_hash (struct ownership *o, guint64 name_hash)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, o->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct ownership_peer *)value)->name_hash == name_hash)
      return value;
  return NULL;
}

/* Whether SHARD, which a peer has granted, may still become this VM's: that
   peer is live, and releases it or has just done so.  */
static gboolean
is_grant_valid (struct ownership *o, guint number, gint64 now_us)
{
  const struct shard *shard = &o->shards[number];
  const struct ownership_peer *peer = find_peer_by_hash (o, shard->granted_by);
  const struct ownership_peer *holder
      = ownership_find_holder (o, number, now_us);

  return !o->is_leaving && shard->state == SHARD_FREE && peer != NULL
         && ownership_peer_is_heard (peer, now_us) && !peer->is_leaving
         && shard->granted_us + GRANT_TIMEOUT_US > now_us
         && (holder == NULL || holder == peer);
}

/* Asks again for a granted shard that HOLDER has not released yet.  */
static void
check_grant (struct ownership *o, guint number,
             const struct ownership_peer *holder, gint64 now_us)
{
  struct shard *shard = &o->shards[number];

  if (now_us
      < MAX (shard->granted_us, shard->yield_requested_us) + GRANT_CHECK_US)
    return;
  shard->yield_requested_us = now_us;
  o->driver->ops->request_yield (o->driver, holder->name, number);
}

static void
take_if_free (struct ownership *o, guint number, gint64 now_us)
{
  struct shard *shard = &o->shards[number];
  gint64 wait_us = o->has_unknown_capacity ? UNKNOWN_CAPACITY_WAIT_US : 0;
  const struct ownership_peer *holder
      = ownership_find_holder (o, number, now_us);

  if (holder != NULL)
    check_grant (o, number, holder, now_us);
  /* Assigned shards are claimed by the assignment, not by the grant.  */
  if (holder != NULL || (o->assigned & ownership_shard_bit (number)) != 0)
    return;
  if (shard->free_from_us == 0)
    shard->free_from_us = now_us;
  if (now_us >= shard->free_from_us + wait_us)
    ownership_take_shard (o, number);
}

void
ownership_take_granted (struct ownership *o, gint64 now_us)
{
  if (!o->is_by_capacity)
    return;
  for (guint i = 0; i < OWNERSHIP_MAX_SHARDS; i++)
    {
      if (o->shards[i].granted_by == 0)
        continue;
      if (is_grant_valid (o, i, now_us))
        take_if_free (o, i, now_us);
      else
        o->shards[i].granted_by = 0;
    }
}

/* Whether what is known of PEER is good enough to move shards by it.  */
static gboolean
is_settled (const struct ownership_peer *peer, gint64 now_us)
{
  return peer->capacity != 0 && !peer->is_leaving
         && peer->heard_us + BEACON_OVERDUE_US > now_us
         && peer->up_since_us + PEER_SETTLE_US <= now_us
         && peer->capacity_since_us + CAPACITY_SETTLE_US <= now_us;
}

/* Whether a known peer has the same name bits in its tokens: in one
   generation, only the VM that a shard is assigned to may use them.  */
static gboolean
has_name_bits_collision (struct ownership *o)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, o->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ownership_peer *peer = value;

      if (ownership_get_name_bits (peer->name_hash) == o->name_bits)
        return TRUE;
    }
  return FALSE;
}

static gboolean
is_balance_due (struct ownership *o, gint64 now_us)
{
  return o->average_capacity != 0 && o->capacity != 0 && !o->is_leaving
         && o->is_platform_reached && now_us >= o->balance_from_us
         && now_us >= o->balance_requested_us + BALANCE_INTERVAL_US
         && ownership_get_shards_in_state (o, SHARD_RELEASING) == 0
         && ownership_count_grants (o) < MAX_GRANTS
         && !has_name_bits_collision (o);
}

/* The peer that has the most shards for its capacity, if it should yield one
   to this VM, which has N_HELD, else NULL.  */
static struct ownership_peer *
find_donor (struct ownership *o, guint n_held, gint64 now_us)
{
  struct ownership_peer *found = NULL;
  gdouble most = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, o->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ownership_peer *peer = value;
      guint n = ownership_count_bits (peer->held);
      gdouble load = (n - 0.5) / MAX (peer->capacity, 1);

      if (!is_settled (peer, now_us) || load <= most
          || !improves_balance (o, n, peer->capacity, n_held, o->capacity,
                                BALANCE_PERCENT))
        continue;
      found = peer;
      most = load;
    }
  return found;
}

/* Whether a peer would have fewer shards for its capacity, with one more, than
   this VM, which has N_HELD.  */
static gboolean
is_peer_needier (struct ownership *o, guint n_held, gint64 now_us)
{
  gdouble need = (n_held + 0.5) / o->capacity;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, o->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ownership_peer *peer = value;
      guint n = ownership_count_bits (peer->held);

      if (is_settled (peer, now_us) && (n + 0.5) / peer->capacity < need)
        return TRUE;
    }
  return FALSE;
}

/* Whether this VM still lets a needier peer ask first.  */
static gboolean
is_blocked (struct ownership *o, guint n_held, gint64 now_us)
{
  if (!is_peer_needier (o, n_held, now_us))
    return FALSE;
  if (o->balance_blocked_us == 0)
    o->balance_blocked_us = now_us;
  return now_us < o->balance_blocked_us + MAX_BLOCKED_US;
}

/* The shard of DONOR to ask for: one that is assigned to this VM, or one that
   differs from VM to VM and from request to request.  OWNERSHIP_MAX_SHARDS if
   all were asked for a moment ago.  */
static guint
choose_shard (const struct ownership *o, const struct ownership_peer *donor,
              gint64 now_us)
{
  guint64 first = o->name_bits + o->n_balance_requests;
  guint64 assigned = donor->held & o->assigned;
  guint64 choice = assigned != 0 ? assigned : donor->held;

  for (guint i = 0; i < OWNERSHIP_MAX_SHARDS; i++)
    {
      guint shard = (guint)((first + i) % OWNERSHIP_MAX_SHARDS);

      if ((choice & ownership_shard_bit (shard)) != 0
          && !ownership_is_yield_requested (o, shard, now_us))
        return shard;
    }
  return OWNERSHIP_MAX_SHARDS;
}

void
ownership_balance (struct ownership *o, gint64 now_us)
{
  guint n_held = ownership_count_claimed (o);
  struct ownership_peer *donor;
  guint shard;

  ownership_update_average (o, now_us);
  if (!is_balance_due (o, now_us))
    return;
  donor = find_donor (o, n_held, now_us);
  if (donor == NULL)
    o->balance_blocked_us = 0;
  if (donor == NULL || is_blocked (o, n_held, now_us))
    return;
  shard = choose_shard (o, donor, now_us);
  if (shard == OWNERSHIP_MAX_SHARDS)
    return;
  o->balance_blocked_us = 0;
  o->balance_requested_us = now_us;
  o->n_balance_requests++;
  o->shards[shard].yield_requested_us = now_us;
  o->driver->ops->request_yield (o->driver, donor->name, shard);
}
