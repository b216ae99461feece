#include "base/clock.h"
#include "commands/config.h"
#include "commands/config_wait.h"
#include "protocol/json_read.h"
#include "protocol/log_record.h"

#include <stdio.h>
#include <string.h>

#define DEFAULT_WAIT_S 30

/* Time between two attempts to publish, and the limit of each request to the
   log.  */
#define RETRY_INTERVAL_US (200 * USEC_PER_MSEC)
#define REQUEST_TIMEOUT_US (5 * USEC_PER_SEC)

static const struct cli_usage usage = {
  .name = "config put",
  .arguments = "FILE",
  .summary
  = "Publishes a team's document and waits until it is in force.\n\n"
    "The change takes effect only if the version that it was based on is "
    "still the one in force; otherwise nothing changes and the exit status "
    "is 1.  If the answer of the log is lost, the command looks for the "
    "change in the log before it reports anything or retries.",
  .example = "  radishchute config put team.json --log http://10.0.0.2:7000 "
             "--entry 10.0.1.5:8080 --entry 10.0.2.5:8080\n",
  .min_arguments = 1,
  .max_arguments = 1,
};

/* The state of one "config put".  */
struct put
{
  struct config_options options;
  gint64 base;  /* version that the file was made from; -1 for that in force */
  int wait_s;   /* until the document is in force on the entry VMs */
  char *author; /* name of the publisher */
  gboolean is_forced; /* publish whatever version is in force */
  struct config_view *view;
  struct document *document; /* to be published */
  char *edit;                /* id of the edit, unique */
  json_t *record;            /* the change as appended to the log */
};

static char *
make_edit_id (void)
{
  g_autofree char *uuid = g_uuid_string_random ();

  return g_strdup_printf ("put-%" G_GINT64_FORMAT "-%s", clock_unix_ms (),
                          uuid);
}

/* Prints the changes that were accepted after VERSION.  The version of a
   document is its offset plus one, so their offsets are at least VERSION.  */
static void
print_changes_since (struct put *put, guint64 version)
{
  struct config_view *view = config_view_new (&put->options);
  gint64 deadline_us = config_options_deadline_us (&put->options);

  if (config_view_load (view, TRUE, deadline_us, NULL))
    {
      g_autoptr (GPtrArray) decisions
          = config_view_list_decisions (view, put->document->team);

      for (guint i = 0; i < decisions->len; i++)
        {
          const struct config_decision *decision
              = g_ptr_array_index (decisions, i);

          if (decision->verdict == CONFIG_ACCEPTED
              && decision->offset >= version)
            config_decision_print (decision);
        }
    }
  config_view_free (view);
}

/* Reports that the change is based on BASE, but CURRENT is in force.  Returns
   the exit status.  */
static int
report_conflict (struct put *put, guint64 base, guint64 current)
{
  g_autoptr (GError) error = NULL;

  error_set (&error, ERROR_CONFLICT,
             "not published: it is based on version %" G_GUINT64_FORMAT
             ", but version %" G_GUINT64_FORMAT
             " is in force; merge the changes since then into your file and "
             "publish it again",
             base, current);
  if (!put->options.is_json)
    print_changes_since (put, base);
  return cli_report_error (usage.name, error, put->options.is_json);
}

/* The version of the team's document in force, 0 for none.  */
static guint64
get_version_in_force (struct put *put)
{
  const struct config_entry *entry
      = config_log_find (config_view_get_log (put->view), put->document->team);

  return entry != NULL ? entry->document->version : 0;
}

static void
print_result (struct put *put, const char *outcome, guint64 version,
              const struct config_wait_result *result)
{
  if (put->options.is_json)
    {
      json_t *root
          = json_pack ("{s:s, s:s, s:I, s:s?, s:I, s:I, s:I, s:O}", "team",
                       put->document->team, "outcome", outcome, "version",
                       (json_int_t)version, "edit", put->edit, "entries_asked",
                       (json_int_t)result->n_asked, "entries_in_force",
                       (json_int_t)result->n_in_force, "waited_ms",
                       (json_int_t)(result->waited_us / USEC_PER_MSEC),
                       "entries", result->entries);

      cli_print_json (root);
      json_decref (root);
      return;
    }
  if (result->n_asked == 0)
    {
      printf ("team %s: %s, version %" G_GUINT64_FORMAT
              "; give --entry to check that it is in force\n",
              put->document->team, outcome, version);
      return;
    }
  printf ("team %s: %s, version %" G_GUINT64_FORMAT ", in force on %u of %u "
          "entry VMs after %.2f s\n",
          put->document->team, outcome, version, result->n_in_force,
          result->n_asked, (double)result->waited_us / USEC_PER_SEC);
}

