#include "coordination/caller_share.h"

#include "base/hash64.h"

#include <math.h>

#define MILLI 1000.0

/* A caller is forgotten, with its usual demand, when it was not seen for as
   long as the usual demand covers, twice over.  */
#define FORGET_US (2 * CALLER_SHARE_USUAL_US)

struct entry
{
  guint64 caller;       /* the key in the table */
  gdouble work_us;      /* requested here, decayed up to updated_us */
  gint64 updated_us;    /* time of the latest request here */
  gint64 seen_us;       /* the same, or of the latest report */
  guint reported_milli; /* demand at other VMs */
  gdouble usual_milli;
  gint64 calm_us; /* time without a queue that usual_milli covers, at most
                     CALLER_SHARE_USUAL_US */
};

struct caller_share
{
  GHashTable *entries; /* caller -> struct entry, owned */
  gint64 updated_us;   /* time of the latest update; 0 for none */
  guint n_reports;     /* in that update */
  gdouble usual_milli; /* demand of all callers, as in an entry */
  gint64 calm_us;      /* as in an entry */
};

struct caller_share *
caller_share_new (void)
{
  struct caller_share *share = g_new0 (struct caller_share, 1);

  share->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return share;
}

void
caller_share_free (struct caller_share *share)
{
  g_hash_table_unref (share->entries);
  g_free (share);
}

static gdouble
get_own_milli (const struct entry *entry, gint64 now_us)
{
  gdouble age
      = (gdouble)MAX (now_us - entry->updated_us, 0) / CALLER_SHARE_SMOOTH_US;

  return entry->work_us * exp (-age) * MILLI / CALLER_SHARE_SMOOTH_US;
}

static gdouble
get_demand_milli (const struct entry *entry, gint64 now_us)
{
  return get_own_milli (entry, now_us) + entry->reported_milli;
}

static void
drop_smallest (struct caller_share *share, gint64 now_us)
{
  const struct entry *smallest = NULL;
  gdouble smallest_milli = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, share->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gdouble milli = get_demand_milli (value, now_us);

      if (smallest != NULL && milli >= smallest_milli)
        continue;
      smallest = value;
      smallest_milli = milli;
    }
  if (smallest != NULL)
    g_hash_table_remove (share->entries, &smallest->caller);
}

static gboolean
is_full (const struct caller_share *share)
{
  return g_hash_table_size (share->entries) >= CALLER_SHARE_MAX;
}

/* The entry of CALLER, which is added if there is none.  */
static struct entry *
get_entry (struct caller_share *share, guint64 caller, gint64 now_us)
{
  struct entry *entry = g_hash_table_lookup (share->entries, &caller);

  if (entry != NULL)
    return entry;
  if (is_full (share))
    drop_smallest (share, now_us);
  entry = g_new0 (struct entry, 1);
  entry->caller = caller;
  entry->updated_us = now_us;
  g_hash_table_insert (share->entries, &entry->caller, entry);
  return entry;
}

void
caller_share_count (struct caller_share *share, guint64 caller,
                    gdouble work_us, gint64 now_us)
{
  struct entry *entry = get_entry (share, caller, now_us);

  entry->work_us
      = get_own_milli (entry, now_us) * CALLER_SHARE_SMOOTH_US / MILLI
        + work_us;
  entry->updated_us = now_us;
  entry->seen_us = now_us;
}

static void
add_report (struct caller_share *share, const struct caller_list *list,
            gint64 now_us)
{
  for (guint i = 0; i < MIN (list->n, CALLER_LIST_MAX); i++)
    {
      const struct caller_demand *reported = &list->callers[i];
      struct entry *entry;
      guint free_milli;

      /* Evicting an entry scans the table: the reports of 480 VMs, of 3,840
         callers, took 84 to 176 ms.  A caller that requests something here
         gets an entry by that, and its next report counts.  */
      if (is_full (share)
          && !g_hash_table_contains (share->entries, &reported->caller))
        continue;
      entry = get_entry (share, reported->caller, now_us);
      free_milli = G_MAXUINT - entry->reported_milli;
      entry->reported_milli += MIN (reported->demand_milli, free_milli);
      entry->seen_us = now_us;
    }
}

/* Adds DEMAND_MILLI, for the last PASSED_US, to the average USUAL_MILLI over
   CALM_US.  */
static void
learn_usual (gdouble *usual_milli, gint64 *calm_us, gdouble demand_milli,
             gint64 passed_us)
{
  gdouble weight;

  *calm_us = MIN (*calm_us + passed_us, CALLER_SHARE_USUAL_US);
  weight = MIN (1, (gdouble)passed_us / (gdouble)*calm_us);
  *usual_milli += (demand_milli - *usual_milli) * weight;
}

/* What the active callers but CALLER request, estimated from their requests
   here: the load balancer gives each VM about as many.  Their number, CALLER
   included, goes to *N_ACTIVE.  */
static gdouble
estimate_others_milli (const struct caller_share *share, guint64 caller,
                       guint *n_active, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  gdouble sum_milli = 0;

  *n_active = 0;
  g_hash_table_iter_init (&iter, share->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry *entry = value;

      if (now_us - entry->seen_us > CALLER_SHARE_ACTIVE_US)
        continue;
      (*n_active)++;
      if (entry->caller != caller)
        sum_milli += get_own_milli (entry, now_us);
    }
  return sum_milli * (share->n_reports + 1);
}

