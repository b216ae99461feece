/*
 * Judges a soak by what callers were answered and workers have run:
 *
 * - no worker ran more than it has room for,
 * - no task ran twice at once on workers that are up,
 * - nothing ran of a job that was refused each time, or that nobody sent,
 * - a request got an answer, or only a fault broke its connection,
 * - an answer is one that the pages name, and `done` and `failed` are true,
 * - nothing was started in an evacuated zone,
 * - no task failed more often than its job allows,
 * - VMs end only when they are told to.
 */
#ifndef T_SOAK_JUDGE_H
#define T_SOAK_JUDGE_H

#include "t/soak/faults.h"

struct judge;

/* Reads the record of the workers of BED, which must be idle.  */
struct judge *judge_new (struct fleet_bed *bed, const struct traffic *traffic,
                         const struct faults *faults);
void judge_free (struct judge *judge);

/* Adds a violation that concerns JOB, or no job when it is NULL.  */
void judge_add (struct judge *judge, const struct soak_job *job,
                const char *format, ...) G_GNUC_PRINTF (3, 4);

/* Looks for all violations; returns how many there are.  */
guint judge_run (struct judge *judge);

/* Prints the violations, and all that is known of the jobs that they concern,
   with times in s from START_MS.  */
void judge_print (const struct judge *judge, gint64 start_ms, FILE *file);

/* Prints counts of requests by what they came to, in one line.  */
void judge_print_counts (const struct judge *judge, FILE *file);

#endif
