#include "coordination/ownership_private.h"

#include "base/hash64.h"

#include <string.h>

/* Widths of the fields of a token, from the lowest bits on.  */
#define NAME_BITS OWNERSHIP_NAME_BITS
#define RAISE_BITS 8
#define GENERATION_BITS 35

/* A VM that has just started listens for this long before it takes a shard. */
#define STARTUP_LISTEN_US (OWNERSHIP_PEER_TIMEOUT_US / 2)

/* After the start, shards are taken when the assignment has not changed for
   ASSIGNMENT_SETTLE_US, or MAX_SETTLE_US after the start.  When all VMs of a
   zone start at once, the first to join is assigned all shards, and would have
   to hand most of them over again, with nothing started on them until all runs
   there have ended.  */
#define ASSIGNMENT_SETTLE_US (250 * G_GINT64_CONSTANT (1000))
#define MAX_SETTLE_US (500 * G_GINT64_CONSTANT (1000))

/* A longer time between two calls means that this VM was paused: its peers
   could not be heard meanwhile.  */
#define PAUSE_THRESHOLD_US (400 * G_GINT64_CONSTANT (1000))

/* How long a shard that was yielded or fenced must be free before this VM
   takes it again.  */
#define RETAKE_DELAY_US (1000 * G_GINT64_CONSTANT (1000))

/* When two VMs hold a shard, they wait for this long for an upstream to refuse
   one of their tokens.  */
#define CONFLICT_TIMEOUT_US OWNERSHIP_PEER_TIMEOUT_US

/* A VM asks for no shard by capacity for this long after its start or a pause,
   after a new assignment, and after it was fenced.  An upstream may refuse the
   token of a VM that knows an older generation than the former holder, so
   assignments, renewed every few hundred milliseconds, must have settled.  */
#define BALANCE_SETTLE_US (2000 * G_GINT64_CONSTANT (1000))
#define BALANCE_ASSIGNED_US (1000 * G_GINT64_CONSTANT (1000))
#define BALANCE_FENCED_US (10000 * G_GINT64_CONSTANT (1000))

/* A peer that was not heard for this long is removed.  */
#define OWNERSHIP_PEER_FORGET_US (100 * OWNERSHIP_PEER_TIMEOUT_US)

static void
peer_free (gpointer data)
{
  struct ownership_peer *peer = data;

  g_free (peer->name);
  g_free (peer);
}

guint64
ownership_get_name_bits (guint64 name_hash)
{
  return MAX (name_hash >> (64 - NAME_BITS), 1);
}

struct ownership *
ownership_new (struct ownership_driver *driver, const char *vm)
{
  struct ownership *o = g_new0 (struct ownership, 1);

  o->driver = driver;
  o->vm = g_strdup (vm);
  o->name_bits = ownership_get_name_bits (hash64_string (vm));
  o->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  return o;
}

void
ownership_free (struct ownership *ownership)
{
  g_hash_table_unref (ownership->peers);
  g_free (ownership->vm);
  g_free (ownership);
}

guint64
ownership_shard_bit (guint shard)
{
  return G_GUINT64_CONSTANT (1) << shard;
}

guint
ownership_count_bits (guint64 bits)
{
  guint n = 0;

  for (; bits != 0; bits &= bits - 1)
    n++;
  return n;
}

guint64
ownership_get_shards_in_state (const struct ownership *o,
                               enum shard_state state)
{
  guint64 bits = 0;

  for (guint i = 0; i < OWNERSHIP_MAX_SHARDS; i++)
    if (o->shards[i].state == state)
      bits |= ownership_shard_bit (i);
  return bits;
}

gboolean
ownership_peer_is_heard (const struct ownership_peer *peer, gint64 now_us)
{
  return peer->heard_us + OWNERSHIP_PEER_TIMEOUT_US > now_us;
}

/* Extends the timeouts of the peers that were live before a pause, so that
   they can be heard again.  Does so once for each peer until it is heard.  */
static void
extend_peer_timeouts (struct ownership *o, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, o->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ownership_peer *peer = value;

      if (peer->is_timeout_extended
          || !ownership_peer_is_heard (peer, o->now_us))
        continue;
      peer->is_timeout_extended = TRUE;
      peer->heard_us = MAX (peer->heard_us, now_us - OWNERSHIP_PEER_TIMEOUT_US
                                                + STARTUP_LISTEN_US);
    }
}

