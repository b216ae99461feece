#include "commands/cli.h"
#include "commands/explain_cause.h"
#include "commands/explain_timeline.h"

#include "base/clock.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The story takes no more lines than this of a screen, unless --all.  */
#define MAX_SHOWN 24

static const struct cli_usage usage = {
  .name = "explain",
  .arguments = "JOB [FILE...]",
  .summary = "Tells from log lines, of FILEs or standard input, what happened "
             "to a job and why.",
  .example = "  radishchute explain vm-a.17.42 vm-a.log vm-b.log\n"
             "  cat *.log | radishchute explain --json vm-a.17.42\n",
  .min_arguments = 1,
  .max_arguments = G_MAXUINT,
};

static gboolean
read_stream (struct story *story, FILE *stream)
{
  char *line = NULL;
  size_t size = 0;

  while (getline (&line, &size, stream) >= 0)
    story_read_line (story, line);
  free (line);
  return !ferror (stream);
}

static gboolean
read_file (struct story *story, const char *path)
{
  FILE *stream = strcmp (path, "-") == 0 ? stdin : fopen (path, "re");
  gboolean is_read = stream != NULL && read_stream (story, stream);

  if (!is_read)
    fprintf (stderr, "radishchute explain: %s cannot be read: %s\n", path,
             g_strerror (errno));
  if (stream != NULL && stream != stdin)
    fclose (stream);
  return is_read;
}

static gboolean
read_all (struct story *story, char **paths)
{
  if (*paths == NULL)
    return read_file (story, "-");
  for (; *paths != NULL; paths++)
    if (!read_file (story, *paths))
      return FALSE;
  return TRUE;
}

