#include "transport/entry.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "transport/caller_server.h"
#include "transport/config_follower.h"
#include "transport/drain.h"
#include "transport/forward.h"
#include "transport/home.h"
#include "transport/operator_server.h"
#include "transport/peer_hub.h"
#include "transport/quota_follower.h"
#include "transport/service_manager.h"

#include <glib-unix.h>
#include <signal.h>

struct entry
{
  struct peer_listener listener;
  const struct settings *settings;
  char *settings_path; /* NULL when SIGHUP is ignored */
  GMainLoop *loop;
  struct home *home;
  struct peer_hub *hub;
  struct forward *forward;
  struct caller_server *caller_server;
  struct operator_server *operator_server;
  struct config_follower *config_follower;
  struct quota_follower *quota_follower;
  struct drain *drain; /* NULL while serving */
};

static void
on_drain_finished (gpointer data)
{
  struct entry *entry = data;

  g_main_loop_quit (entry->loop);
}

void
entry_drain (struct entry *entry)
{
  struct drain_parts parts
      = { entry->hub, entry->home, entry->forward, entry->caller_server };
  gint64 limit_us = entry->settings->drain_timeout_ms * USEC_PER_MSEC;

  if (entry->drain != NULL)
    return;
  event_log (EVENT_ENTRY_DRAINING, "vm %s: new jobs are refused",
             entry->settings->vm);
  service_manager_notify ("STOPPING=1");
  entry->drain = drain_new (&parts, clock_now_us () + limit_us,
                            on_drain_finished, entry);
}

static void
on_drain_requested (gpointer data)
{
  entry_drain (data);
}

static gboolean
on_stop_signal (gpointer data)
{
  struct entry *entry = data;

  if (entry->drain != NULL)
    g_main_loop_quit (entry->loop);
  else
    entry_drain (entry);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_reload_signal (gpointer data)
{
  struct entry *entry = data;
  g_autoptr (GError) error = NULL;
  struct settings *settings;

  if (entry->settings_path == NULL)
    return G_SOURCE_CONTINUE;
  settings = settings_load (entry->settings_path, &error);
  if (settings == NULL)
    {
      event_log (EVENT_KEYS_NOT_CHANGED, "%s", error->message);
      return G_SOURCE_CONTINUE;
    }
  peer_hub_set_keys (entry->hub, settings->keys);
  event_log (EVENT_KEYS_CHANGED, "%u keys", settings->keys->len);
  settings_free (settings);
  return G_SOURCE_CONTINUE;
}

static void
on_vm_leaving (struct peer_listener *listener, const char *vm,
               gboolean is_leaving)
{
  struct entry *entry = list_entry (listener, struct entry, listener);

  dispatcher_set_leaving (home_get_dispatcher (entry->home), vm, is_leaving,
                          clock_now_us ());
}

static const struct peer_listener_ops listener_ops = {
  .vm_leaving = on_vm_leaving,
};

static gboolean
create_parts (struct entry *entry, GError **error)
{
  const struct settings *settings = entry->settings;

  entry->hub
      = peer_hub_new (settings, home_get_incarnation (entry->home), error);
  if (entry->hub == NULL)
    return FALSE;
  peer_hub_add_listener (entry->hub, &entry->listener);
  home_set_mac (entry->home, peer_hub_get_mac (entry->hub));
  entry->forward = forward_new (entry->hub, entry->home);
  entry->caller_server = caller_server_new (settings, entry->home, error);
  if (entry->caller_server == NULL)
    return FALSE;
  caller_server_set_forward (entry->caller_server, entry->forward);
  return TRUE;
}

struct entry *
entry_new (const struct settings *settings, GError **error)
{
  struct entry *entry = g_new0 (struct entry, 1);

  entry->listener.ops = &listener_ops;
  list_init (&entry->listener.link);
  entry->settings = settings;
  entry->loop = g_main_loop_new (NULL, FALSE);
  entry->home = home_new (settings);
  if (!create_parts (entry, error))
    {
      entry_free (entry);
      return NULL;
    }
  entry->operator_server = operator_server_attach (
      entry->caller_server, settings, entry->home, on_drain_requested, entry);
  entry->config_follower
      = config_follower_new (settings, entry->home, entry->hub);
  operator_server_set_config (entry->operator_server, entry->config_follower);
  entry->quota_follower = quota_follower_new (
      settings, home_get_dispatcher (entry->home), entry->hub);
  return entry;
}

void
entry_set_settings_path (struct entry *entry, const char *path)
{
  g_free (entry->settings_path);
  entry->settings_path = g_strdup (path);
}

void
entry_run (struct entry *entry)
{
  guint sources[] = {
    g_unix_signal_add (SIGTERM, on_stop_signal, entry),
    g_unix_signal_add (SIGINT, on_stop_signal, entry),
    g_unix_signal_add (SIGHUP, on_reload_signal, entry),
  };

  event_log (EVENT_ENTRY_STARTED, "vm %s: callers on port %u, peers on %u",
             entry->settings->vm, entry_get_port (entry),
             entry_get_peer_port (entry));
  service_manager_notify ("READY=1");
  g_main_loop_run (entry->loop);
  event_log (EVENT_ENTRY_STOPPED, "vm %s", entry->settings->vm);
  for (guint i = 0; i < G_N_ELEMENTS (sources); i++)
    g_source_remove (sources[i]);
}

void
entry_free (struct entry *entry)
{
  g_clear_pointer (&entry->drain, drain_free);
  g_clear_pointer (&entry->quota_follower, quota_follower_free);
  g_clear_pointer (&entry->caller_server, caller_server_free);
  g_clear_pointer (&entry->operator_server, operator_server_free);
  g_clear_pointer (&entry->config_follower, config_follower_free);
  g_clear_pointer (&entry->forward, forward_free);
  g_clear_pointer (&entry->hub, peer_hub_free);
  home_free (entry->home);
  g_main_loop_unref (entry->loop);
  g_free (entry->settings_path);
  g_free (entry);
}

guint
entry_get_port (const struct entry *entry)
{
  return caller_server_get_port (entry->caller_server);
}

guint
entry_get_peer_port (const struct entry *entry)
{
  return peer_hub_get_port (entry->hub);
}
