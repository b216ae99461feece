/*
 * One upstream stand-in: docs/PROTOCOLS.md, section 1.
 *
 * upstream_task.c runs the tasks, upstream_http.c speaks the protocol,
 * upstream.c is the program.
 */
#ifndef T_STANDIN_UPSTREAM_H
#define T_STANDIN_UPSTREAM_H

#include "base/list.h"
#include "t/standin/faults.h"
#include "t/standin/listener.h"
#include "t/standin/task_record.h"

enum request_kind
{
  REQUEST_START,
  REQUEST_RENEW,
  REQUEST_STOP,
  REQUEST_THROTTLE,
  REQUEST_CHECKPOINT,
  REQUEST_USAGE,
  REQUEST_KIND_COUNT
};

struct usage
{
  gint64 measured_unix_ms;
  guint running;
};

struct upstream
{
  char *name;
  guint slots;
  gboolean fencing; /* whether tokens are checked */
  guint usage_lag_ms;
  struct listener *listener;
  GRand *random;
  struct faults faults;
  struct task_records *records;
  GHashTable *running; /* task -> struct task */
  struct usage usage;  /* as it is shown */
  guint64 requests[REQUEST_KIND_COUNT];
};

struct task
{
  struct upstream *upstream;
  struct task_record *record;
  SoupServerMessage *msg; /* NULL once its connection has ended */
  gulong finished_handler;
  gint64 token;
  gint64 lease_deadline_us;
  gint64 run_deadline_us; /* DEADLINE_NEVER while it hangs or is paused */
  gint64 percent;         /* the speed it is throttled to */
  gint64 work_left_us;    /* at full speed, as of WORK_READ_US */
  gint64 work_read_us;
  guint timer;
  char *echo; /* the JSON text of its output's echo */
  struct task_faults faults;
};

enum task_outcome
{
  OUTCOME_DONE,
  OUTCOME_FAILED,
  OUTCOME_NOT_RUN,
  OUTCOME_STOPPED
};

/* Answers the request to start MSG's task as not run, because of REASON.  */
void upstream_refuse (struct upstream *upstream, struct task_record *record,
                      SoupServerMessage *msg, const char *reason);

/* Starts a task of INPUT, whose run time and faults it names.  */
void upstream_start (struct upstream *upstream, struct task_record *record,
                     SoupServerMessage *msg, gint64 token, gint64 lease_ms,
                     json_t *input);

/* The running task of that id and token, or NULL.  */
struct task *upstream_find_task (struct upstream *upstream, const char *id,
                                 gint64 token);

/* Sets the lease of TASK to end LEASE_MS from now.  */
void task_renew (struct task *task, gint64 lease_ms);

/* Ends TASK with the outcome stopped.  */
void task_stop (struct task *task);

/* Runs TASK at PERCENT of its speed from now on.  */
void task_throttle (struct task *task, gint64 percent);

/* Serves UPSTREAM's protocol and test controls on SERVER.  */
void upstream_add_handlers (struct upstream *upstream, SoupServer *server);

#endif
