#include "transport/peer_hub_private.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/event_log.h"
#include "base/hash64.h"
#include "state/job_id.h"
#include "transport/listener.h"

#include <string.h>

/* The interval of the periodic work that on_tick () does less often.  */
#define HOUSEKEEPING_US (1 * USEC_PER_SEC)

/* The shortest time between two log lines about refused messages.  */
#define REFUSED_REPORT_US (10 * USEC_PER_SEC)

/* The most attempts to find a port that is free for both TCP and UDP.  */
#define MAX_PORT_TRIES 16

static struct peer_hub *
hub_from_driver (struct membership_driver *driver)
{
  return list_entry (driver, struct peer_hub, driver);
}

struct peer_link *
peer_hub_get_link (struct peer *peer)
{
  struct peer_link *link = peer->transport_data;

  if (link == NULL)
    {
      link = g_new0 (struct peer_link, 1);
      peer->transport_data = link;
    }
  if (g_strcmp0 (link->address_text, peer->address) != 0)
    {
      g_free (link->address_text);
      g_clear_object (&link->address);
      link->address_text = g_strdup (peer->address);
      link->address = peer_address_parse (peer->address);
      if (link->rpc != NULL)
        peer_rpc_set_address (link->rpc, peer->address);
      if (link->spare_rpc != NULL)
        peer_rpc_set_address (link->spare_rpc, peer->address);
    }
  return link;
}

static enum event
change_event (const struct peer_link *link, const struct peer *peer)
{
  if (link->incarnation != 0 && link->incarnation != peer->incarnation)
    return EVENT_PEER_RESTARTED;
  if (peer->state == PEER_DEAD)
    return EVENT_PEER_DEAD;
  if (peer->state == PEER_SILENT)
    return EVENT_PEER_SILENT;
  return EVENT_PEER_ALIVE;
}

/* Logs a change of PEER if its incarnation changed, it became live, silent or
   dead, or it started to leave.  Suspicions are not logged.  */
static void
log_change (struct peer_link *link, const struct peer *peer)
{
  gboolean was_live = link->state == PEER_ALIVE || link->state == PEER_SUSPECT;

  if (link->incarnation != peer->incarnation
      || (peer->state >= PEER_SILENT && link->state != peer->state)
      || (peer_is_live (peer) && !was_live))
    event_log (change_event (link, peer), "vm %s at %s", peer->name,
               peer->address);
  if (peer->is_leaving && !link->is_leaving)
    event_log (EVENT_PEER_LEAVING, "vm %s", peer->name);
}

/* Logs the change of PEER, resets its connection if it died or restarted, and
   notifies the listeners.  */
static void
driver_peer_changed (struct membership_driver *driver, struct peer *peer)
{
  struct peer_hub *hub = hub_from_driver (driver);
  struct peer_link *link = peer_hub_get_link (peer);
  struct list_node *node;
  struct list_node *after;
  gboolean is_gone
      = peer->state == PEER_DEAD
        || (link->incarnation != 0 && link->incarnation != peer->incarnation);

  log_change (link, peer);
  link->state = peer->state;
  link->incarnation = peer->incarnation;
  link->is_leaving = peer->is_leaving;
  if (is_gone && link->rpc != NULL)
    peer_rpc_reset (link->rpc);
  list_for_each (node, after, &hub->listeners)
    {
      struct peer_listener *listener
          = list_entry (node, struct peer_listener, link);

      if (listener->ops->peer_changed != NULL)
        listener->ops->peer_changed (listener, peer);
    }
}

static void
driver_peer_forgotten (struct membership_driver *driver, struct peer *peer)
{
  struct peer_link *link = peer->transport_data;

  if (link == NULL)
    return;
  if (link->rpc != NULL)
    peer_rpc_free (link->rpc);
  if (link->spare_rpc != NULL)
    peer_rpc_free (link->spare_rpc);
  g_clear_object (&link->address);
  g_free (link->address_text);
  g_free (link);
  peer->transport_data = NULL;
}

static const struct membership_driver_ops driver_ops = {
  .send_heartbeat = peer_hub_send_heartbeat,
  .check_peer = peer_hub_check_peer,
  .peer_changed = driver_peer_changed,
  .peer_forgotten = driver_peer_forgotten,
};

static void
notify_vm_leaving (struct peer_hub *hub, const char *vm, gboolean is_leaving)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &hub->listeners)
    {
      struct peer_listener *listener
          = list_entry (node, struct peer_listener, link);

      if (listener->ops->vm_leaving != NULL)
        listener->ops->vm_leaving (listener, vm, is_leaving);
    }
}

static void
on_leaving (gpointer data, const char *vm, gboolean is_leaving)
{
  struct peer_hub *hub = data;

  event_log (EVENT_VM_LEAVING, "vm %s %s", vm,
             is_leaving ? "is leaving" : "is back");
  notify_vm_leaving (hub, vm, is_leaving);
}

