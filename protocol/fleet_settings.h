/*
 * The settings of an entry VM in a fleet: JSON with comments, checked whole.
 */
#ifndef PROTOCOL_FLEET_SETTINGS_H
#define PROTOCOL_FLEET_SETTINGS_H

#include "protocol/settings_read.h"

struct fleet_settings
{
  char *vm;
  char *availability_zone;
  char *ip;
  GPtrArray *availability_zones; /* names, NULL-ended, the own one included */
  struct endpoint callers;       /* where jobs come in */
  struct endpoint readiness;     /* where the balancer asks */
  struct endpoint peers;         /* TCP and UDP, same port */
  guint beacon_port;             /* UDP, the same on all VMs */
  struct endpoint metrics;       /* port 0 for none */
  char *store;                   /* "IP:PORT" of the platform's store */
  guint n_shards;                /* of each availability zone */
  guint member_ttl_ms;
  guint lease_ms;     /* of runs */
  guint max_lease_ms; /* the longest that upstreams grant */
  gdouble far_factor; /* run time away from the rack with the data */
  guint grace_ms;     /* from a stop signal to the end of the process */
  guint max_connections;
  enum log_level log_level;
};

/* Parses TEXT, named SOURCE in messages.  Returns NULL with ERROR_INVALID that
   lists every problem.  Free with fleet_settings_free ().  */
struct fleet_settings *fleet_settings_parse (const char *text, gsize length,
                                             const char *source,
                                             GError **error);

/* Reads and parses the file at PATH.  */
struct fleet_settings *fleet_settings_load (const char *path, GError **error);

void fleet_settings_free (struct fleet_settings *settings);

#endif
