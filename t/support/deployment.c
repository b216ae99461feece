#include "t/support/deployment.h"

#include "t/support/http.h"

#include <glib/gstdio.h>

static char *
settings_path (struct deployment *d, guint index)
{
  return g_strdup_printf ("%s/entry-%u.json", d->directory, index + 1);
}

json_t *
deployment_settings (struct deployment *d, guint index)
{
  g_autofree char *vm = g_strdup_printf ("entry-%u", index + 1);
  g_autofree char *platform = http_url (d->platform->ports[0], "%s", "");

  return json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s}", "vm", vm,
                    "availability_zone", "reykjavik-a", "listen",
                    "127.0.0.1:0", "peer_listen", "127.0.0.1:0", "log_url",
                    platform, "vm_list_url", platform);
}

void
deployment_start_entry (struct deployment *d, guint index, json_t *settings)
{
  g_autofree char *path = settings_path (d, index);

  if (d->entries[index] != NULL)
    process_free (d->entries[index]);
  g_assert_cmpint (json_dump_file (settings, path, JSON_INDENT (1)), ==, 0);
  d->entries[index]
      = process_start ("radishchute", "entry", "--settings", path, NULL);
  process_wait_ready (d->entries[index]);
}

json_t *
deployment_document (struct deployment *d)
{
  json_t *upstreams = json_object ();

  for (guint i = 0; i < d->upstreams->n_ports; i++)
    {
      g_autofree char *name = g_strdup_printf ("minion-%u", i);
      g_autofree char *address
          = g_strdup_printf ("127.0.0.1:%u", d->upstreams->ports[i]);

      json_object_set_new (upstreams, name,
                           json_pack ("{s:s, s:s, s:f, s:i}", "address",
                                      address, "availability_zone",
                                      "reykjavik-a", "cpus", 16.0, "memory_mb",
                                      32768));
    }
  return json_pack ("{s:s, s:{s:{s:o}}}", "team", DEPLOYMENT_TEAM, "services",
                    DEPLOYMENT_SERVICE, "upstreams", upstreams);
}

static gboolean
is_in_force (json_t *state, gpointer data)
{
  guint64 *version = data;
  json_t *documents = json_get (state, "documents");
  json_t *document = json_object_get (documents, DEPLOYMENT_TEAM);

  return document != NULL
         && (guint64)json_get_int (document, "version") >= *version;
}

void
deployment_wait_in_force (struct deployment *d)
{
  for (guint i = 0; i < d->n_entries; i++)
    {
      g_autofree char *state = deployment_url (d, i, "/v1/state");

      json_decref (http_poll_until (state, is_in_force, &d->version));
    }
}

void
deployment_publish (struct deployment *d, json_t *document)
{
  g_autofree char *url = http_url (d->platform->ports[0],
                                   "/v1/streams/radishchute-config/records");
  g_autofree char *edit
      = g_strdup_printf ("edit-%" G_GUINT64_FORMAT, d->version + 1);
  json_t *record = json_pack ("{s:s, s:s, s:s, s:I, s:s, s:O}", "kind",
                              "document", "edit", edit, "team",
                              DEPLOYMENT_TEAM, "base", (json_int_t)d->version,
                              "author", "tests", "document", document);
  char *text = json_dumps (record, JSON_COMPACT);
  struct http_answer *answer = http_request ("POST", url, text, NULL);
  json_t *body = http_answer_json (answer);

  d->version = (guint64)json_get_int (body, "offset") + 1;
  deployment_wait_in_force (d);
  json_decref (body);
  http_answer_free (answer);
  free (text);
  json_decref (record);
}

struct deployment *
deployment_start (guint n_entries, guint n_upstreams)
{
  struct deployment *d = g_new0 (struct deployment, 1);
  g_autofree char *count = g_strdup_printf ("%u", n_upstreams);
  json_t *document;

  d->directory = g_dir_make_tmp ("radishchute-XXXXXX", NULL);
  d->platform = process_start_standin ("platform", "--port", "0", NULL);
  d->upstreams = process_start_standin ("upstream", "--port", "0", "--count",
                                        count, NULL);
  d->n_entries = n_entries;
  for (guint i = 0; i < n_entries; i++)
    {
      json_t *settings = deployment_settings (d, i);

      deployment_start_entry (d, i, settings);
      json_decref (settings);
    }
  document = deployment_document (d);
  deployment_publish (d, document);
  json_decref (document);
  return d;
}

void
deployment_stop (struct deployment *d)
{
  for (guint i = 0; i < d->n_entries; i++)
    {
      g_autofree char *path = settings_path (d, i);

      process_free (d->entries[i]);
      g_unlink (path);
    }
  process_free (d->upstreams);
  process_free (d->platform);
  g_rmdir (d->directory);
  g_free (d->directory);
  g_free (d);
}

char *
deployment_url (struct deployment *d, guint index, const char *path)
{
  return http_url (d->entries[index]->ports[0], "%s", path);
}

char *
deployment_job (guint n_tasks, guint run_ms, guint first_value)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "{\"team\":\"%s\",\"service\":\"%s\",",
                          DEPLOYMENT_TEAM, DEPLOYMENT_SERVICE);
  g_string_append (text, "\"deadline_ms\":60000,\"tasks\":[");
  for (guint i = 0; i < n_tasks; i++)
    g_string_append_printf (text, "%s{\"input\":{\"run_ms\":%u,\"value\":%u}}",
                            i > 0 ? "," : "", run_ms, first_value + i);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

void
deployment_assert_whole (json_t *answer, guint n_tasks, guint first_value)
{
  json_t *outputs = json_get (answer, "outputs");

  g_assert_cmpstr (json_string_value (json_get (answer, "status")), ==,
                   "complete");
  g_assert_cmpuint (json_array_size (outputs), ==, n_tasks);
  for (guint i = 0; i < n_tasks; i++)
    g_assert_cmpint (json_get_int (json_array_get (outputs, i), "echo"), ==,
                     first_value + i);
}

static void
count_starts (guint16 port, GHashTable *seen)
{
  g_autofree char *url = http_url (port, "/test/starts");
  json_t *body = http_get_json (url);
  json_t *starts = json_get (body, "starts");
  json_t *start;
  size_t i;

  json_array_foreach (starts, i, start)
  {
    const char *task = json_string_value (json_get (start, "task"));

    g_assert_cmpint (json_get_int (start, "count"), ==, 1);
    if (!g_hash_table_add (seen, g_strdup (task)))
      g_error ("task %s was started by two upstreams", task);
  }
  json_decref (body);
}

guint
deployment_assert_starts (struct deployment *d)
{
  g_autoptr (GHashTable) seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < d->upstreams->n_ports; i++)
    count_starts (d->upstreams->ports[i], seen);
  return g_hash_table_size (seen);
}
