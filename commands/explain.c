#include "commands/cli.h"
#include "commands/explain_cause.h"
#include "commands/explain_timeline.h"

#include "base/clock.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Maximum number of events printed without --all, so that the report fits on a
   screen.  */
#define MAX_SHOWN_EVENTS 24

static const struct cli_usage usage = {
  .name = "explain",
  .arguments = "JOB [FILE...]",
  .summary = "Explains what happened to a job and why, from the log lines in "
             "FILEs or on standard input.",
  .example = "  radishchute explain vm-a.17.42 vm-a.log vm-b.log\n"
             "  cat *.log | radishchute explain --json vm-a.17.42\n",
  .min_arguments = 1,
  .max_arguments = G_MAXUINT,
};

static gboolean
read_stream (struct timeline *timeline, FILE *stream)
{
  char *line = NULL;
  size_t size = 0;

  while (getline (&line, &size, stream) >= 0)
    timeline_read_line (timeline, line);
  free (line);
  return !ferror (stream);
}

/* Reads the file at PATH, or standard input for "-".  Returns FALSE after
   printing an error.  */
static gboolean
read_file (struct timeline *timeline, const char *path)
{
  FILE *stream = strcmp (path, "-") == 0 ? stdin : fopen (path, "re");
  gboolean is_read = stream != NULL && read_stream (timeline, stream);

  if (!is_read)
    fprintf (stderr, "radishchute explain: %s cannot be read: %s\n", path,
             g_strerror (errno));
  if (stream != NULL && stream != stdin)
    fclose (stream);
  return is_read;
}

static gboolean
read_all (struct timeline *timeline, char **paths)
{
  if (*paths == NULL)
    return read_file (timeline, "-");
  for (; *paths != NULL; paths++)
    if (!read_file (timeline, *paths))
      return FALSE;
  return TRUE;
}

/* Whether EVENT is expected in every job or on every VM, so that it is left
   out first.  */
static gboolean
is_routine (const struct timeline_event *event)
{
  switch (event->number)
    {
    case EVENT_RUN_STARTED:
      return TRUE;
    case EVENT_RUN_ENDED:
    case EVENT_BATCH_ENDED:
      return g_strcmp0 (timeline_get_text (event, "end"), "done") == 0;
    case EVENT_BATCH_TAKEN:
    case EVENT_BATCH_RETURNED:
    case EVENT_STORE_REACHED:
    case EVENT_ROUTES_IN_FORCE:
    case EVENT_VM_BACK:
    case EVENT_UPSTREAM_BACK:
    case EVENT_UPSTREAM_RELEASED:
      return TRUE;
    default:
      return FALSE;
    }
}

/* Whether EVENT is left out next, when there are still too many events.  */
static gboolean
is_minor (const struct timeline_event *event)
{
  return event->number == EVENT_TASKS_RETURNED
         || event->number == EVENT_RUN_CUT_SHORT
         || event->number == EVENT_FLEET_DRAINING
         || event->number == EVENT_UPSTREAM_GONE;
}

/* Removes the events that IS_OMITTED selects from CHOSEN, if there are more
   than MAX_SHOWN_EVENTS.  */
static void
omit_events (GPtrArray *chosen,
             gboolean (*is_omitted) (const struct timeline_event *event))
{
  if (chosen->len <= MAX_SHOWN_EVENTS)
    return;
  for (guint i = chosen->len; i > 0; i--)
    if (is_omitted (g_ptr_array_index (chosen, i - 1)))
      g_ptr_array_remove_index (chosen, i - 1);
}

static gboolean
is_without_job (const struct timeline_event *event)
{
  return !event->has_job;
}

/* The events to show, at most MAX_SHOWN_EVENTS unless IS_ALL.  Leaves out the
   routine events, then the minor ones, then those that don't name the job,
   until the others fit.  If these are still too many, leaves out the middle
   ones.  The caller owns the array.  */
static GPtrArray *
choose_events (const struct timeline *timeline, gboolean is_all)
{
  GPtrArray *chosen = g_ptr_array_new ();

  for (guint i = 0; i < timeline->events->len; i++)
    g_ptr_array_add (chosen, g_ptr_array_index (timeline->events, i));
  if (is_all)
    return chosen;
  omit_events (chosen, is_routine);
  omit_events (chosen, is_minor);
  omit_events (chosen, is_without_job);
  if (chosen->len > MAX_SHOWN_EVENTS)
    g_ptr_array_remove_range (chosen, MAX_SHOWN_EVENTS / 2,
                              chosen->len - MAX_SHOWN_EVENTS);
  return chosen;
}

static void
format_time (gint64 at_us, GString *text)
{
  g_autoptr (GDateTime) when
      = g_date_time_new_from_unix_utc (at_us / USEC_PER_SEC);
  g_autofree char *seconds
      = when != NULL ? g_date_time_format (when, "%Y-%m-%d %H:%M:%S") : NULL;

  g_string_append_printf (text, "%s.%03d UTC", seconds != NULL ? seconds : "?",
                          (int)(at_us % USEC_PER_SEC / USEC_PER_MSEC));
}

static void
print_heading (const struct timeline *timeline)
{
  const struct timeline_event *first = g_ptr_array_index (timeline->events, 0);
  g_autoptr (GString) when = g_string_new (NULL);

  format_time (first->at_us, when);
  printf ("job %s, home %s, first line at %s\n\n", timeline->job,
          timeline->home != NULL ? timeline->home : "unknown", when->str);
}

static int
measure_vm_column (const GPtrArray *events)
{
  int width = 0;

  for (guint i = 0; i < events->len; i++)
    {
      const struct timeline_event *event = g_ptr_array_index (events, i);

      width = MAX (width, (int)strlen (event->vm));
    }
  return width;
}

