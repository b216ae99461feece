/* `radishchute fleet` as an operator runs it.  */
#include "commands/command.h"
#include "t/support/run.h"

#include <gio/gio.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#define ADDRESSES                                                             \
  "\"vm\":\"entry-1\",\"availability_zone\":\"a\",\"ip\":\"127.0.0.1\","      \
  "\"availability_zones\":[\"a\"],\"callers\":\"127.0.0.1:0\","               \
  "\"readiness\":\"127.0.0.1:0\",\"peers\":\"127.0.0.1:0\","                  \
  "\"store\":\"127.0.0.1:1\""

/* Runs the command on a file that holds TEXT.  */
static struct run_result *
run_fleet (const char *text, const char *option)
{
  g_autofree char *path = NULL;
  g_autoptr (GError) error = NULL;
  struct run_result *result;
  int fd = g_file_open_tmp ("fleet-XXXXXX.json", &path, &error);

  g_assert_no_error (error);
  close (fd);
  g_file_set_contents (path, text, -1, &error);
  g_assert_no_error (error);
  result = run_command (NULL, "fleet", "--settings", path, option, NULL);
  g_unlink (path);
  return result;
}

static void
assert_fails (struct run_result *r, int status, const char *part)
{
  if (r->status != status || strstr (r->err, part) == NULL)
    g_error ("status %d: '%s' is not in: %s", r->status, part, r->err);
  run_result_free (r);
}

static void
test_good_settings (void)
{
  struct run_result *r
      = run_fleet ("// one of a fleet\n{" ADDRESSES ",\"beacon_port\":9}",
                   "--check-settings");

  g_assert_cmpstr (r->err, ==, "");
  g_assert_cmpstr (r->out, ==, "settings are valid\n");
  g_assert_cmpint (r->status, ==, EXIT_STATUS_OK);
  run_result_free (r);
}

static void
test_bad_settings (void)
{
  assert_fails (run_fleet ("{" ADDRESSES "}", "--check-settings"),
                EXIT_STATUS_USAGE, "'beacon_port' is missing; add it");
  assert_fails (run_fleet ("{" ADDRESSES ",\"beacon_port\":9,\"color\":1}",
                           "--check-settings"),
                EXIT_STATUS_USAGE, "unknown member 'color'; remove it");
  assert_fails (run_fleet ("{\"vm\":", "--check-settings"), EXIT_STATUS_USAGE,
                "line 1");
  /* The daemon does not start on them either.  */
  assert_fails (run_fleet ("{" ADDRESSES "}", NULL), EXIT_STATUS_USAGE,
                "'beacon_port' is missing");
}

static void
test_bad_command_line (void)
{
  assert_fails (run_command (NULL, "fleet", NULL), EXIT_STATUS_USAGE,
                "--settings FILE");
  assert_fails (run_command (NULL, "fleet", "--colour", NULL),
                EXIT_STATUS_USAGE, "radishchute fleet --help");
  assert_fails (run_command (NULL, "fleet", "--check-settings", "--settings",
                             "no-such-file", NULL),
                EXIT_STATUS_USAGE, "no-such-file");
}

/* The daemon says so and ends when an address is taken.  */
static void
test_taken_address (void)
{
  g_autoptr (GSocket) socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
                      G_SOCKET_PROTOCOL_UDP, NULL);
  g_autoptr (GSocketAddress) any
      = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  g_autoptr (GSocketAddress) bound = NULL;
  g_autofree char *text = NULL;
  struct run_result *r;

  g_assert_true (g_socket_bind (socket, any, FALSE, NULL));
  bound = g_socket_get_local_address (socket, NULL);
  text = g_strdup_printf (
      "{" ADDRESSES ",\"beacon_port\":%u}",
      g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound)));
  r = run_fleet (text, NULL);
  g_assert_nonnull (strstr (r->out, "listen-failed"));
  assert_fails (r, EXIT_STATUS_FAILED, "");
}

static void
test_help (void)
{
  struct run_result *r = run_command (NULL, "help", "fleet", NULL);
  struct run_result *same = run_command (NULL, "fleet", "--help", NULL);
  g_autofree char *page = NULL;

  g_assert_cmpint (r->status, ==, EXIT_STATUS_OK);
  g_assert_cmpstr (r->out, ==, same->out);
  g_assert_nonnull (strstr (r->out, "Example:"));
  g_assert_nonnull (strstr (r->out, "Exit status:"));
  g_assert_nonnull (strstr (r->out, "--check-settings"));
  g_assert_true (g_file_get_contents ("commands/fleet.md", &page, NULL, NULL));
  g_assert_nonnull (strstr (page, "`--check-settings`"));
  g_assert_nonnull (strstr (page, "`--settings FILE`"));
  run_result_free (r);
  run_result_free (same);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fleet-command/good-settings", test_good_settings);
  g_test_add_func ("/fleet-command/bad-settings", test_bad_settings);
  g_test_add_func ("/fleet-command/bad-command-line", test_bad_command_line);
  g_test_add_func ("/fleet-command/taken-address", test_taken_address);
  g_test_add_func ("/fleet-command/help", test_help);
  return g_test_run ();
}
