#include "bench/share/share.h"

#include "base/hash64.h"

/* Slots of one upstream that this VM has lent or borrowed until
   DEADLINE_US.  */
struct share_loan
{
  guint n_slots;
  gint64 deadline_us;
};

/* This VM's share of one upstream: base slots plus borrowed slots minus lent
   slots.  */
struct share_upstream
{
  char *name;
  guint slots;              /* of all VMs together */
  guint base_slots;         /* slots that this VM owns */
  guint pending_base_slots; /* base_slots from grow_at_us on */
  gint64 grow_at_us;        /* DEADLINE_NEVER when no growth is pending */
  GArray *lent;             /* struct share_loan */
  GArray *borrowed;         /* struct share_loan */
  guint reported_share;     /* arguments of the last set_share ();
                               G_MAXUINT before the first */
  gint64 reported_deadline_us;
};

struct share_table
{
  struct share_driver *driver;
  char *vm;
  GPtrArray *upstreams; /* struct share_upstream */
  GPtrArray *vms;       /* char *, names of the live VMs, owned */
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
find_earliest_deadline (const GArray *loans)
{
  gint64 earliest_us = DEADLINE_NEVER;

  for (guint i = 0; i < loans->len; i++)
    earliest_us = MIN (
        earliest_us, g_array_index (loans, struct share_loan, i).deadline_us);
  return earliest_us;
}

static guint
compute_share (const struct share_upstream *upstream)
{
  guint n_held = upstream->base_slots + sum_loans (upstream->borrowed);
  guint n_lent = sum_loans (upstream->lent);

  return MIN (n_held - MIN (n_held, n_lent), upstream->slots);
}

/* Calls set_share () if the share or its deadline has changed.  */
static void
report_share (struct share_table *table, struct share_upstream *upstream)
{
  guint share = compute_share (upstream);
  gint64 deadline_us = find_earliest_deadline (upstream->borrowed);

  if (share == upstream->reported_share
      && deadline_us == upstream->reported_deadline_us)
    return;
  upstream->reported_share = share;
  upstream->reported_deadline_us = deadline_us;
  table->driver->ops->set_share (table->driver, upstream->name, share,
                                 deadline_us);
}

/* The base slots of this VM: an equal part of the upstream's slots, plus one
   slot of the remainder if the VM's rendezvous hash ranks high enough.  */
static guint
compute_base_slots (const struct share_table *table,
                    const struct share_upstream *upstream)
{
  guint64 upstream_hash = hash64_string (upstream->name);
  guint64 own_hash = hash64_pair (hash64_string (table->vm), upstream_hash);
  guint n_ranked_before = 0;
  guint n_vms = MAX (table->vms->len, 1);

  for (guint i = 0; i < table->vms->len; i++)
    if (hash64_pair (hash64_string (g_ptr_array_index (table->vms, i)),
                     upstream_hash)
        > own_hash)
      n_ranked_before++;
  return upstream->slots / n_vms
         + (n_ranked_before < upstream->slots % n_vms ? 1 : 0);
}

static void
update_base_slots (struct share_table *table, struct share_upstream *upstream,
                   gint64 now_us)
{
  guint base_slots = compute_base_slots (table, upstream);

  upstream->grow_at_us = DEADLINE_NEVER;
  if (base_slots > upstream->base_slots)
    {
      upstream->pending_base_slots = base_slots;
      upstream->grow_at_us = now_us + SHARE_GROW_DELAY_US;
    }
  else
    upstream->base_slots = base_slots;
  report_share (table, upstream);
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
      update_base_slots (table, upstream, now_us);
      return;
    }
  upstream = g_new0 (struct share_upstream, 1);
  upstream->name = g_strdup (name);
  upstream->slots = slots;
  upstream->lent = g_array_new (FALSE, FALSE, sizeof (struct share_loan));
  upstream->borrowed = g_array_new (FALSE, FALSE, sizeof (struct share_loan));
  upstream->grow_at_us = DEADLINE_NEVER;
  upstream->reported_share = G_MAXUINT;
  /* No delay: no other VM has used slots of a new upstream.  */
  upstream->base_slots = compute_base_slots (table, upstream);
  g_ptr_array_add (table->upstreams, upstream);
  report_share (table, upstream);
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
    update_base_slots (table, g_ptr_array_index (table->upstreams, i), now_us);
}

/* Lends up to N_WANTED idle base slots of UPSTREAM.  Returns the number
   lent.  */
static guint
lend_slots (struct share_table *table, struct share_upstream *upstream,
            guint n_wanted, gint64 now_us)
{
  guint share = compute_share (upstream);
  guint n_own = upstream->base_slots
                - MIN (upstream->base_slots, sum_loans (upstream->lent));
  guint n_used
      = table->driver->ops->count_used_slots (table->driver, upstream->name);
  struct share_loan loan = {
    .n_slots = MIN (n_wanted, MIN (share - MIN (share, n_used), n_own)),
    .deadline_us = now_us + SHARE_LEASE_US,
  };

  if (loan.n_slots == 0)
    return 0;
  g_array_append_val (upstream->lent, loan);
  report_share (table, upstream);
  return loan.n_slots;
}

GArray *
share_table_lend (struct share_table *table, guint n_wanted, gint64 now_us)
{
  GArray *leases = g_array_new (FALSE, FALSE, sizeof (struct share_lease));

  for (guint i = 0; i < table->upstreams->len && n_wanted > 0; i++)
    {
      struct share_upstream *upstream
          = g_ptr_array_index (table->upstreams, i);
      struct share_lease lease = { upstream->name, 0 };

      lease.n_slots = lend_slots (table, upstream, n_wanted, now_us);
      n_wanted -= lease.n_slots;
      if (lease.n_slots > 0)
        g_array_append_val (leases, lease);
    }
  return leases;
}

void
share_table_borrow (struct share_table *table, const struct share_lease *lease,
                    gint64 request_us, gint64 now_us)
{
  struct share_upstream *upstream = find_upstream (table, lease->upstream);
  struct share_loan loan = {
    .n_slots = lease->n_slots,
    .deadline_us = request_us + SHARE_LEASE_US,
  };

  if (upstream == NULL || loan.deadline_us <= now_us)
    return;
  g_array_append_val (upstream->borrowed, loan);
  report_share (table, upstream);
}

static void
remove_expired_loans (GArray *loans, gint64 now_us)
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

      remove_expired_loans (upstream->lent, now_us);
      remove_expired_loans (upstream->borrowed, now_us);
      if (upstream->grow_at_us <= now_us)
        {
          upstream->base_slots = upstream->pending_base_slots;
          upstream->grow_at_us = DEADLINE_NEVER;
        }
      report_share (table, upstream);
      next_us = MIN (next_us, upstream->grow_at_us);
      next_us = MIN (next_us, find_earliest_deadline (upstream->lent));
      next_us = MIN (next_us, find_earliest_deadline (upstream->borrowed));
    }
  return next_us;
}
