/*
 * Decides when to fetch configuration documents from which peer.
 *
 * Heartbeats carry a digest: a hash of the versions of all documents, and the
 * offset of the log up to which they were decided.  Documents are fetched from
 * a peer that has other versions and has read further.  While the log answers,
 * the difference has to last for CONFIG_SYNC_GRACE_US first, since most
 * differences end with the next records.  Without the log, or with no
 * configuration in force, they are fetched at once.  One fetch is in progress
 * at a time.  A peer whose fetch brought nothing is tried again after a delay
 * that doubles each time.
 *
 * Also chooses the VM that writes a snapshot.  Does no I/O.
 */
#ifndef COORDINATION_CONFIG_SYNC_H
#define COORDINATION_CONFIG_SYNC_H

#include "base/clock.h"

#include <glib.h>

/* How long a difference has to last before a fetch while the log answers.  */
#define CONFIG_SYNC_GRACE_US USEC_PER_SEC

/* Delay before the next fetch from a peer whose fetch brought nothing, and the
   limit up to which it doubles.  */
#define CONFIG_SYNC_FIRST_RETRY_US USEC_PER_SEC
#define CONFIG_SYNC_MAX_RETRY_US (30 * USEC_PER_SEC)

/* The versions of all documents of a VM.  */
struct config_digest
{
  guint64 versions; /* hash, see config_log_hash_versions () */
  guint64 next;     /* offset of the log record to be read next; 0 when records
                       before it are missing */
};

/* The state of this VM.  */
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
  /* Fetches documents from PEER.  Reports through
     config_sync_fetch_ended ().  */
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

/* Stores the digest that a heartbeat of PEER carried.  */
void config_sync_update_digest (struct config_sync *sync, const char *peer,
                                const struct config_digest *digest,
                                gint64 now_us);

/* Removes PEER, which is gone.  */
void config_sync_remove_peer (struct config_sync *sync, const char *peer);

/* The fetch from PEER has ended.  IS_USEFUL says whether it brought anything
   that was missing.  */
void config_sync_fetch_ended (struct config_sync *sync, const char *peer,
                              gboolean is_useful, gint64 now_us);

/* Compares STATE with the peers' digests, and starts a fetch if one is due. */
void config_sync_advance (struct config_sync *sync,
                          const struct config_sync_state *state,
                          gint64 now_us);

/*
 * Whether VM, of itself and the N_OTHERS VMs named in OTHERS, is the one that
 * writes the snapshot of EPOCH, the number of a period of time or of a range
 * of records for which one snapshot is due.  Two VMs that know different
 * others may both be chosen.
 */
gboolean config_sync_writes_snapshot (const char *vm,
                                      const char *const *others,
                                      guint n_others, guint64 epoch);

#endif
