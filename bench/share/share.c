#include "bench/share/share.h"

#include "base/hash64.h"

/* Slots that were lent or borrowed.  */
struct share_loan
{
  guint n_slots;
  gint64 deadline_us;
};

/* The shares of one upstream.  */
struct share_upstream
{
  char *name;
  guint slots;
  guint base;       /* own part */
  guint next_base;  /* the part to come, when it is larger */
  gint64 grow_us;   /* when it comes; DEADLINE_NEVER when it has */
  GArray *lent;     /* struct share_loan */
  GArray *borrowed; /* struct share_loan */
  guint told;       /* the share that the driver was told */
  gint64 told_deadline_us;
};

struct share_table
{
  struct share_driver *driver;
  char *vm;
  GPtrArray *upstreams; /* struct share_upstream */
  GPtrArray *vms;       /* names */
};

static void
upstream_free (gpointer data)
{
  struct share_upstream *upstream = data;

  g_free (upstream->name);
  g_array_unref (upstream->lent);
  g_array_unref (upstream->borrowed);
  g_free (upstream);
}

struct share_table *
share_table_new (struct share_driver *driver, const char *vm)
{
  struct share_table *table = g_new0 (struct share_table, 1);

  table->driver = driver;
  table->vm = g_strdup (vm);
  table->upstreams = g_ptr_array_new_with_free_func (upstream_free);
  table->vms = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (table->vms, g_strdup (vm));
  return table;
}

void
share_table_free (struct share_table *table)
{
  g_ptr_array_unref (table->upstreams);
  g_ptr_array_unref (table->vms);
  g_free (table->vm);
  g_free (table);
}

static guint
sum_loans (const GArray *loans)
{
  guint sum = 0;

  for (guint i = 0; i < loans->len; i++)
    sum += g_array_index (loans, struct share_loan, i).n_slots;
  return sum;
}

static gint64
find_first_deadline (const GArray *loans)
{
  gint64 first_us = DEADLINE_NEVER;

  for (guint i = 0; i < loans->len; i++)
    first_us = MIN (first_us,
                    g_array_index (loans, struct share_loan, i).deadline_us);
  return first_us;
}

static guint
compute_share (const struct share_upstream *upstream)
{
  guint have = upstream->base + sum_loans (upstream->borrowed);
  guint lent = sum_loans (upstream->lent);

  return MIN (have - MIN (have, lent), upstream->slots);
}

/* Tells the driver what has changed.  */
static void
tell_share (struct share_table *table, struct share_upstream *upstream)
{
  guint share = compute_share (upstream);
  gint64 deadline_us = find_first_deadline (upstream->borrowed);

  if (share == upstream->told && deadline_us == upstream->told_deadline_us)
    return;
  upstream->told = share;
  upstream->told_deadline_us = deadline_us;
  table->driver->ops->set_share (table->driver, upstream->name, share,
                                 deadline_us);
}

/* The part of this VM: as many slots as all have, and one of those left over
   if few others rank before it.  */
static guint
compute_part (const struct share_table *table,
              const struct share_upstream *upstream)
{
  guint64 key = hash64_string (upstream->name);
  guint64 own = hash64_pair (hash64_string (table->vm), key);
  guint n_before = 0;
  guint n_vms = MAX (table->vms->len, 1);

  for (guint i = 0; i < table->vms->len; i++)
    if (hash64_pair (hash64_string (g_ptr_array_index (table->vms, i)), key)
        > own)
      n_before++;
  return upstream->slots / n_vms
         + (n_before < upstream->slots % n_vms ? 1 : 0);
}

static void
update_part (struct share_table *table, struct share_upstream *upstream,
             gint64 now_us)
{
  guint part = compute_part (table, upstream);

  upstream->grow_us = DEADLINE_NEVER;
  if (part > upstream->base)
    {
      upstream->next_base = part;
      upstream->grow_us = now_us + SHARE_GROW_DELAY_US;
    }
  else
    upstream->base = part;
  tell_share (table, upstream);
}

static struct share_upstream *
find_upstream (const struct share_table *table, const char *name)
{
  for (guint i = 0; i < table->upstreams->len; i++)
    {
      struct share_upstream *upstream
          = g_ptr_array_index (table->upstreams, i);

      if (g_str_equal (upstream->name, name))
        return upstream;
    }
  return NULL;
}

