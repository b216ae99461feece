/*
 * The timeline of one job, merged from the log lines of any number of
 * processes.
 *
 * The home of a job is the VM that its caller sent it to.  It sends the tasks
 * in batches to the owners, the VMs that own upstreams.
 *
 * Lines have the format of base/event_log.h.  They may come in any order and
 * may have other text before the first brace.  A line belongs to the timeline
 * when it names the job.  It also does when it is about a VM or an upstream of
 * the job and was logged around the time of the job.
 *
 * Clocks: the time of a line is computed from the boot clock of its VM, so
 * that corrections of the wall clock have no effect.  The lines of an owner
 * are then shifted so that no batch begins before it was sent, and so that no
 * batch ends after a successful answer that waited for it.  The lines of the
 * home are not shifted.
 */
#ifndef COMMANDS_EXPLAIN_TIMELINE_H
#define COMMANDS_EXPLAIN_TIMELINE_H

#include "base/event_log.h"

#include <glib.h>
#include <jansson.h>

/* One boot of a VM, which lasts until its next boot.  */
struct timeline_vm_boot
{
  char *vm;
  gint64 offset_us;      /* Unix time minus boot clock */
  gint64 clock_shift_us; /* added to the times of its lines */
};

struct timeline_event
{
  enum event number;
  const char *vm;   /* the VM that logged it; owned by LINE */
  const char *name; /* owned by LINE */
  json_t *line;     /* the log line, or a step of a trail as a line; owned */
  struct timeline_vm_boot *vm_boot; /* owned by the timeline */
  gint64 boot_us;                   /* boot clock of VM */
  gint64 at_us;                     /* Unix time, corrected */
  guint line_number;                /* among all lines read, from 1 */
  gboolean has_job;                 /* the line names the job */
};

struct timeline
{
  char *job;
  GPtrArray *events;     /* struct timeline_event; sorted by time after
                            timeline_finish () */
  GPtrArray *candidates; /* struct timeline_event; lines that name no job and
                            may belong to the timeline */
  GPtrArray *vm_boots;   /* struct timeline_vm_boot */
  char *home;            /* name of the VM; NULL when not known */
  guint n_lines;         /* lines read */
  guint n_foreign;       /* lines without a log line of the fleet in them */
  guint n_job_lines;     /* lines that name the job, and the steps in trails */
  guint n_damaged;       /* lines that name the job but are incomplete */
};

struct timeline *timeline_new (const char *job);
void timeline_free (struct timeline *timeline);

/* Reads LINE, a text that ends with a NUL.  */
void timeline_read_line (struct timeline *timeline, const char *line);

/* To be called after the last line: corrects the clocks, adds the candidates
   that belong to the timeline and sorts the events.  */
void timeline_finish (struct timeline *timeline);

/* The first event with NUMBER that names the job, or NULL.  */
const struct timeline_event *
timeline_find_first (const struct timeline *timeline, enum event number);

/* The last event that names the job, or NULL.  */
const struct timeline_event *
timeline_find_last (const struct timeline *timeline);

/* Whether SENT and OTHER are about the same batch.  SENT is a "batch-sent" of
   the home.  OTHER is an event of the owner, or one of the home that names the
   owner.  */
gboolean timeline_is_same_batch (const struct timeline_event *sent,
                                 const struct timeline_event *other);

/*
 * The duration of the longest successful run that EVENT lists, in
 * milliseconds; 0 if it lists none.  If it is positive, *UPSTREAM points to
 * the name of the run's upstream, LENGTH bytes inside the line of EVENT and
 * without a NUL.
 */
gint64 timeline_get_longest_run_ms (const struct timeline_event *event,
                                    const char **upstream, gsize *length);

/* Whether EVENT is a successful answer to the caller.  */
gboolean timeline_is_success (const struct timeline_event *event);

/* The number of VMs that VM had reported lost by AT_US and not back since.
   Counts only what the process that ran on VM at that time has logged.  */
guint timeline_count_lost_vms (const struct timeline *timeline, const char *vm,
                               gint64 at_us);

/* The text of the field KEY, or NULL.  Owned by EVENT.  */
const char *timeline_get_text (const struct timeline_event *event,
                               const char *key);

/* The integer of the field KEY, or FALLBACK.  */
gint64 timeline_get_int (const struct timeline_event *event, const char *key,
                         gint64 fallback);

/* Appends the fields of EVENT to TEXT as "KEY=VALUE KEY=VALUE".  Leaves out
   the fields that every line has, the job, the trail, and those in EXCEPT,
   which ends with NULL or is NULL.  */
void timeline_format_fields (const struct timeline_event *event,
                             const char *const *except, GString *text);

#endif
