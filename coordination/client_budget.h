/*
 * The memory and the descriptors that the clients of one process share.
 *
 * Clients get half of the machine's memory and four fifths of its
 * descriptors, or all but 96 of few.  The rest is kept for peers, beacons, the
 * store, upstreams and the jobs themselves.  Checks of readiness and scrapes
 * have small shares of their own, so that callers cannot take them.
 *
 * A client is charged for its connection, and for the bytes of its request
 * that are kept.  When a charge does not fit, others of its class give way:
 * first those that are only being closed, then those that have been idle the
 * longest, then those that leave an answer unread, then the one whose
 * unfinished request holds the most.  A client whose request is being worked
 * on never gives way.
 *
 * Pure decisions: nothing here knows sockets or the clock.
 */
#ifndef COORDINATION_CLIENT_BUDGET_H
#define COORDINATION_CLIENT_BUDGET_H

#include "base/list.h"
#include "base/machine_limits.h"

enum client_class
{
  CLIENT_CALLERS,
  CLIENT_READINESS, /* checks of readiness */
  CLIENT_METRICS,   /* scrapes and state dumps */
  CLIENT_N_CLASSES
};

/* In the order in which clients give way.  */
enum client_state
{
  CLIENT_CLOSING, /* refused; its answer is on its way */
  CLIENT_IDLE,    /* between two requests */
  CLIENT_UNREAD,  /* it reads its answer slowly, or not at all */
  CLIENT_READING, /* its request is not complete */
  CLIENT_ANSWERING,
  CLIENT_ENDING /* has given way, and is charged no memory any more */
};

/* One connection of a client.  */
struct client
{
  struct list_node link; /* in the budget, oldest state first */
  enum client_class class;
  enum client_state state;
  gsize connection_bytes; /* charged as long as it is connected */
  gsize n_bytes;          /* of its request */
};

struct client_budget
{
  struct list_node clients;
  guint64 machine_bytes;
  guint64 max_bytes;                       /* of all clients */
  guint max_connections[CLIENT_N_CLASSES]; /* of each class */
  guint n_connections[CLIENT_N_CLASSES];
  guint64 n_bytes;
};

/* Shares out LIMITS.  Callers get at most MAX_CALLERS connections.  */
void client_budget_init (struct client_budget *budget,
                         const struct machine_limits *limits,
                         guint max_callers);

/* Whether one more connection of CLASS, which costs N_BYTES, fits.  */
gboolean client_budget_has_room (const struct client_budget *budget,
                                 enum client_class class, gsize n_bytes);

/* Whether a client of CLASS may keep N_BYTES more of its request.  */
gboolean client_budget_may_grow (const struct client_budget *budget,
                                 enum client_class class, gsize n_bytes);

/* Adds CLIENT, whose class and connection_bytes are set; its state is
   CLIENT_READING.  The budget may be exceeded.  */
void client_budget_add (struct client_budget *budget, struct client *client);

void client_budget_remove (struct client_budget *budget,
                           struct client *client);

void client_budget_set_state (struct client_budget *budget,
                              struct client *client, enum client_state state);

/* CLIENT gives way: its memory is free from now on, and its descriptor once it
   is removed.  */
void client_budget_end (struct client_budget *budget, struct client *client);

/* Sets the bytes of CLIENT's request that are kept.  */
void client_budget_set_bytes (struct client_budget *budget,
                              struct client *client, gsize n_bytes);

/* The client of CLASS that gives way next, or NULL.  When a request is to
   grow, that may be its own client.  */
struct client *client_budget_choose (struct client_budget *budget,
                                     enum client_class class);

/* The largest body that a process may take, in bytes, if LIMIT is what its
   settings allow.  */
gsize client_budget_get_max_body (const struct client_budget *budget,
                                  gsize limit);

/* The most values that the JSON text of a request may have: what they need in
   memory while the request is read must fit.  */
gsize client_budget_get_max_values (const struct client_budget *budget);

guint client_budget_count (const struct client_budget *budget);

#endif