/* Prints the entry VMs on which the document is not in force.  */
static void
print_pending_entries (const struct config_wait_result *result)
{
  for (size_t i = 0; i < json_array_size (result->entries); i++)
    {
      json_t *entry = json_array_get (result->entries, i);
      const char *problem
          = json_string_value (json_object_get (entry, "error"));

      if (!json_is_true (json_object_get (entry, "in_force")))
        fprintf (stderr, "radishchute %s: not in force on %s: %s\n",
                 usage.name,
                 json_string_value (json_object_get (entry, "entry")),
                 problem != NULL ? problem : "it still has an older version");
    }
}

/* Waits until VERSION is in force on the entry VMs, prints OUTCOME and returns
   the exit status.  */
static int
wait_until_in_force (struct put *put, const char *outcome, guint64 version)
{
  struct config_wait_result result;
  gint64 deadline_us = clock_now_us () + put->wait_s * USEC_PER_SEC;
  int status = EXIT_STATUS_OK;

  config_wait (&put->options, put->document->team, version, deadline_us,
               &result);
  print_result (put, outcome, version, &result);
  if (put->wait_s > 0 && result.n_in_force < result.n_asked)
    {
      print_pending_entries (&result);
      status = EXIT_STATUS_FAILED;
    }
  config_wait_result_clear (&result);
  return status;
}

/* Reads the log to its end and looks for the edit of PUT.  Returns NULL with
   ERROR when the log cannot be read, and NULL without ERROR when it does not
   contain the edit.  */
static const struct config_decision *
find_own_edit (struct put *put, gint64 deadline_us, GError **error)
{
  if (!config_view_update (put->view, deadline_us, error))
    return NULL;
  return config_view_find_edit (put->view, put->edit);
}

/* The deadline of one request, at most DEADLINE_US.  */
static gint64
get_request_deadline_us (gint64 deadline_us)
{
  return MIN (deadline_us, clock_now_us () + REQUEST_TIMEOUT_US);
}

/*
 * Appends the record and looks for it in the log until its decision is known.
 * Returns NULL when it is not known at DEADLINE_US.
 *
 * The record is appended again only when the log was read to its end without
 * finding it, or when nothing was sent.  The retry is idempotent: it has the
 * same edit and base, so if the first record arrives late, the second of the
 * two is void.  A forced change is not checked against a base, so it is
 * appended again only when nothing was sent.
 */
static const struct config_decision *
publish (struct put *put, gint64 deadline_us)
{
  const struct config_decision *decision = NULL;
  gboolean must_append = TRUE;

  while (decision == NULL && clock_now_us () < deadline_us)
    {
      g_autoptr (GError) append_error = NULL;
      g_autoptr (GError) read_error = NULL;

      if (must_append)
        config_view_append (put->view, put->record,
                            get_request_deadline_us (deadline_us),
                            &append_error);
      decision = find_own_edit (put, get_request_deadline_us (deadline_us),
                                &read_error);
      if (decision != NULL)
        break;
      cli_show_progress ("looking for the change in the log");
      must_append = read_error == NULL && !put->is_forced;
      if (append_error != NULL
          && error_get_kind (append_error) == ERROR_NOT_RUN)
        must_append = TRUE;
      g_usleep ((gulong)RETRY_INTERVAL_US);
    }
  cli_show_progress (NULL);
  return decision;
}

static int
report_unknown_outcome (struct put *put)
{
  g_autoptr (GError) error = NULL;

  error_set (&error, ERROR_UNAVAILABLE,
             "the change was not found in the log in time, so it is unknown "
             "whether it is published; once the log answers, look for edit "
             "'%s' with 'config history --json %s'",
             put->edit, put->document->team);
  return cli_report_error (usage.name, error, put->options.is_json);
}

/* Publishes the record, which is based on version BASE, and waits until it is
   in force.  Returns the exit status.  */
static int
publish_and_wait (struct put *put, guint64 base)
{
  gint64 deadline_us = config_options_deadline_us (&put->options);
  const struct config_decision *decision = publish (put, deadline_us);
  g_autoptr (GError) error = NULL;

  if (decision == NULL)
    return report_unknown_outcome (put);
  if (decision->verdict == CONFIG_ACCEPTED)
    return wait_until_in_force (put, "published", decision->offset + 1);
  if (decision->verdict == CONFIG_VOID)
    return report_conflict (put, base, decision->current);
  error_set (&error, ERROR_CONFLICT,
             "the change is in the log but did not take effect (%s): %s",
             config_verdict_name (decision->verdict), decision->detail);
  return cli_report_error (usage.name, error, put->options.is_json);
}

