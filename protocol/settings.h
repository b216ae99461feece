/*
 * The settings of an entry VM: JSON with comments, checked whole.
 */
#ifndef PROTOCOL_SETTINGS_H
#define PROTOCOL_SETTINGS_H

#include "base/event_log.h"
#include "protocol/settings_read.h"

#include <glib.h>

struct settings
{
  char *vm;                    /* own name */
  char *availability_zone;     /* own */
  char *region;                /* own */
  struct endpoint listen;      /* callers and operators, HTTP */
  struct endpoint peer_listen; /* peers: TCP and UDP, same port */
  GPtrArray *peer_seeds;       /* "IP:PORT" strings, asked first */
  char *log_url;               /* the platform's log, without a final slash */
  char *vm_list_url;           /* the platform's list of VMs */
  char *config_stream;         /* where operators publish documents */
  char *snapshot_stream;       /* where snapshots are kept */
  GPtrArray *keys;             /* deployment keys in hexadecimal, the first
                                  one signs; empty when unauthenticated */
  char *operator_token;        /* NULL when operators need none */
  char *tls_certificate;       /* PEM file; NULL for plain HTTP */
  char *tls_key;               /* PEM file */
  enum log_level log_level;
  enum log_format log_format;
  guint max_body_bytes;      /* of one request of a caller */
  guint max_state_bytes;     /* of all jobs kept */
  guint max_connections;     /* of callers */
  guint request_timeout_ms;  /* to receive one request whole */
  guint drain_timeout_ms;    /* longest time that a drain waits */
  guint snapshot_interval_s; /* a snapshot is due after it at the latest */
  guint snapshot_records;    /* and after so many records */
  guint entry_vms;           /* the most there are at once; 0 when not said */
  guint entry_number; /* which of them this is, from 0; G_MAXUINT when not
                         said */
};

/*
 * Parses TEXT, named SOURCE in messages.  Returns NULL with ERROR_INVALID
 * that lists every problem.  Free with settings_free ().
 */
struct settings *settings_parse (const char *text, gsize length,
                                 const char *source, GError **error);

/* Reads and parses the file at PATH.  */
struct settings *settings_load (const char *path, GError **error);

void settings_free (struct settings *settings);

#endif
