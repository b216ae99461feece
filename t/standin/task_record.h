/*
 * What an upstream stand-in remembers of every task it was ever asked to
 * start: the proof that a test reads back.
 */
#ifndef T_STANDIN_TASK_RECORD_H
#define T_STANDIN_TASK_RECORD_H

#include <glib.h>
#include <jansson.h>

struct task_record
{
  char *task;
  gint64 largest_token; /* of any request to start it; -1 before one */
  gint64 started_token; /* of the last start; -1 before one */
  gint64 stopped_token; /* starts up to this one are refused; -1 for none */
  guint starts;
  guint refusals;
  gboolean running;
};

struct task_records
{
  GHashTable *by_task;
  guint64 starts;
  guint64 refusals;
  guint running;
  guint most_running;
};

struct task_records *task_records_new (void);

/* Forgets the tasks that are not running, and the counts.  */
void task_records_reset (struct task_records *records);

/* The record of TASK, made when there is none.  */
struct task_record *task_records_get (struct task_records *records,
                                      const char *task);

/* The record of TASK, or NULL.  */
struct task_record *task_records_find (const struct task_records *records,
                                       const char *task);

void task_records_add_start (struct task_records *records,
                             struct task_record *record, gint64 token);
void task_records_add_refusal (struct task_records *records,
                               struct task_record *record);
void task_records_add_end (struct task_records *records,
                           struct task_record *record);

/* The answer to GET /test/starts.  */
json_t *task_records_to_json (const struct task_records *records);

#endif
