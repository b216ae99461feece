/*
 * Whether slots for a service may become available soon at a home that knows
 * of none, or of too few.  Does no I/O.
 *
 * Slots are expected for a while after the process started, after an owner was
 * lost, whose upstreams another VM takes over, and after an owner last
 * announced slots for the service.  Owners in an evacuated zone don't count:
 * their slots stay unavailable until the operator takes the zone back.
 */
#ifndef COORDINATION_SLOT_OUTLOOK_H
#define COORDINATION_SLOT_OUTLOOK_H

#include <glib.h>

/* Maximum number of signs that are kept; the oldest one is replaced.  */
#define SLOT_OUTLOOK_MAX_SIGNS 64

/* That there were slots for a service in a zone.  */
struct slot_sign
{
  guint64 service_hash; /* 0: of an owner that was lost, for any service */
  guint64 zone_hash;
  gint64 seen_us;
};

struct slot_outlook
{
  gint64 started_us; /* of the process */
  gint64 window_us;  /* from a sign to when slots have become available */
  guint n_signs;
  struct slot_sign signs[SLOT_OUTLOOK_MAX_SIGNS];
};

/* What the home knows at present.  */
struct slot_prospect
{
  gboolean is_any_zone_open; /* not all availability zones are evacuated */
  gboolean is_acquiring;     /* this VM is about to own upstreams */
};

/* Times are readings of clock_now_us ().  */
void slot_outlook_init (struct slot_outlook *outlook, gint64 window_us,
                        gint64 started_us);

/* An owner in ZONE has announced slots for the service with SERVICE_HASH.  */
void slot_outlook_note_slots (struct slot_outlook *outlook,
                              guint64 service_hash, const char *zone,
                              gint64 now_us);

/* An owner in ZONE was lost.  */
void slot_outlook_note_loss (struct slot_outlook *outlook, const char *zone,
                             gint64 now_us);

/* ZONE was evacuated.  */
void slot_outlook_forget_zone (struct slot_outlook *outlook, const char *zone);

/* Whether slots are expected for the service with SERVICE_HASH, for which no
   owner has any.  */
gboolean slot_outlook_expects_slots (const struct slot_outlook *outlook,
                                     guint64 service_hash,
                                     const struct slot_prospect *prospect,
                                     gint64 now_us);

/* Whether more slots are expected than owners announce now.  */
gboolean slot_outlook_expects_more (const struct slot_outlook *outlook,
                                    const struct slot_prospect *prospect,
                                    gint64 now_us);

#endif
