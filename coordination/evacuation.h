/*
 * Which availability zones the operator has evacuated: nothing is started on
 * their upstreams until they are taken back.  Does no I/O.
 *
 * The operator's requests are ordered by their positions in the platform's
 * log.  A state says which zones are evacuated after all requests before one
 * position, so of two states the one with the higher position is the newer
 * one, whether it was read from the log or received from a peer.  Positions
 * never decrease.
 */
#ifndef COORDINATION_EVACUATION_H
#define COORDINATION_EVACUATION_H

#include <glib.h>

/* Maximum number of evacuated zones; further ones are ignored.  */
#define EVACUATION_MAX_ZONES 32

struct evacuation
{
  guint64 position; /* all requests before it are applied; 0: none is known */
  guint n_zones;
  guint64 zones[EVACUATION_MAX_ZONES]; /* hashes of their names */
};

/* Adds ZONE to STATE, or removes it, regardless of positions.  */
void evacuation_set (struct evacuation *state, const char *zone,
                     gboolean is_evacuated);

/* Applies the request at POSITION that evacuates ZONE, or takes it back.
   Ignores a request that STATE includes already.  Returns whether STATE has
   changed.  */
gboolean evacuation_apply (struct evacuation *state, const char *zone,
                           gboolean is_evacuated, guint64 position);

/* Replaces STATE by OTHER if that is newer.  Returns whether it did.  */
gboolean evacuation_update (struct evacuation *state,
                            const struct evacuation *other);

/* Whether ZONE is evacuated.  */
gboolean evacuation_includes (const struct evacuation *state,
                              const char *zone);

/* Whether tasks may be started in ZONE: the operator's requests are known, and
   ZONE is not evacuated.  */
gboolean evacuation_allows_starts (const struct evacuation *state,
                                   const char *zone);

#endif
