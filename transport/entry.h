/*
 * The daemon of an entry VM, as "radishchute entry" runs it: creates its
 * parts, handles signals and runs the main loop.  It reads the services and
 * upstreams of every team from documents in the platform's log.  In a fleet,
 * see transport/fleet.h, each upstream has one owner VM instead.
 */
#ifndef TRANSPORT_ENTRY_H
#define TRANSPORT_ENTRY_H

#include "protocol/settings.h"

#include <glib.h>

struct entry;
struct peer_hub;

/* Opens all sockets.  SETTINGS must outlive the entry.  Returns NULL with
   ERROR when an address is in use or the TLS certificate cannot be loaded.  */
struct entry *entry_new (const struct settings *settings, GError **error);

/* Makes SIGHUP reload the peer keys, and nothing else, from the settings file
   at PATH.  Without a path SIGHUP is ignored.  */
void entry_set_settings_path (struct entry *entry, const char *path);

/* Starts to drain, as the first SIGTERM does.  */
void entry_drain (struct entry *entry);

/* Serves until a drain, which SIGTERM or SIGINT starts, is finished.  A second
   signal ends the process at once.  */
void entry_run (struct entry *entry);

void entry_free (struct entry *entry);

/* The port on which callers are served.  */
guint entry_get_port (const struct entry *entry);

/* The port on which peers are served.  */
guint entry_get_peer_port (const struct entry *entry);

#endif
