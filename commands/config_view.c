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

#define READ_LIMIT 200
#define STATUS_GONE 410

struct config_view
{
  struct config_log_driver driver;
  const struct config_options *options;
  struct client *client;
  struct config_log *log;
  GPtrArray *events; /* struct config_event */
  gint64 record_unix_ms;
  char *base_text; /* of the document that the record at hand changes */

  /* The newest snapshot.  */
  GPtrArray *documents; /* NULL without one */
  guint64 upto;
  gboolean is_whole;
  gboolean is_loaded;
  GError *load_error;
};

static void
event_free (gpointer data)
{
  struct config_event *event = data;

  g_free (event->team);
  g_free (event->edit);
  g_free (event->author);
  g_free (event->detail);
  g_free (event);
}

static struct document *
driver_build (struct config_log_driver *driver,
              const struct config_change *change, const struct document *base,
              GError **error)
{
  struct config_view *view = list_entry (driver, struct config_view, driver);

  g_free (view->base_text);
  view->base_text = base != NULL ? g_strdup (base->text) : NULL;
  return log_record_build_document (change, base, error);
}

static void
driver_in_force (struct config_log_driver *driver, struct document *document,
                 enum config_source source)
{
}

/* What CURRENT changes in the document before it.  */
static char *
describe_change (const struct config_view *view,
                 const struct document *current)
{
  json_t *before = view->base_text != NULL
                       ? json_loads (view->base_text, 0, NULL)
                       : json_object ();
  json_t *after = log_record_parse_document (current);
  json_t *patch = json_patch_diff (before, after);
  GString *text = g_string_new (NULL);

  json_patch_describe (before, patch, text);
  json_decref (before);
  json_decref (after);
  json_decref (patch);
  return g_string_free (text, FALSE);
}

static void
driver_decided (struct config_log_driver *driver,
                const struct config_change *change,
                enum config_verdict verdict, const struct document *current,
                const GError *error)
{
  struct config_view *view = list_entry (driver, struct config_view, driver);
  struct config_event *event = g_new0 (struct config_event, 1);

  event->offset = change->offset;
  event->unix_ms = view->record_unix_ms;
  event->team = g_strdup (change->team);
  event->edit = g_strdup (change->edit);
  event->author = g_strdup (change->author);
  event->base = change->base;
  event->current = current != NULL ? current->version : 0;
  event->verdict = verdict;
  if (verdict == CONFIG_ACCEPTED)
    event->detail = describe_change (view, current);
  else
    event->detail = error != NULL ? g_strdup_printf ("  %s\n", error->message)
                                  : g_strdup ("");
  g_ptr_array_add (view->events, event);
}

static const struct config_log_driver_ops driver_ops = {
  .build_document = driver_build,
  .document_applied = driver_in_force,
  .change_decided = driver_decided,
};

struct config_view *
config_view_new (const struct config_options *options)
{
  struct config_view *view = g_new0 (struct config_view, 1);

  view->driver.ops = &driver_ops;
  view->options = options;
  view->client = client_new (options->token);
  view->log = config_log_new (&view->driver);
  view->events = g_ptr_array_new_with_free_func (event_free);
  return view;
}

void
config_view_free (struct config_view *view)
{
  client_free (view->client);
  config_log_free (view->log);
  g_ptr_array_unref (view->events);
  if (view->documents != NULL)
    g_ptr_array_unref (view->documents);
  g_clear_error (&view->load_error);
  g_free (view->base_text);
  g_free (view);
}

static void
on_loaded (const struct snapshot *snapshot, const GError *error, gpointer data)
{
  struct config_view *view = data;

  view->is_loaded = TRUE;
  if (error != NULL)
    view->load_error = g_error_copy (error);
  if (snapshot == NULL)
    return;
  view->documents = g_ptr_array_ref (snapshot->documents);
  view->upto = snapshot->upto;
  view->is_whole = snapshot->is_whole;
}

static gboolean
load_snapshot (struct config_view *view, GError **error)
{
  struct snapshot_store *store = snapshot_store_new (
      view->options->log_url, view->options->snapshot_stream);

  view->is_loaded = FALSE;
  snapshot_store_load (store, on_loaded, view);
  while (!view->is_loaded)
    g_main_context_iteration (NULL, TRUE);
  snapshot_store_free (store);
  if (view->load_error == NULL)
    return TRUE;
  error_set (error, ERROR_UNAVAILABLE,
             "the log at %s does not answer (%s); check --log",
             view->options->log_url, view->load_error->message);
  g_clear_error (&view->load_error);
  return FALSE;
}

/* Takes the snapshot over if reading has come to its place, or with AT_ONCE.
 */
static void
restore_snapshot (struct config_view *view, gboolean at_once)
{
  if (view->documents == NULL)
    return;
  if (!at_once && config_log_get_next (view->log) != view->upto)
    return;
  config_log_restore (view->log, view->documents, view->upto, view->is_whole,
                      CONFIG_SOURCE_SNAPSHOT);
  g_clear_pointer (&view->documents, g_ptr_array_unref);
}

