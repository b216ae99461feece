#include "transport/peer_hub_private.h"

#include "base/clock.h"
#include "protocol/heartbeat.h"
#include "state/job_id.h"

/* Bytes of the IPv4 and UDP headers.  */
#define DATAGRAM_OVERHEAD 28

static void
send_datagram (struct peer_hub *hub, GSocketAddress *to, heartbeat *message)
{
  guint8 data[HEARTBEAT_MAX_LENGTH];
  gsize length;

  message->sender = hub->name_hash;
  message->incarnation = hub->incarnation;
  message->sequence = ++hub->sequence;
  message->sent_ms = (guint32)clock_unix_ms ();
  if (hub->is_leaving)
    message->header |= HEARTBEAT_LEAVING_FLAG;
  length = heartbeat_encode (message, hub->mac, data);
  if (length == 0 || !peer_socket_send (hub->socket, to, data, length))
    return;
  hub->counts.datagrams_sent++;
  hub->counts.bytes_sent += length + DATAGRAM_OVERHEAD;
}

void
peer_hub_send_heartbeat (struct membership_driver *driver, struct peer *peer,
                         const struct membership_heartbeat *options)
{
  struct peer_hub *hub = list_entry (driver, struct peer_hub, driver);
  struct peer_link *link = peer_hub_get_link (peer);
  heartbeat message = { 0 };

  if (link->address == NULL)
    return;
  if (options->wants_answer)
    message.header |= HEARTBEAT_REPLY_WANTED_FLAG;
  if (options->chooses_link)
    message.header |= HEARTBEAT_LINK_CHOSEN_FLAG;
  heartbeat_sections_fill (hub->sections, &link->progress, options->introduces,
                           peer->is_local, clock_now_us (), &message);
  send_datagram (hub, link->address, &message);
}

static void
handle_digest (struct peer_hub *hub, const struct peer *peer,
               const heartbeat_digest *digest)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &hub->listeners)
    {
      struct peer_listener *listener
          = list_entry (node, struct peer_listener, link);

      if (listener->ops->digest_received != NULL)
        listener->ops->digest_received (listener, peer, digest);
    }
}

static void
handle_loads (struct peer_hub *hub, const struct peer *peer,
              const heartbeat_load *loads, guint n_loads)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &hub->listeners)
    {
      struct peer_listener *listener
          = list_entry (node, struct peer_listener, link);

      if (listener->ops->loads_received != NULL)
        listener->ops->loads_received (listener, peer, loads, n_loads);
    }
}

static void
handle_leaving (struct peer_hub *hub, const char *vm)
{
  if (vm_name_is_valid (vm))
    leaving_vms_report (hub->leaving, vm, clock_now_us ());
}

static void
handle_section (struct peer_hub *hub, const struct peer *peer,
                const heartbeat_section *section)
{
  switch (section->kind)
    {
    case HEARTBEAT_DIGEST:
      handle_digest (hub, peer, &section->heartbeat_section_u.digest);
      break;
    case HEARTBEAT_LOADS:
      handle_loads (hub, peer, section->heartbeat_section_u.loads.loads_val,
                    section->heartbeat_section_u.loads.loads_len);
      break;
    case HEARTBEAT_LEAVING:
      for (guint i = 0; i < section->heartbeat_section_u.leaving.leaving_len;
           i++)
        handle_leaving (hub,
                        section->heartbeat_section_u.leaving.leaving_val[i]);
      break;
    case HEARTBEAT_INTRODUCTION:
      break;
    }
}

static void
read_header (const heartbeat *message, struct received_heartbeat *received)
{
  received->sender_hash = message->sender;
  received->incarnation = message->incarnation;
  received->sequence = message->sequence;
  received->is_leaving = (message->header & HEARTBEAT_LEAVING_FLAG) != 0;
  received->wants_answer
      = (message->header & HEARTBEAT_REPLY_WANTED_FLAG) != 0;
  received->chooses_link = (message->header & HEARTBEAT_LINK_CHOSEN_FLAG) != 0;
}

