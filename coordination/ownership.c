#include "coordination/ownership.h"

#include "base/hash64.h"

#include <string.h>

/* The bits of a token, from the low end.  */
#define NAME_BITS 20
#define RAISE_BITS 8
#define GENERATION_BITS 35

/* A VM that has just begun listens for this long before it takes a shard.  */
#define LISTEN_US (OWNERSHIP_PEER_TIMEOUT_US / 2)

/* Calls that are farther apart mean that this VM was paused: its peers had no
   chance to be heard.  */
#define PAUSE_US (400 * G_GINT64_CONSTANT (1000))

/* How long a shard that was yielded or fenced must be free before this VM
   takes it again.  */
#define REST_US (1000 * G_GINT64_CONSTANT (1000))

/* Two VMs that hold a shard leave it to the upstreams for this long.  */
#define SHARED_US OWNERSHIP_PEER_TIMEOUT_US

/* A peer that is silent for this long is forgotten.  */
#define FORGET_US (100 * OWNERSHIP_PEER_TIMEOUT_US)

enum shard_state
{
  SHARD_FREE, /* not held by this VM */
  SHARD_HELD,
  SHARD_RELEASING,
};

struct shard
{
  enum shard_state state;
  guint64 token;          /* of the last take; 0 before */
  guint64 highest;        /* token ever given out; 0 before */
  gint64 asked_us;        /* when a peer was last asked for it */
  gint64 rest_us;         /* how long it must be free before it is taken */
  gint64 rest_until_us;   /* the end of that, while it is free */
  gint64 shared_since_us; /* since when a peer holds it too; 0 for not */
};

struct ownership_peer
{
  char *name;
  guint64 held;
  gboolean is_leaving;
  gint64 heard_us;
  gboolean is_excused; /* its silence during a pause was not counted */
  guint n_asked;       /* requests to it that may still have an effect */
};

struct ownership
{
  struct ownership_driver *driver;
  char *vm;
  guint64 name_bits;
  guint64 generation;
  guint64 assigned;
  GHashTable *peers; /* name -> struct ownership_peer */
  gboolean has_begun;
  gboolean is_leaving;
  gint64 listen_until_us;
  gint64 now_us; /* of the last call */
  struct shard shards[OWNERSHIP_MAX_SHARDS];
};

static void
peer_free (gpointer data)
{
  struct ownership_peer *peer = data;

  g_free (peer->name);
  g_free (peer);
}

struct ownership *
ownership_new (struct ownership_driver *driver, const char *vm)
{
  struct ownership *o = g_new0 (struct ownership, 1);

  o->driver = driver;
  o->vm = g_strdup (vm);
  o->name_bits = hash64_string (vm) >> (64 - NAME_BITS);
  if (o->name_bits == 0)
    o->name_bits = 1;
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

static guint64
bit (guint shard)
{
  return G_GUINT64_CONSTANT (1) << shard;
}

static guint
count_bits (guint64 bits)
{
  guint n = 0;

  for (; bits != 0; bits &= bits - 1)
    n++;
  return n;
}

static guint64
get_in_state (const struct ownership *o, enum shard_state state)
{
  guint64 bits = 0;

  for (guint i = 0; i < OWNERSHIP_MAX_SHARDS; i++)
    if (o->shards[i].state == state)
      bits |= bit (i);
  return bits;
}

static gboolean
peer_is_heard (const struct ownership_peer *peer, gint64 now_us)
{
  return peer->heard_us + OWNERSHIP_PEER_TIMEOUT_US > now_us;
}

/* Gives those that were heard before a pause a little time to be heard again,
   once.  */
static void
excuse_peers (struct ownership *o, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, o->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ownership_peer *peer = value;

      if (peer->is_excused || !peer_is_heard (peer, o->now_us))
        continue;
      peer->is_excused = TRUE;
      peer->heard_us = MAX (peer->heard_us,
                            now_us - OWNERSHIP_PEER_TIMEOUT_US + LISTEN_US);
    }
}

static void
pass_time (struct ownership *o, gint64 now_us)
{
  if (!o->has_begun)
    {
      o->has_begun = TRUE;
      o->listen_until_us = now_us + LISTEN_US;
    }
  else if (now_us - o->now_us > PAUSE_US)
    excuse_peers (o, now_us);
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

      if (peer->heard_us + FORGET_US <= now_us)
        g_hash_table_iter_remove (&iter);
    }
}

/* The peer that is heard and holds SHARD, the one with the most shards if
   there are several, or NULL.  */
