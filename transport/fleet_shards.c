#include "transport/fleet_shards.h"

#include "base/event_log.h"
#include "base/hash64.h"
#include "base/metrics.h"

/* Timeout of a request to a peer to yield a shard.  */
#define YIELD_TIMEOUT_US (300 * USEC_PER_MSEC)

/* The most times that an upstream is taken again with a higher token if it
   refuses ours although no live VM reports that it holds the shard.  */
#define MAX_TOKEN_RAISES 20

struct fleet_shards
{
  struct ownership_driver driver;
  struct ownership *ownership;
  struct peer_hub *hub;
  const struct vm_directory *directory;
  struct fleet_owner *owner;
  char *availability_zone;
  guint n_shards;
  gboolean is_start_allowed;
  GHashTable *upstreams; /* id -> struct known_upstream */
};

/* An upstream as listed by the platform.  */
struct known_upstream
{
  struct listed_upstream spec; /* its strings are copies */
  guint shard;
  guint64 token;        /* with which it was last taken; 0 for never */
  guint n_token_raises; /* since a shard was last taken */
};

static void
known_upstream_free (gpointer data)
{
  struct known_upstream *known = data;

  g_free ((char *)known->spec.id);
  g_free ((char *)known->spec.address);
  g_free ((char *)known->spec.service);
  g_free ((char *)known->spec.availability_zone);
  g_free ((char *)known->spec.rack);
  g_strfreev ((char **)known->spec.labels);
  g_free (known);
}

static struct known_upstream *
known_upstream_new (const struct listed_upstream *spec, guint n_shards)
{
  struct known_upstream *known = g_new0 (struct known_upstream, 1);

  known->spec = *spec;
  known->spec.id = g_strdup (spec->id);
  known->spec.address = g_strdup (spec->address);
  known->spec.service = g_strdup (spec->service);
  known->spec.availability_zone = g_strdup (spec->availability_zone);
  known->spec.rack = g_strdup (spec->rack);
  known->spec.labels = (const char *const *)g_strdupv ((char **)spec->labels);
  known->shard = (guint)(hash64_string (spec->id) % n_shards);
  return known;
}

static void
take_upstream (struct fleet_shards *shards, struct known_upstream *known,
               guint64 token)
{
  struct listed_upstream spec = known->spec;

  spec.is_leaving |= !shards->is_start_allowed;
  if (known->token != token)
    event_log_fields (
        EVENT_UPSTREAM_TAKEN, FIELD_TEXT ("upstream", known->spec.id),
        FIELD_INT ("shard", known->shard), FIELD_INT ("token", token));
  known->token = token;
  owner_take_upstream (fleet_owner_get_owner (shards->owner), &spec, token,
                       clock_now_us ());
}

static struct fleet_shards *
shards_from_driver (struct ownership_driver *driver)
{
  return list_entry (driver, struct fleet_shards, driver);
}

static void
driver_take_shard (struct ownership_driver *driver, guint shard, guint64 token)
{
  struct fleet_shards *shards = shards_from_driver (driver);
  GHashTableIter iter;
  gpointer value;

  metrics_count (METRIC_TAKEOVERS);
  event_log_fields (EVENT_SHARD_TAKEN, FIELD_INT ("shard", shard),
                    FIELD_INT ("token", token));
  g_hash_table_iter_init (&iter, shards->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct known_upstream *known = value;

      known->n_token_raises = 0;
      if (known->shard == shard)
        take_upstream (shards, known, token);
    }
}

static void
driver_release_shard (struct ownership_driver *driver, guint shard)
{
  struct fleet_shards *shards = shards_from_driver (driver);
  GHashTableIter iter;
  gpointer value;

  event_log_fields (EVENT_SHARD_RELEASED, FIELD_INT ("shard", shard));
  g_hash_table_iter_init (&iter, shards->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct known_upstream *known = value;

      if (known->shard == shard)
        owner_release_upstream (fleet_owner_get_owner (shards->owner),
                                known->spec.id, clock_now_us ());
    }
}

/* A request to yield that is not answered.  */
struct yield_request
{
  struct fleet_shards *shards;
  char *peer;
  guint shard;
};

static void
on_yield_answered (const void *result, const GError *error, gpointer data)
{
  struct yield_request *request = data;
  struct fleet_shards *shards = request->shards;
  const peer_yield_result *reply = result;

  if (reply != NULL
      && ownership_handle_yield_reply (
          shards->ownership, request->peer, request->shard,
          reply->is_acknowledged != 0, clock_now_us ()))
    event_log_fields (EVENT_SHARD_GRANTED, FIELD_INT ("shard", request->shard),
                      FIELD_TEXT ("peer", request->peer));
  g_free (request->peer);
  g_free (request);
}

