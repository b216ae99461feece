/*
 * The stand-in of the operators' store: a log of topics, and groups.
 *
 * store_topic.c and store_group.c hold the contents, store_call.c brings about
 * the faults, store_log.c and store_member.c answer the calls, store_control.c
 * serves the test, store.c is the program.
 *
 * Every port is a door of its own into the same contents, so that a test can
 * turn away one machine by the faults of its door.
 */
#ifndef T_STANDIN_STORE_H
#define T_STANDIN_STORE_H

#include "base/list.h"
#include "t/standin/listener.h"
#include "t/standin/store_group.h"
#include "t/standin/store_topic.h"

enum door_mode
{
  DOOR_SERVES,
  DOOR_REFUSES, /* 503 */
  DOOR_BUSY,    /* 429 */
  DOOR_SILENT,
  DOOR_RESETS,
  DOOR_MODE_COUNT
};

struct store
{
  GHashTable *topics;       /* name -> struct topic */
  GHashTable *groups;       /* name -> struct group */
  GPtrArray *doors;         /* struct store_door * */
  GHashTable *turned_away;  /* names of members */
  GHashTable *expiries;     /* key of keyed.servers -> struct expiry */
  json_t *counts;           /* of calls, by the last part of their path */
  struct list_node waiting; /* reads, struct store_call by node */
  guint n_parts;
  guint page;
  gint64 min_ttl_ms;
  gint64 down_since_us; /* 0 while a door serves */
  gboolean is_expiring; /* members lapse also while the store is down */
};

struct store_door
{
  struct store *store;
  enum door_mode mode;
  gboolean is_operator;   /* may write the operator's topic */
  guint delay_ms;         /* calls are carried out this much later */
  guint late_ms;          /* the same for changes, which get no answer */
  gboolean loses_answers; /* of changes */
};

struct store_call;
typedef void store_handler (struct store_call *call);

/* One call that is being carried out.  */
struct store_call
{
  struct list_node node; /* on the store's waiting */
  struct store *store;
  struct store_door *door;
  SoupServerMessage *msg; /* NULL once the connection has ended */
  gulong finished_handler;
  store_handler *handle;
  GHashTable *query; /* may be NULL */
  GBytes *body;
  gboolean is_change;
  gboolean is_mute;    /* gets no answer */
  gboolean is_handled; /* a handler is at it; freed only after that */
  gboolean is_paused;  /* its message */
  gboolean is_ended;
  gboolean has_answer;
  guint timer;
  struct topic_part *part; /* of a read that waits */
  guint64 from;
  gsize max_bytes;
};

struct store_route
{
  const char *name; /* the last part of the path */
  const char *method;
  gboolean is_change;
  store_handler *handle;
};

/* The calls of the log and of groups, up to one without a name.  */
extern const struct store_route store_log_routes[];
extern const struct store_route store_member_routes[];

/* Serves the calls and the controls of DOOR on SERVER.  */
void store_add_calls (struct store_door *door, SoupServer *server);
void store_add_controls (struct store_door *door, SoupServer *server);

/* Answers CALL, which may be freed by it.  BODY is taken over.  */
void store_call_answer_json (struct store_call *call, guint status,
                             json_t *body);
void store_call_answer_bytes (struct store_call *call, GBytes *body);

/* {"reason": REASON}  */
void store_call_refuse (struct store_call *call, guint status,
                        const char *reason);

/* CALL waits for records, WAIT_MS at the most.  */
void store_call_wait (struct store_call *call, guint wait_ms,
                      GSourceFunc on_timeout);

const char *store_call_text (const struct store_call *call, const char *name);

/* A member of the query as a number, or FALLBACK without one.  */
gint64 store_call_int (const struct store_call *call, const char *name,
                       gint64 fallback);

/* Changes how DOOR answers, also for the reads that wait there.  */
void store_door_set_mode (struct store_door *door, enum door_mode mode);

/* The topic of that name, made when there is none.  */
struct topic *store_find_topic (struct store *store, const char *name);

/* The part PART of topic NAME, or NULL when there is no such part.  */
struct topic_part *store_find_part (struct store *store, const char *name,
                                    gint64 part);

/* Answers the reads that wait for records of PART.  */
void store_wake_readers (struct store *store, const struct topic_part *part);

/* The group of that name, brought up to date; made when there is none.  */
struct group *store_find_group (struct store *store, const char *name);

#endif
