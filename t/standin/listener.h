/*
 * A libsoup server behind a listening socket of our own, which has a real
 * backlog and a bound on connections; and the answers that stand-ins give.
 */
#ifndef T_STANDIN_LISTENER_H
#define T_STANDIN_LISTENER_H

#include "t/standin/connection_guard.h"

#include <jansson.h>
#include <libsoup/soup.h>

/* The backlog of listening sockets, in connections.  */
#define LISTEN_BACKLOG 1024

/* Connections above the bound that are left for test controls.  */
#define SPARE_CONNECTIONS 8

/* Makes a non-blocking socket that listens on PORT of 127.0.0.1.  */
GSocket *listen_on_loopback (guint16 port, guint16 *bound_port,
                             GError **error);

/* The same on another address of this machine.  */
GSocket *listen_on (const char *ip, guint16 port, guint16 *bound_port,
                    GError **error);

struct listener
{
  SoupServer *server; /* not owned; shared between listeners */
  GSocket *socket;
  guint16 port;
  struct connection_guard *guard; /* of a server's first listener */
};

/*
 * Listens on PORT of 127.0.0.1, or on an ephemeral one for 0, and hands
 * accepted connections to SERVER, MAX_CONNECTIONS at a time (0 for no bound).
 * Returns NULL on error.  Lives as long as the process.
 */
struct listener *listener_new (SoupServer *server, guint16 port,
                               guint max_connections, GError **error);

/* Answers MSG with STATUS and BODY, which is taken over (may be NULL).  */
void answer_text (SoupServerMessage *msg, guint status, char *body);

/* Answers MSG with STATUS and the JSON of BODY, whose reference is taken.  */
void answer_json (SoupServerMessage *msg, guint status, json_t *body);

/* Closes the connection of MSG without an answer.  */
void answer_by_closing (SoupServerMessage *msg);

/* Never answers MSG; its connection stays open.  */
void answer_by_silence (SoupServerMessage *msg);

/* The body of MSG as text; valid as long as MSG is.  */
const char *request_text (SoupServerMessage *msg, gsize *length);

/* The JSON body of MSG, or NULL when it is not JSON.  */
json_t *request_json (SoupServerMessage *msg);

/* A number or truth value of OBJECT as an integer, or FALLBACK without one. */
gint64 json_int_member (const json_t *object, const char *name,
                        gint64 fallback);

/* A member of OBJECT as a text, or NULL without one.  */
const char *json_text_member (const json_t *object, const char *name);

/* Whether MSG has the HTTP method METHOD.  */
gboolean request_has_method (SoupServerMessage *msg, const char *method);

/* Adds an integer member to OBJECT.  */
void json_add_int (json_t *object, const char *name, gint64 value);

#endif
