#include "coordination/slot_outlook.h"

#include "base/hash64.h"

/* In place of the hash of a service: the sign is the loss of an owner.  */
#define ANY_SERVICE 0

void
slot_outlook_init (struct slot_outlook *outlook, gint64 window_us,
                   gint64 started_us)
{
  outlook->started_us = started_us;
  outlook->window_us = window_us;
  outlook->n_signs = 0;
}

/* The sign for that service and zone, or the one to replace.  */
static struct slot_sign *
get_sign (struct slot_outlook *outlook, guint64 service_hash,
          guint64 zone_hash)
{
  struct slot_sign *oldest = &outlook->signs[0];

  for (guint i = 0; i < outlook->n_signs; i++)
    {
      struct slot_sign *sign = &outlook->signs[i];

      if (sign->service_hash == service_hash && sign->zone_hash == zone_hash)
        return sign;
      if (sign->seen_us < oldest->seen_us)
        oldest = sign;
    }
  if (outlook->n_signs < SLOT_OUTLOOK_MAX_SIGNS)
    return &outlook->signs[outlook->n_signs++];
  return oldest;
}

static void
note_sign (struct slot_outlook *outlook, guint64 service_hash,
           const char *zone, gint64 now_us)
{
  guint64 zone_hash = hash64_string (zone);

  *get_sign (outlook, service_hash, zone_hash)
      = (struct slot_sign){ service_hash, zone_hash, now_us };
}

void
slot_outlook_note_slots (struct slot_outlook *outlook, guint64 service_hash,
                         const char *zone, gint64 now_us)
{
  note_sign (outlook, service_hash, zone, now_us);
}

void
slot_outlook_note_loss (struct slot_outlook *outlook, const char *zone,
                        gint64 now_us)
{
  note_sign (outlook, ANY_SERVICE, zone, now_us);
}

void
slot_outlook_forget_zone (struct slot_outlook *outlook, const char *zone)
{
  guint64 zone_hash = hash64_string (zone);

  for (guint i = outlook->n_signs; i > 0; i--)
    if (outlook->signs[i - 1].zone_hash == zone_hash)
      outlook->signs[i - 1] = outlook->signs[--outlook->n_signs];
}

/* Whether there was a sign for the service with SERVICE_HASH lately.  */
static gboolean
has_sign (const struct slot_outlook *outlook, guint64 service_hash,
          gint64 now_us)
{
  for (guint i = 0; i < outlook->n_signs; i++)
    if (outlook->signs[i].service_hash == service_hash
        && now_us - outlook->signs[i].seen_us < outlook->window_us)
      return TRUE;
  return FALSE;
}

gboolean
slot_outlook_expects_more (const struct slot_outlook *outlook,
                           const struct slot_prospect *prospect, gint64 now_us)
{
  if (!prospect->is_any_zone_open)
    return FALSE;
  return prospect->is_acquiring
         || now_us - outlook->started_us < outlook->window_us
         || has_sign (outlook, ANY_SERVICE, now_us);
}

gboolean
slot_outlook_expects_slots (const struct slot_outlook *outlook,
                            guint64 service_hash,
                            const struct slot_prospect *prospect,
                            gint64 now_us)
{
  return slot_outlook_expects_more (outlook, prospect, now_us)
         || (prospect->is_any_zone_open
             && has_sign (outlook, service_hash, now_us));
}