/* Notifies the listeners of a leaving VM again, once per HOUSEKEEPING_US.  An
   object created since the last time, such as an upstream of a new document,
   is thus marked as leaving too.  */
static void
notify_still_leaving (const char *vm, gpointer data)
{
  notify_vm_leaving (data, vm, TRUE);
}

static GBytes *
build_call (struct peer_rpc_owner *owner, struct peer_rpc *rpc, guint32 xid,
            const struct rpc_procedure *procedure, const void *arguments)
{
  struct peer_hub *hub = list_entry (owner, struct peer_hub, rpc_owner);
  const char *vm = peer_rpc_get_vm (rpc);
  struct peer *peer = membership_find (hub->membership, vm);
  peer_credential credential = {
    .sender = hub->settings->vm,
    .receiver = (char *)vm,
    .incarnation = hub->incarnation,
    .sequence = peer != NULL ? ++peer_hub_get_link (peer)->call_sequence : 1,
    .sent_unix_ms = (guint64)clock_unix_ms (),
  };
  peer_credential_heard heard = { 0 };

  if (hub->heard_source != NULL)
    heard = hub->heard_source->ops->get_heard (hub->heard_source, vm);
  return rpc_build_call (hub->mac, xid, procedure, &credential, &heard,
                         arguments);
}

static void
on_connection_broken (struct peer_rpc_owner *owner, struct peer_rpc *rpc)
{
  struct peer_hub *hub = list_entry (owner, struct peer_hub, rpc_owner);
  struct peer *peer = membership_find (hub->membership, peer_rpc_get_vm (rpc));

  if (peer != NULL && peer_hub_get_link (peer)->rpc == rpc)
    membership_suspect_peer (hub->membership, peer, clock_now_us ());
}

static const struct peer_rpc_owner_ops rpc_owner_ops = {
  .build_call = build_call,
  .connection_broken = on_connection_broken,
};

static void
on_vm_list_read (struct vm_list_owner *owner,
                 const struct vm_list_item *entries, guint n_entries)
{
  struct peer_hub *hub = list_entry (owner, struct peer_hub, list_owner);
  struct listed_vm *vms = g_new0 (struct listed_vm, n_entries + 1);
  gint64 now_us = clock_now_us ();
  guint n = 0;

  leaving_vms_begin_list (hub->leaving);
  for (guint i = 0; i < n_entries; i++)
    {
      const struct vm_list_item *entry = &entries[i];

      /* Only a VM that has read this from the list tells its peers.  A notice
         from a peer is not passed on, since notices would circulate
         endlessly.  */
      if (entry->is_leaving
          && leaving_vms_add_listed (hub->leaving, entry->name))
        heartbeat_sections_add_leaving (hub->sections, entry->name, now_us);
      if (g_str_equal (entry->role, "entry") && vm_name_is_valid (entry->name))
        vms[n++] = (struct listed_vm){ entry->name, entry->availability_zone,
                                       entry->address, entry->is_leaving };
    }
  leaving_vms_end_list (hub->leaving, now_us);
  membership_apply_list (hub->membership, vms, n, now_us);
  g_free (vms);
}

static const struct vm_list_owner_ops list_owner_ops = {
  .list_read = on_vm_list_read,
};

void
peer_hub_apply_vms (struct peer_hub *hub, const struct listed_vm *vms,
                    guint n_vms)
{
  membership_apply_list (hub->membership, vms, n_vms, clock_now_us ());
}

static guint64
count_refused (const struct peer_hub *hub)
{
  return hub->counts.datagrams_refused
         + peer_service_get_counts (hub->service)->refused;
}

/* Logs how many messages were refused since the last such line, at most once
   per REFUSED_REPORT_US.  */
static void
report_refused (struct peer_hub *hub, gint64 now_us)
{
  guint64 n = count_refused (hub);

  if (n == hub->n_refused_reported || hub->next_refused_report_us > now_us)
    return;
  event_log (EVENT_PEER_REFUSED, "%" G_GUINT64_FORMAT " messages",
             n - hub->n_refused_reported);
  hub->n_refused_reported = n;
  hub->next_refused_report_us = now_us + REFUSED_REPORT_US;
}

static gboolean
on_tick (gpointer data)
{
  struct peer_hub *hub = data;
  gint64 now_us = clock_now_us ();

  membership_advance (hub->membership, now_us);
  if (hub->next_housekeeping_us > now_us)
    return G_SOURCE_CONTINUE;
  hub->next_housekeeping_us = now_us + HOUSEKEEPING_US;
  peer_hub_contact_seeds (hub);
  leaving_vms_advance (hub->leaving, now_us);
  leaving_vms_foreach (hub->leaving, notify_still_leaving, hub);
  peer_service_advance (hub->service, now_us);
  report_refused (hub, now_us);
  return G_SOURCE_CONTINUE;
}

