/*
 * The jobs that this process is the home of, by id.
 *
 * Finished jobs stay until their forget_us, so that a caller who asks again
 * gets the same answer; the whole table is bounded in bytes.
 */
#ifndef STATE_JOB_TABLE_H
#define STATE_JOB_TABLE_H

#include "state/job.h"
#include "state/used_ids.h"

struct job_table
{
  GHashTable *jobs;          /* id -> struct job, referenced */
  struct used_ids *used;     /* ids of all jobs that were ever added */
  struct list_node finished; /* struct job by table_link, oldest first */
  gsize bytes;
  gsize max_bytes;
};

struct job_table *job_table_new (gsize max_bytes);
void job_table_free (struct job_table *table);

/* Whether a job of that many bytes may come in.  */
gboolean job_table_has_room (const struct job_table *table, gsize bytes);

/* Whether a job of that id was added before, or may have been.  */
gboolean job_table_has_used (const struct job_table *table, const char *id);

/* Takes a reference to JOB and accounts for its bytes.  */
void job_table_add (struct job_table *table, struct job *job, gint64 now_us);

/* The job of that id, or NULL.  Not referenced for the caller.  */
struct job *job_table_find (struct job_table *table, const char *id);

/* Notes that JOB has finished and that its size has changed.  */
void job_table_finish (struct job_table *table, struct job *job);

/* Drops finished jobs whose forget_us has passed.  */
void job_table_expire (struct job_table *table, gint64 now_us);

#endif
