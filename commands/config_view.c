#include "commands/config_view.h"

#include "base/clock.h"
#include "base/list.h"
#include "protocol/json_patch.h"
#include "protocol/json_read.h"
#include "protocol/log_answer.h"
#include "protocol/log_record.h"
#include "transport/snapshot_store.h"

#include <stdio.h>
#include <string.h>

#define MAX_RECORDS_PER_PAGE 200
#define STATUS_GONE 410

struct config_view
{
  struct config_log_driver driver;
  const struct config_options *options;
  struct client *client;
  struct config_log *log;
  GPtrArray *decisions;  /* struct config_decision */
  gint64 record_unix_ms; /* when the log appended the current record */
  char *base_text; /* of the document that the current record changes; NULL
                      when there is none */

  /* The newest snapshot, until it is restored.  */
  GPtrArray *snapshot_documents; /* struct document; NULL without a snapshot */
  guint64 snapshot_upto;         /* it covers the records before this offset */
  gboolean is_snapshot_complete; /* it has the documents of all teams */
  gboolean is_snapshot_load_done; /* the load has ended, also by an error */
  GError *snapshot_error;         /* why the load failed, or NULL */
};

static void
decision_free (gpointer data)
{
  struct config_decision *decision = data;

  g_free (decision->team);
  g_free (decision->edit);
  g_free (decision->author);
  g_free (decision->detail);
  g_free (decision);
}

/* Keeps the text of BASE for describe_change ().  */
static struct document *
driver_build_document (struct config_log_driver *driver,
                       const struct config_change *change,
                       const struct document *base, GError **error)
{
  struct config_view *view = list_entry (driver, struct config_view, driver);

  g_free (view->base_text);
  view->base_text = base != NULL ? g_strdup (base->text) : NULL;
  return log_record_build_document (change, base, error);
}

/* Does nothing: config_log_find () finds the documents in force.  */
static void
driver_document_applied (struct config_log_driver *driver,
                         struct document *document, enum config_source source)
{
}

/* The differences between the base of the current record and CURRENT, one per
   line.  The caller owns the text.  */
static char *
describe_change (const struct config_view *view,
                 const struct document *current)
{
  json_t *before = view->base_text != NULL
                       ? json_loads (view->base_text, 0, NULL)
                       : json_object ();
  json_t *after = log_record_document_to_json (current);
  json_t *patch = json_patch_diff (before, after);
  GString *text = g_string_new (NULL);

  json_patch_describe (before, patch, text);
  json_decref (before);
  json_decref (after);
  json_decref (patch);
  return g_string_free (text, FALSE);
}

/* Adds the decision to the view.  */
static void
driver_change_decided (struct config_log_driver *driver,
                       const struct config_change *change,
                       enum config_verdict verdict,
                       const struct document *current, const GError *error)
{
  struct config_view *view = list_entry (driver, struct config_view, driver);
  struct config_decision *decision = g_new0 (struct config_decision, 1);

  decision->offset = change->offset;
  decision->unix_ms = view->record_unix_ms;
  decision->team = g_strdup (change->team);
  decision->edit = g_strdup (change->edit);
  decision->author = g_strdup (change->author);
  decision->base = change->base;
  decision->current = current != NULL ? current->version : 0;
  decision->verdict = verdict;
  if (verdict == CONFIG_ACCEPTED)
    decision->detail = describe_change (view, current);
  else
    decision->detail = error != NULL
                           ? g_strdup_printf ("  %s\n", error->message)
                           : g_strdup ("");
  g_ptr_array_add (view->decisions, decision);
}

static const struct config_log_driver_ops driver_ops = {
  .build_document = driver_build_document,
  .document_applied = driver_document_applied,
  .change_decided = driver_change_decided,
};

struct config_view *
config_view_new (const struct config_options *options)
{
  struct config_view *view = g_new0 (struct config_view, 1);

  view->driver.ops = &driver_ops;
  view->options = options;
  view->client = client_new (options->token);
  view->log = config_log_new (&view->driver);
  view->decisions = g_ptr_array_new_with_free_func (decision_free);
  return view;
}

void
config_view_free (struct config_view *view)
{
  client_free (view->client);
  config_log_free (view->log);
  g_ptr_array_unref (view->decisions);
  if (view->snapshot_documents != NULL)
    g_ptr_array_unref (view->snapshot_documents);
  g_clear_error (&view->snapshot_error);
  g_free (view->base_text);
  g_free (view);
}

