/*
 * A caller that leaves before its answer, in each of the ways that a
 * connection can end: what runs for it is stopped at once.
 */
#include "t/support/fleet_bed.h"

#include <signal.h>
#include <string.h>
#include <sys/socket.h>

#define N_TASKS 6
#define LONG_MS 60000
#define SHORT_MS 500

/* A line that a caller may send behind its request, or a second request.  */
#define MORE_BYTES "\r\nGET " FLEET_BED_PATIENT " HTTP/1.1\r\n"

struct leaver
{
  struct fleet_bed *bed;
  GSocketConnection *connection;
  char *id;
};

static GSocketConnection *
connect_to_first (struct fleet_bed *bed)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_autoptr (GError) error = NULL;
  g_autofree char *url = fleet_bed_url (bed, 0, "/");
  GSocketConnection *connection
      = g_socket_client_connect_to_uri (client, url, 80, NULL, &error);

  g_assert_no_error (error);
  return connection;
}

static void
send_bytes (struct leaver *leaver, const char *bytes, gsize length)
{
  GOutputStream *out
      = g_io_stream_get_output_stream (G_IO_STREAM (leaver->connection));

  g_assert_true (
      g_output_stream_write_all (out, bytes, length, NULL, NULL, NULL));
}

/* Sends a job, its last bytes after a while.  */
static void
send_job (struct leaver *leaver, guint run_ms)
{
  g_autofree char *body = g_strdup_printf (
      "{\"bestEffort\":true,\"spec\":\"%u\",\"steps\":[{\"count\":%d,"
      "\"cpu\":1000,\"memMb\":64,\"estMs\":%u}]}",
      run_ms, N_TASKS, run_ms);
  g_autofree char *head = NULL;

  leaver->id = g_strdup_printf ("%016x", ++leaver->bed->n_jobs);
  head = g_strdup_printf ("POST %s%s HTTP/1.1\r\nHost: jobs.example\r\n"
                          "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n",
                          FLEET_BED_PATIENT, leaver->id, strlen (body));
  send_bytes (leaver, head, strlen (head));
  fleet_bed_pass (20);
  send_bytes (leaver, body, strlen (body));
}

/* Sends a job and waits until its tasks run.  */
static void
begin (struct leaver *leaver, struct fleet_bed *bed, guint run_ms)
{
  leaver->bed = bed;
  leaver->connection = connect_to_first (bed);
  send_job (leaver, run_ms);
  fleet_bed_wait_count (bed, "running", N_TASKS);
}

static void
leave_by_close (struct leaver *leaver)
{
  g_io_stream_close (G_IO_STREAM (leaver->connection), NULL, NULL);
}

static void
leave_by_half_close (struct leaver *leaver)
{
  g_socket_shutdown (g_socket_connection_get_socket (leaver->connection),
                     FALSE, TRUE, NULL);
}

static void
leave_by_reset (struct leaver *leaver)
{
  GSocket *socket = g_socket_connection_get_socket (leaver->connection);
  struct linger at_once = { .l_onoff = 1, .l_linger = 0 };

  g_assert_cmpint (setsockopt (g_socket_get_fd (socket), SOL_SOCKET, SO_LINGER,
                               &at_once, sizeof at_once),
                   ==, 0);
  leave_by_close (leaver);
}

/* The bytes are there for a while before the connection ends.  */
static void
send_more (struct leaver *leaver)
{
  send_bytes (leaver, MORE_BYTES, strlen (MORE_BYTES));
  fleet_bed_pass (50);
}

static void
leave_by_close_after_more (struct leaver *leaver)
{
  send_more (leaver);
  leave_by_close (leaver);
}

static void
leave_by_half_close_after_more (struct leaver *leaver)
{
  send_more (leaver);
  leave_by_half_close (leaver);
}

static void
leave_by_reset_after_more (struct leaver *leaver)
{
  send_more (leaver);
  leave_by_reset (leaver);
}

static void
test_leave (gconstpointer data)
{
  void (*const *leave) (struct leaver * leaver) = data;
  struct fleet_bed *bed = fleet_bed_start (2);
  struct leaver leaver = { 0 };
  json_t *record;

  begin (&leaver, bed, LONG_MS);
  (*leave) (&leaver);
  fleet_bed_wait_idle (bed);
  record = fleet_bed_get_record (bed);
  g_assert_cmpint (json_get_int (record, "starts"), ==, N_TASKS);
  g_assert_cmpint (json_get_int (record, "stopped"), ==, N_TASKS);
  json_decref (record);
  g_object_unref (leaver.connection);
  g_free (leaver.id);
  fleet_bed_stop (bed);
}

/* The request is still unread when its caller resets the connection, as the VM
   stands still.  The caller may send it again to another VM at once, so
   nothing must be started for it.  */
static void
test_leave_unread (void)
{
  struct fleet_bed *bed = fleet_bed_start (2);
  struct leaver leaver = { .bed = bed };
  json_t *record;

  leaver.connection = connect_to_first (bed);
  fleet_bed_pass (50);
  process_signal (bed->vms[0], SIGSTOP);
  send_job (&leaver, LONG_MS);
  leave_by_reset (&leaver);
  process_signal (bed->vms[0], SIGCONT);
  fleet_bed_pass (300);
  record = fleet_bed_get_record (bed);
  g_assert_cmpint (json_get_int (record, "starts"), ==, 0);
  json_decref (record);
  g_object_unref (leaver.connection);
  g_free (leaver.id);
  fleet_bed_stop (bed);
}

/* What comes in while the caller waits is no end: it gets its answer.  */
static void
test_stay_after_more (void)
{
  struct fleet_bed *bed = fleet_bed_start (2);
  struct leaver leaver = { 0 };
  char answer[64] = "";

  begin (&leaver, bed, SHORT_MS);
  send_more (&leaver);
  g_input_stream_read_all (
      g_io_stream_get_input_stream (G_IO_STREAM (leaver.connection)), answer,
      strlen ("HTTP/1.1 200"), NULL, NULL, NULL);
  g_assert_cmpstr (answer, ==, "HTTP/1.1 200");
  g_object_unref (leaver.connection);
  g_free (leaver.id);
  fleet_bed_stop (bed);
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *path;
    void (*leave) (struct leaver *leaver);
  } ways[] = {
    { "/caller-leaves/close", leave_by_close },
    { "/caller-leaves/half-close", leave_by_half_close },
    { "/caller-leaves/reset", leave_by_reset },
    { "/caller-leaves/close-after-more", leave_by_close_after_more },
    { "/caller-leaves/half-close-after-more", leave_by_half_close_after_more },
    { "/caller-leaves/reset-after-more", leave_by_reset_after_more },
  };

  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  for (gsize i = 0; i < G_N_ELEMENTS (ways); i++)
    g_test_add_data_func (ways[i].path, &ways[i].leave, test_leave);
  g_test_add_func ("/caller-leaves/leave-unread", test_leave_unread);
  g_test_add_func ("/caller-leaves/stay-after-more", test_stay_after_more);
  return g_test_run ();
}
