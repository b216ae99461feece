#include "t/fuzz/targets.h"

#include "base/error.h"
#include "protocol/document_json.h"
#include "protocol/heartbeat.h"
#include "protocol/job_json.h"
#include "protocol/json_read.h"
#include "protocol/log_answer.h"
#include "protocol/log_record.h"
#include "protocol/rpc_message.h"
#include "protocol/settings.h"
#include "state/job_id.h"

#include <string.h>

/* Clock readings, the same in every run.  */
#define NOW_US G_GINT64_CONSTANT (1000000000)
#define NOW_UNIX_MS G_GINT64_CONSTANT (1790000000000)

#define SOURCE "fuzz"
#define HTTP_OK 200

/* The error of a decoder that refused, which must tell what to do.  */
static void
assert_refused (GError *error)
{
  g_assert_nonnull (error);
  g_assert_cmpstr (error->message, !=, "");
  g_error_free (error);
}

static void
run_settings (const guint8 *data, gsize length)
{
  GError *error = NULL;
  struct settings *settings
      = settings_parse ((const char *)data, length, SOURCE, &error);

  if (settings == NULL)
    {
      assert_refused (error);
      return;
    }
  g_assert_true (vm_name_is_valid (settings->vm));
  settings_free (settings);
}

/* A document that was accepted is accepted again in its canonical form.  */
static void
run_document (const guint8 *data, gsize length)
{
  GError *error = NULL;
  struct document *again;
  struct document *document
      = document_from_text ((const char *)data, length, SOURCE, &error);

  if (document == NULL)
    {
      assert_refused (error);
      return;
    }
  again = document_from_text (document->text, strlen (document->text), SOURCE,
                              &error);
  g_assert_no_error (error);
  g_assert_cmpstr (document->text, ==, again->text);
  document_unref (again);
  document_unref (document);
}

static void
run_job (const guint8 *data, gsize length)
{
  g_autoptr (GBytes) body = g_bytes_new (data, length);
  GError *error = NULL;
  struct submission *submission = submission_parse (body, NOW_US, &error);

  if (submission == NULL)
    {
      assert_refused (error);
      return;
    }
  g_assert_cmpuint (submission->job->n_tasks, >=, 1);
  g_assert_cmpuint (submission->job->n_tasks, <=, JOB_MAX_TASKS);
  submission_free (submission);
}

static void
run_job_id (const guint8 *data, gsize length)
{
  g_autofree char *text = g_strndup ((const char *)data, length);
  g_autofree char *written = NULL;
  const char *mac = NULL;
  GError *error = NULL;
  struct job_id id;
  struct job_id again;

  if (!job_id_parse (text, &id, &mac, &error))
    {
      assert_refused (error);
      return;
    }
  written = job_id_format (&id);
  g_assert_true (job_id_parse (written, &again, NULL, NULL));
  g_assert_cmpstr (again.vm, ==, id.vm);
  g_assert_cmpuint (again.incarnation, ==, id.incarnation);
  g_assert_cmpuint (again.sequence, ==, id.sequence);
  g_assert_cmpint (again.deadline_unix_ms, ==, id.deadline_unix_ms);
}

static void
build_change (const struct config_change *change)
{
  GError *error = NULL;
  struct document *document = log_record_build_document (change, NULL, &error);

  if (document == NULL)
    assert_refused (error);
  else
    document_unref (document);
}

static void
run_log_record (const guint8 *data, gsize length)
{
  json_t *root = json_parse ((const char *)data, length, NULL);
  struct snapshot_reader *reader;
  struct config_change change = { 0 };
  GError *error = NULL;

  if (root == NULL)
    return;
  switch (log_record_read_change (root, 1, &change, &error))
    {
    case LOG_RECORD_CHANGE:
      build_change (&change);
      break;
    case LOG_RECORD_INVALID:
      assert_refused (error);
      break;
    case LOG_RECORD_OTHER:
      break;
    }
  reader = snapshot_reader_new ();
  snapshot_reader_add (reader, root);
  snapshot_reader_free (reader);
  json_decref (root);
}

static void
run_log_answer (const guint8 *data, gsize length)
{
  json_t *root = json_parse ((const char *)data, length, NULL);
  struct log_answer answer = { 0 };
  GError *error = NULL;
  guint64 offset;

  if (root == NULL)
    return;
  if (!log_answer_read (HTTP_OK, root, &answer, &error))
    assert_refused (error);
  else
    for (gsize i = 0; i < json_array_size (answer.records); i++)
      {
        struct log_answer_record record;

        log_answer_get_record (&answer, i, &record);
      }
  log_answer_read_offset (HTTP_OK, root, &offset, NULL);
  json_decref (root);
}

static void
run_json (const guint8 *data, gsize length)
{
  GError *error = NULL;
  json_t *root = json_parse_with_comments ((const char *)data, length, &error);
  g_autofree char *text = NULL;
  json_t *again;

  if (root == NULL)
    {
      assert_refused (error);
      return;
    }
  text = json_format (root);
  again = json_parse (text, strlen (text), NULL);
  g_assert_nonnull (again);
  json_decref (again);
  json_decref (root);
}

/* A MAC without keys: everything verifies, so that the decoders are reached.
 */
static struct peer_mac *
open_mac (void)
{
  g_autoptr (GPtrArray) keys = g_ptr_array_new ();

  return peer_mac_new (keys);
}

static void
run_rpc_call (const guint8 *data, gsize length)
{
  guint8 *copy = g_memdup2 (data, length);
  struct peer_mac *mac = open_mac ();
  struct rpc_call call = { 0 };

  rpc_peek_xid (copy, length);
  if (rpc_parse_call (mac, copy, length, &call) == RPC_CALL_VALID)
    {
      g_assert_nonnull (call.procedure);
      rpc_call_clear (&call);
    }
  peer_mac_free (mac);
  g_free (copy);
}

/* The first byte chooses the procedure.  */
static void
run_rpc_reply (const guint8 *data, gsize length)
{
  const struct rpc_procedure *procedure
      = length > 0 ? rpc_procedure_find (data[0]) : NULL;
  guint8 *copy = length > 1 ? g_memdup2 (data + 1, length - 1) : NULL;
  struct peer_mac *mac = open_mac ();
  GError *error = NULL;
  void *result;

  if (procedure != NULL && copy != NULL)
    {
      result = rpc_parse_reply (mac, copy, length - 1, procedure, &error);
      if (result != NULL)
        rpc_result_free (procedure, result);
      else
        assert_refused (error);
    }
  peer_mac_free (mac);
  g_free (copy);
}

static void
run_heartbeat (const guint8 *data, gsize length)
{
  struct peer_mac *mac = open_mac ();
  heartbeat beat = { 0 };

  if (heartbeat_decode (data, length, mac, NOW_UNIX_MS, &beat))
    heartbeat_clear (&beat);
  peer_mac_free (mac);
}

static const struct fuzz_target targets[] = {
  { "settings", run_settings },
  { "document", run_document },
  { "job", run_job },
  { "job-id", run_job_id },
  { "log-record", run_log_record },
  { "log-answer", run_log_answer },
  { "json", run_json },
  { "rpc-call", run_rpc_call },
  { "rpc-reply", run_rpc_reply },
  { "heartbeat", run_heartbeat },
  { NULL, NULL },
};

const struct fuzz_target *
fuzz_targets (void)
{
  return targets;
}

const struct fuzz_target *
fuzz_target_find (const char *name)
{
  for (const struct fuzz_target *t = targets; t->name != NULL; t++)
    if (g_strcmp0 (t->name, name) == 0)
      return t;
  return NULL;
}