static void
on_snapshot_loaded (const struct snapshot *snapshot, const GError *error,
                    gpointer data)
{
  struct config_view *view = data;

  view->is_snapshot_load_done = TRUE;
  if (error != NULL)
    view->snapshot_error = g_error_copy (error);
  if (snapshot == NULL)
    return;
  view->snapshot_documents = g_ptr_array_ref (snapshot->documents);
  view->snapshot_upto = snapshot->upto;
  view->is_snapshot_complete = snapshot->is_whole;
}

/* Loads the newest snapshot, but does not restore it.  Runs the main loop
   until the load has ended.  */
static gboolean
load_snapshot (struct config_view *view, GError **error)
{
  struct snapshot_store *store = snapshot_store_new (
      view->options->log_url, view->options->snapshot_stream);

  view->is_snapshot_load_done = FALSE;
  snapshot_store_load (store, on_snapshot_loaded, view);
  while (!view->is_snapshot_load_done)
    g_main_context_iteration (NULL, TRUE);
  snapshot_store_free (store);
  if (view->snapshot_error == NULL)
    return TRUE;
  error_set (error, ERROR_UNAVAILABLE,
             "the snapshots in the log at %s cannot be read (%s); check --log",
             view->options->log_url, view->snapshot_error->message);
  g_clear_error (&view->snapshot_error);
  return FALSE;
}

/* Restores the snapshot, if there is one, once all records that it covers have
   been read.  With IGNORES_OFFSET, restores it in any case.  */
static void
restore_snapshot (struct config_view *view, gboolean ignores_offset)
{
  if (view->snapshot_documents == NULL)
    return;
  if (!ignores_offset
      && config_log_get_next (view->log) != view->snapshot_upto)
    return;
  config_log_restore (view->log, view->snapshot_documents, view->snapshot_upto,
                      view->is_snapshot_complete, CONFIG_SOURCE_SNAPSHOT);
  g_clear_pointer (&view->snapshot_documents, g_ptr_array_unref);
}

/* Decides or skips RECORD.  Ignores a record that was read before.  */
static void
process_record (struct config_view *view,
                const struct log_answer_record *record)
{
  struct config_change change;

  if (record->offset < config_log_get_next (view->log))
    return;
  restore_snapshot (view, FALSE);
  view->record_unix_ms = record->unix_ms;
  if (log_record_read_change (record->data, record->offset, &change, NULL)
      == LOG_RECORD_CHANGE)
    config_log_decide (view->log, &change);
  else
    config_log_skip (view->log, record->offset);
}

static gboolean
process_page (struct config_view *view, const struct log_answer *page,
              GError **error)
{
  struct log_answer_record record;

  if (page->records == NULL)
    config_log_note_gap (view->log, page->first);
  for (size_t i = 0; i < json_array_size (page->records); i++)
    {
      if (!log_answer_get_record (page, i, &record))
        {
          error_set (error, ERROR_UNAVAILABLE,
                     "the log sent an invalid record; check --log");
          return FALSE;
        }
      process_record (view, &record);
    }
  return TRUE;
}

/* Requests the records from the next offset on.  Returns the response, which
   the caller owns, or NULL with ERROR.  */
static struct client_response *
read_page (struct config_view *view, gint64 deadline_us, GError **error)
{
  g_autofree char *path = g_strdup_printf (
      "/v1/streams/%s/records?from=%" G_GUINT64_FORMAT "&limit=%d",
      view->options->config_stream, config_log_get_next (view->log),
      MAX_RECORDS_PER_PAGE);
  struct client_request request = {
    .method = "GET",
    .address = view->options->log_url,
    .path = path,
    .deadline_us = deadline_us,
  };

  return client_call (view->client, &request, error);
}

/* Reads one page of records and processes it.  Sets *IS_AT_END when it was the
   last one.  */
static gboolean
process_next_page (struct config_view *view, gint64 deadline_us,
                   gboolean *is_at_end, GError **error)
{
  struct client_response *response = read_page (view, deadline_us, error);
  guint64 before = config_log_get_next (view->log);
  struct log_answer page;
  gboolean is_valid;

  if (response == NULL)
    return FALSE;
  is_valid = log_answer_read (response->status, response->json, &page, error)
             && process_page (view, &page, error);
  client_response_free (response);
  if (!is_valid)
    return FALSE;
  restore_snapshot (view, FALSE);
  *is_at_end = config_log_get_next (view->log) >= page.next;
  if (*is_at_end || config_log_get_next (view->log) > before)
    return TRUE;
  error_set (error, ERROR_UNAVAILABLE,
             "the log returns no records although it has more; check --log");
  return FALSE;
}

