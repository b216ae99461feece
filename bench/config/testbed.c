#include "bench/config/testbed.h"

#include "t/support/http.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

/* Comes before the name of the team in a log line.  */
#define ACCEPTED_EVENT_TEXT " document-accepted: team "
#define MAX_CONNECTIONS 64

/* A change that the platform has not answered yet.  */
struct pending_change
{
  struct testbed *testbed;
  struct testbed_team *team;
};

static json_t *
make_document (const char *team, guint n_upstreams, guint weight)
{
  json_t *upstreams = json_object ();
  json_t *root;

  for (guint i = 0; i < n_upstreams; i++)
    {
      g_autofree char *name = g_strdup_printf ("minion-%u", i);

      json_object_set_new (upstreams, name,
                           json_pack ("{s:s, s:s, s:s, s:i, s:i}", "address",
                                      "10.0.0.1:9101", "availability_zone",
                                      "reykjavik-a", "rack", "rack-1", "cpus",
                                      16, "memory_mb", 32768));
    }
  root = json_pack ("{s:s, s:i, s:{s:{s:o}}}", "team", team, "weight",
                    (int)weight, "services", "main", "upstreams", upstreams);
  return root;
}

gsize
testbed_get_document_bytes (guint n_upstreams)
{
  json_t *document = make_document ("team-000", n_upstreams, 1);
  g_autofree char *text = json_dumps (document, JSON_COMPACT);

  json_decref (document);
  return strlen (text);
}

/* Starts an entry VM whose standard error goes to a file.  */
static void
start_vm (struct testbed *testbed, guint index)
{
  struct testbed_vm *vm = &testbed->vms[index];
  g_autofree char *name = g_strdup_printf ("entry-%u", index + 1);
  g_autofree char *settings
      = g_strdup_printf ("%s/%s.json", testbed->directory, name);
  g_autofree char *platform = NULL;
  int saved_stderr = dup (STDERR_FILENO);
  json_t *root;
  int fd;

  vm->link = cut_link_new (testbed->platform->ports[0]);
  platform = http_url (cut_link_get_port (vm->link), "%s", "");
  vm->log_path = g_strdup_printf ("%s/%s.log", testbed->directory, name);
  root = json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s}", "vm", name,
                    "availability_zone", "reykjavik-a", "listen",
                    "127.0.0.1:0", "peer_listen", "127.0.0.1:0", "log_url",
                    platform, "vm_list_url", "http://127.0.0.1:1");
  json_dump_file (root, settings, 0);
  json_decref (root);
  fd = open (vm->log_path, O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0600);
  dup2 (fd, STDERR_FILENO);
  close (fd);
  vm->process
      = process_start ("radishchute", "entry", "--settings", settings, NULL);
  process_wait_ready (vm->process);
  vm->log = fopen (vm->log_path, "r");
  dup2 (saved_stderr, STDERR_FILENO);
  close (saved_stderr);
  g_unlink (settings);
}

struct testbed *
testbed_new (guint n_vms)
{
  struct testbed *testbed = g_new0 (struct testbed, 1);

  testbed->directory = g_dir_make_tmp ("radishchute-XXXXXX", NULL);
  testbed->platform = process_start_standin ("platform", "--port", "0", NULL);
  testbed->session = soup_session_new_with_options (
      "max-conns", MAX_CONNECTIONS, "max-conns-per-host", MAX_CONNECTIONS,
      NULL);
  testbed->teams_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  testbed->n_vms = n_vms;
  for (guint i = 0; i < n_vms; i++)
    start_vm (testbed, i);
  return testbed;
}

void
testbed_free (struct testbed *testbed)
{
  for (guint i = 0; i < testbed->n_vms; i++)
    {
      process_free (testbed->vms[i].process);
      cut_link_free (testbed->vms[i].link);
      fclose (testbed->vms[i].log);
      g_unlink (testbed->vms[i].log_path);
      g_free (testbed->vms[i].log_path);
    }
  process_free (testbed->platform);
  for (guint i = 0; i < testbed->n_teams; i++)
    g_free (testbed->teams[i].name);
  g_hash_table_unref (testbed->teams_by_name);
  g_object_unref (testbed->session);
  g_rmdir (testbed->directory);
  g_free (testbed->directory);
  g_free (testbed);
}

static void
on_change_answered (GObject *source, GAsyncResult *result, gpointer data)
{
  struct pending_change *pending = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes = soup_session_send_and_read_finish (
      SOUP_SESSION (source), result, &error);
  gsize length = 0;
  const char *text;
  json_t *root;

  g_assert_no_error (error);
  text = g_bytes_get_data (bytes, &length);
  root = json_loadb (text, length, 0, NULL);
  pending->team->version = (guint64)json_get_int (root, "offset") + 1;
  pending->testbed->n_pending_changes--;
  json_decref (root);
  g_free (pending);
}

static json_t *
make_record (struct testbed_team *team, enum change_form form)
{
  json_t *record = json_pack (
      "{s:s, s:s, s:s, s:I, s:s}", "kind", "document", "edit",
      "put-1790000000000-3f0c51f4-8a57-4a5b-9a0b-8f5c1fb1c0de", "team",
      team->name, "base", (json_int_t)team->version, "author", "operator");

  if (form == CHANGE_PATCH)
    json_object_set_new (record, "patch",
                         json_pack ("{s:i}", "weight", (int)team->weight));
  else
    json_object_set_new (
        record, "document",
        make_document (team->name, team->n_upstreams, team->weight));
  return record;
}