static void
driver_request_yield (struct ownership_driver *driver, const char *peer,
                      guint shard)
{
  struct fleet_shards *shards = shards_from_driver (driver);
  peer_yield_args args
      = { .shard = shard,
          .n_held = ownership_count_claimed (shards->ownership) };
  struct yield_request *request = g_new0 (struct yield_request, 1);

  request->shards = shards;
  request->peer = g_strdup (peer);
  request->shard = shard;
  peer_hub_call (shards->hub, peer, PEER_YIELD, &args,
                 clock_now_us () + YIELD_TIMEOUT_US, on_yield_answered,
                 request);
}

static const struct ownership_driver_ops driver_ops = {
  .take_shard = driver_take_shard,
  .release_shard = driver_release_shard,
  .request_yield = driver_request_yield,
};

static void
on_yield (struct peer_request *request, const void *arguments, gpointer data)
{
  struct fleet_shards *shards = data;
  const peer_yield_args *args = arguments;
  const char *peer = peer_request_get_sender (request);
  peer_yield_result result = { .is_acknowledged = FALSE };

  if (args->shard < shards->n_shards)
    {
      event_log_fields (EVENT_SHARD_YIELDED, FIELD_INT ("shard", args->shard),
                        FIELD_TEXT ("to", peer),
                        FIELD_INT ("n_held", args->n_held));
      result.is_acknowledged = ownership_handle_yield_request (
          shards->ownership, peer, args->shard, args->n_held, clock_now_us ());
      if (result.is_acknowledged)
        metrics_count (METRIC_SHARDS_YIELDED);
    }
  peer_request_reply (request, &result);
}

struct fleet_shards *
fleet_shards_new (const char *vm, const char *availability_zone,
                  guint n_shards, struct peer_hub *hub,
                  const struct vm_directory *directory)
{
  struct fleet_shards *shards = g_new0 (struct fleet_shards, 1);

  shards->driver.ops = &driver_ops;
  shards->ownership = ownership_new (&shards->driver, vm);
  shards->hub = hub;
  shards->directory = directory;
  shards->availability_zone = g_strdup (availability_zone);
  shards->n_shards = MIN (n_shards, OWNERSHIP_MAX_SHARDS);
  shards->upstreams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                             known_upstream_free);
  peer_hub_serve (hub, PEER_YIELD, on_yield, shards);
  return shards;
}

void
fleet_shards_free (struct fleet_shards *shards)
{
  ownership_free (shards->ownership);
  g_hash_table_unref (shards->upstreams);
  g_free (shards->availability_zone);
  g_free (shards);
}

void
fleet_shards_set_owner (struct fleet_shards *shards, struct fleet_owner *owner)
{
  shards->owner = owner;
}

void
fleet_shards_share_by_capacity (struct fleet_shards *shards)
{
  ownership_share_by_capacity (shards->ownership);
}

void
fleet_shards_set_capacity (struct fleet_shards *shards, guint milli_cores)
{
  ownership_set_capacity (shards->ownership, milli_cores, clock_now_us ());
}

void
fleet_shards_set_store_reached (struct fleet_shards *shards,
                                gboolean is_reached)
{
  ownership_set_platform_reached (shards->ownership, is_reached);
}

void
fleet_shards_change_upstream (struct fleet_shards *shards,
                              const struct listed_upstream *spec)
{
  struct known_upstream *previous;
  struct known_upstream *known;
  guint64 token;

  if (!g_str_equal (spec->availability_zone, shards->availability_zone))
    return;
  known = known_upstream_new (spec, shards->n_shards);
  previous = g_hash_table_lookup (shards->upstreams, spec->id);
  known->token = previous != NULL ? previous->token : 0;
  g_hash_table_replace (shards->upstreams, (char *)known->spec.id, known);
  token = ownership_get_token (shards->ownership, known->shard);
  if (token != 0)
    take_upstream (shards, known, MAX (token, known->token));
}

void
fleet_shards_allow_starts (struct fleet_shards *shards, gboolean is_allowed)
{
  GHashTableIter iter;
  gpointer value;

  if (shards->is_start_allowed == is_allowed)
    return;
  shards->is_start_allowed = is_allowed;
  g_hash_table_iter_init (&iter, shards->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct known_upstream *known = value;
      guint64 token = ownership_get_token (shards->ownership, known->shard);

      if (token != 0)
        take_upstream (shards, known, MAX (token, known->token));
    }
}