/* Whether EVENT is the usual course of things, which may be left out.  */
static gboolean
is_routine (const struct story_event *event)
{
  switch (event->number)
    {
    case EVENT_RUN_STARTED:
      return TRUE;
    case EVENT_RUN_ENDED:
    case EVENT_BATCH_ENDED:
      return g_strcmp0 (story_event_text (event, "end"), "done") == 0;
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

/* Whether EVENT may be left out when a story is still too long.  */
static gboolean
is_minor (const struct story_event *event)
{
  return event->number == EVENT_TASKS_RETURNED
         || event->number == EVENT_RUN_CUT_SHORT
         || event->number == EVENT_FLEET_DRAINING
         || event->number == EVENT_UPSTREAM_GONE;
}

/* Takes the events that IS_LESS picks out of CHOSEN, if it is too long.  */
static void
shorten (GPtrArray *chosen,
         gboolean (*is_less) (const struct story_event *event))
{
  if (chosen->len <= MAX_SHOWN)
    return;
  for (guint i = chosen->len; i > 0; i--)
    if (is_less (g_ptr_array_index (chosen, i - 1)))
      g_ptr_array_remove_index (chosen, i - 1);
}

static gboolean
is_of_others (const struct story_event *event)
{
  return !event->is_own;
}

/* The events to show: all of them if they fit, else without the routine ones,
   the minor ones, and those that don't name the job, until they fit, else the
   first and the last.  */
static GPtrArray *
choose_events (const struct story *story, gboolean is_all)
{
  GPtrArray *chosen = g_ptr_array_new ();

  for (guint i = 0; i < story->events->len; i++)
    g_ptr_array_add (chosen, g_ptr_array_index (story->events, i));
  if (is_all)
    return chosen;
  shorten (chosen, is_routine);
  shorten (chosen, is_minor);
  shorten (chosen, is_of_others);
  if (chosen->len > MAX_SHOWN)
    g_ptr_array_remove_range (chosen, MAX_SHOWN / 2, chosen->len - MAX_SHOWN);
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
print_heading (const struct story *story)
{
  const struct story_event *first = g_ptr_array_index (story->events, 0);
  g_autoptr (GString) when = g_string_new (NULL);

  format_time (first->at_us, when);
  printf ("job %s, home %s, first line at %s\n\n", story->job,
          story->home != NULL ? story->home : "not known", when->str);
}

static int
measure_vms (const GPtrArray *events)
{
  int width = 0;

  for (guint i = 0; i < events->len; i++)
    {
      const struct story_event *event = g_ptr_array_index (events, i);

      width = MAX (width, (int)strlen (event->vm));
    }
  return width;
}

static void
print_events (const struct story *story, gboolean is_all)
{
  const struct story_event *first = g_ptr_array_index (story->events, 0);
  g_autoptr (GPtrArray) shown = choose_events (story, is_all);
  int width = measure_vms (shown);

  for (guint i = 0; i < shown->len; i++)
    {
      const struct story_event *event = g_ptr_array_index (shown, i);
      g_autoptr (GString) fields = g_string_new (NULL);

      story_event_describe (event, NULL, fields);
      printf ("%+10.3f s  %-*s  %-18s %s\n",
              (double)(event->at_us - first->at_us) / (double)USEC_PER_SEC,
              width, event->vm, event->name, fields->str);
    }
  if (shown->len < story->events->len)
    printf ("%u more lines; --all shows them\n",
            story->events->len - shown->len);
}

static void
print_shifts (const struct story *story)
{
  for (guint i = 0; i < story->lives->len; i++)
    {
      const struct story_life *life = g_ptr_array_index (story->lives, i);

      if (life->shift_us != 0)
        printf ("the clock of %s was corrected by %+.3f s\n", life->vm,
                (double)life->shift_us / (double)USEC_PER_SEC);
    }
}

static void
print_causes (const GPtrArray *causes)
{
  const struct explain_cause *first = g_ptr_array_index (causes, 0);

  printf ("\nlikely cause: %s\n  %s\n", first->title, first->why);
  if (*first->remedy != '\0')
    printf ("  to do: %s\n", first->remedy);
  for (guint i = 1; i < causes->len; i++)
    {
      const struct explain_cause *cause = g_ptr_array_index (causes, i);

      printf ("also: %s\n  %s\n", cause->title, cause->why);
    }
}

static void
print_story (const struct story *story, const GPtrArray *causes,
             gboolean is_all)
{
  if (story->n_own > 0)
    {
      print_heading (story);
      print_events (story, is_all);
      print_shifts (story);
      print_causes (causes);
    }
  else
    printf (
        "no line names the job %s (%u lines read, %u of them not log lines "
        "of the fleet)\n",
        story->job, story->n_lines, story->n_foreign);
}

static json_t *
format_events (const struct story *story)
{
  json_t *list = json_array ();

  for (guint i = 0; i < story->events->len; i++)
    {
      const struct story_event *event = g_ptr_array_index (story->events, i);

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
format_shifts (const struct story *story)
{
  json_t *shifts = json_object ();

  for (guint i = 0; i < story->lives->len; i++)
    {
      const struct story_life *life = g_ptr_array_index (story->lives, i);

      if (life->shift_us != 0)
        json_object_set_new (shifts, life->vm, json_integer (life->shift_us));
    }
  return shifts;
}

static void
print_json (const struct story *story, const GPtrArray *causes)
{
  const struct explain_cause *first = g_ptr_array_index (causes, 0);
  json_t *root = json_pack (
      "{s:s, s:s?, s:s, s:o, s:o, s:o, s:i, s:i}", "job", story->job, "home",
      story->home, "cause", first->name, "causes", format_causes (causes),
      "clock_shifts_us", format_shifts (story), "events",
      format_events (story), "lines", (int)story->n_lines, "foreign_lines",
      (int)story->n_foreign);

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
  struct story *story;
  int status = EXIT_STATUS_USAGE;

  if (!cli_parse (&usage, entries, NULL, &argc, &argv))
    return EXIT_STATUS_USAGE;
  story = story_new (argv[1]);
  if (read_all (story, argv + 2))
    {
      story_finish (story);
      causes = explain_cause_find (story);
      if (is_json)
        print_json (story, causes);
      else
        print_story (story, causes, is_all);
      status = story->n_own > 0 ? EXIT_STATUS_OK : EXIT_STATUS_FAILED;
    }
  story_free (story);
  return status;
}