static void
print_events (const struct timeline *timeline, gboolean is_all)
{
  const struct timeline_event *first = g_ptr_array_index (timeline->events, 0);
  g_autoptr (GPtrArray) shown = choose_events (timeline, is_all);
  int width = measure_vm_column (shown);

  for (guint i = 0; i < shown->len; i++)
    {
      const struct timeline_event *event = g_ptr_array_index (shown, i);
      g_autoptr (GString) fields = g_string_new (NULL);

      timeline_format_fields (event, NULL, fields);
      printf ("%+10.3f s  %-*s  %-18s %s\n",
              (double)(event->at_us - first->at_us) / (double)USEC_PER_SEC,
              width, event->vm, event->name, fields->str);
    }
  if (shown->len < timeline->events->len)
    printf ("%u more lines; --all shows them\n",
            timeline->events->len - shown->len);
}

static void
print_clock_shifts (const struct timeline *timeline)
{
  for (guint i = 0; i < timeline->vm_boots->len; i++)
    {
      const struct timeline_vm_boot *vm_boot
          = g_ptr_array_index (timeline->vm_boots, i);

      if (vm_boot->clock_shift_us != 0)
        printf ("the clock of %s was corrected by %+.3f s\n", vm_boot->vm,
                (double)vm_boot->clock_shift_us / (double)USEC_PER_SEC);
    }
}

static void
print_causes (const GPtrArray *causes)
{
  const struct explain_cause *first = g_ptr_array_index (causes, 0);

  printf ("\nlikely cause: %s\n  %s\n", first->title, first->why);
  if (*first->remedy != '\0')
    printf ("  remedy: %s\n", first->remedy);
  for (guint i = 1; i < causes->len; i++)
    {
      const struct explain_cause *cause = g_ptr_array_index (causes, i);

      printf ("also: %s\n  %s\n", cause->title, cause->why);
    }
}

static void
print_report (const struct timeline *timeline, const GPtrArray *causes,
              gboolean is_all)
{
  if (timeline->n_job_lines > 0)
    {
      print_heading (timeline);
      print_events (timeline, is_all);
      print_clock_shifts (timeline);
      print_causes (causes);
    }
  else
    printf (
        "no line names the job %s (%u lines read, %u of them not log lines "
        "of the fleet); check its id and add the log of its home\n",
        timeline->job, timeline->n_lines, timeline->n_foreign);
}

static json_t *
format_events (const struct timeline *timeline)
{
  json_t *list = json_array ();

  for (guint i = 0; i < timeline->events->len; i++)
    {
      const struct timeline_event *event
          = g_ptr_array_index (timeline->events, i);

      json_array_append_new (list, json_pack ("{s:I, s:O}", "at_us",
                                              (json_int_t)event->at_us, "line",
                                              event->line));
    }
  return list;
}

static json_t *
format_causes (const GPtrArray *causes)
{
  json_t *list = json_array ();

  for (guint i = 0; i < causes->len; i++)
    {
      const struct explain_cause *cause = g_ptr_array_index (causes, i);

      json_array_append_new (list, json_pack ("{s:s, s:s, s:s}", "cause",
                                              cause->name, "why", cause->why,
                                              "remedy", cause->remedy));
    }
  return list;
}

static json_t *
format_clock_shifts (const struct timeline *timeline)
{
  json_t *shifts = json_object ();

  for (guint i = 0; i < timeline->vm_boots->len; i++)
    {
      const struct timeline_vm_boot *vm_boot
          = g_ptr_array_index (timeline->vm_boots, i);

      if (vm_boot->clock_shift_us != 0)
        json_object_set_new (shifts, vm_boot->vm,
                             json_integer (vm_boot->clock_shift_us));
    }
  return shifts;
}

static void
print_json (const struct timeline *timeline, const GPtrArray *causes)
{
  const struct explain_cause *first = g_ptr_array_index (causes, 0);
  json_t *root
      = json_pack ("{s:s, s:s?, s:s, s:o, s:o, s:o, s:i, s:i}", "job",
                   timeline->job, "home", timeline->home, "cause", first->name,
                   "causes", format_causes (causes), "clock_shifts_us",
                   format_clock_shifts (timeline), "events",
                   format_events (timeline), "lines", (int)timeline->n_lines,
                   "foreign_lines", (int)timeline->n_foreign);

  cli_print_json (root);
  json_decref (root);
}

int
command_explain (int argc, char **argv)
{
  gboolean is_json = FALSE;
  gboolean is_all = FALSE;
  const GOptionEntry entries[] = {
    { "all", 'a', 0, G_OPTION_ARG_NONE, &is_all, "show every line", NULL },
    { "json", 0, 0, G_OPTION_ARG_NONE, &is_json, "print JSON", NULL },
    G_OPTION_ENTRY_NULL,
  };
  g_autoptr (GPtrArray) causes = NULL;
  struct timeline *timeline;
  int status = EXIT_STATUS_USAGE;

  if (!cli_parse (&usage, entries, NULL, &argc, &argv))
    return EXIT_STATUS_USAGE;
  timeline = timeline_new (argv[1]);
  if (read_all (timeline, argv + 2))
    {
      timeline_finish (timeline);
      causes = explain_cause_find (timeline);
      if (is_json)
        print_json (timeline, causes);
      else
        print_report (timeline, causes, is_all);
      status = timeline->n_job_lines > 0 ? EXIT_STATUS_OK : EXIT_STATUS_FAILED;
    }
  timeline_free (timeline);
  return status;
}
