/*
 * The adapter as a whole, through the table that the fleet uses.  The owner's
 * functions that it calls are replaced by ones that take notes.
 */
#include "platform/platform.h"

#include "base/clock.h"
#include "t/support/fake_store.h"

#include <string.h>

struct bed
{
  struct fleet_events events;
  struct fake_store *store;
  struct fleet_platform *platform;
  guint64 version;
  guint n_upstreams;
  guint n_shards;
  guint n_members;
  gboolean is_reached;
};

/* What the owner was told.  */
static guint n_started;
static guint n_stopped;
static guint n_asked;
static enum order_end last_end;

struct owned_upstream *
owned_ref (struct owned_upstream *upstream)
{
  upstream->ref_count++;
  return upstream;
}

void
owned_unref (struct owned_upstream *upstream)
{
  upstream->ref_count--;
}

gboolean
owner_start_sending (struct owner *owner, struct owned_upstream *upstream,
                     const char *name, guint number, gint64 now_us)
{
  return TRUE;
}

void
owner_start_ended (struct owner *owner, struct owned_upstream *upstream,
                   const char *name, guint number, enum order_end end,
                   gint64 clock_ms, gint64 now_us)
{
  n_started++;
  last_end = end;
}

void
owner_stop_ended (struct owner *owner, struct owned_upstream *upstream,
                  const char *name, guint number, enum order_end end,
                  gint64 clock_ms, gint64 now_us)
{
  n_stopped++;
  last_end = end;
}

void
owner_poll_ended (struct owner *owner, struct owned_upstream *upstream,
                  guint64 poll, enum order_end end,
                  const struct upstream_report *report, gint64 now_us)
{
  n_asked++;
  last_end = end;
}

static void
on_routes_changed (struct fleet_events *events, struct route_table *table,
                   GBytes *text)
{
  ((struct bed *)(void *)events)->version = table->version;
}

static void
on_zones_evacuated (struct fleet_events *events,
                    const struct evacuation *state)
{
}

static void
on_upstream_changed (struct fleet_events *events,
                     const struct listed_upstream *spec)
{
  ((struct bed *)(void *)events)->n_upstreams++;
}

static void
on_upstream_gone (struct fleet_events *events, const char *id)
{
  ((struct bed *)(void *)events)->n_upstreams--;
}

static void
on_shards_assigned (struct fleet_events *events, guint64 generation,
                    const guint *shards, guint n_shards)
{
  ((struct bed *)(void *)events)->n_shards = n_shards;
}

static void
on_members_listed (struct fleet_events *events, const char *const *members,
                   guint n_members)
{
  ((struct bed *)(void *)events)->n_members = n_members;
}

static void
on_store_reached (struct fleet_events *events, gboolean is_reached)
{
  ((struct bed *)(void *)events)->is_reached = is_reached;
}

static const struct fleet_events_ops ops = {
  .routes_changed = on_routes_changed,
  .zones_evacuated = on_zones_evacuated,
  .upstream_changed = on_upstream_changed,
  .upstream_gone = on_upstream_gone,
  .shards_assigned = on_shards_assigned,
  .members_listed = on_members_listed,
  .store_reachability_changed = on_store_reached,
};

static struct bed *
open_bed (void)
{
  static const char *const zones[] = { "z", NULL };
  struct bed *bed = g_new0 (struct bed, 1);
  struct platform_config config = {
    .member = "10.0.0.1:7720",
    .availability_zone = "z",
    .zones = zones,
    .n_shards = 16,
    .member_ttl_ms = 1500,
  };

  bed->events.ops = &ops;
  bed->store = fake_store_new ();
  config.store = fake_store_address (bed->store);
  bed->platform = platform_new (&config);
  return bed;
}

static void
close_bed (struct bed *bed)
{
  bed->platform->ops->free (bed->platform);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  fake_store_free (bed->store);
  g_free (bed);
}

static void
fill_store (struct bed *bed)
{
  fake_store_put (bed->store, "keyed.op", "config",
                  "{'version':3,'routes':[{'host':'h','prefix':'/',"
                  "'service':'s'}]}");
  fake_store_put (bed->store, "keyed.servers", "i-1",
                  "{'service':'s','addr':'10.0.0.9:80','zone':'z',"
                  "'version':'v1','slots':8,'state':'ready',"
                  "'warmupLeftMs':0,'capacity':{'cpu':16000,'memMb':1,"
                  "'gpu':0},'labels':[],'seq':1}");
  fake_store_set_answer (bed->store, "log-join",
                         "{'generation':6,'parts':[['shards.z',2,0]]}");
  fake_store_set_answer (bed->store, "log-owners",
                         "{'parts':[['shards.z',2,'10.0.0.1:7720',0]]}");
}

static void
test_follow (void)
{
  struct bed *bed = open_bed ();

  fill_store (bed);
  bed->platform->ops->follow (bed->platform, &bed->events);
  g_assert_cmpuint (bed->version, ==, 0);
  while (bed->version != 3 || bed->n_upstreams != 1 || bed->n_shards != 1
         || bed->n_members != 1 || !bed->is_reached)
    g_main_context_iteration (NULL, TRUE);
  bed->platform->ops->list_members (bed->platform);
  bed->platform->ops->leave (bed->platform);
  while (fake_store_count (bed->store, "log-leave") == 0)
    g_main_context_iteration (NULL, TRUE);
  close_bed (bed);
}

/* Nothing is sent before, and what comes then does no harm.  */
static void
test_before_follow (void)
{
  struct bed *bed = open_bed ();
  g_autoptr (GBytes) text = g_bytes_new_static ("{}", 2);

  bed->platform->ops->offer_routes (bed->platform, text);
  bed->platform->ops->list_members (bed->platform);
  bed->platform->ops->leave (bed->platform);
  close_bed (bed);
}

static void
test_orders_reach_the_owner (void)
{
  struct bed *bed = open_bed ();
  const struct fleet_platform_ops *table = bed->platform->ops;
  struct batch batch = { .spec = "" };
  struct batch_task task = { .batch = &batch };
  struct owned_upstream upstream = { .id = "i-1", .ref_count = 1 };
  struct run run = { .upstream = &upstream, .task = &task, .name = "a.0.0.0" };

  /* The store stands for an upstream that knows none of the calls.  */
  upstream.address = (char *)fake_store_address (bed->store);
  table->start_run (bed->platform, NULL, &run, 1);
  table->stop_run (bed->platform, NULL, &run);
  table->poll_upstream (bed->platform, NULL, &upstream, 0, 0);
  while (n_started < 1 || n_stopped < 1 || n_asked < 1)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpint (last_end, ==, ORDER_UNANSWERED);
  g_assert_cmpuint (upstream.ref_count, ==, 1);
  fake_store_set_fault (bed->store, FAKE_STORE_SILENT);
  table->poll_upstream (bed->platform, NULL, &upstream, 0, 0);
  table->free_transport_data (bed->platform, &upstream);
  g_assert_null (upstream.transport_data);
  table->poll_upstream (bed->platform, NULL, &upstream, 0, 0);
  close_bed (bed);
  g_assert_cmpuint (n_asked, ==, 1);
  g_assert_cmpuint (upstream.ref_count, ==, 1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform/follow", test_follow);
  g_test_add_func ("/platform/before-follow", test_before_follow);
  g_test_add_func ("/platform/orders", test_orders_reach_the_owner);
  return g_test_run ();
}
