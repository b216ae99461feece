#include "transport/quota_follower.h"

#include "base/clock.h"
#include "coordination/quota_part.h"

/* How often the part is computed again.  */
#define TICK_MS 500

struct quota_follower
{
  struct quota_part part;
  struct dispatcher *dispatcher;
  const struct peer_hub *hub;
  guint tick_source;
};

/* Collects PEER if it is on the platform's list or is live without being on
   the list yet.  */
static void
collect_other_vm (struct peer *peer, gpointer data)
{
  GPtrArray *names = data;

  if (peer->is_listed || peer_is_live (peer))
    g_ptr_array_add (names, peer->name);
}

static void
update_dispatcher (struct quota_follower *follower)
{
  dispatcher_set_vm_count (follower->dispatcher, follower->part.vms.n_vms,
                           follower->part.vms.own_index, clock_now_us ());
}

static gboolean
on_tick (gpointer data)
{
  struct quota_follower *follower = data;
  g_autoptr (GPtrArray) names = g_ptr_array_new ();

  membership_foreach (peer_hub_get_membership (follower->hub),
                      collect_other_vm, names);
  if (quota_part_update (&follower->part, (const char *const *)names->pdata,
                         names->len, clock_now_us ()))
    update_dispatcher (follower);
  return G_SOURCE_CONTINUE;
}

struct quota_follower *
quota_follower_new (const struct settings *settings,
                    struct dispatcher *dispatcher, const struct peer_hub *hub)
{
  struct quota_follower *follower = g_new0 (struct quota_follower, 1);

  quota_part_init (&follower->part, settings->vm, settings->entry_vms,
                   MIN (settings->entry_number, settings->entry_vms));
  follower->dispatcher = dispatcher;
  follower->hub = hub;
  follower->tick_source = g_timeout_add (TICK_MS, on_tick, follower);
  update_dispatcher (follower);
  return follower;
}

void
quota_follower_free (struct quota_follower *follower)
{
  g_source_remove (follower->tick_source);
  quota_part_clear (&follower->part);
  g_free (follower);
}
