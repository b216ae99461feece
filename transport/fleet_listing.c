#include "transport/fleet_listing.h"

#include "base/clock.h"
#include "base/hash64.h"

#define FETCH_TIMEOUT_US (500 * USEC_PER_MSEC)
#define WHOLE_TIMEOUT_US (2 * USEC_PER_SEC)

/* After a fetch that has brought nothing, the next is sent this much later. */
#define FETCH_RETRY_US (150 * USEC_PER_MSEC)

/* A whole list is given to one peer in this time: the link of a VM carries few
   at once, and who has one can pass it on.  */
#define WHOLE_INTERVAL_US (150 * USEC_PER_MSEC)

struct fleet_listing
{
  const struct fleet_settings *settings;
  struct fleet_platform *platform;
  const struct vm_directory *directory;
  struct peer_hub *hub;
  gint64 started_us;
  gint64 whole_again_us; /* no whole list is given before */
  gint64 fetch_again_us; /* nothing is fetched before */
  gboolean is_fetching;
  gboolean is_leaving;
  guint n_fetches;
  GArray *peers; /* struct listing_peer; of the last decision */
};

/* Lists the other live VMs of this zone that are not leaving.  */
static void
list_peers (struct fleet_listing *listing)
{
  const GPtrArray *vms = vm_directory_list (listing->directory);

  g_array_set_size (listing->peers, 0);
  for (guint i = 0; i < vms->len; i++)
    {
      const struct vm *vm = g_ptr_array_index (vms, i);
      const struct listing_peer peer = { .name = vm->name,
                                         .capacity = vm->capacity,
                                         .state = vm->listing };

      if (vm->is_live && !vm->is_leaving
          && g_str_equal (vm->availability_zone,
                          listing->settings->availability_zone))
        g_array_append_val (listing->peers, peer);
    }
}

static void
on_fetched (const void *result, const GError *error, gpointer data)
{
  const peer_listing_result *reply = result;
  struct fleet_listing *listing = data;
  g_autoptr (GBytes) text = NULL;

  listing->is_fetching = FALSE;
  if (reply == NULL || reply->text.text_len == 0)
    {
      listing->fetch_again_us = clock_now_us () + FETCH_RETRY_US;
      return;
    }
  text = g_bytes_new (reply->text.text_val, reply->text.text_len);
  listing->platform->ops->apply_listing (listing->platform, text,
                                         clock_now_us ()
                                             - reply->age_ms * USEC_PER_MSEC);
}

static void
fetch (struct fleet_listing *listing, const char *vm, guint64 position)
{
  peer_listing_args args = { .position = position };

  listing->is_fetching = TRUE;
  listing->n_fetches++;
  peer_hub_call (listing->hub, vm, PEER_FETCH_LISTING, &args,
                 clock_now_us ()
                     + (position > 0 ? FETCH_TIMEOUT_US : WHOLE_TIMEOUT_US),
                 on_fetched, listing);
}

static void
serve_fetch (struct peer_request *request, const void *arguments,
             gpointer data)
{
  struct fleet_listing *listing = data;
  const peer_listing_args *args = arguments;
  peer_listing_result result = { { 0, NULL }, 0 };
  gint64 now_us = clock_now_us ();
  gboolean may_be_whole = now_us >= listing->whole_again_us;
  struct listing_state state;
  g_autoptr (GBytes) text = NULL;
  gsize length = 0;

  listing->platform->ops->get_listing (listing->platform, &state);
  text = listing->platform->ops->format_listing (listing->platform,
                                                 args->position, may_be_whole);
  if (text != NULL)
    result.text.text_val = (char *)g_bytes_get_data (text, &length);
  if (text != NULL && args->position == 0)
    listing->whole_again_us = now_us + WHOLE_INTERVAL_US;
  result.text.text_len = (u_int)length;
  result.age_ms = (u_int)((now_us - state.as_of_us) / USEC_PER_MSEC);
  peer_request_reply (request, &result);
}

struct fleet_listing *
fleet_listing_new (const struct fleet_settings *settings,
                   struct fleet_platform *platform,
                   const struct vm_directory *directory, struct peer_hub *hub)
{
  struct fleet_listing *listing = g_new0 (struct fleet_listing, 1);

  listing->settings = settings;
  listing->platform = platform;
  listing->directory = directory;
  listing->hub = hub;
  listing->started_us = clock_now_us ();
  listing->peers = g_array_new (FALSE, FALSE, sizeof (struct listing_peer));
  peer_hub_serve (hub, PEER_FETCH_LISTING, serve_fetch, listing);
  return listing;
}

void
fleet_listing_free (struct fleet_listing *listing)
{
  g_array_unref (listing->peers);
  g_free (listing);
}

void
fleet_listing_leave (struct fleet_listing *listing)
{
  listing->is_leaving = TRUE;
}

void
fleet_listing_advance (struct fleet_listing *listing, guint capacity)
{
  struct listing_self self = { .name = listing->settings->vm,
                               .capacity = capacity,
                               .started_us = listing->started_us,
                               .is_leaving = listing->is_leaving };
  guint64 seed
      = hash64_pair (hash64_string (self.name), listing->n_fetches + 1);
  const struct listing_peer *peers;
  struct listing_choice choice;
  gint64 now_us = clock_now_us ();

  listing->platform->ops->get_listing (listing->platform, &self.state);
  list_peers (listing);
  peers = (const struct listing_peer *)(const void *)listing->peers->data;
  choice = listing_source_choose (&self, peers, listing->peers->len, seed,
                                  now_us);
  listing->platform->ops->set_listing_read (listing->platform,
                                            choice.is_reading);
  if (choice.action == LISTING_ADOPT)
    listing->platform->ops->adopt_listing (listing->platform,
                                           peers[choice.peer].state.position,
                                           peers[choice.peer].state.as_of_us);
  else if (choice.action == LISTING_FETCH && !listing->is_fetching
           && now_us >= listing->fetch_again_us)
    fetch (listing, peers[choice.peer].name, self.state.position);
}