static struct ownership_peer *
find_holder (struct ownership *o, guint shard, gint64 now_us)
{
  struct ownership_peer *found = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, o->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ownership_peer *peer = value;

      if ((peer->held & bit (shard)) == 0 || !peer_is_heard (peer, now_us))
        continue;
      if (found == NULL || count_bits (peer->held) > count_bits (found->held))
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

/* The lowest token of this VM that is above TOKEN.  */
static guint64
raise_token (const struct ownership *o, guint64 token)
{
  guint64 raised = ((token >> NAME_BITS) + 1) << NAME_BITS | o->name_bits;

  return MAX (raised, make_token (o));
}

guint64
ownership_raise (struct ownership *ownership, guint shard, guint64 token)
{
  guint64 raised = raise_token (ownership, token);
  struct shard *s;

  g_return_val_if_fail (shard < OWNERSHIP_MAX_SHARDS, raised);
  s = &ownership->shards[shard];
  s->highest = MAX (s->highest, raised);
  return raised;
}

static void
take (struct ownership *o, guint number)
{
  struct shard *shard = &o->shards[number];
  guint64 token = make_token (o);

  if (token <= shard->highest)
    token = raise_token (o, shard->highest);
  shard->token = token;
  shard->highest = token;
  shard->state = SHARD_HELD;
  shard->rest_us = 0;
  shard->shared_since_us = 0;
  o->driver->ops->take (o->driver, number, token);
}

/* Gives up a shard, which may be taken again when it was free for REST_US. */
static void
give_up (struct ownership *o, guint number, gint64 rest_us)
{
  struct shard *shard = &o->shards[number];

  shard->rest_us = rest_us;
  shard->state = SHARD_RELEASING;
  o->driver->ops->release (o->driver, number);
}

static gboolean
is_asked_for (const struct ownership *o, guint number, gint64 now_us)
{
  gint64 asked_us = o->shards[number].asked_us;

  return asked_us != 0 && asked_us + OWNERSHIP_YIELD_RETRY_US > now_us;
}

/* Asks PEER for a shard if it would yield it, also after it has yielded the
   others that it was asked for.  */
static void
ask_if_due (struct ownership *o, struct ownership_peer *peer, guint number,
            guint *n_held, gint64 now_us)
{
  guint n_peer = count_bits (peer->held);

  if (is_asked_for (o, number, now_us))
    return;
  if (!peer->is_leaving && n_peer < *n_held + 2 + peer->n_asked)
    return;
  o->shards[number].asked_us = now_us;
  peer->n_asked++;
  (*n_held)++;
  o->driver->ops->ask_to_yield (o->driver, peer->name, number);
}

/* Counts the requests that peers have not had the time to answer.  Returns
   their number.  */
static guint
count_asked (struct ownership *o, guint64 wanted, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, o->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct ownership_peer *)value)->n_asked = 0;
  for (guint i = 0; i < OWNERSHIP_MAX_SHARDS; i++)
    {
      struct ownership_peer *peer;

      if ((wanted & bit (i)) == 0 || !is_asked_for (o, i, now_us))
        continue;
      peer = find_holder (o, i, now_us);
      if (peer != NULL)
        peer->n_asked++;
      n++;
    }
  return n;
}

/* Takes or asks for what is assigned and not held.  */
static void
pursue (struct ownership *o, gint64 now_us)
{
  guint64 held = ownership_get_held (o);
  guint64 wanted = o->is_leaving ? 0 : o->assigned & ~held;
  guint n_held;

  if (wanted == 0)
    return;
  n_held = count_bits (held) + count_asked (o, wanted, now_us);
  for (guint i = 0; i < OWNERSHIP_MAX_SHARDS; i++)
    {
      struct shard *shard = &o->shards[i];
      struct ownership_peer *holder;

      if ((wanted & bit (i)) == 0)
        continue;
      holder = find_holder (o, i, now_us);
      if (holder != NULL)
        {
          shard->rest_until_us = now_us + shard->rest_us;
          ask_if_due (o, holder, i, &n_held, now_us);
        }
      else if (now_us >= MAX (o->listen_until_us, shard->rest_until_us))
        {
          take (o, i);
          n_held++;
        }
    }
}

/* Gives up a shard that a peer holds too, if it is not assigned to this VM.
   Of two VMs that it is not assigned to, one waits longer.  */