/* Learns the usual demands from the last PASSED_US, without a queue.  */
static void
learn_all (struct caller_share *share, gint64 passed_us, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  guint n_active;

  g_hash_table_iter_init (&iter, share->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct entry *entry = value;

      learn_usual (&entry->usual_milli, &entry->calm_us,
                   get_demand_milli (entry, now_us), passed_us);
    }
  learn_usual (&share->usual_milli, &share->calm_us,
               estimate_others_milli (share, 0, &n_active, now_us), passed_us);
}

void
caller_share_update (struct caller_share *share,
                     const struct caller_list *const *lists, guint n,
                     gboolean has_queue, gint64 now_us)
{
  gint64 passed_us = share->updated_us > 0 ? now_us - share->updated_us : 0;
  GHashTableIter iter;
  gpointer value;

  share->updated_us = now_us;
  share->n_reports = n;
  g_hash_table_iter_init (&iter, share->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct entry *entry = value;

      entry->reported_milli = 0;
      if (now_us - entry->seen_us > FORGET_US)
        g_hash_table_iter_remove (&iter);
    }
  for (guint i = 0; i < n; i++)
    add_report (share, lists[i], now_us);
  if (!has_queue && passed_us > 0)
    learn_all (share, passed_us, now_us);
}

/* Inserts CALLER with DEMAND_MILLI into LIST, if it is among the largest.  */
static void
insert_by_demand (struct caller_list *list, guint64 caller, guint demand_milli)
{
  guint at = list->n;

  while (at > 0 && list->callers[at - 1].demand_milli < demand_milli)
    at--;
  if (at == CALLER_LIST_MAX)
    return;
  list->n = MIN (list->n + 1, CALLER_LIST_MAX);
  for (guint i = list->n - 1; i > at; i--)
    list->callers[i] = list->callers[i - 1];
  list->callers[at] = (struct caller_demand){ caller, demand_milli };
}

void
caller_share_list_largest (const struct caller_share *share,
                           struct caller_list *list, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  list->n = 0;
  g_hash_table_iter_init (&iter, share->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry *entry = value;
      gdouble milli = MIN (get_own_milli (entry, now_us), G_MAXINT);

      if (milli >= 1)
        insert_by_demand (list, entry->caller, (guint)milli);
    }
}

/* The usual demand of the caller of ENTRY, scaled by how the demand of all
   others, OTHERS_MILLI now, has grown.  */
static gdouble
scale_usual_milli (const struct caller_share *share, const struct entry *entry,
                   gdouble others_milli)
{
  gdouble growth = 1;

  if (share->usual_milli > 0)
    growth = (others_milli + entry->usual_milli) / share->usual_milli;
  return entry->usual_milli * MAX (growth, 1);
}

gboolean
caller_share_may_exceed (const struct caller_share *share, guint64 caller,
                         gdouble capacity_milli, gint64 now_us)
{
  const struct entry *entry = g_hash_table_lookup (share->entries, &caller);
  gdouble least_limit_milli;

  if (entry == NULL)
    return FALSE;
  /* No more callers are active than there are entries, and the growth of the
     others only raises the limit.  */
  least_limit_milli = MAX (CALLER_SHARE_EXCESS * capacity_milli
                               / g_hash_table_size (share->entries),
                           CALLER_SHARE_GROWTH * entry->usual_milli);
  return get_demand_milli (entry, now_us) > least_limit_milli;
}

struct caller_standing
caller_share_get (const struct caller_share *share, guint64 caller,
                  gdouble capacity_milli, gint64 now_us)
{
  const struct entry *entry = g_hash_table_lookup (share->entries, &caller);
  struct caller_standing standing = { 0 };
  gdouble others_milli
      = estimate_others_milli (share, caller, &standing.n_callers, now_us);

  standing.limit_milli = CALLER_SHARE_EXCESS
                         * MAX (capacity_milli, others_milli)
                         / MAX (standing.n_callers, 1u);
  if (entry == NULL)
    return standing;
  standing.demand_milli = get_demand_milli (entry, now_us);
  standing.limit_milli = MAX (
      standing.limit_milli,
      CALLER_SHARE_GROWTH * scale_usual_milli (share, entry, others_milli));
  return standing;
}

gboolean
caller_standing_is_excess (const struct caller_standing *standing,
                           guint64 seed)
{
  gdouble drawn = (gdouble)hash64_pair (seed, 0) / (gdouble)G_MAXUINT64;

  return standing->n_callers > 1
         && standing->demand_milli > standing->limit_milli
         && drawn * standing->demand_milli >= standing->limit_milli;
}

gint64
caller_standing_get_excess_ms (const struct caller_standing *standing)
{
  if (standing->limit_milli <= 0
      || standing->demand_milli <= standing->limit_milli)
    return 0;
  return (gint64)(log (standing->demand_milli / standing->limit_milli)
                  * CALLER_SHARE_SMOOTH_US / USEC_PER_MSEC);
}
