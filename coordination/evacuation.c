#include "coordination/evacuation.h"

#include "base/hash64.h"

/* The index of the zone with HASH in STATE, or n_zones.  */
static guint
find_zone (const struct evacuation *state, guint64 hash)
{
  guint i = 0;

  while (i < state->n_zones && state->zones[i] != hash)
    i++;
  return i;
}

void
evacuation_set (struct evacuation *state, const char *zone,
                gboolean is_evacuated)
{
  guint64 hash = hash64_string (zone);
  guint i = find_zone (state, hash);

  if (is_evacuated && i == state->n_zones && i < EVACUATION_MAX_ZONES)
    state->zones[state->n_zones++] = hash;
  else if (!is_evacuated && i < state->n_zones)
    state->zones[i] = state->zones[--state->n_zones];
}

gboolean
evacuation_apply (struct evacuation *state, const char *zone,
                  gboolean is_evacuated, guint64 position)
{
  if (position < state->position)
    return FALSE;
  evacuation_set (state, zone, is_evacuated);
  state->position = position + 1;
  return TRUE;
}

gboolean
evacuation_update (struct evacuation *state, const struct evacuation *other)
{
  if (other->position <= state->position)
    return FALSE;
  *state = *other;
  state->n_zones = MIN (state->n_zones, EVACUATION_MAX_ZONES);
  return TRUE;
}

gboolean
evacuation_includes (const struct evacuation *state, const char *zone)
{
  return find_zone (state, hash64_string (zone)) < state->n_zones;
}

gboolean
evacuation_allows_starts (const struct evacuation *state, const char *zone)
{
  return state->position > 0 && !evacuation_includes (state, zone);
}