/* Builds the edit and the record that changes CURRENT, which may be NULL, to
   the document.  Returns FALSE with ERROR_TOO_LARGE when the log would not
   accept it.  */
static gboolean
build_record (struct put *put, const struct document *current, GError **error)
{
  json_t *root = log_record_document_to_json (put->document);
  g_autofree char *text = NULL;

  put->edit = make_edit_id ();
  put->record = log_record_format_change (root, current, put->edit,
                                          put->author, put->is_forced);
  json_decref (root);
  text = json_format (put->record);
  if (strlen (text) <= MAX_RECORD_BYTES)
    return TRUE;
  error_set (
      error, ERROR_TOO_LARGE,
      "the change has %u bytes, but the log accepts at most %d; publish "
      "it in several smaller changes",
      (guint)strlen (text), MAX_RECORD_BYTES);
  return FALSE;
}

/* Sets *CURRENT to the document that the change is based on, or to NULL for a
   new team.  Returns FALSE with ERROR when it is not known and the change is
   not forced.  */
static gboolean
find_base (struct put *put, const struct document **current, GError **error)
{
  g_autoptr (GError) reason = NULL;

  *current = config_find_document (put->view, put->document->team, &reason);
  if (*current != NULL || put->is_forced
      || error_get_kind (reason) == ERROR_NOT_FOUND)
    return TRUE;
  g_propagate_error (error, g_steal_pointer (&reason));
  return FALSE;
}

static int
put_document (struct put *put)
{
  const struct document *current = NULL;
  g_autoptr (GError) error = NULL;
  guint64 version;

  if (!config_view_load (put->view, FALSE,
                         config_options_deadline_us (&put->options), &error)
      || !find_base (put, &current, &error))
    return cli_report_error (usage.name, error, put->options.is_json);
  version = get_version_in_force (put);
  if (put->base >= 0 && (guint64)put->base != version)
    return report_conflict (put, (guint64)put->base, version);
  if (current != NULL && !put->is_forced
      && g_str_equal (current->text, put->document->text))
    return wait_until_in_force (put, "already in force", version);
  if (!build_record (put, current, &error))
    return cli_report_error (usage.name, error, put->options.is_json);
  return publish_and_wait (put, version);
}

static int
put_file (struct put *put, const char *path)
{
  g_autoptr (GError) error = NULL;
  int status;

  put->document = config_read_file (path, &error);
  if (put->document == NULL)
    return cli_report_error (usage.name, error, put->options.is_json);
  if (put->author == NULL)
    put->author = g_strdup (g_get_user_name ());
  put->view = config_view_new (&put->options);
  status = put_document (put);
  config_view_free (put->view);
  document_unref (put->document);
  json_decref (put->record);
  g_free (put->edit);
  return status;
}

int
command_config_put (int argc, char **argv)
{
  struct put put = { .base = -1, .wait_s = DEFAULT_WAIT_S };
  const GOptionEntry entries[] = {
    { "base", 0, 0, G_OPTION_ARG_INT64, &put.base,
      "the version that the file was made from (default: the one in force)",
      "VERSION" },
    { "wait", 0, 0, G_OPTION_ARG_INT, &put.wait_s,
      "how long to wait until it is in force on every entry VM asked; 0 asks "
      "once (default: 30)",
      "SECONDS" },
    { "author", 0, 0, G_OPTION_ARG_STRING, &put.author,
      "author of the change (default: the user's name)", "NAME" },
    { "force", 0, 0, G_OPTION_ARG_NONE, &put.is_forced,
      "publish the whole document whatever version is in force", NULL },
    { "entry", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &put.options.entries,
      "an entry VM to ask; may be given several times (default: the "
      "environment variable RADISHCHUTE_ENTRY)",
      "IP:PORT" },
    { "token-file", 0, 0, G_OPTION_ARG_FILENAME, &put.options.token_file,
      "file that contains the operators' token", "FILE" },
    { "token", 0, 0, G_OPTION_ARG_STRING, &put.options.token,
      "the operators' token; other users of this machine may see it",
      "TOKEN" },
    G_OPTION_ENTRY_NULL,
  };
  int status = EXIT_STATUS_USAGE;

  if (config_options_parse (&usage, entries, &put.options, &argc, &argv))
    status = put_file (&put, argv[1]);
  config_options_clear (&put.options);
  g_free (put.author);
  return status;
}