void
ownership_update_time (struct ownership *o, gint64 now_us)
{
  if (!o->has_started)
    {
      o->has_started = TRUE;
      o->listen_until_us = now_us + STARTUP_LISTEN_US;
      o->settle_end_us = now_us + MAX_SETTLE_US;
      ownership_defer_balance (o, now_us + BALANCE_SETTLE_US);
    }
  else if (now_us - o->now_us > PAUSE_THRESHOLD_US)
    {
      extend_peer_timeouts (o, now_us);
      ownership_defer_balance (o, now_us + BALANCE_SETTLE_US);
    }
  o->now_us = MAX (o->now_us, now_us);
}

static void
forget_peers (struct ownership *o, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, o->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ownership_peer *peer = value;

      if (peer->heard_us + OWNERSHIP_PEER_FORGET_US <= now_us)
        g_hash_table_iter_remove (&iter);
    }
}

struct ownership_peer *
ownership_find_holder (struct ownership *o, guint shard, gint64 now_us)
{
  struct ownership_peer *found = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, o->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ownership_peer *peer = value;

      if ((peer->held & ownership_shard_bit (shard)) == 0
          || !ownership_peer_is_heard (peer, now_us))
        continue;
      if (found == NULL
          || ownership_count_bits (peer->held)
                 > ownership_count_bits (found->held))
        found = peer;
    }
  return found;
}

static guint64
make_token (const struct ownership *o)
{
  guint64 generation
      = MIN (o->generation, (G_GUINT64_CONSTANT (1) << GENERATION_BITS) - 1);

  return generation << (RAISE_BITS + NAME_BITS) | o->name_bits;
}

/* A token of this VM that is N_RAISES raises higher than TOKEN, and not lower
   than one of the present generation.  */
static guint64
raise_token (const struct ownership *o, guint64 token, guint n_raises)
{
  guint64 raised
      = ((token >> NAME_BITS) + n_raises) << NAME_BITS | o->name_bits;

  return MAX (raised, make_token (o));
}

/* Shards that move by capacity may have been raised often in one generation
   by VMs that this one does not hear of, so the raises double.  Once a token
   is high enough for one upstream, it is tried on the others.  */
static guint64
raise_quickly (const struct ownership *o, struct shard *shard, guint64 token)
{
  if (token < shard->highest_token)
    return shard->highest_token;
  shard->n_raises++;
  return raise_token (o, token, 1u << MIN (shard->n_raises - 1, RAISE_BITS));
}

guint64
ownership_raise (struct ownership *ownership, guint shard, guint64 token)
{
  guint64 raised = raise_token (ownership, token, 1);
  struct shard *s;

  g_return_val_if_fail (shard < OWNERSHIP_MAX_SHARDS, raised);
  s = &ownership->shards[shard];
  if (ownership->is_by_capacity)
    raised = raise_quickly (ownership, s, token);
  s->highest_token = MAX (s->highest_token, raised);
  return raised;
}

void
ownership_take_shard (struct ownership *o, guint number)
{
  struct shard *shard = &o->shards[number];
  guint64 token = make_token (o);

  if (token <= shard->highest_token)
    token = raise_token (o, shard->highest_token, 1);
  shard->token = token;
  shard->highest_token = token;
  shard->state = SHARD_HELD;
  shard->retake_delay_us = 0;
  shard->conflict_since_us = 0;
  shard->yielded_to = 0;
  shard->granted_by = 0;
  shard->n_raises = 0;
  o->driver->ops->take_shard (o->driver, number, token);
}

/* Releases a shard, which may be taken again after it was free for
   RETAKE_DELAY_US, 0 for at once.  */
static void
release_shard (struct ownership *o, guint number, gint64 retake_delay_us)
{
  struct shard *shard = &o->shards[number];

  shard->retake_delay_us = retake_delay_us;
  shard->yielded_to = 0;
  shard->state = SHARD_RELEASING;
  o->driver->ops->release_shard (o->driver, number);
}

gboolean
ownership_is_yield_requested (const struct ownership *o, guint number,
                              gint64 now_us)
{
  gint64 yield_requested_us = o->shards[number].yield_requested_us;

  return yield_requested_us != 0
         && yield_requested_us + OWNERSHIP_YIELD_RETRY_US > now_us;
}

/* Asks PEER to yield the shard NUMBER, unless that was done a moment ago, or
   PEER would refuse once it has yielded the others that it was asked for.
   Counts the shard in *N_HELD when PEER is asked.  */
static void
request_yield_if_due (struct ownership *o, struct ownership_peer *peer,
                      guint number, guint *n_held, gint64 now_us)
{
  guint n_peer_held = ownership_count_bits (peer->held);
  guint n_left = n_peer_held - MIN (n_peer_held, peer->n_yield_requests);

  if (o->shards[number].granted_by != 0
      || ownership_is_yield_requested (o, number, now_us))
    return;
  if (!peer->is_leaving
      && !ownership_is_fair_yield (o, n_left, peer->capacity, *n_held,
                                   o->capacity))
    return;
  o->shards[number].yield_requested_us = now_us;
  peer->n_yield_requests++;
  (*n_held)++;
  o->driver->ops->request_yield (o->driver, peer->name, number);
}

