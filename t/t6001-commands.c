/* The commands as processes, against a deployment.  */
#include "commands/command.h"
#include "t/support/deployment.h"
#include "t/support/http.h"
#include "t/support/run.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

static char *
entry_address (struct deployment *d, guint index)
{
  return g_strdup_printf ("127.0.0.1:%u", d->entries[index]->ports[0]);
}

/* An address at which nothing listens.  */
static char *
dead_address (void)
{
  g_autoptr (GSocket) socket = g_socket_new (
      G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_autoptr (GInetAddress) ip
      = g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new (ip, 0);
  g_autoptr (GSocketAddress) bound = NULL;

  g_assert_true (g_socket_bind (socket, any, FALSE, NULL));
  bound = g_socket_get_local_address (socket, NULL);
  return g_strdup_printf ("127.0.0.1:%u", g_inet_socket_address_get_port (
                                              G_INET_SOCKET_ADDRESS (bound)));
}

static void
assert_status (const struct run_result *result, int status)
{
  if (result->status != status)
    g_error ("status %d instead of %d: %s%s", result->status, status,
             result->out, result->err);
}

static void
assert_mentions (const char *text, const char *part)
{
  if (strstr (text, part) == NULL)
    g_error ("'%s' lacks '%s'", text, part);
}

static void
test_unknown_command (void)
{
  struct run_result *r = run_command (NULL, "submt", NULL);

  assert_status (r, EXIT_STATUS_USAGE);
  assert_mentions (r->err, "did you mean 'submit'?");
  run_result_free (r);
  r = run_command (NULL, "xylophone", NULL);
  assert_status (r, EXIT_STATUS_USAGE);
  g_assert_null (strstr (r->err, "did you mean"));
  run_result_free (r);
}

static const char *const command_names[]
    = { "bench",    "cancel",  "drain",  "dump",   "entry",
        "evacuate", "explain", "fleet",  "job",    "log-level",
        "status",   "submit",  "ticket", "version" };

static void
test_help (void)
{
  struct run_result *list = run_command (NULL, "help", NULL);

  assert_status (list, EXIT_STATUS_OK);
  for (gsize i = 0; i < G_N_ELEMENTS (command_names); i++)
    {
      struct run_result *r
          = run_command (NULL, "help", command_names[i], NULL);
      struct run_result *same
          = run_command (NULL, command_names[i], "--help", NULL);

      assert_mentions (list->out, command_names[i]);
      assert_status (r, EXIT_STATUS_OK);
      assert_mentions (r->out, "Example:");
      assert_mentions (r->out, "Exit status:");
      g_assert_cmpstr (r->out, ==, same->out);
      run_result_free (r);
      run_result_free (same);
    }
  run_result_free (list);
}

static void
test_bad_options (void)
{
  struct run_result *r = run_command (NULL, "status", "--colour", NULL);

  assert_status (r, EXIT_STATUS_USAGE);
  assert_mentions (r->err, "radishchute status --help");
  run_result_free (r);
  r = run_command (NULL, "status", NULL);
  assert_status (r, EXIT_STATUS_USAGE);
  assert_mentions (r->err, "--entry IP:PORT");
  run_result_free (r);
  r = run_command (NULL, "cancel", "--entry", "127.0.0.1:1", NULL);
  assert_status (r, EXIT_STATUS_USAGE);
  assert_mentions (r->err, "JOB is missing");
  run_result_free (r);
  r = run_command (NULL, "status", "-e", "127.0.0.1:1", "--timeout", "soon",
                   NULL);
  assert_status (r, EXIT_STATUS_USAGE);
  run_result_free (r);
}

static void
test_submit (void)
{
  struct deployment *d = deployment_start (1, 2);
  g_autofree char *entry = entry_address (d, 0);
  g_autofree char *job = deployment_job (5, 1, 70);
  struct run_result *r
      = run_command (job, "submit", "--entry", entry, "--json", NULL);
  json_t *answer = run_result_json (r);

  assert_status (r, EXIT_STATUS_OK);
  deployment_assert_whole (answer, 5, 70);
  json_decref (answer);
  run_result_free (r);
  r = run_command (job, "submit", "-e", entry, "-", NULL);
  assert_status (r, EXIT_STATUS_OK);
  assert_mentions (r->out, "complete, 5 outputs\n");
  assert_mentions (r->out, "\"echo\":74");
  run_result_free (r);
  r = run_command (job, "submit", "--wait", "-e", entry, "--json", NULL);
  answer = run_result_json (r);
  deployment_assert_whole (answer, 5, 70);
  json_decref (answer);
  run_result_free (r);
  g_assert_cmpuint (deployment_assert_starts (d), ==, 15);
  deployment_stop (d);
}

static void
test_submit_bad_input (void)
{
  struct run_result *r
      = run_command ("{\"team\":", "submit", "-e", "127.0.0.1:1", NULL);

  assert_status (r, EXIT_STATUS_USAGE);
  assert_mentions (r->err, "line 1");
  run_result_free (r);
  r = run_command ("[]", "submit", "-e", "127.0.0.1:1", "--json", NULL);
  assert_status (r, EXIT_STATUS_USAGE);
  assert_mentions (r->out, "\"kind\": \"invalid\"");
  run_result_free (r);
  r = run_command (NULL, "submit", "-e", "127.0.0.1:1", "/nonexistent", NULL);
  assert_status (r, EXIT_STATUS_USAGE);
  run_result_free (r);
}

/* A dead entry VM is passed over, and the job runs once.  */
static void
test_submit_retry (void)
{
  struct deployment *d = deployment_start (1, 2);
  g_autofree char *dead = dead_address ();
  g_autofree char *entry = entry_address (d, 0);
  g_autofree char *job = deployment_job (3, 1, 0);
  struct run_result *r = run_command (job, "submit", "--retry", "-e", dead,
                                      "-e", entry, "--json", NULL);
  json_t *answer = run_result_json (r);

  assert_status (r, EXIT_STATUS_OK);
  deployment_assert_whole (answer, 3, 0);
  g_assert_cmpuint (deployment_assert_starts (d), ==, 3);
  json_decref (answer);
  run_result_free (r);
  r = run_command (job, "submit", "--retry", "-e", dead, "-t", "100", NULL);
  assert_status (r, EXIT_STATUS_UNAVAILABLE);
  assert_mentions (r->err, "nothing was started");
  run_result_free (r);
  deployment_stop (d);
}

/* The same ticket leads to the same answer, and to one start a task.  */
static void
test_ticket (void)
{
  struct deployment *d = deployment_start (1, 1);
  g_autofree char *entry = entry_address (d, 0);
  g_autofree char *job = deployment_job (2, 1, 0);
  struct run_result *drawn
      = run_command (NULL, "ticket", "-e", entry, "-n", "2", NULL);
  g_auto (GStrv) tickets = g_strsplit (drawn->out, "\n", -1);

  assert_status (drawn, EXIT_STATUS_OK);
  g_assert_cmpuint (g_strv_length (tickets), ==, 3);
  g_assert_cmpstr (tickets[0], !=, tickets[1]);
  for (guint i = 0; i < 3; i++)
    {
      struct run_result *r = run_command (job, "submit", "-e", entry,
                                          "--ticket", tickets[0], NULL);

      assert_status (r, EXIT_STATUS_OK);
      assert_mentions (r->out, tickets[0]);
      run_result_free (r);
    }
  g_assert_cmpuint (deployment_assert_starts (d), ==, 2);
  run_result_free (drawn);
  deployment_stop (d);
}

static char *
submit_async (const char *entry, const char *job)
{
  struct run_result *r
      = run_command (job, "submit", "--async", "--json", "-e", entry, NULL);
  json_t *answer = run_result_json (r);
  char *id = g_strdup (json_string_value (json_get (answer, "job")));

  assert_status (r, EXIT_STATUS_OK);
  json_decref (answer);
  run_result_free (r);
  return id;
}

static void
test_job_and_cancel (void)
{
  struct deployment *d = deployment_start (1, 1);
  g_autofree char *entry = entry_address (d, 0);
  g_autofree char *job = deployment_job (20, 60000, 0);
  g_autofree char *id = submit_async (entry, job);
  struct run_result *r = run_command (NULL, "job", "-e", entry, id, NULL);

  assert_status (r, EXIT_STATUS_OK);
  assert_mentions (r->out, "running");
  run_result_free (r);
  r = run_command (NULL, "cancel", "-e", entry, id, NULL);
  assert_status (r, EXIT_STATUS_OK);
  assert_mentions (r->out, "the job was cancelled");
  run_result_free (r);
  r = run_command (NULL, "job", "-e", entry, id, NULL);
  assert_status (r, EXIT_STATUS_FAILED);
  assert_mentions (r->err, "cancelled");
  run_result_free (r);
  r = run_command (NULL, "cancel", "-e", entry, "r1.entry-1.1.1.1", NULL);
  assert_status (r, EXIT_STATUS_FAILED);
  run_result_free (r);
  deployment_stop (d);
}

static void
test_status_and_dump (void)
{
  struct deployment *d = deployment_start (2, 1);
  g_autofree char *first = entry_address (d, 0);
  g_autofree char *second = entry_address (d, 1);
  g_autofree char *dead = dead_address ();
  struct run_result *r
      = run_command (NULL, "status", "-e", first, "-e", second, NULL);
  json_t *answer;

  assert_status (r, EXIT_STATUS_OK);
  assert_mentions (r->out, "entry-1");
  assert_mentions (r->out, "entry-2");
  run_result_free (r);
  r = run_command (NULL, "status", "-e", first, "-e", dead, "--json", NULL);
  assert_status (r, EXIT_STATUS_UNAVAILABLE);
  answer = run_result_json (r);
  g_assert_true (
      json_is_object (json_get (json_array_get (answer, 0), "state")));
  g_assert_true (
      json_is_null (json_get (json_array_get (answer, 1), "state")));
  json_decref (answer);
  run_result_free (r);
  r = run_command (NULL, "dump", "-e", second, NULL);
  answer = run_result_json (r);
  g_assert_cmpstr (json_string_value (json_get (answer, "vm")), ==, "entry-2");
  g_assert_cmpint (json_get_int (json_get (answer, "process"), "pid"), ==,
                   d->entries[1]->pid);
  json_decref (answer);
  run_result_free (r);
  deployment_stop (d);
}

static void
test_drain (void)
{
  struct deployment *d = deployment_start (1, 1);
  g_autofree char *entry = entry_address (d, 0);
  g_autofree char *job = deployment_job (4, 100, 0);
  g_autofree char *id = submit_async (entry, job);
  struct run_result *r
      = run_command (NULL, "drain", "--wait", "-e", entry, NULL);

  assert_status (r, EXIT_STATUS_OK);
  assert_mentions (r->out, "draining");
  g_assert_cmpint (process_wait_exit (d->entries[0]), ==, 0);
  g_assert_cmpuint (deployment_assert_starts (d), ==, 4);
  run_result_free (r);
  deployment_stop (d);
}

static void
test_log_level (void)
{
  struct deployment *d = deployment_start (1, 1);
  g_autofree char *entry = entry_address (d, 0);
  struct run_result *r
      = run_command (NULL, "log-level", "-e", entry, "debug", NULL);

  assert_status (r, EXIT_STATUS_OK);
  assert_mentions (r->out, "debug, was info");
  g_assert_null (strstr (r->out, "was debug"));
  run_result_free (r);
  r = run_command (NULL, "log-level", "-e", entry, "loud", NULL);
  assert_status (r, EXIT_STATUS_USAGE);
  assert_mentions (r->err, "error, warning, info, debug");
  run_result_free (r);
  deployment_stop (d);
}

static void
test_check_settings (void)
{
  g_autofree char *path = NULL;
  int fd = g_file_open_tmp ("radishchute-XXXXXX", &path, NULL);
  const char *good
      = "{\"vm\":\"entry-1\", // own name\n"
        "\"availability_zone\":\"reykjavik-a\",\"listen\":\"127.0.0.1:0\","
        "\"peer_listen\":\"127.0.0.1:0\",\"log_url\":\"http://127.0.0.1:1\","
        "\"vm_list_url\":\"http://127.0.0.1:1\"}";
  struct run_result *r;

  g_assert_true (g_file_set_contents (path, good, -1, NULL));
  r = run_command (NULL, "entry", "--settings", path, "--check-settings",
                   NULL);
  assert_status (r, EXIT_STATUS_OK);
  assert_mentions (r->out, "settings are valid");
  run_result_free (r);
  g_assert_true (g_file_set_contents (path, "{\"vm\":7}", -1, NULL));
  r = run_command (NULL, "entry", "--settings", path, "--check-settings",
                   NULL);
  assert_status (r, EXIT_STATUS_USAGE);
  assert_mentions (r->err, "log_url");
  run_result_free (r);
  close (fd);
  unlink (path);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/commands/unknown", test_unknown_command);
  g_test_add_func ("/commands/help", test_help);
  g_test_add_func ("/commands/bad-options", test_bad_options);
  g_test_add_func ("/commands/submit", test_submit);
  g_test_add_func ("/commands/submit-bad-input", test_submit_bad_input);
  g_test_add_func ("/commands/submit-retry", test_submit_retry);
  g_test_add_func ("/commands/ticket", test_ticket);
  g_test_add_func ("/commands/job-and-cancel", test_job_and_cancel);
  g_test_add_func ("/commands/status-and-dump", test_status_and_dump);
  g_test_add_func ("/commands/drain", test_drain);
  g_test_add_func ("/commands/log-level", test_log_level);
  g_test_add_func ("/commands/check-settings", test_check_settings);
  return g_test_run ();
}
