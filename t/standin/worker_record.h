/*
 * What the worker stand-ins of a process remember of every run: the proof that
 * a test reads back.
 */
#ifndef T_STANDIN_WORKER_RECORD_H
#define T_STANDIN_WORKER_RECORD_H

#include <glib.h>
#include <jansson.h>

enum record_end
{
  RECORD_RUNNING,
  RECORD_DONE,
  RECORD_FAILED,
  RECORD_STOPPED,
  RECORD_LAPSED,
  RECORD_CRASHED, /* with its worker */
  RECORD_END_COUNT
};

struct task_tally;

/* One run of a task.  */
struct record_entry
{
  char *worker;
  gint64 born_ms; /* of the worker's life */
  char *task;
  guint64 run;
  enum record_end end;
  gint64 start_ms; /* CLOCK_BOOTTIME */
  gint64 end_ms;   /* -1 while it runs */
  gboolean is_over_capacity;
  gboolean is_double; /* another run of the task was under way */
  struct task_tally *tally;
};

struct worker_record;

struct worker_record *worker_record_new (void);

/* Forgets the entries and counts; tasks that are running stay known.  */
void worker_record_reset (struct worker_record *record);

/* Adds a run of TASK; the entry is the record's.  */
struct record_entry *worker_record_start (struct worker_record *record,
                                          const char *worker, gint64 born_ms,
                                          const char *task, guint64 run,
                                          gboolean is_over_capacity,
                                          gboolean is_draining);

void worker_record_end (struct worker_record *record,
                        struct record_entry *entry, enum record_end end);

/* Counts an order that was refused for REASON.  */
void worker_record_refuse (struct worker_record *record, const char *reason);

/* The name of END, as a worker lists it.  */
const char *record_end_name (enum record_end end);

/* The answer to GET /standin/record.  */
json_t *worker_record_to_json (const struct worker_record *record,
                               gboolean has_list);

#endif
