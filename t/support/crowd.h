/*
 * Crowds of HTTP clients that misuse a server, and what the server's process
 * uses meanwhile.
 *
 * The clients of a crowd share one thread and never wait for the server.  Only
 * those of CROWD_SIP read.  Their connections stay open until crowd_free ().
 */
#ifndef T_SUPPORT_CROWD_H
#define T_SUPPORT_CROWD_H

#include <gio/gio.h>
#include <sys/types.h>

enum crowd_kind
{
  CROWD_WHOLE,     /* bodies of legal size in one piece, one byte short */
  CROWD_PIECES,    /* the same in small pieces */
  CROWD_CHUNKS,    /* the same in chunks of a few bytes */
  CROWD_OVERSIZED, /* bodies that announce far more than the limit */
  CROWD_ENDLESS,   /* chunked bodies without an end */
  CROWD_FIELDS,    /* headers of very many short fields; every second client
                      stops inside its header */
  CROWD_MEMBERS,   /* complete bodies of legal size with very many short
                      members */
  CROWD_AHEAD,     /* many requests on a connection, answers unread */
  CROWD_DRIP,      /* a byte at a time, on very many connections */
  CROWD_SILENT,    /* very many connections; every second client sends half a
                      request */
  CROWD_LONG,      /* complete requests whose body is one long string */
  CROWD_KEY,       /* the same with one long name of an unknown member */
  CROWD_WIDE,      /* complete requests with as many tasks as are legal */
  CROWD_HELLO,     /* very many connections; the first message of a TLS
                      handshake, and nothing after it */
  CROWD_SIP,       /* very many connections; many requests on each, and the
                      answers read very slowly */
  CROWD_N_KINDS
};

/* The name of KIND in names of tests.  Static.  */
const char *crowd_kind_name (enum crowd_kind kind);

/* An address that clients reach.  The strings are borrowed.  */
struct crowd_target
{
  const char *name;
  const char *ip;
  guint16 port;
  gboolean is_tls;
  const char *method;
  const char *host;       /* of the header Host */
  const char *path;       /* ends before the id if has_ids */
  gboolean has_ids;       /* each request has an id of its own */
  const char *body;       /* of an ordinary request; NULL for none */
  const char *long_begin; /* of a legal body that goes on with one string of
                             any length; NULL for none */
  const char *long_end;
  const char *wide_body; /* a legal body with many tasks; NULL for none */
  gboolean is_answered;  /* an ordinary request is answered with 200 */
};

struct crowd;

/* A crowd of N_CLIENTS, whose largest legal body has BODY_BYTES.  */
struct crowd *crowd_new (const struct crowd_target *target,
                         enum crowd_kind kind, guint n_clients,
                         gsize body_bytes);

/* Closes all connections.  */
void crowd_free (struct crowd *crowd);

/* Lets each client send once.  Returns FALSE when no client could.  */
gboolean crowd_send (struct crowd *crowd);

/* Lets each client of CROWD_SIP read a little.  */
void crowd_sip (struct crowd *crowd);

/* Memory and descriptors of a process.  */
struct crowd_usage
{
  pid_t pid;
  const guint16 *ports; /* that its clients reach, ended by 0 */
  gsize peak_bytes;     /* resident, with what its sockets hold */
  guint peak_descriptors;
  gboolean is_running;
};

/* Begins to watch the process PID.  */
void crowd_usage_begin (struct crowd_usage *usage, pid_t pid,
                        const guint16 *ports);

/* Updates the peaks.  */
void crowd_usage_sample (struct crowd_usage *usage);

/*
 * Sends an ordinary request to TARGET with PADDING spaces behind its body,
 * in chunks of CHUNK_BYTES unless that is 0.  Returns the status of the
 * answer, 0 for none.
 */
guint crowd_request (const struct crowd_target *target, gsize padding,
                     gsize chunk_bytes);

/* Repeats an ordinary request until it is answered with 200; returns FALSE
   after very many tries.  The clients of CROWD, if any, go on meanwhile.  */
gboolean crowd_request_until_served (const struct crowd_target *target,
                                     struct crowd *crowd);

#endif
