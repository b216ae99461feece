/*
 * Snapshots of the configuration in the platform's log.
 *
 * Reading looks for the newest complete snapshot from the end of the stream
 * backwards.  Writing appends the parts one after the other.
 */
#ifndef TRANSPORT_SNAPSHOT_STORE_H
#define TRANSPORT_SNAPSHOT_STORE_H

#include "protocol/log_record.h"

#include <glib.h>

struct snapshot_store;

/* The end of a load.  SNAPSHOT, borrowed, is NULL when the stream has none or
   with ERROR when it could not be read.  */
typedef void snapshot_load_func (const struct snapshot *snapshot,
                                 const GError *error, gpointer data);

/* The end of a save of N_PARTS records.  */
typedef void snapshot_save_func (guint n_parts, const GError *error,
                                 gpointer data);

/* Snapshots are in STREAM of the log at URL.  */
struct snapshot_store *snapshot_store_new (const char *url,
                                           const char *stream);

/* Gives up what is under way; no function is called any more.  */
void snapshot_store_free (struct snapshot_store *store);

/* Looks for the newest complete snapshot.  One load at a time.  */
void snapshot_store_load (struct snapshot_store *store,
                          snapshot_load_func *loaded, gpointer data);
gboolean snapshot_store_is_loading (const struct snapshot_store *store);

/* Appends RECORDS, an array of JSON texts that is taken over.  One save at a
   time.  */
void snapshot_store_save (struct snapshot_store *store, GPtrArray *records,
                          snapshot_save_func *saved, gpointer data);
gboolean snapshot_store_is_saving (const struct snapshot_store *store);

#endif