void
share_table_set_upstream (struct share_table *table, const char *name,
                          guint slots, gint64 now_us)
{
  struct share_upstream *upstream = find_upstream (table, name);

  if (upstream != NULL)
    {
      upstream->slots = slots;
      update_part (table, upstream, now_us);
      return;
    }
  upstream = g_new0 (struct share_upstream, 1);
  upstream->name = g_strdup (name);
  upstream->slots = slots;
  upstream->lent = g_array_new (FALSE, FALSE, sizeof (struct share_loan));
  upstream->borrowed = g_array_new (FALSE, FALSE, sizeof (struct share_loan));
  upstream->grow_us = DEADLINE_NEVER;
  upstream->told = G_MAXUINT;
  /* Nobody else has held slots of a new upstream.  */
  upstream->base = compute_part (table, upstream);
  g_ptr_array_add (table->upstreams, upstream);
  tell_share (table, upstream);
}

void
share_table_set_vms (struct share_table *table, const char *const *vms,
                     guint n_vms, gint64 now_us)
{
  g_ptr_array_set_size (table->vms, 0);
  for (guint i = 0; i < n_vms; i++)
    g_ptr_array_add (table->vms, g_strdup (vms[i]));
  if (n_vms == 0)
    g_ptr_array_add (table->vms, g_strdup (table->vm));
  for (guint i = 0; i < table->upstreams->len; i++)
    update_part (table, g_ptr_array_index (table->upstreams, i), now_us);
}

/* Lends up to WANTED slots of UPSTREAM; returns how many.  */
static guint
lend_upstream (struct share_table *table, struct share_upstream *upstream,
               guint wanted, gint64 now_us)
{
  guint share = compute_share (upstream);
  guint own
      = upstream->base - MIN (upstream->base, sum_loans (upstream->lent));
  guint used = table->driver->ops->count_used (table->driver, upstream->name);
  struct share_loan loan = {
    .n_slots = MIN (wanted, MIN (share - MIN (share, used), own)),
    .deadline_us = now_us + SHARE_LEASE_US,
  };

  if (loan.n_slots == 0)
    return 0;
  g_array_append_val (upstream->lent, loan);
  tell_share (table, upstream);
  return loan.n_slots;
}

GArray *
share_table_lend (struct share_table *table, guint wanted, gint64 now_us)
{
  GArray *leases = g_array_new (FALSE, FALSE, sizeof (struct share_lease));

  for (guint i = 0; i < table->upstreams->len && wanted > 0; i++)
    {
      struct share_upstream *upstream
          = g_ptr_array_index (table->upstreams, i);
      struct share_lease lease = { upstream->name, 0 };

      lease.n_slots = lend_upstream (table, upstream, wanted, now_us);
      wanted -= lease.n_slots;
      if (lease.n_slots > 0)
        g_array_append_val (leases, lease);
    }
  return leases;
}

void
share_table_borrow (struct share_table *table, const struct share_lease *lease,
                    gint64 asked_us, gint64 now_us)
{
  struct share_upstream *upstream = find_upstream (table, lease->upstream);
  struct share_loan loan = {
    .n_slots = lease->n_slots,
    .deadline_us = asked_us + SHARE_LEASE_US,
  };

  if (upstream == NULL || loan.deadline_us <= now_us)
    return;
  g_array_append_val (upstream->borrowed, loan);
  tell_share (table, upstream);
}

static void
end_loans (GArray *loans, gint64 now_us)
{
  for (guint i = loans->len; i > 0; i--)
    if (g_array_index (loans, struct share_loan, i - 1).deadline_us <= now_us)
      g_array_remove_index_fast (loans, i - 1);
}

gint64
share_table_advance (struct share_table *table, gint64 now_us)
{
  gint64 next_us = DEADLINE_NEVER;

  for (guint i = 0; i < table->upstreams->len; i++)
    {
      struct share_upstream *upstream
          = g_ptr_array_index (table->upstreams, i);

      end_loans (upstream->lent, now_us);
      end_loans (upstream->borrowed, now_us);
      if (upstream->grow_us <= now_us)
        {
          upstream->base = upstream->next_base;
          upstream->grow_us = DEADLINE_NEVER;
        }
      tell_share (table, upstream);
      next_us = MIN (next_us, upstream->grow_us);
      next_us = MIN (next_us, find_first_deadline (upstream->lent));
      next_us = MIN (next_us, find_first_deadline (upstream->borrowed));
    }
  return next_us;
}