static void
settle_shared (struct ownership *o, guint number, gint64 now_us)
{
  struct shard *shard = &o->shards[number];
  struct ownership_peer *other = find_holder (o, number, now_us);
  gint64 patience_us = SHARED_US;

  if (other == NULL || other->is_leaving)
    {
      shard->shared_since_us = 0;
      return;
    }
  if (shard->shared_since_us == 0)
    shard->shared_since_us = now_us;
  if (strcmp (o->vm, other->name) < 0)
    patience_us *= 2;
  if ((o->assigned & bit (number)) == 0
      && shard->shared_since_us + patience_us <= now_us)
    give_up (o, number, REST_US);
}

void
ownership_advance (struct ownership *ownership, gint64 now_us)
{
  guint64 held = get_in_state (ownership, SHARD_HELD);

  pass_time (ownership, now_us);
  for (guint i = 0; i < OWNERSHIP_MAX_SHARDS; i++)
    if ((held & bit (i)) != 0)
      settle_shared (ownership, i, now_us);
  pursue (ownership, now_us);
  forget_peers (ownership, now_us);
}

void
ownership_assign (struct ownership *ownership, guint64 generation,
                  const guint *shards, guint n_shards, gint64 now_us)
{
  pass_time (ownership, now_us);
  if (generation < ownership->generation)
    return;
  ownership->generation = generation;
  ownership->assigned = 0;
  for (guint i = 0; i < n_shards; i++)
    if (shards[i] < OWNERSHIP_MAX_SHARDS)
      ownership->assigned |= bit (shards[i]);
  pursue (ownership, now_us);
}

static struct ownership_peer *
ensure_peer (struct ownership *o, const char *name)
{
  struct ownership_peer *peer = g_hash_table_lookup (o->peers, name);

  if (peer == NULL)
    {
      peer = g_new0 (struct ownership_peer, 1);
      peer->name = g_strdup (name);
      g_hash_table_insert (o->peers, peer->name, peer);
    }
  return peer;
}

void
ownership_update_peer (struct ownership *ownership, const char *peer,
                       guint64 held, gboolean is_leaving, gint64 now_us)
{
  struct ownership_peer *heard;
  gboolean has_changed;

  pass_time (ownership, now_us);
  if (g_str_equal (peer, ownership->vm))
    return;
  heard = ensure_peer (ownership, peer);
  has_changed = heard->held != held;
  heard->held = held;
  heard->is_leaving = is_leaving;
  heard->is_excused = FALSE;
  heard->heard_us = now_us;
  if (has_changed)
    pursue (ownership, now_us);
}

void
ownership_handle_yield_request (struct ownership *ownership, const char *peer,
                                guint shard, guint n_held, gint64 now_us)
{
  guint n_own = count_bits (get_in_state (ownership, SHARD_HELD));

  pass_time (ownership, now_us);
  if (shard >= OWNERSHIP_MAX_SHARDS || g_str_equal (peer, ownership->vm)
      || ownership->shards[shard].state != SHARD_HELD)
    return;
  if (n_own >= (guint64)n_held + 2)
    give_up (ownership, shard, REST_US);
}

void
ownership_released (struct ownership *ownership, guint shard, gint64 now_us)
{
  struct shard *s;

  g_return_if_fail (shard < OWNERSHIP_MAX_SHARDS);
  s = &ownership->shards[shard];
  pass_time (ownership, now_us);
  if (s->state != SHARD_RELEASING)
    return;
  s->state = SHARD_FREE;
  s->rest_until_us = now_us + s->rest_us;
}

void
ownership_fenced (struct ownership *ownership, guint shard, gint64 now_us)
{
  struct shard *s;

  g_return_if_fail (shard < OWNERSHIP_MAX_SHARDS);
  s = &ownership->shards[shard];
  pass_time (ownership, now_us);
  s->rest_us = REST_US;
  s->rest_until_us = now_us + REST_US;
  if (s->state == SHARD_HELD)
    give_up (ownership, shard, REST_US);
}

void
ownership_leave (struct ownership *ownership, gint64 now_us)
{
  pass_time (ownership, now_us);
  ownership->is_leaving = TRUE;
  for (guint i = 0; i < OWNERSHIP_MAX_SHARDS; i++)
    if (ownership->shards[i].state == SHARD_HELD)
      give_up (ownership, i, 0);
}

guint64
ownership_get_held (const struct ownership *ownership)
{
  return get_in_state (ownership, SHARD_HELD)
         | get_in_state (ownership, SHARD_RELEASING);
}

guint64
ownership_get_token (const struct ownership *ownership, guint shard)
{
  if (shard >= OWNERSHIP_MAX_SHARDS
      || ownership->shards[shard].state != SHARD_HELD)
    return 0;
  return ownership->shards[shard].token;
}
