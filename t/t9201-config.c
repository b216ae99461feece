/*
 * The configuration with real processes: racing operators, lost answers,
 * outages of the log, cut links, expired records.
 */
#include "commands/command.h"
#include "t/support/cut_link.h"
#include "t/support/deployment.h"
#include "t/support/http.h"
#include "t/support/peers.h"
#include "t/support/run.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>

#define CONFIG_STREAM "radishchute-config"
#define SNAPSHOT_STREAM "radishchute-snapshots"
#define N_OPERATORS 8

static char *
log_url (struct deployment *d)
{
  return http_url (d->platform->ports[0], "%s", "");
}

static char *
entry_address (struct deployment *d, guint index)
{
  return g_strdup_printf ("127.0.0.1:%u", d->entries[index]->ports[0]);
}

static void
control (struct deployment *d, const char *path, const char *body)
{
  g_autofree char *url = http_url (d->platform->ports[0], "%s", path);

  http_post (url, body);
}

static void
set_outage (struct deployment *d, const char *mode)
{
  g_autofree char *body = g_strdup_printf ("{\"mode\":\"%s\"}", mode);

  control (d, "/test/outage", body);
}

static void
expire (struct deployment *d, const char *stream, guint64 before)
{
  g_autofree char *body = g_strdup_printf (
      "{\"stream\":\"%s\",\"before\":%" G_GUINT64_FORMAT "}", stream, before);

  control (d, "/test/expire", body);
}

/* Whether a VM knows as many live peers as DATA says.  */
/* Writes the deployment's document with WEIGHT to a file.  */
static char *
write_document (struct deployment *d, const char *name, int weight)
{
  char *path = g_build_filename (d->directory, name, NULL);
  json_t *document = deployment_document (d);

  json_object_set_new (document, "weight", json_integer (weight));
  g_assert_cmpint (json_dump_file (document, path, JSON_INDENT (1)), ==, 0);
  json_decref (document);
  return path;
}

static void
remove_file (struct deployment *d, const char *name)
{
  g_autofree char *path = g_build_filename (d->directory, name, NULL);

  g_assert_cmpint (g_remove (path), ==, 0);
}

static void
assert_status (const struct run_result *result, int status)
{
  if (result->status != status)
    g_error ("status %d instead of %d: %s%s", result->status, status,
             result->out, result->err);
}

static gboolean
has_version (json_t *state, gpointer data)
{
  const guint64 *version = data;
  json_t *document
      = json_object_get (json_get (state, "documents"), DEPLOYMENT_TEAM);

  return document != NULL
         && (guint64)json_get_int (document, "version") >= *version;
}

/* Waits until entry VM INDEX has VERSION; returns where it came from.  */
static char *
wait_version (struct deployment *d, guint index, guint64 version)
{
  g_autofree char *url = deployment_url (d, index, "/v1/state");
  json_t *state = http_poll_until (url, has_version, &version);
  json_t *document = json_get (json_get (state, "documents"), DEPLOYMENT_TEAM);
  char *source = g_strdup (json_string_value (json_get (document, "source")));

  g_assert_cmpuint ((guint64)json_get_int (document, "version"), ==, version);
  json_decref (state);
  return source;
}

/* Publishes with WEIGHT and waits for the entry VMs before END only.  */
static void
publish_weight (struct deployment *d, int weight, guint end)
{
  guint n_entries = d->n_entries;
  json_t *document = deployment_document (d);

  json_object_set_new (document, "weight", json_integer (weight));
  d->n_entries = end;
  deployment_publish (d, document);
  d->n_entries = n_entries;
  json_decref (document);
}

/* Runs "config put" of a file with WEIGHT; OPTION may be NULL.  */
static struct run_result *
put_weight (struct deployment *d, int weight, const char *option)
{
  g_autofree char *path = write_document (d, "put.json", weight);
  g_autofree char *url = log_url (d);
  g_autofree char *entry = entry_address (d, 0);
  struct run_result *result
      = run_command (NULL, "config", "put", path, "--json", "--log", url,
                     "--entry", entry, "--author", "operator", option, NULL);

  remove_file (d, "put.json");
  return result;
}

static struct process *
start_put (struct deployment *d, const char *path)
{
  g_autofree char *url = log_url (d);
  g_autofree char *entry = entry_address (d, 0);

  return process_start ("radishchute", "config", "put", path, "--log", url,
                        "--entry", entry, "--base", "1", NULL);
}

/* Of operators who publish at the same time, exactly one wins.  */
static void
test_racing_operators (void)
{
  struct deployment *d = deployment_start (3, 1);
  struct process *operators[N_OPERATORS];
  guint n_won = 0;
  guint64 version;

  for (int i = 0; i < N_OPERATORS; i++)
    {
      g_autofree char *name = g_strdup_printf ("racer-%d.json", i);
      g_autofree char *path = write_document (d, name, i + 2);

      operators[i] = start_put (d, path);
    }
  for (int i = 0; i < N_OPERATORS; i++)
    {
      g_autofree char *name = g_strdup_printf ("racer-%d.json", i);
      int status = process_wait_exit (operators[i]);

      g_assert_true (status == EXIT_STATUS_OK || status == EXIT_STATUS_FAILED);
      if (status == EXIT_STATUS_OK)
        n_won++;
      remove_file (d, name);
      process_free (operators[i]);
    }
  g_assert_cmpuint (n_won, ==, 1);
  /* The first of them in the log has offset 1.  */
  version = 2;
  for (guint i = 0; i < d->n_entries; i++)
    g_free (wait_version (d, i, version));
  deployment_stop (d);
}

