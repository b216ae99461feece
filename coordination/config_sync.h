/*
 * When to fetch documents from which peer.
 *
 * Heartbeats carry a digest: a hash of the versions of all documents and the
 * offset of the log up to which they were decided.  A peer with other versions
 * that has read further is asked for what differs.  While the log answers, the
 * difference has to last for a moment first, for most differences end with the
 * next records; without the log, or with nothing in force, the peer is asked
 * at once.  One fetch is under way at a time; a peer that brings nothing is
 * left alone for a growing while.
 *
 * Also names the VM that writes a snapshot.  Free of I/O.
 */
#ifndef COORDINATION_CONFIG_SYNC_H
#define COORDINATION_CONFIG_SYNC_H

#include "base/clock.h"

#include <glib.h>

/* How long a difference has to last while the log answers.  */
#define CONFIG_SYNC_GRACE_US USEC_PER_SEC

/* The pause after a fetch that brought nothing, and its limit.  */
#define CONFIG_SYNC_FIRST_PAUSE_US USEC_PER_SEC
#define CONFIG_SYNC_MAX_PAUSE_US (30 * USEC_PER_SEC)

struct config_digest
{
  guint64 versions; /* hash, see config_log_hash_versions () */
  guint64 next;     /* 0 when records are missing before it */
};

/* What this VM has.  */
struct config_sync_state
{
  struct config_digest digest;
  gboolean is_ready;         /* some configuration is in force */
  gboolean is_log_available; /* the log answers */
};

struct config_sync;
struct config_sync_driver;

struct config_sync_driver_ops
{
  /* Fetches documents from PEER; reports by config_sync_fetch_ended ().  */
  void (*fetch) (struct config_sync_driver *driver, const char *peer);
};

/* The first member of every driver.  */
struct config_sync_driver
{
  const struct config_sync_driver_ops *ops;
};

/* DRIVER must outlive it.  */
struct config_sync *config_sync_new (struct config_sync_driver *driver);
void config_sync_free (struct config_sync *sync);

/* Takes the digest that a heartbeat of PEER carried.  */
void config_sync_update_digest (struct config_sync *sync, const char *peer,
                                const struct config_digest *digest,
                                gint64 now_us);

/* PEER is gone.  */
void config_sync_remove_peer (struct config_sync *sync, const char *peer);

/* The fetch from PEER has ended; HAS_HELPED tells whether it brought anything
   that was missing.  */
void config_sync_fetch_ended (struct config_sync *sync, const char *peer,
                              gboolean has_helped, gint64 now_us);

/* Compares STATE with the peers' digests; begins a fetch that is due.  */
void config_sync_advance (struct config_sync *sync,
                          const struct config_sync_state *state,
                          gint64 now_us);

/*
 * Whether VM is the one among it and the N_OTHERS named in OTHERS that writes
 * the snapshot of EPOCH.  VMs with different views may both say yes.
 */
gboolean config_sync_writes_snapshot (const char *vm,
                                      const char *const *others,
                                      guint n_others, guint64 epoch);

#endif