/* Opens the TCP listener and the UDP socket on the same port.  */
static gboolean
open_sockets (struct peer_hub *hub, GError **error)
{
  const struct endpoint *endpoint = &hub->settings->peer_listen;

  for (guint i = 0; i < MAX_PORT_TRIES && hub->socket == NULL; i++)
    {
      g_autoptr (GSocket) listener = listener_open (endpoint, error);

      if (listener == NULL)
        return FALSE;
      hub->port = listener_get_port (listener);
      g_clear_error (error);
      hub->socket = peer_socket_new (endpoint->ip, hub->port,
                                     &hub->socket_owner, error);
      if (hub->socket != NULL)
        hub->service
            = peer_service_new (listener, hub->settings->vm, hub->mac);
      else if (endpoint->port != 0)
        return FALSE;
    }
  return hub->socket != NULL;
}

static void
start_membership (struct peer_hub *hub)
{
  const struct settings *settings = hub->settings;
  struct membership_config config
      = { settings->vm, settings->availability_zone, hub->incarnation,
          g_random_int () };
  const char *format
      = strchr (settings->peer_listen.ip, ':') != NULL ? "[%s]:%u" : "%s:%u";
  g_autofree char *address
      = g_strdup_printf (format, settings->peer_listen.ip, hub->port);

  hub->membership = membership_new (&hub->driver, &config);
  hub->leaving = leaving_vms_new (on_leaving, hub);
  hub->sections = heartbeat_sections_new (
      settings->vm, settings->availability_zone, address);
  peer_service_set_handler (hub->service, PEER_PING, peer_hub_serve_ping, hub);
  if (settings->vm_list_url != NULL)
    hub->vm_list = vm_list_new (settings->vm_list_url, &hub->list_owner);
  hub->tick_source
      = g_timeout_add (MEMBERSHIP_TICK_US / USEC_PER_MSEC, on_tick, hub);
}

struct peer_hub *
peer_hub_new (const struct settings *settings, guint64 incarnation,
              GError **error)
{
  struct peer_hub *hub = g_new0 (struct peer_hub, 1);

  hub->driver.ops = &driver_ops;
  hub->socket_owner.ops = &peer_hub_socket_ops;
  hub->rpc_owner.ops = &rpc_owner_ops;
  hub->list_owner.ops = &list_owner_ops;
  hub->settings = settings;
  hub->incarnation = incarnation;
  hub->name_hash = hash64_string (settings->vm);
  hub->mac = peer_mac_new (settings->keys);
  hub->rpc_owner.mac = hub->mac;
  list_init (&hub->listeners);
  list_init (&hub->checks);
  if (open_sockets (hub, error))
    {
      start_membership (hub);
      return hub;
    }
  if (hub->service != NULL)
    peer_service_free (hub->service);
  peer_mac_free (hub->mac);
  g_free (hub);
  return NULL;
}

void
peer_hub_free (struct peer_hub *hub)
{
  hub->is_closing = TRUE;
  while (!list_is_empty (&hub->listeners))
    list_remove (hub->listeners.next);
  g_source_remove (hub->tick_source);
  g_clear_pointer (&hub->vm_list, vm_list_free);
  /* Ends all calls, including checks through other peers.  */
  membership_free (hub->membership);
  peer_hub_free_checks (hub);
  peer_service_free (hub->service);
  peer_socket_free (hub->socket);
  leaving_vms_free (hub->leaving);
  heartbeat_sections_free (hub->sections);
  peer_mac_free (hub->mac);
  g_free (hub);
}

guint
peer_hub_get_port (const struct peer_hub *hub)
{
  return hub->port;
}

void
peer_hub_add_listener (struct peer_hub *hub, struct peer_listener *listener)
{
  list_append (&hub->listeners, &listener->link);
}

void
peer_hub_remove_listener (struct peer_hub *hub, struct peer_listener *listener)
{
  list_remove (&listener->link);
}

const struct membership *
peer_hub_get_membership (const struct peer_hub *hub)
{
  return hub->membership;
}

void
peer_hub_set_digest (struct peer_hub *hub, guint64 versions,
                     guint64 next_offset)
{
  heartbeat_sections_set_digest (hub->sections, versions, next_offset);
}

void
peer_hub_set_loads (struct peer_hub *hub, const heartbeat_load *loads,
                    guint n_loads)
{
  heartbeat_sections_set_loads (hub->sections, loads, n_loads);
}

void
peer_hub_foreach_leaving (const struct peer_hub *hub,
                          void (*visit) (const char *vm, gpointer data),
                          gpointer data)
{
  leaving_vms_foreach (hub->leaving, visit, data);
}

