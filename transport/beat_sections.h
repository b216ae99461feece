/*
 * What this VM's heartbeats carry besides their header: its introduction, the
 * digest of its documents, its load, and names of VMs that are leaving.
 *
 * A digest that has changed goes to each peer with its next two heartbeats, so
 * that the loss of one does not matter, and again now and then.  Loads change
 * all the time, and go with every second heartbeat at most.
 */
#ifndef TRANSPORT_BEAT_SECTIONS_H
#define TRANSPORT_BEAT_SECTIONS_H

#include "protocol/peer_xdr.h"

#include <glib.h>

/* How often a changed digest goes to each peer.  */
#define DIGEST_REPEATS 2

/* Loads go with one heartbeat of so many.  */
#define LOADS_EVERY 2

/* Every so many heartbeats all sections go out again.  */
#define SECTION_REFRESH 32

/* How long the name of a leaving VM goes out.  */
#define NOTICE_US (3 * G_USEC_PER_SEC)

/* What one peer was sent.  */
struct beat_progress
{
  guint n_beats;
  guint64 digest_change; /* the change that was sent last */
  guint digest_repeats;  /* how often it was sent */
  guint64 loads_change;
  guint loads_beat; /* the heartbeat that carried them last */
};

struct beat_sections
{
  heartbeat_introduction introduction;
  heartbeat_digest digest;
  guint64 digest_change; /* counts the changes; 0 when never set */
  heartbeat_load loads[HEARTBEAT_LOADS_MAX];
  guint n_loads;
  guint64 loads_change;
  GQueue *notices; /* struct notice, oldest first */
  char *names[HEARTBEAT_LEAVING_MAX];
  heartbeat_section sections[HEARTBEAT_SECTIONS_MAX];
};

/* Keeps copies of the texts.  */
struct beat_sections *beat_sections_new (const char *vm,
                                         const char *availability_zone,
                                         const char *address);
void beat_sections_free (struct beat_sections *s);

/* Each returns whether something has changed.  */
gboolean beat_sections_set_digest (struct beat_sections *s, guint64 versions,
                                   guint64 next_offset);
gboolean beat_sections_set_loads (struct beat_sections *s,
                                  const heartbeat_load *loads, guint n_loads);

/* Sends the name of a VM that is leaving for a while.  */
void beat_sections_add_notice (struct beat_sections *s, const char *vm,
                               gint64 now_us);

/* Puts into BEAT what is due for a peer; the memory stays with S.  */
void beat_sections_fill (struct beat_sections *s,
                         struct beat_progress *progress, gboolean introduces,
                         gboolean with_loads, gint64 now_us, heartbeat *beat);

#endif
