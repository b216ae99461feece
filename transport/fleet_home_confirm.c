#include "base/list.h"
#include "transport/fleet_home_private.h"

/* After this a stop without an answer is repeated, over another connection. */
#define STOP_TIMEOUT_US (150 * USEC_PER_MSEC)

/* If nothing comes over the connection for this long after a stop, it is
   dropped: what is on its way to the owner must not arrive later.  */
#define SILENCE_US VM_LOST_AFTER_US

/* A batch that was stopped is named to its owner for this many resend times.
   After one of them nothing of it runs any more, and its owner refuses what
   comes later.  */
#define REVOCATION_RESENDS 2

/* The batches of this home at one owner.  */
struct home_peer
{
  struct fleet_home *home;
  char *vm;      /* name of the owner */
  guint n_calls; /* that run batches there */
  struct list_node revocations;
};

/* A batch that was stopped before its owner has told that it has ended.  */
struct revocation
{
  struct list_node link; /* in peer->revocations */
  char *job;
  guint number; /* of the batch */
  gint64 since_us;
  gint64 drop_due_us; /* when to drop a silent connection; DEADLINE_NEVER once
                         that is done */
  gint64 stop_due_us; /* when to repeat the stop; DEADLINE_NEVER for never */
  gint64 expires_us;
};

/* A call that stops a batch.  */
struct stop_call
{
  struct fleet_home *home;
  char *vm;
  guint number;
};

static void
revocation_free (struct home_peer *peer, struct revocation *revocation)
{
  vm_directory_end_work (peer->home->directory, peer->vm);
  list_remove (&revocation->link);
  g_free (revocation->job);
  g_free (revocation);
}

static void
peer_free (gpointer data)
{
  struct home_peer *peer = data;
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &peer->revocations)
    revocation_free (peer, list_entry (node, struct revocation, link));
  g_free (peer->vm);
  g_free (peer);
}

GHashTable *
fleet_home_new_peers (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
}

static struct home_peer *
get_peer (struct fleet_home *home, const char *vm)
{
  struct home_peer *peer = g_hash_table_lookup (home->peers, vm);

  if (peer != NULL)
    return peer;
  peer = g_new0 (struct home_peer, 1);
  peer->home = home;
  peer->vm = g_strdup (vm);
  list_init (&peer->revocations);
  g_hash_table_insert (home->peers, peer->vm, peer);
  return peer;
}

static void
free_peer_if_unused (struct home_peer *peer)
{
  if (peer->n_calls == 0 && list_is_empty (&peer->revocations))
    g_hash_table_remove (peer->home->peers, peer->vm);
}

static struct revocation *
find_revocation (struct home_peer *peer, guint number)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &peer->revocations)
    {
      struct revocation *revocation
          = list_entry (node, struct revocation, link);

      if (revocation->number == number)
        return revocation;
    }
  return NULL;
}

void
fleet_home_begin_call (struct fleet_home *home, const char *vm)
{
  vm_directory_begin_work (home->directory, vm, clock_now_us ());
  get_peer (home, vm)->n_calls++;
}

void
fleet_home_end_call (struct fleet_home *home, const char *vm, guint number,
                     gboolean is_answered)
{
  struct home_peer *peer = get_peer (home, vm);
  struct revocation *revocation = find_revocation (peer, number);

  vm_directory_end_work (home->directory, vm);
  peer->n_calls--;
  if (is_answered && revocation != NULL)
    revocation_free (peer, revocation);
  free_peer_if_unused (peer);
}

/* A VM that is not live does not answer, and stops what it has of this home
   without being told.  */
static gboolean
may_answer (const struct fleet_home *home, const char *vm)
{
  const struct vm *known = vm_directory_find (home->directory, vm);

  return known != NULL && known->is_live;
}

static void
on_stop_answered (const void *result, const GError *error, gpointer data)
{
  struct stop_call *stop = data;
  struct home_peer *peer = g_hash_table_lookup (stop->home->peers, stop->vm);
  struct revocation *revocation
      = peer != NULL ? find_revocation (peer, stop->number) : NULL;

  if (revocation != NULL && result == NULL)
    revocation->stop_due_us = clock_now_us ();
  g_free (stop->vm);
  g_free (stop);
}

static void
send_stop (struct home_peer *peer, struct revocation *revocation,
           gboolean is_repeated)
{
  struct fleet_home *home = peer->home;
  peer_stop_args args = { .incarnation = home->incarnation,
                          .job = revocation->job,
                          .number = revocation->number };
  struct stop_call *stop = g_new0 (struct stop_call, 1);

  stop->home = home;
  stop->vm = g_strdup (peer->vm);
  stop->number = revocation->number;
  revocation->stop_due_us = DEADLINE_NEVER;
  (is_repeated ? peer_hub_call_anew : peer_hub_call) (
      home->hub, peer->vm, PEER_STOP_BATCH, &args,
      clock_now_us () + STOP_TIMEOUT_US, on_stop_answered, stop);
}

void
fleet_home_revoke (struct fleet_home *home, const char *vm, const char *job,
                   guint number)
{
  struct home_peer *peer = get_peer (home, vm);
  gint64 now_us = clock_now_us ();
  struct revocation *revocation;

  if (find_revocation (peer, number) != NULL)
    return;
  revocation = g_new0 (struct revocation, 1);
  revocation->job = g_strdup (job);
  revocation->number = number;
  revocation->since_us = now_us;
  revocation->drop_due_us = now_us + SILENCE_US;
  revocation->expires_us
      = now_us + REVOCATION_RESENDS * home->resend_ms * USEC_PER_MSEC;
  list_append (&peer->revocations, &revocation->link);
  vm_directory_begin_work (home->directory, vm, now_us);
  send_stop (peer, revocation, FALSE);
}

/* Drops the connection to PEER if it is silent since REVOCATION.  */
static void
drop_if_silent (struct home_peer *peer, struct revocation *revocation,
                gint64 now_us)
{
  if (revocation->drop_due_us > now_us)
    return;
  revocation->drop_due_us = DEADLINE_NEVER;
  peer_hub_abort_silent (peer->home->hub, peer->vm, revocation->since_us);
}

static void
advance_peer (struct home_peer *peer, gint64 now_us)
{
  gboolean is_live = may_answer (peer->home, peer->vm);
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &peer->revocations)
    {
      struct revocation *revocation
          = list_entry (node, struct revocation, link);

      drop_if_silent (peer, revocation, now_us);
      if (revocation->expires_us <= now_us)
        revocation_free (peer, revocation);
      else if (revocation->stop_due_us <= now_us && is_live)
        send_stop (peer, revocation, TRUE);
    }
}

void
fleet_home_advance_revocations (struct fleet_home *home, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, home->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct home_peer *peer = value;

      advance_peer (peer, now_us);
      if (peer->n_calls == 0 && list_is_empty (&peer->revocations))
        g_hash_table_iter_remove (&iter);
    }
}

guint
fleet_home_list_confirmed (struct fleet_home *home,
                           struct owner_confirmation *list, guint max)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, home->peers);
  while (n < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct home_peer *peer = value;
      struct owner_confirmation *entry = &list[n++];
      const struct list_node *node;

      *entry = (struct owner_confirmation){ .vm = peer->vm };
      for (node = peer->revocations.next;
           node != &peer->revocations && entry->n_revoked < REVOKED_MAX;
           node = node->next)
        entry->revoked[entry->n_revoked++]
            = list_entry (node, struct revocation, link)->number;
      entry->is_complete = node == &peer->revocations;
    }
  return n;
}