void
fleet_shards_remove_upstream (struct fleet_shards *shards, const char *id)
{
  if (!g_hash_table_remove (shards->upstreams, id))
    return;
  event_log_fields (EVENT_UPSTREAM_GONE, FIELD_TEXT ("upstream", id));
  /* Its runs may continue: they are left to finish, or their leases to
     expire.  */
  owner_release_upstream (fleet_owner_get_owner (shards->owner), id,
                          clock_now_us ());
}

void
fleet_shards_assign (struct fleet_shards *shards, guint64 generation,
                     const guint *assigned, guint n_assigned)
{
  ownership_assign (shards->ownership, generation, assigned, n_assigned,
                    clock_now_us ());
}

/* Whether any known upstream of SHARD is still owned.  */
static gboolean
has_owned_upstream (struct fleet_shards *shards, guint shard)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, shards->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct known_upstream *known = value;

      if (known->shard == shard
          && owner_find_upstream (fleet_owner_get_owner (shards->owner),
                                  known->spec.id)
                 != NULL)
        return TRUE;
    }
  return FALSE;
}

/* Reports the shards being released of which no upstream is owned any longer
   as released.  */
static void
report_released_shards (struct fleet_shards *shards)
{
  guint64 held = ownership_get_held (shards->ownership);

  for (guint shard = 0; shard < shards->n_shards; shard++)
    if ((held >> shard & 1) != 0
        && ownership_get_token (shards->ownership, shard) == 0
        && !has_owned_upstream (shards, shard))
      ownership_released (shards->ownership, shard, clock_now_us ());
}

/* Whether a live VM of this zone reports that it holds SHARD.  */
static gboolean
is_held_elsewhere (const struct fleet_shards *shards, guint shard)
{
  const GPtrArray *vms = vm_directory_list (shards->directory);

  for (guint i = 0; i < vms->len; i++)
    {
      const struct vm *vm = g_ptr_array_index (vms, i);

      if (vm->is_live && (vm->held >> shard & 1) != 0
          && g_str_equal (vm->availability_zone, shards->availability_zone))
        return TRUE;
    }
  return FALSE;
}

/* An upstream has refused the token of KNOWN.  If no live VM reports that it
   holds the shard, the upstream is taken again with a higher token; otherwise,
   or after too many attempts, the shard is given up.  */
static void
handle_fenced (struct fleet_shards *shards, struct known_upstream *known)
{
  guint64 token = ownership_get_token (shards->ownership, known->shard);

  if (token == 0)
    return;
  if (known->n_token_raises++ < MAX_TOKEN_RAISES
      && !is_held_elsewhere (shards, known->shard))
    {
      token = ownership_raise (shards->ownership, known->shard,
                               MAX (token, known->token));
      take_upstream (shards, known, token);
      return;
    }
  event_log_fields (EVENT_SHARD_FENCED, FIELD_INT ("shard", known->shard),
                    FIELD_TEXT ("upstream", known->spec.id),
                    FIELD_INT ("token", known->token));
  ownership_fenced (shards->ownership, known->shard, clock_now_us ());
}

void
fleet_shards_handle_upstream_lost (struct fleet_shards *shards, const char *id,
                                   gboolean is_fenced)
{
  struct known_upstream *known = g_hash_table_lookup (shards->upstreams, id);

  if (known != NULL && is_fenced)
    handle_fenced (shards, known);
  report_released_shards (shards);
}

void
fleet_shards_handle_beacon (struct fleet_shards *shards, const struct vm *vm)
{
  gint64 now_us = clock_now_us ();

  if (!g_str_equal (vm->availability_zone, shards->availability_zone))
    return;
  ownership_update_peer_capacity (shards->ownership, vm->name, vm->incarnation,
                                  vm->capacity, now_us);
  ownership_update_peer (shards->ownership, vm->name, vm->held, vm->is_leaving,
                         now_us);
}

void
fleet_shards_end_listening (struct fleet_shards *shards)
{
  ownership_end_listening (shards->ownership, clock_now_us ());
}

void
fleet_shards_leave (struct fleet_shards *shards)
{
  ownership_leave (shards->ownership, clock_now_us ());
  report_released_shards (shards);
}

guint64
fleet_shards_get_held (const struct fleet_shards *shards)
{
  return ownership_get_held (shards->ownership);
}

gboolean
fleet_shards_is_acquiring (struct fleet_shards *shards)
{
  return ownership_is_acquiring (shards->ownership, clock_now_us ());
}

guint
fleet_shards_count_upstreams (const struct fleet_shards *shards)
{
  return g_hash_table_size (shards->upstreams);
}

void
fleet_shards_advance (struct fleet_shards *shards)
{
  ownership_advance (shards->ownership, clock_now_us ());
  report_released_shards (shards);
}