void
peer_hub_set_leaving (struct peer_hub *hub)
{
  hub->is_leaving = TRUE;
  membership_expedite_heartbeats (hub->membership);
}

void
peer_hub_set_keys (struct peer_hub *hub, const GPtrArray *keys)
{
  peer_mac_set_keys (hub->mac, keys);
}

const struct peer_mac *
peer_hub_get_mac (const struct peer_hub *hub)
{
  return hub->mac;
}

void
peer_hub_serve (struct peer_hub *hub, guint procedure,
                peer_handler_func *handler, gpointer data)
{
  peer_service_set_handler (hub->service, procedure, handler, data);
}

/* A call that cannot be sent because the VM or its address is not known, or
   the hub is closing.  It ends from the main loop.  */
struct unroutable_call
{
  char *vm;
  peer_call_done_func *ended;
  gpointer data;
};

static gboolean
end_unroutable_call (gpointer data)
{
  struct unroutable_call *call = data;
  g_autoptr (GError) error = NULL;

  error_set (&error, ERROR_NOT_RUN,
             "VM '%s' is not known here; check the platform's list of VMs",
             call->vm);
  call->ended (NULL, error, call->data);
  g_free (call->vm);
  g_free (call);
  return G_SOURCE_REMOVE;
}

/* The link to the VM named VM, or NULL if it can't be called.  */
static struct peer_link *
find_link (struct peer_hub *hub, const char *vm)
{
  struct peer *peer = membership_find (hub->membership, vm);

  if (hub->is_closing || peer == NULL || peer->address == NULL)
    return NULL;
  return peer_hub_get_link (peer);
}

/* Calls PROCEDURE over *RPC, a connection of LINK, which is NULL before the
   first call.  */
static void
call_over (struct peer_hub *hub, struct peer_link *link, struct peer_rpc **rpc,
           const char *vm, guint procedure, const void *arguments,
           gint64 deadline_us, peer_call_done_func *ended, gpointer data)
{
  struct unroutable_call *unroutable;

  if (link == NULL)
    {
      unroutable = g_new0 (struct unroutable_call, 1);
      unroutable->vm = g_strdup (vm);
      unroutable->ended = ended;
      unroutable->data = data;
      g_idle_add_full (G_PRIORITY_DEFAULT, end_unroutable_call, unroutable,
                       NULL);
      return;
    }
  if (*rpc == NULL)
    *rpc = peer_rpc_new (&hub->rpc_owner, vm, link->address_text);
  peer_rpc_call (*rpc, rpc_procedure_find (procedure), arguments, deadline_us,
                 ended, data);
}

void
peer_hub_call (struct peer_hub *hub, const char *vm, guint procedure,
               const void *arguments, gint64 deadline_us,
               peer_call_done_func *ended, gpointer data)
{
  struct peer_link *link = find_link (hub, vm);

  call_over (hub, link, link != NULL ? &link->rpc : NULL, vm, procedure,
             arguments, deadline_us, ended, data);
}

void
peer_hub_call_anew (struct peer_hub *hub, const char *vm, guint procedure,
                    const void *arguments, gint64 deadline_us,
                    peer_call_done_func *ended, gpointer data)
{
  struct peer_link *link = find_link (hub, vm);

  if (link != NULL && link->spare_rpc != NULL
      && !peer_rpc_is_answering (link->spare_rpc))
    peer_rpc_reset (link->spare_rpc);
  call_over (hub, link, link != NULL ? &link->spare_rpc : NULL, vm, procedure,
             arguments, deadline_us, ended, data);
}

void
peer_hub_abort (struct peer_hub *hub, const char *vm)
{
  struct peer_link *link = find_link (hub, vm);

  if (link != NULL && link->rpc != NULL)
    peer_rpc_abort (link->rpc);
}

void
peer_hub_abort_silent (struct peer_hub *hub, const char *vm, gint64 since_us)
{
  struct peer_link *link = find_link (hub, vm);

  if (link != NULL && link->rpc != NULL
      && peer_rpc_get_received_us (link->rpc) < since_us)
    peer_rpc_abort (link->rpc);
}

void
peer_hub_set_heard_source (struct peer_hub *hub,
                           struct peer_heard_source *source)
{
  hub->heard_source = source;
}

guint
peer_hub_count_requests (const struct peer_hub *hub)
{
  return peer_service_count_pending (hub->service);
}

const struct peer_hub_counts *
peer_hub_get_counts (const struct peer_hub *hub)
{
  struct peer_hub_counts *counts = (struct peer_hub_counts *)&hub->counts;

  counts->calls_served = peer_service_get_counts (hub->service)->served;
  counts->calls_refused = peer_service_get_counts (hub->service)->refused;
  return counts;
}
