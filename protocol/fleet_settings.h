/*
 * The settings file of `radishchute fleet`, the daemon of an entry VM in a
 * fleet: JSON with comments.
 *
 * Parsing reports all problems at once.
 */
#ifndef PROTOCOL_FLEET_SETTINGS_H
#define PROTOCOL_FLEET_SETTINGS_H

#include "protocol/settings_read.h"

struct fleet_settings
{
  char *vm;                      /* name of this VM */
  char *availability_zone;       /* of this VM */
  char *ip;                      /* of this VM; announced to peers */
  GPtrArray *availability_zones; /* names of all, NULL-ended */
  struct endpoint callers;       /* listens for jobs, HTTP */
  struct endpoint readiness;     /* listens for readiness checks, HTTP */
  struct endpoint peers;         /* listens for peers, TCP and UDP */
  guint beacon_port;             /* UDP, the same on all VMs */
  struct endpoint metrics;       /* listens for scrapes, HTTP; port 0 for
                                    none */
  char *store;                   /* "IP:PORT" of the platform's store */
  guint n_shards;                /* of each availability zone */
  guint member_ttl_ms;    /* after this time without a renewal, a VM loses its
                             shards */
  guint lease_ms;         /* length of the leases of runs */
  guint max_lease_ms;     /* the longest lease that upstreams grant */
  guint caller_retry_ms;  /* a caller that has no answer sends its job again
                             after this time at the earliest */
  gdouble far_factor;     /* run time away from the rack with the task's data,
                             relative to the one on it; 1 or more */
  guint grace_ms;         /* from a stop signal to the end of the process */
  guint max_connections;  /* of callers */
  guint memory_mb;        /* of the machine; 0: what the process finds */
  guint max_descriptors;  /* of the machine; 0: what the process finds */
  guint max_waiting_jobs; /* jobs that wait for slots; 0: none may wait */
  guint max_waiting_kb;   /* memory of these jobs */
  gboolean share_by_caller;    /* while tasks wait for slots, the requests by
                                  which a caller clearly exceeds its share are
                                  refused first */
  gboolean spread_retries;     /* refused callers are told different times */
  gboolean placement_by_speed; /* choose upstreams by their estimated speed */
  gboolean share_by_capacity;  /* shards are divided by the VMs' capacities */
  gdouble cpu_share;           /* of cpu_cores, that this VM may use; 0: not
                                  known */
  gdouble cpu_cores;           /* of the machine */
  enum log_level log_level;
};

/* Parses LENGTH bytes of TEXT.  SOURCE names it in error messages.  Returns
   NULL with ERROR_INVALID that lists every problem.  Free with
   fleet_settings_free ().  */
struct fleet_settings *fleet_settings_parse (const char *text, gsize length,
                                             const char *source,
                                             GError **error);

/* The same for the file at PATH.  */
struct fleet_settings *fleet_settings_load (const char *path, GError **error);

void fleet_settings_free (struct fleet_settings *settings);

#endif
