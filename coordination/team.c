#include "coordination/team.h"

/* Weights are multiplied by this, so that dividing them by the number of a
   team's pools loses little.  */
#define WEIGHT_SCALE 64

struct team *
team_new (const char *name)
{
  struct team *team = g_new0 (struct team, 1);

  team->name = g_strdup (name);
  team->pools = g_ptr_array_new ();
  return team;
}

void
team_free (struct team *team)
{
  g_free (team->name);
  g_ptr_array_unref (team->pools);
  if (team->document != NULL)
    document_unref (team->document);
  g_free (team);
}

void
team_apply_document (struct team *team, struct document *document)
{
  document_ref (document);
  if (team->document != NULL)
    document_unref (team->document);
  team->document = document;
  quota_set_total (&team->quota, document->quota_slots,
                   document->quota_starts_per_second);
}

guint
team_get_pool_weight (const struct team *team)
{
  guint n_pools = MAX (team->pools->len, 1);

  return MAX (team->document->weight * WEIGHT_SCALE / n_pools, 1);
}