static void
publish_change (struct testbed *testbed, struct testbed_team *team,
                enum change_form form)
{
  g_autofree char *url = http_url (testbed->platform->ports[0], "%s",
                                   "/v1/streams/radishchute-config/records");
  g_autoptr (SoupMessage) message = soup_message_new ("POST", url);
  struct pending_change *pending = g_new0 (struct pending_change, 1);
  json_t *record = make_record (team, form);
  char *text = json_dumps (record, JSON_COMPACT);
  g_autoptr (GBytes) body = g_bytes_new_take (text, strlen (text));

  json_decref (record);
  pending->testbed = testbed;
  pending->team = team;
  team->n_in_force = 0;
  soup_message_add_flags (message, SOUP_MESSAGE_IDEMPOTENT);
  soup_message_set_request_body_from_bytes (message, "application/json", body);
  testbed->n_pending_changes++;
  team->published_unix_us = g_get_real_time ();
  soup_session_send_and_read_async (testbed->session, message,
                                    G_PRIORITY_DEFAULT, NULL,
                                    on_change_answered, pending);
}

/* Counts the change that LINE of a VM's log reports as in force, if any.
   Modifies LINE.  */
static void
parse_log_line (struct testbed *testbed, char *line)
{
  char *event = strstr (line, ACCEPTED_EVENT_TEXT);
  g_autoptr (GDateTime) accepted_at = NULL;
  struct testbed_team *team;
  gint64 unix_us;
  char *name;

  if (event == NULL)
    return;
  name = event + strlen (ACCEPTED_EVENT_TEXT);
  *strchr (name, ',') = '\0';
  *strchr (line, ' ') = '\0';
  accepted_at = g_date_time_new_from_iso8601 (line, NULL);
  unix_us = g_date_time_to_unix (accepted_at) * G_USEC_PER_SEC
            + g_date_time_get_microsecond (accepted_at);
  team = g_hash_table_lookup (testbed->teams_by_name, name);
  team->n_in_force++;
  if (testbed->propagation_us != NULL)
    histogram_record (testbed->propagation_us,
                      unix_us - team->published_unix_us);
}

static void
read_log (struct testbed *testbed, struct testbed_vm *vm)
{
  char line[1024];

  while (fgets (line, sizeof line, vm->log) != NULL)
    {
      if (strchr (line, '\n') == NULL)
        {
          /* The line is incomplete; read it again later.  */
          fseek (vm->log, -(long)strlen (line), SEEK_CUR);
          break;
        }
      parse_log_line (testbed, line);
    }
  clearerr (vm->log);
}

static gboolean
are_changes_in_force (struct testbed *testbed, guint first, guint n)
{
  for (guint i = first; i < first + n; i++)
    if (testbed->teams[i].n_in_force < testbed->n_vms)
      return FALSE;
  return testbed->n_pending_changes == 0;
}

/* Ends a blocking iteration of the main loop, so that the logs are read.  */
static gboolean
on_tick (gpointer data)
{
  return G_SOURCE_CONTINUE;
}

static void
wait_until_in_force (struct testbed *testbed, guint first, guint n)
{
  guint tick = g_timeout_add (5, on_tick, NULL);

  while (!are_changes_in_force (testbed, first, n))
    {
      g_main_context_iteration (NULL, TRUE);
      for (guint i = 0; i < testbed->n_vms && testbed->n_pending_changes == 0;
           i++)
        read_log (testbed, &testbed->vms[i]);
    }
  g_source_remove (tick);
}

void
testbed_add_teams (struct testbed *testbed, guint n_teams, guint n_upstreams)
{
  guint first = testbed->n_teams;

  for (; testbed->n_teams < n_teams; testbed->n_teams++)
    {
      struct testbed_team *team = &testbed->teams[testbed->n_teams];

      team->name = g_strdup_printf ("team-%03u", testbed->n_teams);
      team->n_upstreams = n_upstreams;
      team->weight = 1;
      g_hash_table_insert (testbed->teams_by_name, team->name, team);
      publish_change (testbed, team, CHANGE_DOCUMENT);
    }
  wait_until_in_force (testbed, first, n_teams - first);
}

void
testbed_change_teams (struct testbed *testbed, guint first, guint n,
                      enum change_form form)
{
  for (guint i = first; i < first + n; i++)
    {
      testbed->teams[i].weight = testbed->teams[i].weight % 999 + 1;
      publish_change (testbed, &testbed->teams[i], form);
    }
  wait_until_in_force (testbed, first, n);
}

static gint64
get_process_field (struct testbed *testbed, guint index, const char *name)
{
  g_autofree char *url
      = http_url (testbed->vms[index].process->ports[0], "/v1/state");
  json_t *state = http_get_json (url);
  gint64 value = json_get_int (json_get (state, "process"), name);

  json_decref (state);
  return value;
}

gint64
testbed_get_cpu_us (struct testbed *testbed, guint index)
{
  return get_process_field (testbed, index, "cpu_us");
}

gint64
testbed_get_rss_kb (struct testbed *testbed, guint index)
{
  return get_process_field (testbed, index, "rss_kb");
}

guint64
testbed_get_platform_bytes (struct testbed *testbed, guint index)
{
  return cut_link_get_bytes (testbed->vms[index].link);
}
