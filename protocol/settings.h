/*
 * The settings file of `radishchute entry`, the daemon of an entry VM: JSON
 * with comments.
 *
 * Parsing reports all problems at once.
 */
#ifndef PROTOCOL_SETTINGS_H
#define PROTOCOL_SETTINGS_H

#include "base/event_log.h"
#include "protocol/settings_read.h"

#include <glib.h>

struct settings
{
  char *vm;                    /* name of this VM */
  char *availability_zone;     /* of this VM */
  char *region;                /* of this VM; empty when not set */
  struct endpoint listen;      /* for callers and operators, HTTP */
  struct endpoint peer_listen; /* for peers, TCP and UDP */
  GPtrArray *peer_seeds;       /* "IP:PORT" of peers to contact first */
  char *log_url;               /* of the platform's log, without a final
                                  slash */
  char *vm_list_url;           /* of the platform's list of VMs, without a
                                  final slash */
  char *config_stream;         /* in which operators publish documents */
  char *snapshot_stream;       /* in which snapshots are stored */
  GPtrArray *keys;             /* deployment keys in hexadecimal, the first
                                  one signs; empty when messages are not
                                  authenticated */
  char *operator_token;        /* NULL when operators need none */
  char *tls_certificate;       /* PEM file; NULL for plain HTTP */
  char *tls_key;               /* PEM file */
  enum log_level log_level;
  enum log_format log_format;
  guint max_body_bytes;      /* of one request of a caller */
  guint max_state_bytes;     /* of all jobs in memory */
  guint max_connections;     /* of callers */
  guint memory_mb;           /* of the machine; 0: what the process finds */
  guint max_descriptors;     /* of the machine; 0: what the process finds */
  guint request_timeout_ms;  /* to receive one complete request */
  guint drain_timeout_ms;    /* the longest time that a drain waits */
  guint snapshot_interval_s; /* longest time between two snapshots */
  guint snapshot_records;    /* most log records between two snapshots */
  guint entry_vms;    /* most entry VMs at once; 0 when not configured */
  guint entry_number; /* number of this VM among them, from 0; G_MAXUINT when
                         not configured */
};

/*
 * Parses LENGTH bytes of TEXT.  SOURCE names it in error messages.  Returns
 * NULL with ERROR_INVALID that lists every problem.  Free with settings_free
 * ().
 */
struct settings *settings_parse (const char *text, gsize length,
                                 const char *source, GError **error);

/* The same for the file at PATH.  */
struct settings *settings_load (const char *path, GError **error);

void settings_free (struct settings *settings);

#endif
