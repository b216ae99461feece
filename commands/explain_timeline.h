/*
 * The story of one job, joined from the log lines of any number of processes.
 *
 * Lines are those of base/event_log.h, in any order, possibly with something
 * before the brace.  A line belongs to the story when it names the job, or
 * when it tells of a VM or an upstream that the job had to do with, around the
 * time of the job.
 *
 * Clocks: a VM's lines are placed by its boot clock, which no correction of
 * the wall clock disturbs.  An owner's lines are then moved so that no batch
 * was taken before it was sent, nor ended after a good answer that waited for
 * it; the home's stay where they are.
 */
#ifndef COMMANDS_EXPLAIN_STORY_H
#define COMMANDS_EXPLAIN_STORY_H

#include "base/event_log.h"

#include <glib.h>
#include <jansson.h>

/* The time from a VM's start to its next one.  */
struct story_life
{
  char *vm;
  gint64 offset_us; /* Unix time less boot clock */
  gint64 shift_us;  /* by which its lines are moved */
};

struct story_event
{
  enum event number;
  const char *vm;   /* owned by LINE */
  const char *name; /* the same */
  json_t *line;
  struct story_life *life;
  gint64 boot_us;
  gint64 at_us;    /* Unix time, corrected */
  guint order;     /* in which it was read */
  gboolean is_own; /* names the job */
};

struct story
{
  char *job;
  GPtrArray *events; /* struct story_event, in order after story_finish () */
  GPtrArray *others; /* of which it is not known whether they belong to it */
  GPtrArray *lives;  /* struct story_life */
  char *home;        /* name of the VM; NULL when not known */
  guint n_lines;     /* read */
  guint n_foreign;   /* lines that are not log lines of the fleet */
  guint n_own;       /* lines that name the job */
  guint n_cut;       /* lines that name it and are not whole */
};

struct story *story_new (const char *job);
void story_free (struct story *story);

/* Takes one line, ended by a NUL.  */
void story_read_line (struct story *story, const char *line);

/* Ends the reading: corrects the clocks and puts the events in order.  */
void story_finish (struct story *story);

/* The first event of that number that names the job, or NULL.  */
const struct story_event *story_find (const struct story *story,
                                      enum event number);

/* The last event that names the job, or NULL.  */
const struct story_event *story_find_last (const struct story *story);

/* Whether two events are of the same batch, SENT at the home and OTHER at the
   owner, or of the home about it.  */
gboolean story_is_same_batch (const struct story_event *sent,
                              const struct story_event *other);

/* The longest run that an event tells of among those that ended well, 0
   without one, and the name of its upstream, of LENGTH bytes in the event's
   line.  */
gint64 story_find_longest_ms (const struct story_event *event,
                              const char **upstream, gsize *length);

/* Whether EVENT is a good answer to the caller.  */
gboolean story_is_success (const struct story_event *event);

/* How many other VMs VM had lost by AT_US and not heard since, in the process
   that it then was.  */
guint story_count_lost (const struct story *story, const char *vm,
                        gint64 at_us);

/* A field of EVENT, or NULL.  */
const char *story_event_text (const struct story_event *event,
                              const char *key);

/* A field of EVENT, or FALLBACK.  */
gint64 story_event_int (const struct story_event *event, const char *key,
                        gint64 fallback);

/* Appends the fields as "KEY=VALUE KEY=VALUE", leaving out what every line
   has, the job, and those in the NULL-ended EXCEPT, which may be NULL.  */
void story_event_describe (const struct story_event *event,
                           const char *const *except, GString *text);

#endif