gboolean
config_view_update (struct config_view *view, gint64 deadline_us,
                    GError **error)
{
  gboolean is_at_end = FALSE;

  while (!is_at_end)
    if (!process_next_page (view, deadline_us, &is_at_end, error))
      {
        /* A read that could not connect has the kind of other failed
           reads.  */
        if (error != NULL && error_get_kind (*error) == ERROR_NOT_RUN)
          (*error)->code = ERROR_UNAVAILABLE;
        return FALSE;
      }
  return TRUE;
}

gboolean
config_view_load (struct config_view *view, gboolean wants_history,
                  gint64 deadline_us, GError **error)
{
  if (!load_snapshot (view, error))
    return FALSE;
  if (!wants_history)
    restore_snapshot (view, TRUE);
  if (!config_view_update (view, deadline_us, error))
    return FALSE;
  if (view->snapshot_documents == NULL)
    return TRUE;
  /* Reading did not pass through the offset at which the snapshot ends.  */
  restore_snapshot (view, TRUE);
  return config_view_update (view, deadline_us, error);
}

gboolean
config_view_append (struct config_view *view, json_t *record,
                    gint64 deadline_us, GError **error)
{
  g_autofree char *path = g_strdup_printf ("/v1/streams/%s/records",
                                           view->options->config_stream);
  g_autofree char *body = json_format (record);
  struct client_request request = {
    .method = "POST",
    .address = view->options->log_url,
    .path = path,
    .body = body,
    .deadline_us = deadline_us,
  };
  struct client_response *response
      = client_call (view->client, &request, error);
  guint64 offset;
  gboolean is_valid;

  if (response == NULL)
    return FALSE;
  is_valid = log_answer_read_offset (response->status, response->json, &offset,
                                     error);
  client_response_free (response);
  return is_valid;
}

const struct config_log *
config_view_get_log (const struct config_view *view)
{
  return view->log;
}

GPtrArray *
config_view_list_decisions (const struct config_view *view, const char *team)
{
  GPtrArray *decisions = g_ptr_array_new ();

  for (guint i = 0; i < view->decisions->len; i++)
    {
      struct config_decision *decision
          = g_ptr_array_index (view->decisions, i);

      if (g_str_equal (decision->team, team))
        g_ptr_array_add (decisions, decision);
    }
  return decisions;
}

const struct config_decision *
config_view_find_edit (const struct config_view *view, const char *edit)
{
  const struct config_decision *found = NULL;

  for (guint i = 0; i < view->decisions->len; i++)
    {
      const struct config_decision *decision
          = g_ptr_array_index (view->decisions, i);

      if (!g_str_equal (decision->edit, edit))
        continue;
      if (decision->verdict == CONFIG_ACCEPTED)
        return decision;
      if (found == NULL)
        found = decision;
    }
  return found;
}

static char *
format_time (gint64 unix_ms)
{
  g_autoptr (GDateTime) when = g_date_time_new_from_unix_utc (unix_ms / 1000);

  return when != NULL ? g_date_time_format (when, "%Y-%m-%dT%H:%M:%SZ")
                      : g_strdup ("-");
}

static json_t *
format_detail (const char *detail)
{
  g_auto (GStrv) lines = g_strsplit (detail, "\n", -1);
  json_t *list = json_array ();

  for (char **line = lines; *line != NULL; line++)
    if (**line != '\0')
      json_array_append_new (list, json_string (g_strstrip (*line)));
  return list;
}

json_t *
config_decision_format (const struct config_decision *decision)
{
  g_autofree char *time = format_time (decision->unix_ms);

  return json_pack ("{s:I, s:s, s:s, s:s, s:s, s:I, s:I, s:s, s:o}", "offset",
                    (json_int_t)decision->offset, "time", time, "team",
                    decision->team, "author", decision->author, "edit",
                    decision->edit, "base", (json_int_t)decision->base,
                    "current", (json_int_t)decision->current, "verdict",
                    config_verdict_name (decision->verdict), "detail",
                    format_detail (decision->detail));
}

void
config_decision_print (const struct config_decision *decision)
{
  g_autofree char *time = format_time (decision->unix_ms);

  printf ("offset %" G_GUINT64_FORMAT "  %s  %s  %s", decision->offset, time,
          decision->author, config_verdict_name (decision->verdict));
  if (decision->verdict == CONFIG_ACCEPTED)
    printf (" as version %" G_GUINT64_FORMAT, decision->current);
  if (decision->verdict == CONFIG_VOID)
    printf (": based on version %" G_GUINT64_FORMAT ", but %" G_GUINT64_FORMAT
            " was in force",
            decision->base, decision->current);
  printf ("\n%s", decision->detail);
}