/* Reads the sender's name, zone and address into RECEIVED if MESSAGE has an
   introduction.  Returns FALSE if that is invalid.  */
static gboolean
read_introduction (const heartbeat *message,
                   struct received_heartbeat *received)
{
  for (guint i = 0; i < message->sections.sections_len; i++)
    {
      const heartbeat_section *section = &message->sections.sections_val[i];
      const heartbeat_introduction *introduction
          = &section->heartbeat_section_u.introduction;
      g_autoptr (GSocketAddress) address = NULL;

      if (section->kind != HEARTBEAT_INTRODUCTION)
        continue;
      address = peer_address_parse (introduction->address);
      if (address == NULL || !vm_name_is_valid (introduction->name)
          || !g_utf8_validate (introduction->availability_zone, -1, NULL))
        return FALSE;
      received->name = introduction->name;
      received->availability_zone = introduction->availability_zone;
      received->address = introduction->address;
    }
  return TRUE;
}

static void
on_datagram (struct peer_socket_owner *owner, const guint8 *data, gsize length)
{
  struct peer_hub *hub = list_entry (owner, struct peer_hub, socket_owner);
  struct received_heartbeat received = { 0 };
  struct peer *peer = NULL;
  heartbeat message;

  if (!heartbeat_decode (data, length, hub->mac, clock_unix_ms (), &message))
    {
      hub->counts.datagrams_refused++;
      return;
    }
  hub->counts.datagrams_received++;
  hub->counts.bytes_received += length + DATAGRAM_OVERHEAD;
  read_header (&message, &received);
  if (read_introduction (&message, &received))
    peer = membership_handle_heartbeat (hub->membership, &received,
                                        clock_now_us ());
  if (peer == NULL)
    hub->counts.datagrams_refused++;
  else
    for (guint i = 0; i < message.sections.sections_len; i++)
      handle_section (hub, peer, &message.sections.sections_val[i]);
  heartbeat_clear (&message);
}

const struct peer_socket_owner_ops peer_hub_socket_ops = {
  .received = on_datagram,
};

/* While there are live peers, seeds are contacted in one of this many calls of
   peer_hub_contact_seeds (), otherwise in each.  */
#define SEED_CONTACT_INTERVAL 10

struct seed_search
{
  const char *address;
  gboolean is_known;
  guint n_live;
};

static void
match_seed (struct peer *peer, gpointer data)
{
  struct seed_search *search = data;

  if (peer_is_live (peer))
    search->n_live++;
  /* A peer in state PEER_UNHEARD with an incarnation was heard before.  It is
     not linked to this VM, and other VMs monitor it.  */
  if (g_strcmp0 (peer->address, search->address) == 0
      && (peer_is_live (peer)
          || (peer->state == PEER_UNHEARD && peer->incarnation != 0)))
    search->is_known = TRUE;
}

void
peer_hub_contact_seeds (struct peer_hub *hub)
{
  gboolean is_periodic_contact
      = hub->n_housekeepings++ % SEED_CONTACT_INTERVAL == 0;

  for (guint i = 0; i < hub->settings->peer_seeds->len; i++)
    {
      const char *text = hub->settings->peer_seeds->pdata[i];
      struct seed_search search = { text, FALSE, 0 };
      g_autoptr (GSocketAddress) address = NULL;
      struct heartbeat_progress progress = { 0 };
      heartbeat message = { .header = HEARTBEAT_REPLY_WANTED_FLAG };

      membership_foreach (hub->membership, match_seed, &search);
      if (search.is_known || (search.n_live > 0 && !is_periodic_contact)
          || g_str_equal (text, hub->sections->introduction.address))
        continue;
      address = peer_address_parse (text);
      heartbeat_sections_fill (hub->sections, &progress, TRUE, FALSE,
                               clock_now_us (), &message);
      send_datagram (hub, address, &message);
    }
}