static void
take_record (struct config_view *view, const struct log_answer_record *record)
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
take_answer (struct config_view *view, const struct log_answer *answer,
             GError **error)
{
  struct log_answer_record record;

  if (answer->records == NULL)
    config_log_note_gap (view->log, answer->first);
  for (size_t i = 0; i < json_array_size (answer->records); i++)
    {
      if (!log_answer_get_record (answer, i, &record))
        {
          error_set (error, ERROR_UNAVAILABLE,
                     "the log sent a record that cannot be read; check --log");
          return FALSE;
        }
      take_record (view, &record);
    }
  return TRUE;
}

static struct client_response *
read_page (struct config_view *view, gint64 deadline_us, GError **error)
{
  g_autofree char *path = g_strdup_printf (
      "/v1/streams/%s/records?from=%" G_GUINT64_FORMAT "&limit=%d",
      view->options->config_stream, config_log_get_next (view->log),
      READ_LIMIT);
  struct client_request request = {
    .method = "GET",
    .base = view->options->log_url,
    .path = path,
    .deadline_us = deadline_us,
  };

  return client_call (view->client, &request, error);
}

/* Reads one page; sets *AT_END when it was the last.  */
static gboolean
update_page (struct config_view *view, gint64 deadline_us, gboolean *at_end,
             GError **error)
{
  struct client_response *answer = read_page (view, deadline_us, error);
  guint64 before = config_log_get_next (view->log);
  struct log_answer page;
  gboolean is_good;

  if (answer == NULL)
    return FALSE;
  is_good = log_answer_read (answer->status, answer->json, &page, error)
            && take_answer (view, &page, error);
  client_response_free (answer);
  if (!is_good)
    return FALSE;
  restore_snapshot (view, FALSE);
  *at_end = config_log_get_next (view->log) >= page.next;
  if (*at_end || config_log_get_next (view->log) > before)
    return TRUE;
  error_set (error, ERROR_UNAVAILABLE,
             "the log holds back records that it should have; check --log");
  return FALSE;
}

gboolean
config_view_update (struct config_view *view, gint64 deadline_us,
                    GError **error)
{
  gboolean at_end = FALSE;

  while (!at_end)
    if (!update_page (view, deadline_us, &at_end, error))
      {
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
  if (view->documents == NULL)
    return TRUE;
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
    .base = view->options->log_url,
    .path = path,
    .body = body,
    .deadline_us = deadline_us,
  };
  struct client_response *answer = client_call (view->client, &request, error);
  guint64 offset;
  gboolean is_good;

  if (answer == NULL)
    return FALSE;
  is_good
      = log_answer_read_offset (answer->status, answer->json, &offset, error);
  client_response_free (answer);
  return is_good;
}

const struct config_log *
config_view_get_log (const struct config_view *view)
{
  return view->log;
}

GPtrArray *
config_view_list_events (const struct config_view *view, const char *team)
{
  GPtrArray *events = g_ptr_array_new ();

  for (guint i = 0; i < view->events->len; i++)
    {
      struct config_event *event = g_ptr_array_index (view->events, i);

      if (g_str_equal (event->team, team))
        g_ptr_array_add (events, event);
    }
  return events;
}

const struct config_event *
config_view_find_edit (const struct config_view *view, const char *edit)
{
  const struct config_event *found = NULL;

  for (guint i = 0; i < view->events->len; i++)
    {
      const struct config_event *event = g_ptr_array_index (view->events, i);

      if (!g_str_equal (event->edit, edit))
        continue;
      if (event->verdict == CONFIG_ACCEPTED)
        return event;
      if (found == NULL)
        found = event;
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
config_event_format (const struct config_event *event)
{
  g_autofree char *time = format_time (event->unix_ms);

  return json_pack ("{s:I, s:s, s:s, s:s, s:s, s:I, s:I, s:s, s:o}", "offset",
                    (json_int_t)event->offset, "time", time, "team",
                    event->team, "author", event->author, "edit", event->edit,
                    "base", (json_int_t)event->base, "current",
                    (json_int_t)event->current, "verdict",
                    config_verdict_name (event->verdict), "detail",
                    format_detail (event->detail));
}

void
config_event_print (const struct config_event *event)
{
  g_autofree char *time = format_time (event->unix_ms);

  printf ("offset %" G_GUINT64_FORMAT "  %s  %s  %s", event->offset, time,
          event->author, config_verdict_name (event->verdict));
  if (event->verdict == CONFIG_ACCEPTED)
    printf (" as version %" G_GUINT64_FORMAT, event->current);
  if (event->verdict == CONFIG_VOID)
    printf (": based on version %" G_GUINT64_FORMAT ", but %" G_GUINT64_FORMAT
            " was in force",
            event->base, event->current);
  printf ("\n%s", event->detail);
}