/* Counts the recent requests to yield shards of WANTED that peers may still
   grant, for each peer.  Returns the total.  */
static guint
count_yield_requests (struct ownership *o, guint64 wanted, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, o->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct ownership_peer *)value)->n_yield_requests = 0;
  for (guint i = 0; i < OWNERSHIP_MAX_SHARDS; i++)
    {
      struct ownership_peer *peer;

      if ((wanted & ownership_shard_bit (i)) == 0
          || o->shards[i].granted_by != 0
          || !ownership_is_yield_requested (o, i, now_us))
        continue;
      peer = ownership_find_holder (o, i, now_us);
      if (peer != NULL)
        peer->n_yield_requests++;
      n++;
    }
  return n;
}

/* Takes the shards that are assigned and not held, or asks their holders to
   yield them.  */
static void
claim_assigned_shards (struct ownership *o, gint64 now_us)
{
  guint64 held = ownership_get_held (o);
  guint64 wanted = o->is_leaving ? 0 : o->assigned & ~held;
  guint n_held;

  if (wanted == 0)
    return;
  n_held
      = ownership_count_claimed (o) + count_yield_requests (o, wanted, now_us);
  for (guint i = 0; i < OWNERSHIP_MAX_SHARDS; i++)
    {
      struct shard *shard = &o->shards[i];
      struct ownership_peer *holder;

      if ((wanted & ownership_shard_bit (i)) == 0)
        continue;
      holder = ownership_find_holder (o, i, now_us);
      if (holder != NULL)
        {
          shard->retake_from_us = now_us + shard->retake_delay_us;
          request_yield_if_due (o, holder, i, &n_held, now_us);
        }
      else if (now_us >= MAX (o->listen_until_us, shard->retake_from_us)
               && now_us >= o->settled_from_us)
        {
          ownership_take_shard (o, i);
          n_held++;
        }
    }
}

gboolean
ownership_is_acquiring (struct ownership *ownership, gint64 now_us)
{
  guint64 wanted = ownership->assigned & ~ownership_get_held (ownership);

  if (ownership->is_leaving)
    return FALSE;
  for (guint i = 0; i < OWNERSHIP_MAX_SHARDS; i++)
    if ((wanted & ownership_shard_bit (i)) != 0
        && ownership_find_holder (ownership, i, now_us) == NULL)
      return TRUE;
  return FALSE;
}

/* Releases a shard that a peer holds too, if it is not assigned to this VM.
   If it is assigned to neither VM, the one with the lower name waits twice as
   long, so that only one of them releases it.  */
static void
resolve_conflict (struct ownership *o, guint number, gint64 now_us)
{
  struct shard *shard = &o->shards[number];
  struct ownership_peer *other = ownership_find_holder (o, number, now_us);
  gint64 timeout_us = CONFLICT_TIMEOUT_US;

  if (other == NULL || other->is_leaving)
    {
      shard->conflict_since_us = 0;
      return;
    }
  if (shard->conflict_since_us == 0)
    shard->conflict_since_us = now_us;
  if (strcmp (o->vm, other->name) < 0)
    timeout_us *= 2;
  if ((o->assigned & ownership_shard_bit (number)) == 0
      && shard->conflict_since_us + timeout_us <= now_us)
    release_shard (o, number, RETAKE_DELAY_US);
}

void
ownership_advance (struct ownership *ownership, gint64 now_us)
{
  guint64 held = ownership_get_shards_in_state (ownership, SHARD_HELD);

  ownership_update_time (ownership, now_us);
  for (guint i = 0; i < OWNERSHIP_MAX_SHARDS; i++)
    if ((held & ownership_shard_bit (i)) != 0)
      resolve_conflict (ownership, i, now_us);
  claim_assigned_shards (ownership, now_us);
  ownership_take_granted (ownership, now_us);
  ownership_balance (ownership, now_us);
  forget_peers (ownership, now_us);
}

void
ownership_assign (struct ownership *ownership, guint64 generation,
                  const guint *shards, guint n_shards, gint64 now_us)
{
  guint64 assigned = 0;

  ownership_update_time (ownership, now_us);
  if (generation < ownership->generation)
    return;
  if (generation != ownership->generation)
    ownership_defer_balance (ownership, now_us + BALANCE_ASSIGNED_US);
  ownership->generation = generation;
  for (guint i = 0; i < n_shards; i++)
    if (shards[i] < OWNERSHIP_MAX_SHARDS)
      assigned |= ownership_shard_bit (shards[i]);
  if (assigned != ownership->assigned)
    ownership->settled_from_us
        = MIN (now_us + ASSIGNMENT_SETTLE_US, ownership->settle_end_us);
  ownership->assigned = assigned;
  claim_assigned_shards (ownership, now_us);
}

