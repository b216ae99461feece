/*
 * The sections that this VM's heartbeats carry after their header: its
 * introduction, the digest of its documents, its load, and the names of VMs
 * that are leaving.
 *
 * A changed digest is sent to each peer in its next two heartbeats, so that
 * the loss of one does not matter, and again at every refresh.  Loads change
 * all the time; they are sent in every second heartbeat at most.
 */
#ifndef TRANSPORT_HEARTBEAT_SECTIONS_H
#define TRANSPORT_HEARTBEAT_SECTIONS_H

#include "protocol/peer_xdr.h"

#include <glib.h>

/* The number of heartbeats to each peer that carry a changed digest.  */
#define DIGEST_REPEATS 2

/* Changed loads are sent in at most one of this many heartbeats.  */
#define LOADS_INTERVAL_HEARTBEATS 2

/* Every this many heartbeats to a peer, all sections are sent again.  */
#define REFRESH_INTERVAL_HEARTBEATS 32

/* How long the name of a leaving VM is sent.  */
#define LEAVING_NOTICE_US (3 * G_USEC_PER_SEC)

/* What was sent to one peer so far.  Starts as zeros.  */
struct heartbeat_progress
{
  guint n_heartbeats;            /* sent */
  guint64 digest_revision;       /* of the digest that was sent last */
  guint digest_repeats;          /* heartbeats that carried that digest */
  guint64 loads_revision;        /* of the loads that were sent last */
  guint loads_sent_at_heartbeat; /* n_heartbeats when those were sent */
};

/* The current content of the sections, for all peers.  */
struct heartbeat_sections
{
  heartbeat_introduction introduction;
  heartbeat_digest digest;
  guint64 digest_revision; /* number of changes; 0 if never set */
  heartbeat_load loads[HEARTBEAT_LOADS_MAX];
  guint n_loads;
  guint64 loads_revision;  /* number of changes; 0 if never set */
  GQueue *leaving_notices; /* struct leaving_notice, those sent longest ago
                              first */

  /* Buffers to which the heartbeats of heartbeat_sections_fill () point.  */
  char *leaving_names[HEARTBEAT_LEAVING_MAX];
  heartbeat_section sections[HEARTBEAT_SECTIONS_MAX];
};

/* Copies the strings, which introduce this VM.  */
struct heartbeat_sections *
heartbeat_sections_new (const char *vm, const char *availability_zone,
                        const char *address);
void heartbeat_sections_free (struct heartbeat_sections *s);

/* Set the digest, and the loads (of which those beyond HEARTBEAT_LOADS_MAX are
   ignored).  Return whether anything has changed.  */
gboolean heartbeat_sections_set_digest (struct heartbeat_sections *s,
                                        guint64 versions, guint64 next_offset);
gboolean heartbeat_sections_set_loads (struct heartbeat_sections *s,
                                       const heartbeat_load *loads,
                                       guint n_loads);

/* Adds the name of a leaving VM, which is sent for LEAVING_NOTICE_US.  */
void heartbeat_sections_add_leaving (struct heartbeat_sections *s,
                                     const char *vm, gint64 now_us);

/* Fills BEAT with the sections that are due for the peer with PROGRESS, which
   is updated.  The sections point to memory of S, which is valid until the
   next call.  */
void heartbeat_sections_fill (struct heartbeat_sections *s,
                              struct heartbeat_progress *progress,
                              gboolean with_introduction, gboolean with_loads,
                              gint64 now_us, heartbeat *beat);

#endif
