#include "transport/entry.h"

#include "base/event_log.h"
#include "transport/caller_server.h"
#include "transport/config_follower.h"
#include "transport/home.h"
#include "transport/operator_server.h"
#include "transport/service_manager.h"

#include <glib-unix.h>
#include <signal.h>

struct entry
{
  const struct settings *settings;
  GMainLoop *loop;
  struct home *home;
  struct caller_server *caller_server;
  struct operator_server *operator_server;
  struct config_follower *config_follower;
  gboolean is_draining;
};

static void
on_drained (gpointer data)
{
  struct entry *entry = data;

  g_main_loop_quit (entry->loop);
}

/* Begins the drain, unless it has begun.  */
static void
start_drain (gpointer data)
{
  struct entry *entry = data;

  if (entry->is_draining)
    return;
  entry->is_draining = TRUE;
  event_log (EVENT_ENTRY_DRAINING, "vm %s: no new jobs", entry->settings->vm);
  service_manager_notify ("STOPPING=1");
  home_drain (entry->home, on_drained, entry);
}

static gboolean
on_signal (gpointer data)
{
  struct entry *entry = data;

  if (entry->is_draining)
    g_main_loop_quit (entry->loop);
  else
    start_drain (entry);
  return G_SOURCE_CONTINUE;
}

struct entry *
entry_new (const struct settings *settings, GError **error)
{
  struct entry *entry = g_new0 (struct entry, 1);

  entry->settings = settings;
  entry->loop = g_main_loop_new (NULL, FALSE);
  entry->home = home_new (settings);
  entry->caller_server = caller_server_new (settings, entry->home, error);
  if (entry->caller_server == NULL)
    {
      entry_free (entry);
      return NULL;
    }
  entry->operator_server = operator_server_attach (
      entry->caller_server, settings, entry->home, start_drain, entry);
  entry->config_follower
      = config_follower_new (settings, home_get_dispatcher (entry->home));
  return entry;
}

void
entry_run (struct entry *entry)
{
  guint term = g_unix_signal_add (SIGTERM, on_signal, entry);
  guint interrupt = g_unix_signal_add (SIGINT, on_signal, entry);

  event_log (EVENT_ENTRY_STARTED, "vm %s: callers on port %u",
             entry->settings->vm, entry_get_port (entry));
  service_manager_notify ("READY=1");
  g_main_loop_run (entry->loop);
  event_log (EVENT_ENTRY_STOPPED, "vm %s", entry->settings->vm);
  g_source_remove (term);
  g_source_remove (interrupt);
}

void
entry_free (struct entry *entry)
{
  if (entry->config_follower != NULL)
    config_follower_free (entry->config_follower);
  if (entry->caller_server != NULL)
    caller_server_free (entry->caller_server);
  if (entry->operator_server != NULL)
    operator_server_free (entry->operator_server);
  home_free (entry->home);
  g_main_loop_unref (entry->loop);
  g_free (entry);
}

guint
entry_get_port (const struct entry *entry)
{
  return caller_server_get_port (entry->caller_server);
}