struct ownership_peer *
ownership_ensure_peer (struct ownership *o, const char *name)
{
  struct ownership_peer *peer = g_hash_table_lookup (o->peers, name);

  if (peer == NULL)
    {
      peer = g_new0 (struct ownership_peer, 1);
      peer->name = g_strdup (name);
      peer->name_hash = hash64_string (name);
      g_hash_table_insert (o->peers, peer->name, peer);
    }
  return peer;
}

void
ownership_update_peer (struct ownership *ownership, const char *peer,
                       guint64 held, gboolean is_leaving, gint64 now_us)
{
  struct ownership_peer *sender;
  guint64 dropped;
  gboolean has_changed;

  ownership_update_time (ownership, now_us);
  if (g_str_equal (peer, ownership->vm))
    return;
  sender = ownership_ensure_peer (ownership, peer);
  has_changed = sender->held != held;
  dropped = sender->held & ~held;
  sender->held = held;
  sender->is_leaving = is_leaving;
  sender->is_timeout_extended = FALSE;
  sender->heard_us = now_us;
  ownership_update_average (ownership, now_us);
  ownership_note_drops (ownership, sender, dropped, now_us);
  if (!has_changed)
    return;
  claim_assigned_shards (ownership, now_us);
  ownership_take_granted (ownership, now_us);
}

gboolean
ownership_handle_yield_request (struct ownership *ownership, const char *peer,
                                guint shard, guint n_held, gint64 now_us)
{
  const struct ownership_peer *requester
      = g_hash_table_lookup (ownership->peers, peer);
  guint64 name_hash = hash64_string (peer);

  ownership_update_time (ownership, now_us);
  if (shard >= OWNERSHIP_MAX_SHARDS || g_str_equal (peer, ownership->vm))
    return FALSE;
  if (ownership->shards[shard].state != SHARD_HELD)
    return ownership->shards[shard].yielded_to == name_hash;
  if (!ownership_may_yield (ownership, shard, n_held,
                            requester != NULL ? requester->capacity : 0))
    return FALSE;
  release_shard (ownership, shard, RETAKE_DELAY_US);
  ownership->shards[shard].yielded_to = name_hash;
  return TRUE;
}

void
ownership_released (struct ownership *ownership, guint shard, gint64 now_us)
{
  struct shard *s;

  g_return_if_fail (shard < OWNERSHIP_MAX_SHARDS);
  s = &ownership->shards[shard];
  ownership_update_time (ownership, now_us);
  if (s->state != SHARD_RELEASING)
    return;
  s->state = SHARD_FREE;
  s->retake_from_us = now_us + s->retake_delay_us;
}

void
ownership_fenced (struct ownership *ownership, guint shard, gint64 now_us)
{
  struct shard *s;

  g_return_if_fail (shard < OWNERSHIP_MAX_SHARDS);
  s = &ownership->shards[shard];
  ownership_update_time (ownership, now_us);
  s->retake_delay_us = RETAKE_DELAY_US;
  s->retake_from_us = now_us + RETAKE_DELAY_US;
  ownership_defer_balance (ownership, now_us + BALANCE_FENCED_US);
  if (s->state == SHARD_HELD)
    release_shard (ownership, shard, RETAKE_DELAY_US);
}

void
ownership_leave (struct ownership *ownership, gint64 now_us)
{
  ownership_update_time (ownership, now_us);
  ownership->is_leaving = TRUE;
  for (guint i = 0; i < OWNERSHIP_MAX_SHARDS; i++)
    if (ownership->shards[i].state == SHARD_HELD)
      release_shard (ownership, i, 0);
}

void
ownership_end_listening (struct ownership *ownership, gint64 now_us)
{
  ownership_update_time (ownership, now_us);
  ownership->listen_until_us = MIN (ownership->listen_until_us, now_us);
}

guint64
ownership_get_held (const struct ownership *ownership)
{
  return ownership_get_shards_in_state (ownership, SHARD_HELD)
         | ownership_get_shards_in_state (ownership, SHARD_RELEASING);
}

guint
ownership_count_claimed (const struct ownership *ownership)
{
  return ownership_count_bits (ownership_get_held (ownership))
         + ownership_count_grants (ownership);
}

guint64
ownership_get_token (const struct ownership *ownership, guint shard)
{
  if (shard >= OWNERSHIP_MAX_SHARDS
      || ownership->shards[shard].state != SHARD_HELD)
    return 0;
  return ownership->shards[shard].token;
}