/* The log takes every change and loses every answer.  */
static void
test_lost_answer (void)
{
  struct deployment *d = deployment_start (2, 1);
  struct run_result *r;
  json_t *answer;
  g_autofree char *stream
      = http_url (d->platform->ports[0], "/test/streams/%s", CONFIG_STREAM);
  json_t *records;

  set_outage (d, "lose-answers");
  r = put_weight (d, 7, NULL);
  assert_status (r, EXIT_STATUS_OK);
  answer = run_result_json (r);
  g_assert_cmpint (json_get_int (answer, "version"), ==, 2);
  g_assert_cmpint (json_get_int (answer, "entries_in_force"), ==, 1);
  set_outage (d, "none");
  records = http_get_json (stream);
  g_assert_cmpint (json_get_int (records, "next"), ==, 2);
  json_decref (records);
  json_decref (answer);
  run_result_free (r);
  deployment_stop (d);
}

/* Conflicts, repetition and history as an operator sees them.  */
static void
test_operators_view (void)
{
  struct deployment *d = deployment_start (1, 1);
  g_autofree char *url = log_url (d);
  struct run_result *r;
  json_t *history;

  r = put_weight (d, 5, "--base=1");
  assert_status (r, EXIT_STATUS_OK);
  run_result_free (r);
  r = put_weight (d, 6, "--base=1");
  assert_status (r, EXIT_STATUS_FAILED);
  g_assert_nonnull (strstr (r->err, "conflict"));
  run_result_free (r);
  r = put_weight (d, 5, NULL);
  assert_status (r, EXIT_STATUS_OK);
  g_assert_nonnull (strstr (r->out, "already in force"));
  run_result_free (r);
  r = put_weight (d, -1, NULL);
  assert_status (r, EXIT_STATUS_USAGE);
  g_assert_nonnull (strstr (r->err, "put.json: document: 'weight' must be"));
  run_result_free (r);
  r = run_command (NULL, "config", "history", DEPLOYMENT_TEAM, "--json",
                   "--log", url, NULL);
  assert_status (r, EXIT_STATUS_OK);
  history = run_result_json (r);
  g_assert_cmpuint (json_array_size (history), ==, 2);
  g_assert_cmpstr (
      json_string_value (json_get (json_array_get (history, 1), "author")), ==,
      "operator");
  g_assert_cmpstr (json_string_value (json_array_get (
                       json_get (json_array_get (history, 1), "detail"), 0)),
                   ==, "weight: none -> 5");
  json_decref (history);
  run_result_free (r);
  deployment_stop (d);
}

/* Asserts that entry VM INDEX does the whole of a job.  */
static void
assert_serves (struct deployment *d, guint index)
{
  g_autofree char *url = deployment_url (d, index, "/v1/jobs");
  g_autofree char *job = deployment_job (5, 5, 100);
  struct http_answer *answer = http_request ("POST", url, job, NULL);
  json_t *body = http_answer_json (answer);

  g_assert_cmpuint (answer->status, ==, 200);
  deployment_assert_whole (body, 5, 100);
  json_decref (body);
  http_answer_free (answer);
}

/* Asserts that entry VM INDEX refuses a job as not run.  */
static void
assert_refuses (struct deployment *d, guint index)
{
  g_autofree char *url = deployment_url (d, index, "/v1/jobs");
  g_autofree char *job = deployment_job (1, 5, 100);
  struct http_answer *answer = http_request ("POST", url, job, NULL);

  g_assert_cmpuint (answer->status, ==, 503);
  g_assert_nonnull (strstr (answer->body, "not-run"));
  g_assert_nonnull (
      soup_message_headers_get_one (answer->headers, "Retry-After"));
  http_answer_free (answer);
}

/* During an outage of the log, a new VM starts from its peers, and without a
   peer refuses jobs as not run.  */
static void
test_start_during_outage (void)
{
  struct deployment *d = deployment_start (2, 1);
  json_t *settings;
  g_autofree char *seed = NULL;
  g_autofree char *source = NULL;

  set_outage (d, "silent");
  settings = deployment_settings (d, 2);
  deployment_start_entry (d, 2, settings);
  d->n_entries = 3;
  assert_refuses (d, 2);
  seed = g_strdup_printf ("127.0.0.1:%u", d->entries[0]->ports[1]);
  json_object_set_new (settings, "peer_seeds", json_pack ("[s]", seed));
  deployment_start_entry (d, 2, settings);
  source = wait_version (d, 2, d->version);
  g_assert_cmpstr (source, ==, "peer");
  assert_serves (d, 2);
  assert_serves (d, 0);
  set_outage (d, "none");
  publish_weight (d, 9, 3);
  json_decref (settings);
  deployment_stop (d);
}

