#include "coordination/membership_links.h"

#include "base/hash64.h"

static gboolean
is_candidate (const struct peer *peer)
{
  return !peer->is_local && peer->availability_zone[0] != '\0'
         && peer->state != PEER_DEAD;
}

/* Inserts PEER into BEST, which is ordered by falling weight, if its weight is
   high enough.  */
static void
insert_by_weight (struct peer *peer, guint64 weight,
                  struct peer *best[N_REMOTE_LINKS],
                  guint64 weights[N_REMOTE_LINKS])
{
  for (guint i = 0; i < N_REMOTE_LINKS; i++)
    {
      struct peer *former = best[i];
      guint64 former_weight = weights[i];

      if (former != NULL && former_weight >= weight)
        continue;
      best[i] = peer;
      weights[i] = weight;
      if (former == NULL)
        return;
      peer = former;
      weight = former_weight;
    }
}

void
membership_choose_links (GPtrArray *peers, guint64 own_hash)
{
  struct peer *best[N_REMOTE_LINKS] = { NULL };
  guint64 weights[N_REMOTE_LINKS] = { 0 };

  for (guint i = 0; i < peers->len; i++)
    {
      struct peer *peer = peers->pdata[i];

      peer->is_chosen = FALSE;
      if (is_candidate (peer))
        insert_by_weight (peer, hash64_pair (own_hash, peer->name_hash), best,
                          weights);
    }
  for (guint i = 0; i < N_REMOTE_LINKS; i++)
    if (best[i] != NULL)
      best[i]->is_chosen = TRUE;
}
