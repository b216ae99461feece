#include "coordination/listing_source.h"

#include "base/hash64.h"

static gboolean
is_fresh (const struct listing_state *state, gint64 now_us)
{
  return state->position > 0 && now_us - state->as_of_us <= LISTING_STALE_US;
}

/* Whether PEER reads the store in preference to SELF: larger VMs first, as
   reading costs processor time and bytes.  */
static gboolean
goes_before (const struct listing_peer *peer, const struct listing_self *self)
{
  guint64 peer_hash;
  guint64 self_hash;

  if (self->is_leaving || peer->capacity != self->capacity)
    return self->is_leaving || peer->capacity > self->capacity;
  peer_hash = hash64_string (peer->name);
  self_hash = hash64_string (self->name);
  return peer_hash != self_hash ? peer_hash < self_hash
                                : g_strcmp0 (peer->name, self->name) < 0;
}

/* Whether SELF reads the store: no peer goes before it, or those that do have
   failed to for so long that it is its turn.  Once it reads, it goes on until
   one of them does.  */
static gboolean
is_turn (const struct listing_self *self, const struct listing_peer *peers,
         guint n_peers, gint64 now_us)
{
  const struct listing_state *state = &self->state;
  gboolean is_read_before = FALSE;
  guint n_before = 0;
  gint64 due_us;

  for (guint i = 0; i < n_peers; i++)
    if (goes_before (&peers[i], self))
      {
        n_before++;
        is_read_before
            |= peers[i].state.is_read && is_fresh (&peers[i].state, now_us);
      }
  if (n_before == 0 || (state->is_read && !is_read_before))
    return TRUE;
  due_us = state->position > 0 ? state->as_of_us + LISTING_STALE_US
                               : self->started_us + LISTING_FIRST_WAIT_US;
  return now_us > due_us + n_before * LISTING_TURN_US;
}

/* Whether PEER is a better source than the BEST so far.  Changes are fetched
   where the most is known, and from the reader, which knows all changes of a
   long time; a first list from any, in an order that differs from VM to VM. */
static gboolean
is_better (const struct listing_peer *peer, const struct listing_peer *best,
           gboolean is_first, guint64 seed)
{
  if (best == NULL)
    return TRUE;
  if (is_first)
    return hash64_pair (hash64_string (peer->name), seed)
           < hash64_pair (hash64_string (best->name), seed);
  if (peer->state.is_read != best->state.is_read)
    return peer->state.is_read;
  return peer->state.position > best->state.position;
}

struct listing_choice
listing_source_choose (const struct listing_self *self,
                       const struct listing_peer *peers, guint n_peers,
                       guint64 seed, gint64 now_us)
{
  struct listing_choice choice = { .action = LISTING_WAIT };
  gboolean is_first = self->state.position == 0;
  const struct listing_peer *best = NULL;

  for (guint i = 0; i < n_peers; i++)
    {
      const struct listing_state *state = &peers[i].state;

      if (!is_fresh (state, now_us) || state->position < self->state.position
          || state->as_of_us <= self->state.as_of_us
          || !is_better (&peers[i], best, is_first, seed))
        continue;
      best = &peers[i];
      choice.peer = i;
    }
  choice.is_reading
      = !(is_first && best != NULL) && is_turn (self, peers, n_peers, now_us);
  /* Who reads needs the others only when the store does not answer it.  */
  if (best == NULL || (choice.is_reading && is_fresh (&self->state, now_us)))
    return choice;
  choice.action = !is_first && best->state.changed <= self->state.position
                      ? LISTING_ADOPT
                      : LISTING_FETCH;
  return choice;
}
