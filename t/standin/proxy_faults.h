/*
 * The faults of the proxy: what happens to the bytes or datagrams of each
 * direction of a route.
 */
#ifndef T_STANDIN_PROXY_FAULTS_H
#define T_STANDIN_PROXY_FAULTS_H

#include <glib.h>
#include <jansson.h>

/* No bound on bytes.  */
#define NO_BYTE_BOUND G_MAXINT64

enum direction
{
  DIRECTION_UP,   /* from the side that connects to the target */
  DIRECTION_DOWN, /* back */
  DIRECTION_COUNT
};

struct direction_faults
{
  gint64 delay_ms;
  gint64 jitter_ms;          /* up to as much is added; datagrams only */
  gint64 loss_percent;       /* datagrams only */
  gint64 duplicate_percent;  /* datagrams only */
  gint64 cut_after_bytes;    /* then the connection is reset */
  gint64 close_after_bytes;  /* then the connection is closed */
  gint64 silent_after_bytes; /* what comes later is dropped for good */
  gint64 bytes_per_second;   /* 0 for no bound; above 100 */
  gboolean silent;           /* whether everything is dropped */
};

struct proxy_faults
{
  struct direction_faults directions[DIRECTION_COUNT];
  gint64 connections_percent; /* the share of new connections with faults */
  gboolean refuse;            /* whether new connections are reset */
};

void proxy_faults_init (struct proxy_faults *faults);

/*
 * Replaces FAULTS by those of OBJECT: {"up": {...}, "down": {...},
 * "connections_percent": N, "refuse": B}; what is absent is without fault.
 */
void proxy_faults_set (struct proxy_faults *faults, const json_t *object);

#endif
