#include "bench/config/cell.h"

#include "t/support/http.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#define ACCEPTED_EVENT " document-accepted: team "
#define MAX_CONNECTIONS 64

/* A change whose answer is due.  */
struct sent_change
{
  struct cell *cell;
  struct cell_team *team;
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
cell_document_bytes (guint n_upstreams)
{
  json_t *document = make_document ("team-000", n_upstreams, 1);
  g_autofree char *text = json_dumps (document, JSON_COMPACT);

  json_decref (document);
  return strlen (text);
}

/* Starts an entry VM whose standard error goes to a file.  */
static void
start_vm (struct cell *cell, guint index)
{
  struct cell_vm *vm = &cell->vms[index];
  g_autofree char *name = g_strdup_printf ("entry-%u", index + 1);
  g_autofree char *settings
      = g_strdup_printf ("%s/%s.json", cell->directory, name);
  g_autofree char *platform = NULL;
  int saved = dup (STDERR_FILENO);
  json_t *root;
  int fd;

  vm->link = cut_link_new (cell->platform->ports[0]);
  platform = http_url (cut_link_get_port (vm->link), "%s", "");
  vm->log_path = g_strdup_printf ("%s/%s.log", cell->directory, name);
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
  dup2 (saved, STDERR_FILENO);
  close (saved);
  g_unlink (settings);
}

struct cell *
cell_new (guint n_vms)
{
  struct cell *cell = g_new0 (struct cell, 1);

  cell->directory = g_dir_make_tmp ("radishchute-XXXXXX", NULL);
  cell->platform = process_start_standin ("platform", "--port", "0", NULL);
  cell->session = soup_session_new_with_options ("max-conns", MAX_CONNECTIONS,
                                                 "max-conns-per-host",
                                                 MAX_CONNECTIONS, NULL);
  cell->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  cell->n_vms = n_vms;
  for (guint i = 0; i < n_vms; i++)
    start_vm (cell, i);
  return cell;
}

void
cell_free (struct cell *cell)
{
  for (guint i = 0; i < cell->n_vms; i++)
    {
      process_free (cell->vms[i].process);
      cut_link_free (cell->vms[i].link);
      fclose (cell->vms[i].log);
      g_unlink (cell->vms[i].log_path);
      g_free (cell->vms[i].log_path);
    }
  process_free (cell->platform);
  for (guint i = 0; i < cell->n_teams; i++)
    g_free (cell->teams[i].name);
  g_hash_table_unref (cell->by_name);
  g_object_unref (cell->session);
  g_rmdir (cell->directory);
  g_free (cell->directory);
  g_free (cell);
}

static void
on_appended (GObject *source, GAsyncResult *result, gpointer data)
{
  struct sent_change *sent = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes = soup_session_send_and_read_finish (
      SOUP_SESSION (source), result, &error);
  gsize length = 0;
  const char *text;
  json_t *root;

  g_assert_no_error (error);
  text = g_bytes_get_data (bytes, &length);
  root = json_loadb (text, length, 0, NULL);
  sent->team->version = (guint64)json_get_int (root, "offset") + 1;
  sent->cell->n_answers_due--;
  json_decref (root);
  g_free (sent);
}

static json_t *
make_record (struct cell_team *team, enum change_form form)
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
send_change (struct cell *cell, struct cell_team *team, enum change_form form)
{
  g_autofree char *url = http_url (cell->platform->ports[0], "%s",
                                   "/v1/streams/radishchute-config/records");
  g_autoptr (SoupMessage) message = soup_message_new ("POST", url);
  struct sent_change *sent = g_new0 (struct sent_change, 1);
  json_t *record = make_record (team, form);
  char *text = json_dumps (record, JSON_COMPACT);
  g_autoptr (GBytes) body = g_bytes_new_take (text, strlen (text));

  json_decref (record);
  sent->cell = cell;
  sent->team = team;
  team->n_in_force = 0;
  soup_message_add_flags (message, SOUP_MESSAGE_IDEMPOTENT);
  soup_message_set_request_body_from_bytes (message, "application/json", body);
  cell->n_answers_due++;
  team->sent_unix_us = g_get_real_time ();
  soup_session_send_and_read_async (cell->session, message, G_PRIORITY_DEFAULT,
                                    NULL, on_appended, sent);
}

/* Takes one line of a VM's log.  */
static void
take_line (struct cell *cell, char *line)
{
  char *event = strstr (line, ACCEPTED_EVENT);
  g_autoptr (GDateTime) when = NULL;
  struct cell_team *team;
  gint64 unix_us;
  char *name;

  if (event == NULL)
    return;
  name = event + strlen (ACCEPTED_EVENT);
  *strchr (name, ',') = '\0';
  *strchr (line, ' ') = '\0';
  when = g_date_time_new_from_iso8601 (line, NULL);
  unix_us = g_date_time_to_unix (when) * G_USEC_PER_SEC
            + g_date_time_get_microsecond (when);
  team = g_hash_table_lookup (cell->by_name, name);
  team->n_in_force++;
  if (cell->in_force_us != NULL)
    histogram_record (cell->in_force_us, unix_us - team->sent_unix_us);
}

static void
read_log (struct cell *cell, struct cell_vm *vm)
{
  char line[1024];

  while (fgets (line, sizeof line, vm->log) != NULL)
    {
      if (strchr (line, '\n') == NULL)
        {
          /* The VM is still writing it.  */
          fseek (vm->log, -(long)strlen (line), SEEK_CUR);
          break;
        }
      take_line (cell, line);
    }
  clearerr (vm->log);
}

static gboolean
is_in_force (struct cell *cell, guint first, guint n)
{
  for (guint i = first; i < first + n; i++)
    if (cell->teams[i].n_in_force < cell->n_vms)
      return FALSE;
  return cell->n_answers_due == 0;
}

static gboolean
on_tick (gpointer data)
{
  return G_SOURCE_CONTINUE;
}

static void
wait_in_force (struct cell *cell, guint first, guint n)
{
  guint tick = g_timeout_add (5, on_tick, NULL);

  while (!is_in_force (cell, first, n))
    {
      g_main_context_iteration (NULL, TRUE);
      for (guint i = 0; i < cell->n_vms && cell->n_answers_due == 0; i++)
        read_log (cell, &cell->vms[i]);
    }
  g_source_remove (tick);
}

void
cell_add_teams (struct cell *cell, guint n_teams, guint n_upstreams)
{
  guint first = cell->n_teams;

  for (; cell->n_teams < n_teams; cell->n_teams++)
    {
      struct cell_team *team = &cell->teams[cell->n_teams];

      team->name = g_strdup_printf ("team-%03u", cell->n_teams);
      team->n_upstreams = n_upstreams;
      team->weight = 1;
      g_hash_table_insert (cell->by_name, team->name, team);
      send_change (cell, team, CHANGE_WHOLE);
    }
  wait_in_force (cell, first, n_teams - first);
}

void
cell_change (struct cell *cell, guint first, guint n, enum change_form form)
{
  for (guint i = first; i < first + n; i++)
    {
      cell->teams[i].weight = cell->teams[i].weight % 999 + 1;
      send_change (cell, &cell->teams[i], form);
    }
  wait_in_force (cell, first, n);
}

static gint64
get_figure (struct cell *cell, guint index, const char *name)
{
  g_autofree char *url
      = http_url (cell->vms[index].process->ports[0], "/v1/state");
  json_t *state = http_get_json (url);
  gint64 value = json_get_int (json_get (state, "process"), name);

  json_decref (state);
  return value;
}

gint64
cell_get_cpu_us (struct cell *cell, guint index)
{
  return get_figure (cell, index, "cpu_us");
}

gint64
cell_get_rss_kb (struct cell *cell, guint index)
{
  return get_figure (cell, index, "rss_kb");
}

guint64
cell_get_log_bytes (struct cell *cell, guint index)
{
  return cut_link_get_bytes (cell->vms[index].link);
}
