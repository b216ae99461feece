/*
 * The jobs that this process has accepted, by id.
 *
 * A finished job stays until its expire_us, so that a caller that asks again
 * gets the same answer.  The memory of all jobs in the table is limited.
 */
#ifndef STATE_JOB_TABLE_H
#define STATE_JOB_TABLE_H

#include "state/job.h"
#include "state/used_ids.h"

struct job_table
{
  GHashTable *jobs;          /* id -> struct job, referenced */
  struct used_ids *used;     /* the ids of all jobs that were ever added */
  struct list_node finished; /* struct job by table_link, oldest first */
  gsize bytes;               /* memory of all jobs in the table */
  gsize max_bytes;           /* its limit */
};

struct job_table *job_table_new (gsize max_bytes);
void job_table_free (struct job_table *table);

/* Whether a job of BYTES bytes may be added within the limit.  */
gboolean job_table_has_room (const struct job_table *table, gsize bytes);

/* Whether a job with that id was added before, or may have been.  */
gboolean job_table_is_id_used (const struct job_table *table, const char *id);

/* Adds JOB, taking a reference, and counts its memory.  */
void job_table_add (struct job_table *table, struct job *job, gint64 now_us);

/* The job with that id, or NULL.  Owned by TABLE.  */
struct job *job_table_find (struct job_table *table, const char *id);

/* Recounts the memory of JOB, which has just finished, and lets it expire at
   its expire_us.  Jobs must finish in the order of their expire_us.  */
void job_table_finish (struct job_table *table, struct job *job);

/* Removes finished jobs whose expire_us has passed.  */
void job_table_expire (struct job_table *table, gint64 now_us);

#endif
