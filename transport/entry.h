/*
 * The daemon of an entry VM: puts the parts together and runs the loop.
 */
#ifndef TRANSPORT_ENTRY_H
#define TRANSPORT_ENTRY_H

#include "protocol/settings.h"

#include <glib.h>

struct entry;
struct peer_hub;

/* Opens all sockets; SETTINGS must outlive the entry.  Returns NULL with
   ERROR.  */
struct entry *entry_new (const struct settings *settings, GError **error);

/* SIGHUP reads the keys, and nothing else, from the settings file at PATH
   again.  */
void entry_set_settings_path (struct entry *entry, const char *path);

/* Begins to drain, as SIGTERM does.  */
void entry_drain (struct entry *entry);

/* Serves until SIGTERM or SIGINT has drained the process.  A second signal
   ends it at once.  */
void entry_run (struct entry *entry);

void entry_free (struct entry *entry);

/* The port on which callers are served.  */
guint entry_get_port (const struct entry *entry);

/* The port on which peers are served.  */
guint entry_get_peer_port (const struct entry *entry);

#endif