/* A VM whose link to the log goes silent gets changes from its peer, and reads
   the log again once the link is mended.  */
static void
test_cut_off_and_mended (void)
{
  struct deployment *d = deployment_start (1, 1);
  struct cut_link *link = cut_link_new (d->platform->ports[0]);
  g_autofree char *cut_url = http_url (cut_link_get_port (link), "%s", "");
  json_t *settings = deployment_settings (d, 1);
  g_autofree char *source = NULL;
  g_autofree char *later = NULL;

  json_object_set_new (settings, "log_url", json_string (cut_url));
  deployment_start_entry (d, 1, settings);
  d->n_entries = 2;
  peers_connect (d);
  g_free (wait_version (d, 1, d->version));
  cut_link_silence (link);
  publish_weight (d, 4, 1);
  source = wait_version (d, 1, d->version);
  g_assert_cmpstr (source, ==, "peer");
  cut_link_mend (link);
  /* Without its peer, only the log can bring the next one.  */
  process_signal (d->entries[0], SIGSTOP);
  publish_weight (d, 5, 0);
  later = wait_version (d, 1, d->version);
  g_assert_cmpstr (later, ==, "log");
  process_signal (d->entries[0], SIGCONT);
  g_free (wait_version (d, 0, d->version));
  cut_link_free (link);
  json_decref (settings);
  deployment_stop (d);
}

/* A VM that was paused and cut off comes back with an old version: it takes
   the new one over and nobody takes its old one.  */
static void
test_peer_with_old_version (void)
{
  struct deployment *d = deployment_start (1, 1);
  struct cut_link *link = cut_link_new (d->platform->ports[0]);
  g_autofree char *cut_url = http_url (cut_link_get_port (link), "%s", "");
  json_t *settings = deployment_settings (d, 1);

  json_object_set_new (settings, "log_url", json_string (cut_url));
  deployment_start_entry (d, 1, settings);
  d->n_entries = 2;
  peers_connect (d);
  g_free (wait_version (d, 1, d->version));
  cut_link_silence (link);
  process_signal (d->entries[1], SIGSTOP);
  for (int i = 0; i < 5; i++)
    publish_weight (d, 10 + i, 1);
  set_outage (d, "refuse");
  process_signal (d->entries[1], SIGCONT);
  g_free (wait_version (d, 1, d->version));
  g_free (wait_version (d, 0, d->version));
  cut_link_free (link);
  json_decref (settings);
  deployment_stop (d);
}

static gboolean
has_records (json_t *body, gpointer data)
{
  return json_get_int (body, "next") > *(gint64 *)data;
}

/* Records expire: a new VM starts from a snapshot and what follows it.  Once
   the snapshots are gone as well, only a forced change helps.  */
static void
test_expired_records (void)
{
  struct deployment *d = deployment_start (1, 1);
  g_autofree char *snapshots
      = http_url (d->platform->ports[0], "/test/streams/%s", SNAPSHOT_STREAM);
  json_t *settings = deployment_settings (d, 0);
  struct run_result *r;
  gint64 n = 0;

  json_object_set_new (settings, "limits",
                       json_pack ("{s:i}", "snapshot_records", 4));
  deployment_start_entry (d, 0, settings);
  for (int i = 0; i < 6; i++)
    publish_weight (d, 20 + i, 1);
  json_decref (http_poll_until (snapshots, has_records, &n));
  publish_weight (d, 30, 1);
  expire (d, CONFIG_STREAM, 4);
  deployment_start_entry (d, 0, settings);
  g_free (wait_version (d, 0, d->version));
  assert_serves (d, 0);

  expire (d, CONFIG_STREAM, d->version);
  expire (d, SNAPSHOT_STREAM, 100);
  deployment_start_entry (d, 0, settings);
  assert_refuses (d, 0);
  r = put_weight (d, 40, NULL);
  assert_status (r, EXIT_STATUS_FAILED);
  g_assert_nonnull (strstr (r->err, "--force"));
  run_result_free (r);
  r = put_weight (d, 40, "--force");
  assert_status (r, EXIT_STATUS_OK);
  run_result_free (r);
  r = put_weight (d, 41, NULL);
  assert_status (r, EXIT_STATUS_OK);
  run_result_free (r);
  assert_serves (d, 0);
  json_decref (settings);
  deployment_stop (d);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config/racing-operators", test_racing_operators);
  g_test_add_func ("/config/lost-answer", test_lost_answer);
  g_test_add_func ("/config/operators-view", test_operators_view);
  g_test_add_func ("/config/start-during-outage", test_start_during_outage);
  g_test_add_func ("/config/cut-off-and-mended", test_cut_off_and_mended);
  g_test_add_func ("/config/peer-with-old-version",
                   test_peer_with_old_version);
  g_test_add_func ("/config/expired-records", test_expired_records);
  return g_test_run ();
}
