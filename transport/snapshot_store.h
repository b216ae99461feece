/*
 * Loads and saves snapshots of the configuration in a stream of the platform's
 * log.
 *
 * A snapshot consists of one or more records.  A load searches the stream from
 * its end backwards for the newest complete snapshot.  A save appends the
 * records one after the other.
 */
#ifndef TRANSPORT_SNAPSHOT_STORE_H
#define TRANSPORT_SNAPSHOT_STORE_H

#include "protocol/log_record.h"

#include <glib.h>

struct snapshot_store;

/* Receives the end of a load.  SNAPSHOT is borrowed.  It is NULL if the stream
   has no complete snapshot, and NULL with ERROR if the stream could not be
   read.  */
typedef void snapshot_load_func (const struct snapshot *snapshot,
                                 const GError *error, gpointer data);

/* Receives the end of a save.  N_PARTS records were appended.  ERROR is set if
   the save has failed, and NULL if it is complete.  */
typedef void snapshot_save_func (guint n_parts, const GError *error,
                                 gpointer data);

/* A store for the snapshots in STREAM of the log at URL.  */
struct snapshot_store *snapshot_store_new (const char *url,
                                           const char *stream);

/* Cancels a load or a save in progress without calling its function.  */
void snapshot_store_free (struct snapshot_store *store);

/* Searches for the newest complete snapshot.  LOADED is called once from the
   main loop with DATA.  Must not be called during a load.  */
void snapshot_store_load (struct snapshot_store *store,
                          snapshot_load_func *loaded, gpointer data);
gboolean snapshot_store_is_loading (const struct snapshot_store *store);

/* Appends RECORDS, an array of JSON texts, and takes over the reference to it.
   SAVED is called once from the main loop with DATA.  Must not be called
   during a save.  */
void snapshot_store_save (struct snapshot_store *store, GPtrArray *records,
                          snapshot_save_func *saved, gpointer data);
gboolean snapshot_store_is_saving (const struct snapshot_store *store);

#endif
